"""Calls between entry VMs: advice for the holder, records to store, states of jobs."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Annotated, TypeVar

import msgspec

from briarrun_cell.advice import AdviceProxy
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.job_view import (
    CONNECT_TIMEOUT_S,
    CountAnswer,
    JobAnswer,
    JobView,
    PeerUnavailable,
    ReplicaClient,
)
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import JobState, StepId
from briarrun_cell.ports import AdviceAnswer, AdviceUnavailable, Advisor, Record
from briarrun_cell.record_writer import WriteOutcome, WriteResult
from briarrun_cell.records import check_key
from briarrun_cell.write_relay import RecordRelay
from briarrun_wire.decode import (
    Amount,
    DecodeError,
    DurationS,
    Int64,
    Unsigned,
    decode_json,
)
from briarrun_wire.http_client import HttpPool
from briarrun_wire.http_server import HttpHandler
from briarrun_wire.http_types import HttpRequest, HttpResponse

ADVISE_PATH = "/v1/advise"
RECORD_PATH = "/v1/record"
STATE_PATH = "/v1/state"
WAITING_PATH = "/v1/waiting"

MAX_CALL_S = 600.0
"""Maximum timeout that a peer may name."""

DEFAULT_SETTLE_S = 0.9
"""Time to settle a write of a peer of an earlier version, which waits for 1 s."""

MAX_RETRY_AFTER_S = 60
"""Maximum time to retry that a peer may name."""

RELAY_MARGIN_S = 0.05
"""Time that a peer leaves for its answer on the way to the VM that relayed a write."""

_Answer = TypeVar("_Answer")

_LOG = ComponentLog("front")


class AdviseCall(msgspec.Struct, frozen=True, kw_only=True):
    """Request to a peer to call the advice service."""

    job_id: str
    occurrence: Amount
    step: Amount
    worker_ids: list[str]
    timeout_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_CALL_S)]


class AdviseAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of the advice service."""

    tickets_by_worker: dict[str, str]
    validity_s: DurationS


class RecordCall(msgspec.Struct, frozen=True, kw_only=True):
    """Record of the job stream that a peer is to store.

    ``settle_s`` is the time within which the sender needs the outcome, ``priority`` that
    of the job's queue. Earlier versions send neither.
    """

    key: str
    value: str
    settle_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_CALL_S)] = DEFAULT_SETTLE_S
    priority: Int64 = 0


class RecordAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Outcome of the write; see ``WriteResult``.

    A peer of an earlier version does not refuse, and takes a refusal for no answer.
    """

    outcome: WriteOutcome
    retry_after_s: Annotated[int, msgspec.Meta(ge=0, le=MAX_RETRY_AFTER_S)] | None = (
        None
    )
    reason: str = ""


class StateCall(msgspec.Struct, frozen=True, kw_only=True):
    """Question for the state of a job; ``confirmed`` is unknown to earlier versions."""

    job_id: str
    wait_for_outcome: bool
    confirmed: bool = False


class StateAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """State of a job; see ``JobAnswer``."""

    state: JobState | None
    current: bool


class WaitingCall(msgspec.Struct, frozen=True, kw_only=True):
    """Question for the number of waiting jobs of a queue."""

    queue: str


class WaitingAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Number of waiting jobs; see ``CountAnswer``."""

    waiting: Unsigned
    current: bool


