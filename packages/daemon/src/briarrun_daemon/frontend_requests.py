"""Handling of a caller's request: record, slot, upstream and outcome."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import random
from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from briarrun_adapters.upstream import UpstreamClient
from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.model import Outcome
from briarrun_core.request_records import RequestState
from briarrun_core.retries import (
    FailedAttempt,
    RetryBudget,
    RetrySettings,
    next_retry_at,
)
from briarrun_daemon import frontend_http
from briarrun_daemon.clock import Clock
from briarrun_daemon.front_slots import SlotFinder
from briarrun_daemon.frontend_http import RequestCall, StoredAnswer
from briarrun_daemon.holder_client import HolderClient
from briarrun_daemon.logs import ComponentLog
from briarrun_daemon.metrics import Metrics
from briarrun_daemon.settings import Settings
from briarrun_daemon.tasks import TaskGroup
from briarrun_wire.http_types import HttpFailure, HttpFailureKind, HttpResponse
from briarrun_wire.messages import (
    CallRefused,
    RecordBegin,
    RecordFinish,
    RequestQuery,
    RequestRecordReply,
    SlotGrantInfo,
    SlotRelease,
)

_LOG = ComponentLog("front")
POLL_INTERVAL_S = 0.05
FINISH_ATTEMPTS = 20
FINISH_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class ServedRequest:
    """Response to a caller and the outcome that it reports."""

    response: HttpResponse
    outcome: Outcome


class RequestHandler:
    """Serves requests; a request that is not idempotent is sent at most once."""

    def __init__(
        self,
        settings: Settings,
        calls: HolderClient,
        slots: SlotFinder,
        upstreams: UpstreamClient,
        clock: Clock,
        metrics: Metrics,
        tasks: TaskGroup,
    ) -> None:
        self._settings = settings
        self._timing = settings.timing
        self._calls = calls
        self._slots = slots
        self._upstreams = upstreams
        self._clock = clock
        self._metrics = metrics
        self._tasks = tasks
        self._random = random.Random()
        limits = settings.limits
        self._retries = RetrySettings(
            max_attempts=limits.max_attempts,
            budget_ratio=limits.retry_budget_ratio,
            min_per_s=float(limits.retry_budget_minimum),
            first_backoff_s=self._timing.retry_base_s,
            max_backoff_s=self._timing.retry_max_s,
        )
        self._budget = RetryBudget(self._retries, clock.now())

    async def serve(self, call: RequestCall) -> ServedRequest:
        """Run a request and return the response."""
        self._budget.note_first_attempt(self._clock.now())
        if call.idempotent:
            return await self._run(call)
        begun = await self._begin(call)
        match begun:
            case Result(tag="ok", ok=(call, attempt)):
                served = await self._run(call)
                self._tasks.start(self._finish(call, attempt, served))
                return served
            case Result(error=served):
                return served

    # Records of non-idempotent requests

    async def _begin(
        self, call: RequestCall
    ) -> Result[tuple[RequestCall, int], ServedRequest]:
        """Begin the record of a request.

        If it is unknown whether the record was begun, a generated id is replaced.
        """
        retry_until = min(call.deadline, self._clock.now() + self._takeover_timeout_s())
        while True:
            reply = await self._calls.call(
                call.home,
                RecordBegin(
                    request_id=call.record_id,
                    team=call.team,
                    front=self._calls.instance,
                ),
                self._timing.durability_timeout_s + self._timing.peer_call_timeout_s,
            )
            match reply:
                case Result(tag="ok", ok=RequestRecordReply(state="new") as record):
                    return Ok((call, record.attempt))
                case Result(tag="ok", ok=RequestRecordReply() as record):
                    return Error(await self._answer_duplicate(call, record))
                case Result(tag="ok", ok=CallRefused(reason=reason, detail=detail)):
                    refused = Refused(RefusalReason(reason), detail)
                    in_doubt = False
                case Result(tag="error", error=failure):
                    detail = (
                        f"{call.home}: {failure.detail}; this attempt was not run,"
                        " an earlier one with the same id is not known"
                    )
                    refused = Refused(RefusalReason.HOME_UNREACHABLE, detail)
                    in_doubt = failure.sent
                case _:
                    refused = Refused(RefusalReason.HOME_UNREACHABLE, call.home)
                    in_doubt = True
            if self._clock.now() >= retry_until or refused.reason not in (
                RefusalReason.NO_AUTHORITY,
                RefusalReason.HOME_UNREACHABLE,
            ):
                return Error(self._refused(call, refused))
            # The record may have been begun although the reply was lost. A generated id
            # is replaced, since no one else knows it. With a caller's id the next
            # attempt finds the record as sent, and the outcome is "unknown" rather than
            # a second run.
            if in_doubt and call.is_generated:
                call = self._with_new_id(call)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _takeover_timeout_s(self) -> float:
        return 5 * self._timing.authority_term_s

    def _with_new_id(self, call: RequestCall) -> RequestCall:
        request_id = frontend_http.generate_id(self._settings.failure_domain)
        return dataclasses.replace(
            call,
            request_id=request_id,
            record_id=frontend_http.record_id_of(request_id, call.team),
        )

    async def _answer_duplicate(
        self, call: RequestCall, record: RequestRecordReply
    ) -> ServedRequest:
        """Respond from the record of an earlier attempt, waiting while it runs."""
        state = record.state
        while state == RequestState.SENT and self._clock.now() < call.deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
            reply = await self._calls.call(
                call.home,
                RequestQuery(request_id=call.record_id),
                self._timing.peer_call_timeout_s,
            )
            match reply:
                case Result(tag="ok", ok=RequestRecordReply() as updated):
                    record, state = updated, updated.state
                case _:
                    continue
        if state == RequestState.DONE:
            return ServedRequest(_response_from_record(record, call), Outcome.DONE)
        if state == RequestState.NOT_RUN:
            refused = Refused(RefusalReason.DUPLICATE_REQUEST, "was not run; try again")
            return self._refused(call, refused)
        detail = "an earlier attempt with this id was sent and its outcome is not known"
        return self._unknown(call, RefusalReason.DUPLICATE_REQUEST.value, detail)

    async def _finish(
        self, call: RequestCall, attempt: int, served: ServedRequest
    ) -> None:
        answer = None
        digest = ""
        if served.outcome is Outcome.DONE:
            digest = hashlib.sha256(served.response.body).hexdigest()
            answer = _encode_answer(served.response)
            if len(answer) > self._settings.limits.max_record_answer_bytes:
                answer = None
        message = RecordFinish(
            request_id=call.record_id,
            outcome=served.outcome.value,
            answer=answer,
            answer_digest=digest,
            attempt=attempt,
        )
        for _ in range(FINISH_ATTEMPTS):
            reply = await self._calls.call(
                call.home, message, self._timing.peer_call_timeout_s
            )
            if reply.is_ok() and isinstance(reply.ok, RequestRecordReply):
                return
            await asyncio.sleep(FINISH_INTERVAL_S)
        _LOG.warning(
            "could not store a request's outcome; its record stays open",
            request=call.request_id,
        )

    # Slot and upstream

    async def _run(self, call: RequestCall) -> ServedRequest:
        attempts = 0
        accepted_at = self._clock.now()
        maybe_run = False
        excluded: tuple[str, ...] = ()
        while True:
            found = await self._slots.find(call, excluded)
            if found.is_error():
                if maybe_run:
                    return self._unknown(call, found.error.reason, found.error.detail)
                return self._refused(call, found.error)
            domain, grant = found.ok
            self._observe_wait(call, accepted_at, attempts)
            attempts += 1
            result = await self._send(call, domain, grant)
            if result.is_ok():
                return ServedRequest(self._answer(call, result.ok), Outcome.DONE)
            failure = result.error
            maybe_run |= failure.sent
            retry_at = next_retry_at(
                self._retries,
                self._budget,
                FailedAttempt(call.idempotent, not failure.sent, attempts),
                self._clock.now(),
                call.deadline,
                self._random,
            )
            if retry_at is None:
                return self._failed(call, failure, maybe_run)
            excluded = (*excluded, grant.upstream_id)
            await asyncio.sleep(max(0.0, retry_at - self._clock.now()))

    async def _send(
        self, call: RequestCall, domain: str, grant: SlotGrantInfo
    ) -> Result[HttpResponse, HttpFailure]:
        sent_at = self._clock.wall()
        outcome = Outcome.UNKNOWN
        try:
            if sent_at >= grant.start_by_wall:
                outcome = Outcome.NOT_RUN
                return Error(_expired_grant(grant))
            result = await self._upstreams.send(
                grant.address,
                call.request_id,
                call.body,
                path=f"/{call.queue}",
                content_type=call.content_type,
                start_by_wall=grant.start_by_wall,
                send_within_s=grant.start_by_wall - sent_at,
                idempotent=call.idempotent,
                timeout_s=min(
                    grant.deadline_wall - sent_at, call.deadline - self._clock.now()
                ),
            )
            if result.is_ok():
                outcome = Outcome.DONE
            elif not result.error.sent:
                outcome = Outcome.NOT_RUN
            return result
        finally:
            release = SlotRelease(
                grant_id=grant.grant_id,
                outcome=outcome.value,
                sent_at_wall=None if outcome is Outcome.NOT_RUN else sent_at,
                ended_at_wall=self._clock.wall(),
            )
            self._calls.send(domain, release)

    # Answers

    def _answer(self, call: RequestCall, response: HttpResponse) -> HttpResponse:
        content_type = response.header("content-type") or "application/octet-stream"
        answer = StoredAnswer(response.status, content_type, response.body)
        return frontend_http.done(answer, call.request_id)

    def _failed(
        self, call: RequestCall, failure: HttpFailure, maybe_run: bool
    ) -> ServedRequest:
        detail = f"{failure.kind.value}: {failure.detail}"
        if maybe_run:
            return self._unknown(call, "upstream-failed", detail)
        return self._refused(call, Refused(RefusalReason.NO_CAPACITY, detail))

    def _refused(self, call: RequestCall, refused: Refused) -> ServedRequest:
        response = frontend_http.refuse(refused, call.request_id)
        return ServedRequest(response, Outcome.NOT_RUN)

    def _unknown(self, call: RequestCall, reason: str, detail: str) -> ServedRequest:
        response = frontend_http.unknown(reason, detail, call.request_id)
        _LOG.warning(
            "request outcome is unknown", request=call.request_id, detail=detail
        )
        return ServedRequest(response, Outcome.UNKNOWN)

    def _observe_wait(
        self, call: RequestCall, accepted_at: float, attempts: int
    ) -> None:
        if attempts == 0:
            self._metrics.request_wait_s.labels(call.team, call.urgency.value).observe(
                self._clock.now() - accepted_at
            )


def _encode_answer(response: HttpResponse) -> bytes:
    content_type = response.header("content-type") or ""
    return msgspec.msgpack.encode(
        StoredAnswer(response.status, content_type, response.body)
    )


def _response_from_record(
    record: RequestRecordReply, call: RequestCall
) -> HttpResponse:
    if record.answer is None:
        return frontend_http.done_without_answer(record.answer_digest, call.request_id)
    answer = msgspec.msgpack.decode(record.answer, type=StoredAnswer)
    return frontend_http.done(answer, call.request_id)


def _expired_grant(grant: SlotGrantInfo) -> HttpFailure:
    detail = f"the grant {grant.grant_id} had to be used earlier"
    return HttpFailure(HttpFailureKind.TIMEOUT, False, detail)
