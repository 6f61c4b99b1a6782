"""Answer callers: submissions, states, cancellations and counts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from briarrun_cell import records
from briarrun_cell.clock import Clock
from briarrun_cell.config_view import ConfigView
from briarrun_cell.job_table import JobTable
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import JobSpec, JobState, Queue, StepSpec
from briarrun_cell.ports import Record
from briarrun_cell.record_writer import RecordWriter, WriteOutcome
from briarrun_cell.tail import TopicTail

WRITE_PATIENCE_S = 0.1
"""Time for which a write that the store refused is tried again; another VM may have a
better way to the store, so that a quick refusal serves the caller best."""

UNSETTLED_PATIENCE_S = 0.9
"""Time for which a write whose answer was lost is tried again."""

STORE_SILENCE_S = 1.5
"""The store counts as unreachable when it has answered no read for this long; it is
longer than one read waits."""

VIEW_AGE_S = 2.6
"""A job that is not known counts as nonexistent only if the view is younger."""

VIEW_PATIENCE_S = 0.12
"""Longest wait for a fresh view of the jobs before a request is answered from what is
known."""

RETRY_AFTER_S = 1
"""Time after which a caller should come back when the store is unreachable."""

_LOG = ComponentLog("front")


class RequestOutcome(StrEnum):
    """Name what a caller is told."""

    ACCEPTED = "accepted"
    STATE = "state"
    COUNT = "count"
    CANCELLED = "cancelled"
    UNKNOWN_JOB = "unknown-job"
    NO_QUEUE = "no-queue"
    BAD_KEY = "bad-key"
    INVALID = "invalid"
    NOT_RUN = "not-run"
    IN_DOUBT = "unsettled"
    NO_CONFIG = "no-config"


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a caller; ``retry_after_s`` tells when to come back."""

    request_outcome: RequestOutcome
    state: JobState | None = None
    count: int = 0
    retry_after_s: int | None = None
    detail: str = ""
    customer: str = ""


@dataclass(frozen=True, slots=True)
class RequestTarget:
    """Hold where a caller's request goes and the key that came with it."""

    host: str
    path: str
    key: str | None


