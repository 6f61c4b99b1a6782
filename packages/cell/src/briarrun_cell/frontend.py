"""Handling of callers' requests: submissions, states, cancellations and counts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from briarrun_cell import records
from briarrun_cell.clock import Clock
from briarrun_cell.config_view import ConfigView
from briarrun_cell.decisions.store_silence import retry_after_s
from briarrun_cell.job_view import JobAnswer, JobView
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import FINAL_STATES, JobSpec, JobState, Queue, StepSpec
from briarrun_cell.ports import Record
from briarrun_cell.progress_size import JobTooLarge, ProgressBounds
from briarrun_cell.record_writer import WriteOutcome, WriteResult
from briarrun_cell.store_monitor import StoreMonitor
from briarrun_cell.tail import TopicTail
from briarrun_cell.write_relay import SubmissionWriter

WRITE_RETRY_S = 0.1
"""Time for which a refused write is retried. It is short because another VM may reach
the store, so the caller should retry there soon."""

ANSWER_MARGIN_S = 0.2
"""Time before the deadline of a caller at which it is told that the outcome of a write
is unknown. Until then the write is repeated."""

DEFAULT_WAIT_S = 3.0
"""Time for which a caller waits if neither its request nor its queue says so."""

MAX_CALLER_WAIT_S = 30.0
"""Maximum time for which a write in doubt is repeated for a caller."""

STORE_UNREACHABLE_AFTER_S = 1.5
"""Time without an answer to a read after which the store counts as unreachable. It is
longer than the long-poll time of a read."""

RETRY_AFTER_S = 1
"""Retry-After of a reply that does not depend on the store, e.g. while a VM starts."""

_LOG = ComponentLog("front")


class RequestOutcome(StrEnum):
    """Outcome of a request as reported to the caller."""

    ACCEPTED = "accepted"
    STATE = "state"
    COUNT = "count"
    CANCELLED = "cancelled"
    UNKNOWN_JOB = "unknown-job"
    NO_QUEUE = "no-queue"
    BAD_KEY = "bad-key"
    INVALID = "invalid"
    NOT_RUN = "not-run"
    OVERLOAD = "overload"
    IN_DOUBT = "unsettled"
    NO_CONFIG = "no-config"


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to a caller."""

    request_outcome: RequestOutcome
    state: JobState | None = None
    count: int = 0
    retry_after_s: int | None = None
    detail: str = ""
    customer: str = ""


@dataclass(frozen=True, slots=True)
class RequestTarget:
    """Host, path and API key of a request."""

    host: str
    path: str
    key: str | None


