"""Calls between entry VMs.

One asks the advice service on behalf of the holder, or stores and looks up what a VM
cannot that the store turns away.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from expression import Result

from briarrun_cell.accepting import WriteOutcome
from briarrun_cell.advice import AdviceProxy
from briarrun_cell.front import Front
from briarrun_cell.logs import PartLog
from briarrun_cell.model import JobState, StepId
from briarrun_cell.nodes import EntryVm
from briarrun_cell.ports import AdviceAnswer, AdviceUnavailable, Advisor, Record
from briarrun_cell.relay import PeerFronts, PeerUnavailable
from briarrun_wire.http_client import HttpPool
from briarrun_wire.http_server import HttpHandler
from briarrun_wire.http_types import HttpFailure, HttpRequest, HttpResponse

_LOG = PartLog("front")

RELAYED_PATIENCE_S = 0.0
"""Time for which a peer's write that the store refused is tried again."""

ADVISE_PATH = "/v1/advise"
WRITE_PATH = "/v1/write"
STATE_PATH = "/v1/state"


class AdviseCall(msgspec.Struct, frozen=True, kw_only=True):
    """Ask a peer to ask the advice service."""

    job_id: str
    occurrence: int
    step: int
    worker_ids: list[str]
    timeout_s: float


class AdviseAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the advice service's answer."""

    tickets_by_worker: dict[str, str]
    validity_s: float


class WriteCall(msgspec.Struct, frozen=True, kw_only=True):
    """Ask a peer to store a record."""

    key: str
    value: bytes


class WriteAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what became of the record."""

    outcome: WriteOutcome


class StateCall(msgspec.Struct, frozen=True, kw_only=True):
    """Ask a peer about a job."""

    job_id: str


class StateAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a job's state; None if the peer does not know it."""

    state: JobState | None


class PeerHandler(HttpHandler):
    """Answer the calls of other VMs."""

    def __init__(self, advisor: Advisor, front: Front) -> None:
        self._advisor = advisor
        self._front = front

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to one call; 400 if it cannot be decoded."""
        answers = {
            ADVISE_PATH: self._advise,
            WRITE_PATH: self._write,
            STATE_PATH: self._state,
        }
        answer = answers.get(request.path)
        if answer is None or request.method != "POST":
            return HttpResponse.of_error(404, "not-found", "no such call")
        try:
            return await answer(request.body)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return HttpResponse.of_error(400, "invalid-request", str(error))

    async def _write(self, body: bytes) -> HttpResponse:
        call = msgspec.json.decode(body, type=WriteCall)
        outcome = await self._front.write_here(
            Record(call.key, call.value), RELAYED_PATIENCE_S
        )
        return HttpResponse.of_json(200, WriteAnswer(outcome=outcome))

    async def _state(self, body: bytes) -> HttpResponse:
        call = msgspec.json.decode(body, type=StateCall)
        state = await self._front.state_here(call.job_id)
        return HttpResponse.of_json(200, StateAnswer(state=state))

    async def _advise(self, body: bytes) -> HttpResponse:
        """Return the advice, or 502 if the service has no answer."""
        call = msgspec.json.decode(body, type=AdviseCall)
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
    """Ask through a peer, or directly if the VM is this one."""

    def __init__(self, own_vm: str, advisor: Advisor, pool: HttpPool) -> None:
        self._own_vm = own_vm
        self._advisor = advisor
        self._pool = pool

    async def ask_via(
        self, vm: EntryVm, step: StepId, worker_ids: Sequence[str], timeout_s: float
    ) -> AdviceAnswer:
        """Return the approved workers; raises ``AdviceUnavailable``."""
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
            self._pool.forget(vm.address)
            raise AdviceUnavailable(f"{vm.vm}: {result.error.detail}")
        response = result.ok
        if response.status != 200:
            raise AdviceUnavailable(f"{vm.vm}: status {response.status}")
        try:
            answer = msgspec.json.decode(response.body, type=AdviseAnswer)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise AdviceUnavailable(f"{vm.vm}: {error}") from error
        return AdviceAnswer(answer.tickets_by_worker, answer.validity_s)


class HttpPeerFronts(PeerFronts):
    """Call peers over HTTP."""

    def __init__(self, pool: HttpPool) -> None:
        self._pool = pool

    async def write(
        self, vm: EntryVm, record: Record, timeout_s: float
    ) -> WriteOutcome:
        """Let a peer store a record."""
        call = WriteCall(key=record.key, value=record.value or b"")
        result = await self._call(vm, WRITE_PATH, call, timeout_s)
        if result.is_error():
            sent = result.error.sent
            return WriteOutcome.UNKNOWN if sent else WriteOutcome.NOT_STORED
        try:
            return msgspec.json.decode(result.ok.body, type=WriteAnswer).outcome
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            _LOG.warning("a peer's answer is unreadable", via=vm.vm, detail=str(error))
            return WriteOutcome.UNKNOWN

    async def state(
        self, vm: EntryVm, job_id: str, timeout_s: float
    ) -> JobState | None:
        """Return a job's state, None if unknown; raises ``PeerUnavailable``."""
        result = await self._call(vm, STATE_PATH, StateCall(job_id=job_id), timeout_s)
        if result.is_error():
            raise PeerUnavailable(result.error.detail)
        try:
            return msgspec.json.decode(result.ok.body, type=StateAnswer).state
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise PeerUnavailable(str(error)) from error

    async def _call(
        self, vm: EntryVm, path: str, call: msgspec.Struct, timeout_s: float
    ) -> Result[HttpResponse, HttpFailure]:
        result = await self._pool.request(
            vm.address,
            "POST",
            path,
            body=msgspec.json.encode(call),
            idempotent=True,
            timeout_s=timeout_s,
        )
        if result.is_error():
            self._pool.forget(vm.address)
        return result
