"""Ask for admission advice through all entry VMs, the most urgent steps first.

The advice service serves one call at a time per calling VM, so the calls are spread
over the VMs. Slow calls never occupy all of them.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from briarrun_cell.advice_candidates import MAX_WORKERS, ApprovalRates
from briarrun_cell.clock import Clock
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.jobs import Step, Ticket
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import StepId
from briarrun_cell.planner import AdviceRequest
from briarrun_cell.ports import AdviceAnswer, AdviceUnavailable
from briarrun_cell.ranking import Rank
from briarrun_cell.workers import Worker

SLOW_CALL_S = 0.08
"""A call that takes longer than this is a slow one."""

FAST_FRACTION = 0.34
"""Part of the VMs that slow calls leave free."""

CALL_MARGIN_S = 0.6
"""Time beyond the expected one after which a call counts as lost."""

VM_PAUSE_S = 1.0
"""A VM whose call was lost is not asked again for this long."""

RETRY_S = 0.05
"""Pause before a step whose question was not answered is asked again."""

_LOG = ComponentLog("advice")


class AdviceProxy(ABC):
    """Ask the advice service from another entry VM."""

    @abstractmethod
    async def ask_via(
        self, vm: EntryVm, step: StepId, worker_ids: Sequence[str], timeout_s: float
    ) -> AdviceAnswer:
        """Return the approved workers; raises ``AdviceUnavailable``."""


@dataclass(slots=True)
class _Lane:
    """Hold the state of one VM as a caller of the service."""

    vm: EntryVm
    busy: int = 0
    slow: bool = False
    paused_until: float = 0.0
    failures: int = 0


@dataclass(slots=True, order=True)
class _Call:
    rank: Rank
    number: int
    step: Step = field(compare=False)
    workers: tuple[Worker, ...] = field(compare=False)
    expected_s: float = field(compare=False)


class AdviceDispatcher:
    """Queue questions and keep each step's tickets."""

    def __init__(
        self,
        clock: Clock,
        vms: Callable[[], list[EntryVm]],
        proxy: AdviceProxy,
        rates: ApprovalRates,
        changed: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._vms = vms
        self._proxy = proxy
        self._rates = rates
        self._changed = changed
        self._lanes_by_vm: dict[str, _Lane] = {}
        self._calls: list[_Call] = []
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None

    def ask(self, question: AdviceRequest) -> None:
        """Queue a question; the step's tickets change when it is answered."""
        step = question.step
        terms = step.job.queue.advice
        assert terms is not None
        workers = question.workers[:MAX_WORKERS]
        step.advice.asking = True
        self._number += 1
        self._calls.append(
            _Call(
                question.rank,
                self._number,
                step,
                workers,
                terms.call_s(len(workers)),
            )
        )
        self._serve()

    def close(self) -> None:
        """Drop every question."""
        self._calls.clear()
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    def _serve(self) -> None:
        """Hand waiting calls to VMs that are free."""
        self._calls.sort()
        lanes = self._refresh_lanes()
        left = []
        for call in self._calls:
            if call.step.job.final:
                call.step.advice.asking = False
                continue
            lane = self._free_lane(lanes, call.expected_s > SLOW_CALL_S)
            if lane is None:
                left.append(call)
                continue
            lane.busy += 1
            lane.slow = call.expected_s > SLOW_CALL_S
            task = asyncio.get_running_loop().create_task(self._run(lane, call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._calls = left
        if left and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RETRY_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._serve()

    def _refresh_lanes(self) -> list[_Lane]:
        vms = self._vms()
        for vm in vms:
            lane = self._lanes_by_vm.get(vm.vm)
            if lane is None or lane.vm != vm:
                self._lanes_by_vm[vm.vm] = _Lane(vm)
        return [self._lanes_by_vm[vm.vm] for vm in vms]

    def _free_lane(self, lanes: list[_Lane], slow: bool) -> _Lane | None:
        now = self._clock.now()
        alive = [lane for lane in lanes if now >= lane.paused_until]
        if slow:
            busy = sum(1 for lane in alive if lane.busy and lane.slow)
            if busy >= max(1, len(alive) - max(1, int(len(alive) * FAST_FRACTION))):
                return None
        free = [lane for lane in alive if not lane.busy]
        if not free:
            return None
        if slow:
            # Fast calls prefer the front of the list, where the holder itself is.
            return max(free, key=lanes.index)
        return min(free, key=lambda lane: (lane.failures, lanes.index(lane)))

    async def _run(self, lane: _Lane, call: _Call) -> None:
        step = call.step
        asked_at = self._clock.now()
        try:
            answer = await self._proxy.ask_via(
                lane.vm,
                step.step_id,
                [worker.worker_id for worker in call.workers],
                call.expected_s + CALL_MARGIN_S,
            )
            lane.failures = 0
            self._store(step, call.workers, answer)
            _LOG.info(
                "a question was answered",
                job=step.job.job_id,
                step=step.step_id.step,
                via=lane.vm.vm,
                asked=len(call.workers),
                approved=len(answer.tickets_by_worker),
                expected_ms=int(call.expected_s * 1000),
                took_ms=int((self._clock.now() - asked_at) * 1000),
            )
        except AdviceUnavailable as error:
            lane.failures += 1
            lane.paused_until = self._clock.now() + VM_PAUSE_S
            step.advice.retry_at = self._clock.now() + RETRY_S
            _LOG.warning(
                "a question was not answered",
                job=step.job.job_id,
                step=step.step_id.step,
                via=lane.vm.vm,
                asked=len(call.workers),
                expected_ms=int(call.expected_s * 1000),
                took_ms=int((self._clock.now() - asked_at) * 1000),
                detail=str(error),
            )
        finally:
            lane.busy -= 1
            step.advice.asking = False
        self._changed()
        self._serve()

    def _store(
        self, step: Step, workers: tuple[Worker, ...], answer: AdviceAnswer
    ) -> None:
        now = self._clock.now()
        advice = step.advice
        self._learn(step, workers, answer)
        for worker in workers:
            ticket = answer.tickets_by_worker.get(worker.worker_id)
            if ticket is None:
                advice.tickets_by_worker.pop(worker.incarnation_id, None)
            else:
                advice.tickets_by_worker[worker.incarnation_id] = Ticket(
                    ticket, now + answer.validity_s
                )
        advice.asked = advice.asked | {worker.incarnation_id for worker in workers}
        advice.known = True

    def _learn(
        self, step: Step, workers: tuple[Worker, ...], answer: AdviceAnswer
    ) -> None:
        """Count the workers that this step had not asked about before."""
        first = [
            each for each in workers if each.incarnation_id not in step.advice.asked
        ]
        approved = sum(each.worker_id in answer.tickets_by_worker for each in first)
        self._rates.note(step.job.queue.name, len(first), approved)
