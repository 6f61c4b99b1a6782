"""Dispatch of requests for admission advice.

The advice service processes one call at a time per calling VM, so calls are spread over
the entry VMs. A part of the VMs is reserved for fast calls.
"""

from __future__ import annotations

import asyncio
import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from briarrun_cell.clock import Clock
from briarrun_cell.decisions.advice_candidates import MAX_WORKERS, ApprovalRates
from briarrun_cell.decisions.advice_queue import Call, CallQueue, Request
from briarrun_cell.decisions.planner import AdviceRequest
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.jobs import Step, Ticket
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import AdviceTerms, StepId
from briarrun_cell.ports import AdviceAnswer, AdviceUnavailable
from briarrun_cell.workers import Worker

RESERVED_FOR_FAST_FRACTION = 0.34
"""Fraction of the VMs that is reserved for fast calls."""

CALL_MARGIN_S = 0.6
"""Time added to the expected duration of a call to get its timeout."""

VM_BACKOFF_S = 1.0
"""Time for which a VM is not used after a call through it failed."""

RETRY_S = 0.05
"""Pause before a failed request is repeated, and between retries of the dispatch."""

WORKERS_PER_PART = 20
"""Number of workers per call if a request is divided into parallel calls."""

VMS_PER_PART = 8
"""Number of VMs of the cell for each of the parallel calls, so that a small cell does
not use all its VMs for one request."""

MIN_SAVING_S = 0.05
"""Time saved by parallel calls below which a request is not divided."""

_LOG = ComponentLog("advice")


