"""Calls between entry VMs: advice requests of the holder, and records for it to store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import msgspec

from briarrun_cell.advice import AdviceProxy
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import StepId
from briarrun_cell.ports import AdviceAnswer, AdviceUnavailable, Advisor, Record
from briarrun_cell.record_writer import WriteOutcome
from briarrun_cell.write_relay import RecordRelay
from briarrun_wire.http_client import HttpPool
from briarrun_wire.http_server import HttpHandler
from briarrun_wire.http_types import HttpRequest, HttpResponse

ADVISE_PATH = "/v1/advise"
RECORD_PATH = "/v1/record"

_LOG = ComponentLog("front")


class AdviseCall(msgspec.Struct, frozen=True, kw_only=True):
    """Request to a peer to call the advice service."""

    job_id: str
    occurrence: int
    step: int
    worker_ids: list[str]
    timeout_s: float


class AdviseAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of the advice service."""

    tickets_by_worker: dict[str, str]
    validity_s: float


class RecordCall(msgspec.Struct, frozen=True, kw_only=True):
    """Record of the job stream that a peer is to store."""

    key: str
    value: str


class RecordAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of the write."""

    outcome: WriteOutcome


class PeerHandler(HttpHandler):
    """HTTP handler of the calls from other VMs."""

    def __init__(
        self,
        advisor: Advisor,
        write_record: Callable[[Record], Awaitable[WriteOutcome]],
    ) -> None:
        self._advisor = advisor
        self._write_record = write_record

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a call; status 502 means that the advice service is unavailable."""
        match request.method, request.path:
            case "POST", path if path == ADVISE_PATH:
                return await self._advise(request)
            case "POST", path if path == RECORD_PATH:
                return await self._write(request)
        return HttpResponse.of_error(404, "not-found", "no such call")

    async def _write(self, request: HttpRequest) -> HttpResponse:
        try:
            call = msgspec.json.decode(request.body, type=RecordCall)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return HttpResponse.of_error(400, "invalid-request", str(error))
        outcome = await self._write_record(Record(call.key, call.value.encode()))
        return HttpResponse.of_json(200, RecordAnswer(outcome=outcome))

    async def _advise(self, request: HttpRequest) -> HttpResponse:
        try:
            call = msgspec.json.decode(request.body, type=AdviseCall)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return HttpResponse.of_error(400, "invalid-request", str(error))
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
            answer = msgspec.json.decode(response.body, type=AdviseAnswer)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise AdviceUnavailable(f"{vm.vm}: {error}") from error
        return AdviceAnswer(answer.tickets_by_worker, answer.validity_s)


class PeerRecordRelay(RecordRelay):
    """Sends records to the holder over HTTP."""

    def __init__(self, pool: HttpPool) -> None:
        self._pool = pool

    async def write_via(
        self, address: str, record: Record, *, send_within_s: float, timeout_s: float
    ) -> WriteOutcome:
        """Let the process at a peer address store a record."""
        assert record.value is not None
        call = RecordCall(key=record.key, value=record.value.decode())
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
            return WriteOutcome.UNKNOWN if sent else WriteOutcome.NOT_STORED
        response = result.ok
        if response.status in (400, 404):
            # A peer of another version does not know the call.
            return WriteOutcome.NOT_STORED
        if response.status != 200:
            return WriteOutcome.UNKNOWN
        try:
            return msgspec.json.decode(response.body, type=RecordAnswer).outcome
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            _LOG.warning("malformed answer to a relayed write", detail=str(error))
            return WriteOutcome.UNKNOWN