class Frontend:
    """Serve callers from the folded job stream; write through the store."""

    def __init__(
        self,
        config: ConfigView,
        config_tail: TopicTail,
        table: JobTable,
        jobs_tail: TopicTail,
        writer: RecordWriter,
        clock: Clock,
        max_config_age_s: float,
    ) -> None:
        self._config = config
        self._config_tail = config_tail
        self._table = table
        self._jobs_tail = jobs_tail
        self._writer = writer
        self._clock = clock
        self._max_config_age_s = max_config_age_s

    @property
    def config_is_current(self) -> bool:
        """Tell whether keys may be judged by what is known."""
        return self._config_tail.age_s() <= self._max_config_age_s

    def find(self, address: RequestTarget) -> tuple[Queue, str] | Reply:
        """Return the queue and customer of a request, or a refusal."""
        if not self._config.loaded:
            return Reply(
                RequestOutcome.NO_CONFIG, retry_after_s=RETRY_AFTER_S, detail="starting"
            )
        config = self._config.config
        queue = config.queue_at(address.host, address.path)
        if not self.config_is_current:
            age_ms = int(self._config_tail.age_s() * 1000)
            _LOG.warning(
                "refused a request", reason="the configuration is old", age_ms=age_ms
            )
            return Reply(
                RequestOutcome.NO_CONFIG,
                retry_after_s=RETRY_AFTER_S,
                detail="the configuration cannot be confirmed",
            )
        if queue is None:
            return Reply(RequestOutcome.NO_QUEUE, detail="no such queue")
        customer = config.customer_by_key.get(address.key or "")
        if customer is None and not queue.public:
            _LOG.info(
                "refused a key",
                queue=queue.name,
                version=config.version,
                age_ms=int(self._config_tail.age_s() * 1000),
            )
            return Reply(RequestOutcome.BAD_KEY, detail="unknown key")
        return queue, customer or ""

    async def submit(self, queue: Queue, customer: str, spec: JobSpec) -> Reply:
        """Accept a job durably, or say truthfully that it will not run."""
        entry = self._table.by_id.get(spec.job_id)
        if entry is not None and entry.spec is not None:
            return Reply(RequestOutcome.ACCEPTED, detail="known", customer=customer)
        accepted = msgspec.structs.replace(
            spec, terms=queue, customer=customer, accepted_ms=self._clock.wall_ms()
        )
        reply = await self._write(records.accepted(accepted))
        _LOG.info(
            "decided on a submission",
            job=spec.job_id,
            customer=customer,
            queue=queue.name,
            outcome=reply.request_outcome,
            detail=reply.detail,
            shape=[describe_step(step) for step in spec.steps],
            config=self._config.config.version,
            waited_ms=self._clock.wall_ms() - accepted.accepted_ms,
        )
        return named_for(reply, RequestOutcome.ACCEPTED, customer)

    async def cancel(self, job_id: str, customer: str) -> Reply:
        """Cancel a job durably."""
        entry = self._table.by_id.get(job_id)
        if entry is None or not entry.final:
            # The job may have been accepted elsewhere a moment ago, so that the
            # cancellation is stored before the job is looked for again.
            record = records.cancelled(job_id, self._clock.wall_ms())
            reply = await self._write(record)
            await self._jobs_tail.refresh(VIEW_PATIENCE_S)
            _LOG.info("decided on a cancel", job=job_id, outcome=reply.request_outcome)
            entry = self._table.by_id.get(job_id)
            unknown = entry is None or entry.spec is None
            if reply.request_outcome is RequestOutcome.ACCEPTED and unknown:
                return Reply(RequestOutcome.UNKNOWN_JOB, detail="no such job")
            return named_for(reply, RequestOutcome.CANCELLED, customer)
        return Reply(RequestOutcome.CANCELLED, customer=customer)

    @property
    def store_is_unreachable(self) -> bool:
        """Tell whether the store is known to be unreachable from here."""
        unanswered_s = min(
            self._config_tail.unanswered_s(), self._jobs_tail.unanswered_s()
        )
        return unanswered_s > STORE_SILENCE_S

    async def _write(self, record: Record) -> Reply:
        if self.store_is_unreachable:
            return Reply(
                RequestOutcome.NOT_RUN,
                retry_after_s=RETRY_AFTER_S,
                detail="the store is unreachable",
            )
        outcome = await self._writer.write(
            record, WRITE_PATIENCE_S, UNSETTLED_PATIENCE_S
        )
        if outcome is WriteOutcome.STORED:
            return Reply(RequestOutcome.ACCEPTED)
        if outcome is WriteOutcome.NOT_STORED:
            return Reply(
                RequestOutcome.NOT_RUN,
                retry_after_s=RETRY_AFTER_S,
                detail="the store refused the write",
            )
        return Reply(RequestOutcome.IN_DOUBT, detail="the store did not answer")

    async def state(self, job_id: str, customer: str) -> Reply:
        """Return a job's state; one that may have changed is read from the store."""
        entry = self._table.by_id.get(job_id)
        if entry is None or not entry.final:
            await self._jobs_tail.refresh(VIEW_PATIENCE_S)
            entry = self._table.by_id.get(job_id)
        if entry is None or entry.spec is None:
            return self._unknown()
        return Reply(RequestOutcome.STATE, state=entry.state, customer=customer)

    async def count(self, queue: Queue, customer: str) -> Reply:
        """Return how many accepted jobs of a queue have no started task."""
        await self._jobs_tail.refresh(VIEW_PATIENCE_S)
        if self._jobs_tail.age_s() > VIEW_AGE_S:
            return self._stale()
        waiting = self._table.waiting(queue.name)
        return Reply(RequestOutcome.COUNT, count=waiting, customer=customer)

    def _unknown(self) -> Reply:
        if self._jobs_tail.age_s() > VIEW_AGE_S:
            return self._stale()
        return Reply(RequestOutcome.UNKNOWN_JOB, detail="no such job")

    def _stale(self) -> Reply:
        return Reply(
            RequestOutcome.NOT_RUN,
            retry_after_s=RETRY_AFTER_S,
            detail="the job stream cannot be read",
        )


def describe_step(step: StepSpec) -> str:
    """Return a step's width, cores and run time, and what is special about it."""
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


def named_for(reply: Reply, success: RequestOutcome, customer: str) -> Reply:
    """Return a reply whose success is named as the request names it."""
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
