"""Calls between entry VMs: the holder requests advice through its peers."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from briarrun_cell.advice import AdviceProxy
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.model import StepId
from briarrun_cell.ports import AdviceAnswer, AdviceUnavailable, Advisor
from briarrun_wire.http_client import HttpPool
from briarrun_wire.http_server import HttpHandler
from briarrun_wire.http_types import HttpRequest, HttpResponse

ADVISE_PATH = "/v1/advise"


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


class PeerHandler(HttpHandler):
    """HTTP handler of the calls from the holder."""

    def __init__(self, advisor: Advisor) -> None:
        self._advisor = advisor

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the advice, or status 502 if the service is unavailable."""
        if (request.method, request.path) != ("POST", ADVISE_PATH):
            return HttpResponse.of_error(404, "not-found", "no such call")
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