def divide(
    workers: tuple[Worker, ...], terms: AdviceTerms, vms: int
) -> list[tuple[Worker, ...]]:
    """Divide the workers of a request among parallel calls through several VMs.

    Load pattern: wide gangs on a large cell, whose requests name many workers. The
    service takes time for each worker, but answers each VM independently.
    """
    saving_s = terms.per_worker_s * (len(workers) - WORKERS_PER_PART)
    parts = min(math.ceil(len(workers) / WORKERS_PER_PART), vms // VMS_PER_PART)
    if parts <= 1 or saving_s < MIN_SAVING_S:
        return [workers]
    return [workers[start::parts] for start in range(parts)]


class AdviceProxy(ABC):
    """Client of the advice service that sends calls through a given entry VM."""

    @abstractmethod
    async def ask_via(
        self, vm: EntryVm, step: StepId, worker_ids: Sequence[str], timeout_s: float
    ) -> AdviceAnswer:
        """Return the approved workers.

        Raises ``AdviceUnavailable``.
        """


@dataclass(slots=True)
class _Channel:
    """State of one entry VM as a caller of the advice service."""

    vm: EntryVm
    busy: int = 0
    slow: bool = False
    paused_until: float = 0.0
    failures: int = 0


def _max_slow_calls(vms: int) -> int:
    """Return how many of the VMs may make slow calls at the same time."""
    return max(1, vms - max(1, int(vms * RESERVED_FOR_FAST_FRACTION)))


def _choose_channel(free: list[_Channel], slow: bool) -> _Channel:
    """Return the channel for a call: one through which no call failed, if possible.

    Fast calls prefer the start of the list, which is the holder's own VM, slow calls the
    end.
    """
    ordered = reversed(free) if slow else free
    return min(ordered, key=lambda channel: channel.failures)


class AdviceDispatcher:
    """Dispatches advice requests to VMs and stores the tickets in the steps."""

    def __init__(
        self,
        clock: Clock,
        vms: Callable[[], list[EntryVm]],
        proxy: AdviceProxy,
        rates: ApprovalRates,
        on_answer: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._vms = vms
        self._proxy = proxy
        self._rates = rates
        self._on_answer = on_answer
        self._channels_by_vm: dict[str, _Channel] = {}
        self._calls = CallQueue()
        self._last_number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None

    def enqueue(self, request: AdviceRequest) -> None:
        """Queue a request; its answer updates the tickets of the step."""
        step = request.step
        terms = step.job.queue.advice
        assert terms is not None
        workers = request.workers[:MAX_WORKERS]
        step.advice.request_in_flight = True
        parts = divide(workers, terms, len(self._vms()))
        open_request = Request(step, len(parts))
        for part in parts:
            self._last_number += 1
            self._calls.push(
                Call(
                    request.rank,
                    self._last_number,
                    open_request,
                    part,
                    terms.call_s(len(part)),
                    self._clock.now(),
                )
            )
        self._dispatch()

    def close(self) -> None:
        """Drop all queued requests and cancel calls in flight."""
        self._calls.clear()
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    def _dispatch(self) -> None:
        """Assign queued calls to free VMs, the highest rank first.

        Load pattern: a backlog of hundreds of steps on a cell with many VMs. A pass ends
        with the last free VM, so that its cost does not grow with the number of calls
        that have to wait.
        """
        now = self._clock.now()
        alive = [each for each in self._update_channels() if now >= each.paused_until]
        free = [channel for channel in alive if not channel.busy]
        slow_left = _max_slow_calls(len(alive)) - sum(
            1 for channel in alive if channel.busy and channel.slow
        )
        while free:
            call = self._calls.pop(now, slow_allowed=slow_left > 0)
            if call is None:
                break
            channel = _choose_channel(free, call.slow)
            free.remove(channel)
            slow_left -= call.slow
            channel.busy += 1
            channel.slow = call.slow
            task = asyncio.get_running_loop().create_task(self._run(channel, call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._calls and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RETRY_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._dispatch()

    def _update_channels(self) -> list[_Channel]:
        """Return the channels of all VMs, in the order of the VMs."""
        vms = self._vms()
        for vm in vms:
            channel = self._channels_by_vm.get(vm.vm)
            if channel is None or channel.vm != vm:
                self._channels_by_vm[vm.vm] = _Channel(vm)
        return [self._channels_by_vm[vm.vm] for vm in vms]

    async def _run(self, channel: _Channel, call: Call) -> None:
        step = call.request.step
        sent_at = self._clock.now()
        try:
            answer = await self._proxy.ask_via(
                channel.vm,
                step.step_id,
                [worker.worker_id for worker in call.workers],
                call.expected_s + CALL_MARGIN_S,
            )
            channel.failures = 0
            self._record_answer(step, call.workers, answer)
            _LOG.info(
                "advice request answered",
                job=step.job.job_id,
                step=step.step_id.step,
                via=channel.vm.vm,
                asked=len(call.workers),
                approved=len(answer.tickets_by_worker),
                expected_ms=int(call.expected_s * 1000),
                took_ms=int((self._clock.now() - sent_at) * 1000),
            )
        except AdviceUnavailable as error:
            channel.failures += 1
            channel.paused_until = self._clock.now() + VM_BACKOFF_S
            step.advice.retry_at = self._clock.now() + RETRY_S
            _LOG.warning(
                "advice request failed",
                job=step.job.job_id,
                step=step.step_id.step,
                via=channel.vm.vm,
                asked=len(call.workers),
                expected_ms=int(call.expected_s * 1000),
                took_ms=int((self._clock.now() - sent_at) * 1000),
                detail=str(error),
            )
        finally:
            channel.busy -= 1
            call.request.end_call()
        # A gang placed by a part of the answers would take the wrong workers or none.
        if not step.advice.request_in_flight:
            step.advice.answered = bool(step.advice.queried)
            self._on_answer()
        self._dispatch()

    def _record_answer(
        self, step: Step, workers: tuple[Worker, ...], answer: AdviceAnswer
    ) -> None:
        now = self._clock.now()
        advice = step.advice
        self._record_approvals(step, workers, answer)
        for worker in workers:
            ticket = answer.tickets_by_worker.get(worker.worker_id)
            if ticket is None:
                advice.tickets_by_worker.pop(worker.incarnation_id, None)
            else:
                advice.tickets_by_worker[worker.incarnation_id] = Ticket(
                    ticket, now + answer.validity_s
                )
        advice.queried = advice.queried | {worker.incarnation_id for worker in workers}

    def _record_approvals(
        self, step: Step, workers: tuple[Worker, ...], answer: AdviceAnswer
    ) -> None:
        """Update the approval rate with workers not queried for this step before."""
        first = [
            each for each in workers if each.incarnation_id not in step.advice.queried
        ]
        approved = sum(each.worker_id in answer.tickets_by_worker for each in first)
        self._rates.note(step.job.queue.name, len(first), approved)