class Frontend:
    """Serves requests from a job view and writes changes to the store.

    ``jobs_tail`` does not run on a VM that asks replicas.
    """

    def __init__(
        self,
        config: ConfigView,
        config_tail: TopicTail,
        view: Callable[[], JobView],
        jobs_tail: TopicTail,
        writer: SubmissionWriter,
        clock: Clock,
        max_config_age_s: float,
        bounds: ProgressBounds,
        monitor: StoreMonitor,
        on_refusal: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._config = config
        self._config_tail = config_tail
        self._view = view
        self._jobs_tail = jobs_tail
        self._writer = writer
        self._clock = clock
        self._max_config_age_s = max_config_age_s
        self._bounds = bounds
        self._monitor = monitor
        self._on_refusal = on_refusal

    @property
    def config_is_current(self) -> bool:
        """Whether the configuration is recent enough to check keys."""
        return self._config_tail.age_s() <= self._max_config_age_s

    def find(self, address: RequestTarget) -> tuple[Queue, str] | Reply:
        """Return the queue and customer of a request, or a reply that refuses it."""
        if not self._config.loaded:
            return Reply(
                RequestOutcome.NO_CONFIG, retry_after_s=RETRY_AFTER_S, detail="starting"
            )
        config = self._config.config
        queue = config.queue_at(address.host, address.path)
        if not self.config_is_current:
            age_ms = int(self._config_tail.age_s() * 1000)
            self._on_refusal("configuration")
            _LOG.warning(
                "refused request", reason="configuration too old", age_ms=age_ms
            )
            return Reply(
                RequestOutcome.NO_CONFIG,
                retry_after_s=self._retry_after_s(queue, address.path),
                detail="the configuration cannot be confirmed",
            )
        if queue is None:
            return Reply(RequestOutcome.NO_QUEUE, detail="no such queue")
        customer = config.customer_by_key.get(address.key or "")
        if customer is None and not queue.public:
            _LOG.info(
                "refused request with unknown key",
                queue=queue.name,
                version=config.version,
                age_ms=int(self._config_tail.age_s() * 1000),
            )
            return Reply(RequestOutcome.BAD_KEY, detail="unknown key")
        return queue, customer or ""

    async def submit(
        self,
        queue: Queue,
        customer: str,
        spec: JobSpec,
        waits_s: float | None = None,
    ) -> Reply:
        """Store a job and return whether it was accepted.

        ``waits_s`` is the time for which the caller waits, by default that of the queue.
        """
        if self._view().known_state(spec.job_id) is not None:
            return Reply(RequestOutcome.ACCEPTED, detail="known", customer=customer)
        accepted = msgspec.structs.replace(
            spec, terms=queue, customer=customer, accepted_ms=self._clock.wall_ms()
        )
        record = records.job_record(accepted)
        try:
            self._check_size(accepted, record)
        except JobTooLarge as error:
            detail = str(error)
            _LOG.info("rejected submission", job=spec.job_id, detail=detail)
            return Reply(RequestOutcome.INVALID, detail=detail, customer=customer)
        reply = await self._write(record, queue, spec.job_id, waits_s)
        _LOG.info(
            "handled submission",
            job=spec.job_id,
            customer=customer,
            queue=queue.name,
            outcome=reply.request_outcome,
            detail=reply.detail,
            shape=[describe_step(step) for step in spec.steps],
            config=self._config.config.version,
            waited_ms=self._clock.wall_ms() - accepted.accepted_ms,
        )
        return with_outcome(reply, RequestOutcome.ACCEPTED, customer)

    def _check_size(self, spec: JobSpec, record: Record) -> None:
        """Raise ``JobTooLarge`` if a record of the job may not fit into the store."""
        self._bounds.check(spec)
        limit = self._bounds.record_bytes
        if record.size > limit:
            raise JobTooLarge(f"job of {record.size} bytes; at most {limit}")

    async def cancel(
        self,
        job_id: str,
        customer: str,
        queue: Queue | None = None,
        waits_s: float | None = None,
    ) -> Reply:
        """Store the cancellation of a job that exists.

        A stored cancellation holds for good, also for a job that is stored after it, and
        a write in doubt may take effect later. Therefore nothing is written unless the
        job is known.
        """
        began_at = self._clock.now()
        if waits_s is None:
            waits_s = DEFAULT_WAIT_S if queue is None else queue.timeout_s
        answer = await self._confirmed_state(job_id)
        if answer.state in FINAL_STATES:
            return Reply(RequestOutcome.CANCELLED, customer=customer)
        if answer.state is None:
            return self._unknown_job_reply(answer)
        record = records.cancellation_record(job_id, self._clock.wall_ms())
        left_s = max(0.0, waits_s - (self._clock.now() - began_at))
        reply = await self._write(record, queue, job_id, left_s)
        _LOG.info("handled cancellation", job=job_id, outcome=reply.request_outcome)
        return with_outcome(reply, RequestOutcome.CANCELLED, customer)

    async def _confirmed_state(self, job_id: str) -> JobAnswer:
        """Return a state of a job, without I/O while nothing could be stored."""
        view = self._view()
        if self._store_takes_no_writes:
            return JobAnswer(view.known_state(job_id), current=False)
        return await view.confirmed_state(job_id)

    @property
    def _store_takes_no_writes(self) -> bool:
        return self._monitor.is_silent() or self.store_is_unreachable

    @property
    def store_is_unreachable(self) -> bool:
        """Whether the store has not answered this VM for too long."""
        unanswered_s = min(
            self._config_tail.unanswered_s(),
            self._jobs_tail.unanswered_s(),
            self._monitor.unheard_s(),
        )
        return unanswered_s > STORE_UNREACHABLE_AFTER_S

    async def _write(
        self, record: Record, queue: Queue | None, job_id: str, waits_s: float | None
    ) -> Reply:
        result = WriteResult(WriteOutcome.UNREACHABLE)
        if not self._store_takes_no_writes:
            if waits_s is None:
                waits_s = DEFAULT_WAIT_S if queue is None else queue.timeout_s
            result = await self._writer.write(
                record,
                WRITE_RETRY_S,
                settle_s(waits_s),
                priority=0 if queue is None else queue.priority,
            )
        outcome = result.outcome
        if outcome is WriteOutcome.STORED:
            return Reply(RequestOutcome.ACCEPTED)
        if outcome is not WriteOutcome.UNKNOWN:
            self._on_refusal(outcome)
        if outcome is WriteOutcome.NEVER_RUNS:
            return Reply(RequestOutcome.INVALID, detail=result.reason)
        if outcome is WriteOutcome.OVERLOAD:
            return Reply(
                RequestOutcome.OVERLOAD,
                retry_after_s=result.retry_after_s or RETRY_AFTER_S,
                detail=result.reason,
            )
        if outcome is WriteOutcome.REJECTED:
            detail = f"the store rejects a record of {record.size} bytes"
            return Reply(RequestOutcome.INVALID, detail=detail)
        if outcome is not WriteOutcome.UNKNOWN:
            refused = outcome is WriteOutcome.NOT_STORED
            return Reply(
                RequestOutcome.NOT_RUN,
                retry_after_s=self._retry_after_s(queue, job_id),
                detail=(
                    "the store refused the write"
                    if refused
                    else "the store is unreachable"
                ),
            )
        return Reply(RequestOutcome.IN_DOUBT, detail="the store did not answer")

    def _retry_after_s(self, queue: Queue | None, job_id: str) -> int:
        """Return when a caller is to retry because of the store."""
        queues = self._config.config.queues_by_name.values()
        urgency = 0
        if queue is not None:
            priorities = {each.priority for each in queues}
            urgency = sum(each < queue.priority for each in priorities)
        return retry_after_s(urgency, self._monitor.unheard_s(), job_id)

    async def state(self, job_id: str, customer: str) -> Reply:
        """Return the newest state of a job.

        If the job may end soon, waits for the outcome for a short time.
        """
        answer = await self._view().state(
            job_id, wait_for_outcome=not self.store_is_unreachable
        )
        if answer.state is not None:
            return Reply(RequestOutcome.STATE, state=answer.state, customer=customer)
        return self._unknown_job_reply(answer)

    async def count(self, queue: Queue, customer: str) -> Reply:
        """Return the number of accepted jobs of a queue with no started task."""
        answer = await self._view().count_waiting(queue.name)
        if not answer.current:
            return self._stale_view_reply()
        return Reply(RequestOutcome.COUNT, count=answer.waiting, customer=customer)

    def _unknown_job_reply(self, answer: JobAnswer) -> Reply:
        if answer.current:
            return Reply(RequestOutcome.UNKNOWN_JOB, detail="no such job")
        return self._stale_view_reply()

    def _stale_view_reply(self) -> Reply:
        return Reply(
            RequestOutcome.NOT_RUN,
            retry_after_s=RETRY_AFTER_S,
            detail="the job stream cannot be read",
        )


def settle_s(waits_s: float) -> float:
    """Return the time for which a write in doubt is repeated for a caller."""
    waits_s = min(waits_s, MAX_CALLER_WAIT_S)
    return max(waits_s - ANSWER_MARGIN_S, waits_s / 2)


def describe_step(step: StepSpec) -> str:
    """Return the number of tasks, cores, run time and special properties of a step."""
    special = [
        name
        for name, value in (
            ("gang", step.gang),
            ("service", step.service),
            ("filler", step.filler),
            ("duplicates", step.duplicates_allowed),
            ("one-rack", step.same_rack),
            ("near-data", step.data_rack),
            ("labelled", step.required_label),
        )
        if value
    ]
    size = f"{step.count}x{step.need.cores}m/{step.estimated_ms}ms"
    return " ".join([size, *special])


def with_outcome(reply: Reply, success: RequestOutcome, customer: str) -> Reply:
    """Return the reply with ``success`` in place of ``ACCEPTED``, and the customer."""
    request_outcome = (
        success
        if reply.request_outcome is RequestOutcome.ACCEPTED
        else reply.request_outcome
    )
    return Reply(
        request_outcome,
        retry_after_s=reply.retry_after_s,
        detail=reply.detail,
        customer=customer,
    )