class PeerHandler(HttpHandler):
    """HTTP handler of the calls from other VMs."""

    def __init__(
        self,
        advisor: Advisor,
        write_record: Callable[[Record, float, int], Awaitable[WriteResult]],
        view: JobView,
    ) -> None:
        self._advisor = advisor
        self._write_record = write_record
        self._view = view

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a call; status 502 means that the advice service is unavailable."""
        handle = {
            ADVISE_PATH: self._advise,
            RECORD_PATH: self._write,
            STATE_PATH: self._state,
            WAITING_PATH: self._waiting,
        }.get(request.path)
        if request.method != "POST" or handle is None:
            return HttpResponse.of_error(404, "not-found", "no such call")
        try:
            return await handle(request.body)
        except DecodeError as error:
            return HttpResponse.of_error(400, "invalid-request", str(error))

    async def _write(self, body: bytes) -> HttpResponse:
        call = decode_json(body, RecordCall)
        record = Record(call.key, call.value.encode())
        check_key(record.key)
        result = await self._write_record(record, call.settle_s, call.priority)
        answer = RecordAnswer(
            outcome=result.outcome,
            retry_after_s=result.retry_after_s,
            reason=result.reason,
        )
        return HttpResponse.of_json(200, answer)

    async def _state(self, body: bytes) -> HttpResponse:
        call = decode_json(body, StateCall)
        if call.confirmed:
            answer = await self._view.confirmed_state(call.job_id)
        else:
            answer = await self._view.state(
                call.job_id, wait_for_outcome=call.wait_for_outcome
            )
        return HttpResponse.of_json(
            200, StateAnswer(state=answer.state, current=answer.current)
        )

    async def _waiting(self, body: bytes) -> HttpResponse:
        call = decode_json(body, WaitingCall)
        answer = await self._view.count_waiting(call.queue)
        return HttpResponse.of_json(
            200, WaitingAnswer(waiting=answer.waiting, current=answer.current)
        )

    async def _advise(self, body: bytes) -> HttpResponse:
        call = decode_json(body, AdviseCall)
        step = StepId(call.job_id, call.occurrence, call.step)
        try:
            answer = await self._advisor.advise(step, call.worker_ids, call.timeout_s)
        except AdviceUnavailable as error:
            return HttpResponse.of_error(502, "advice-unavailable", str(error))
        return HttpResponse.of_json(
            200,
            AdviseAnswer(
                tickets_by_worker=answer.tickets_by_worker,
                validity_s=answer.validity_s,
            ),
        )


class PeerAdviceProxy(AdviceProxy):
    """Calls the advice service through a peer, or directly on this VM."""

    def __init__(self, own_vm: str, advisor: Advisor, pool: HttpPool) -> None:
        self._own_vm = own_vm
        self._advisor = advisor
        self._pool = pool

    async def ask_via(
        self, vm: EntryVm, step: StepId, worker_ids: Sequence[str], timeout_s: float
    ) -> AdviceAnswer:
        """Return the approved workers.

        Raises ``AdviceUnavailable``.
        """
        if vm.vm == self._own_vm:
            return await self._advisor.advise(step, worker_ids, timeout_s)
        call = AdviseCall(
            job_id=step.job_id,
            occurrence=step.occurrence,
            step=step.step,
            worker_ids=list(worker_ids),
            timeout_s=timeout_s,
        )
        result = await self._pool.request(
            vm.address,
            "POST",
            ADVISE_PATH,
            body=msgspec.json.encode(call),
            idempotent=True,
            timeout_s=timeout_s,
        )
        if result.is_error():
            self._pool.close_idle_connections(vm.address)
            raise AdviceUnavailable(f"{vm.vm}: {result.error.detail}")
        response = result.ok
        if response.status != 200:
            raise AdviceUnavailable(f"{vm.vm}: status {response.status}")
        try:
            answer = decode_json(response.body, AdviseAnswer)
        except DecodeError as error:
            raise AdviceUnavailable(f"{vm.vm}: {error}") from error
        return AdviceAnswer(answer.tickets_by_worker, answer.validity_s)


class PeerRecordRelay(RecordRelay):
    """Sends records to the holder over HTTP."""

    def __init__(self, pool: HttpPool) -> None:
        self._pool = pool

    async def write_via(
        self,
        address: str,
        record: Record,
        *,
        send_within_s: float,
        timeout_s: float,
        priority: int = 0,
    ) -> WriteResult:
        """Let the process at a peer address store a record."""
        assert record.value is not None
        call = RecordCall(
            key=record.key,
            value=record.value.decode(),
            settle_s=max(0.0, timeout_s - RELAY_MARGIN_S),
            priority=priority,
        )
        result = await self._pool.request(
            address,
            "POST",
            RECORD_PATH,
            body=msgspec.json.encode(call),
            idempotent=True,
            timeout_s=timeout_s,
            send_within_s=send_within_s,
        )
        if result.is_error():
            self._pool.close_idle_connections(address)
            _LOG.warning(
                "relayed write failed", key=record.key, detail=result.error.detail
            )
            sent = result.error.sent
            return WriteResult(
                WriteOutcome.UNKNOWN if sent else WriteOutcome.NOT_STORED
            )
        response = result.ok
        if response.status in (400, 404, 413):
            # A peer of another version does not know the call, or the size.
            return WriteResult(WriteOutcome.NOT_STORED)
        if response.status != 200:
            return WriteResult(WriteOutcome.UNKNOWN)
        try:
            answer = decode_json(response.body, RecordAnswer)
        except DecodeError as error:
            _LOG.warning("malformed answer to a relayed write", detail=str(error))
            return WriteResult(WriteOutcome.UNKNOWN)
        return WriteResult(answer.outcome, answer.retry_after_s, answer.reason)


class PeerReplicaClient(ReplicaClient):
    """Asks replicas over HTTP."""

    def __init__(self, pool: HttpPool) -> None:
        self._pool = pool

    async def state_at(
        self, vm: EntryVm, job_id: str, wait_for_outcome: bool, timeout_s: float
    ) -> JobAnswer:
        """Return the state of a job as a replica knows it."""
        call = StateCall(job_id=job_id, wait_for_outcome=wait_for_outcome)
        return await self._ask_state(vm, call, timeout_s)

    async def confirmed_state_at(
        self, vm: EntryVm, job_id: str, timeout_s: float
    ) -> JobAnswer:
        """Return the state of a job; a replica reads all that is stored first."""
        call = StateCall(job_id=job_id, wait_for_outcome=False, confirmed=True)
        return await self._ask_state(vm, call, timeout_s)

    async def _ask_state(
        self, vm: EntryVm, call: StateCall, timeout_s: float
    ) -> JobAnswer:
        body = await self._ask(vm, STATE_PATH, msgspec.json.encode(call), timeout_s)
        answer = _decode_answer(body, StateAnswer)
        return JobAnswer(answer.state, answer.current)

    async def count_at(self, vm: EntryVm, queue: str, timeout_s: float) -> CountAnswer:
        """Return the number of waiting jobs of a queue as a replica knows it."""
        call = WaitingCall(queue=queue)
        body = await self._ask(vm, WAITING_PATH, msgspec.json.encode(call), timeout_s)
        answer = _decode_answer(body, WaitingAnswer)
        return CountAnswer(answer.waiting, answer.current)

    async def _ask(
        self, vm: EntryVm, path: str, body: bytes, timeout_s: float
    ) -> bytes:
        result = await self._pool.request(
            vm.address,
            "POST",
            path,
            body=body,
            idempotent=True,
            timeout_s=timeout_s,
            send_within_s=CONNECT_TIMEOUT_S,
        )
        if result.is_error():
            self._pool.close_idle_connections(vm.address)
            raise PeerUnavailable(result.error.detail)
        if result.ok.status != 200:
            raise PeerUnavailable(f"status {result.ok.status}")
        return result.ok.body


def _decode_answer(body: bytes, kind: type[_Answer]) -> _Answer:
    try:
        return decode_json(body, kind)
    except DecodeError as error:
        raise PeerUnavailable(f"malformed answer: {error}") from error
