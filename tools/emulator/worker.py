"""Stand-in for a worker, which checks leases but neither capacity nor duplicates."""

from __future__ import annotations

import argparse
import asyncio
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

import msgspec

from briarrun_adapters.worker import TaskStart
from briarrun_wire.http_types import HttpRequest, HttpResponse
from tools.emulator.base import StandIn, run_process

TICK_S = 0.01


@dataclass(slots=True)
class _Run:
    """Hold one start of a task; ``ends_at`` is true wall-clock time."""

    order: TaskStart
    lease_until: float
    started_at: float
    ends_at: float
    failing: bool
    state: str = "running"
    ended_at: float | None = None

    @property
    def is_running(self) -> bool:
        return self.state in ("running", "throttled")


class WorkerStandIn(StandIn):
    """Run tasks: command ``sleep S`` ends after S seconds, ``fail S`` fails after S.

    Any other command runs until it is stopped, for ``run_seconds`` if stated.
    """

    def __init__(
        self,
        name: str,
        cores: int = 64_000,
        memory_mib: int = 256 * 1024,
        accelerators: int = 0,
        rack: str = "r1",
    ) -> None:
        super().__init__(name)
        self.capacity = {
            "cores": cores,
            "memory_mib": memory_mib,
            "accelerators": accelerators,
        }
        self.rack = rack
        self.runs: list[_Run] = []
        self._ticker: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> str:
        """Listen and begin to end tasks when due."""
        if self._ticker is None:
            self._ticker = asyncio.get_running_loop().create_task(self._tick())
        return await super().start(port)

    def forget_work(self) -> None:
        """End all tasks and forget them."""
        for run in self.runs:
            self._end(run, "lost")
        self.runs = []

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answer the worker protocol."""
        parts = [unquote(part) for part in request.path.split("/")[1:]]
        match request.method, parts:
            case "POST", ["v1", "tasks"]:
                return self._start(request)
            case "POST", ["v1", "renew"]:
                return self._renew(request.json()["leases"])
            case "POST", ["v1", "tasks", task_id, action]:
                return self._act(task_id, action)
            case "GET", ["v1", "inventory"]:
                return self._inventory()
            case "POST", ["v1", "forget"]:
                ended = set(request.json()["tasks"])
                self.runs = [
                    r for r in self.runs if r.is_running or r.order.task_id not in ended
                ]
                return HttpResponse.of_json(200, {})
        return HttpResponse.of_error(404, "invalid-request", request.path)

    def _start(self, request: HttpRequest) -> HttpResponse:
        order = msgspec.json.decode(request.body, type=TaskStart)
        if order.lease_until <= self.wall():
            self.record("refused", task_id=order.task_id, reason="lapsed")
            return HttpResponse.of_error(409, "lapsed", "the lease has expired")
        if self.faults.fail_starts:
            self.record("refused", task_id=order.task_id, reason="failed")
            return HttpResponse.of_error(409, "failed", "the task failed to start")
        now = time.time()
        verb, _, seconds = order.command.partition(" ")
        duration = float("inf") if order.run_seconds is None else order.run_seconds
        if verb in ("sleep", "fail"):
            duration = float(seconds or 0)
        run = _Run(order, order.lease_until, now, now + duration, verb == "fail")
        self.runs.append(run)
        self.record("start", **self._identity(run), resources=self._held(run))
        return HttpResponse.of_json(200, {"state": "running"})

    def _renew(self, leases: list[dict[str, Any]]) -> HttpResponse:
        unknown = []
        for lease in leases:
            found = [
                run
                for run in self._running(lease["task_id"])
                if run.order.attempt == lease["attempt"]
            ]
            for run in found:
                run.lease_until = max(run.lease_until, lease["lease_until"])
            if not found:
                unknown.append(lease["task_id"])
        return HttpResponse.of_json(200, {"unknown": unknown})

    def _act(self, task_id: str, action: str) -> HttpResponse:
        states = {"stop": "stopped", "checkpoint": "checkpointed"}
        runs = self._running(task_id)
        if not runs:
            ended = [r.state for r in self.runs if r.order.task_id == task_id]
            if not ended:
                return HttpResponse.of_error(404, "unknown-task", task_id)
            return HttpResponse.of_json(200, {"state": ended[-1]})
        for run in runs:
            if action == "throttle":
                run.state = "throttled"
            else:
                self._end(run, states[action])
        return HttpResponse.of_json(200, {"state": runs[-1].state})

    def _inventory(self) -> HttpResponse:
        now = time.time()
        tasks = [
            {
                "task_id": run.order.task_id,
                "attempt": run.order.attempt,
                "state": run.state,
                "lease_until": run.lease_until,
                "usage": (
                    self._held(run)
                    if now - run.started_at >= self.faults.usage_lag_s
                    else {}
                ),
                "started_at": run.started_at,
                "ended_at": run.ended_at,
            }
            for run in self.runs
        ]
        inventory = {
            "taken_at": self.wall(),
            "capacity": self.capacity,
            "rack": self.rack,
            "draining": self.faults.draining,
            "tasks": tasks,
        }
        return HttpResponse.of_json(200, inventory)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for run in self.runs:
                if not run.is_running:
                    continue
                if run.lease_until <= self.wall():
                    self._end(run, "lapsed")
                elif run.ends_at <= time.time():
                    self._end(run, "failed" if run.failing else "done")

    def _end(self, run: _Run, state: str) -> None:
        if run.is_running:
            run.state = state
            run.ended_at = time.time()
            self.record("end", **self._identity(run), state=state)

    def _running(self, task_id: str) -> list[_Run]:
        return [r for r in self.runs if r.order.task_id == task_id and r.is_running]

    def _identity(self, run: _Run) -> dict[str, Any]:
        # `id(run)` tells apart two starts of the same attempt.
        return {
            "task_id": run.order.task_id,
            "attempt": run.order.attempt,
            "run": f"{self.name}:{id(run)}:{run.started_at}",
        }

    def _held(self, run: _Run) -> dict[str, int]:
        resources = run.order.resources
        return {
            "cores": resources.cores,
            "memory_mib": resources.memory_mib,
            "accelerators": resources.accelerators,
        }


if __name__ == "__main__":
    _parser = argparse.ArgumentParser(description=__doc__)
    _parser.add_argument("--cores", type=int, default=64_000)
    _parser.add_argument("--memory-mib", type=int, default=256 * 1024)
    _parser.add_argument("--accelerators", type=int, default=0)
    _parser.add_argument("--racks", type=int, default=2)
    run_process(
        _parser,
        lambda name, o: WorkerStandIn(
            name,
            o.cores,
            o.memory_mib,
            o.accelerators,
            f"r{sum(name.encode()) % o.racks + 1}",
        ),
    )
