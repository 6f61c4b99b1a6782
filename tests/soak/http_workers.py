"""Workers and the advice service of a cell over HTTP."""

from __future__ import annotations

from typing import Any

import msgspec

from briarrun_cell.model import Inventory, StepId, WorkerEntry
from briarrun_cell.ports import OrderOutcome, StartOrder, WorkerAnswer
from briarrun_platform import wire
from briarrun_wire.http_server import CloseConnection, HttpHandler
from briarrun_wire.http_types import HttpRequest, HttpResponse
from tools.emulator.cell.fleet import FakeAdvisor, Fleet

SILENCE_S = 5.0
"""Time after which a connection without an answer is closed."""

STATUS_BY_OUTCOME = {
    OrderOutcome.DONE: 200,
    OrderOutcome.REJECTED: 400,
    OrderOutcome.WRONG_INCARNATION: 421,
    OrderOutcome.BUSY: 503,
}

REASON_BY_OUTCOME = {
    OrderOutcome.FENCED: "fence",
    OrderOutcome.SUPERSEDED: "old",
    OrderOutcome.EXPIRED: "late",
    OrderOutcome.NO_CAPACITY: "room",
    OrderOutcome.BAD_TICKET: "ticket",
}

WORD_BY_END_KIND = {kind: word for word, kind in wire.END_KIND_BY_NAME.items()}


class WorkerHandler(HttpHandler):
    """Serve the worker that stands at one address of a fleet."""

    def __init__(self, fleet: Fleet, entry: WorkerEntry) -> None:
        self._fleet = fleet
        self.entry = entry

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to one order, or close the connection without one."""
        named = request.headers.get(wire.EXPECTED_INSTANCE_HEADER.lower(), "")
        if named != self.entry.worker_id:
            return HttpResponse(421)
        body = msgspec.json.decode(request.body)
        if request.path == wire.START_PATH:
            return _response(await self._start(body))
        if request.path == wire.STOP_PATH:
            return _response(
                await self._fleet.stop(
                    self.entry,
                    wire.parse_task(body["task"]),
                    body["run"],
                    body["fencingToken"],
                    SILENCE_S,
                )
            )
        if request.path == wire.INVENTORY_PATH:
            return _response(
                await self._fleet.answer_poll(
                    self.entry,
                    body["fencingToken"],
                    body["ackCursor"],
                    body.get("untilMs"),
                    body.get("waitMs", 0) / 1000,
                    SILENCE_S,
                )
            )
        return HttpResponse(404)

    async def _start(self, body: dict[str, Any]) -> WorkerAnswer:
        task = wire.parse_task(body["task"])
        spec = self._fleet.specs_by_id.get(task.job_id)
        if spec is not None and spec.payload != body["specification"]:
            self._fleet.report(f"{task} was started with another payload")
        order = StartOrder(
            task=task,
            run=body["run"],
            payload=body["specification"],
            lease_until_ms=body["untilMs"],
            token=body["fencingToken"],
            checkpoint=body.get("checkpoint", ""),
            ticket=body.get("ticket", ""),
        )
        return await self._fleet.start(self.entry, order, SILENCE_S)


class AdviceHandler(HttpHandler):
    """Serve the advice service to one VM."""

    def __init__(self, advisor: FakeAdvisor) -> None:
        self._advisor = advisor

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the approved workers with their tickets."""
        body = msgspec.json.decode(request.body)
        job_id, occurrence, step = body["step"].split(".")
        step_id = StepId(job_id, int(occurrence), int(step))
        answer = await self._advisor.advise(step_id, body["workers"], SILENCE_S)
        rows = [list(row) for row in answer.tickets_by_worker.items()]
        validity_ms = answer.validity_s * 1000
        return HttpResponse.of_json(200, {"approved": rows, "validityMs": validity_ms})


def _response(answer: WorkerAnswer) -> HttpResponse:
    reason = REASON_BY_OUTCOME.get(answer.outcome)
    if reason is not None:
        return HttpResponse.of_json(
            409, {"clockMs": answer.clock_ms or 0, "reason": reason}
        )
    status = STATUS_BY_OUTCOME.get(answer.outcome)
    if status is None:
        raise CloseConnection
    if answer.inventory is None:
        return HttpResponse.of_json(status, {"clockMs": answer.clock_ms or 0})
    return HttpResponse.of_json(status, _inventory(answer.inventory))


def _inventory(inventory: Inventory) -> dict[str, Any]:
    return {
        "clockMs": inventory.clock_ms,
        "born": inventory.born_ms,
        "running": [
            [wire.task_name(run.task), run.run, run.checkpoint, run.percent, run.gauge]
            for run in inventory.running
        ],
        "finished": [
            [
                end.number,
                wire.task_name(end.task),
                end.run,
                WORD_BY_END_KIND[end.kind],
                end.checkpoint,
            ]
            for end in inventory.ended
        ],
    }
