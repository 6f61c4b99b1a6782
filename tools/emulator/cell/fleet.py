"""Workers that run tasks under leases and note every broken promise."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from briarrun_cell.model import (
    EndKind,
    EndReport,
    Inventory,
    JobSpec,
    RunReport,
    StepId,
    TaskId,
    WorkerEntry,
)
from briarrun_cell.ports import (
    AdviceAnswer,
    Advisor,
    OrderOutcome,
    StartOrder,
    WorkerAnswer,
    Workers,
)
from briarrun_core.resources import NOTHING, Resources
from tools.emulator.cell.run_history import RunEnd, RunHistory

GANG_WAIT_S = 3.0
STOP_S = 0.3
ORDER_LATENCY_S = 0.002
MAX_LISTED_ENDS = 500

EVACUATION_S = 5.0
"""Time from the request of an evacuation after which no task may start there."""

FRESH_CLOCK_S = 0.5
"""Time on the clock of a process that has just started again."""


@dataclass
class WorkerFaults:
    """Switch faults of one worker; shares are probabilities.

    A lost answer hides a call that is carried out at once. A late call has no answer
    and is carried out ``late_s`` later, by the life that then listens. A cut is silent
    unless ``cut_refuses`` connections.
    """

    cut: bool = False
    cut_refuses: bool = False
    late_orders: float = 0.0
    late_polls: float = 0.0
    late_s: float = 3.0
    lost_starts: float = 0.0
    lost_stops: float = 0.0
    lost_polls: float = 0.0
    fails_all: bool = False
    hangs: bool = False
    slow_factor: float = 1.0


@dataclass(eq=False)
class _Run:
    task: TaskId
    number: int
    need: Resources
    began_at: float
    run_s: float
    saved_s: float = 0.0
    timer: asyncio.TimerHandle | None = None
    stopping: bool = False


@dataclass(eq=False)
class FakeWorker:
    """Hold one life of a worker.

    Once it is ``dead``, its address ``refuses`` connections or does not answer. Calls
    under way at the end hang until their timeout, unless it ``breaks_calls``.
    ``lapses`` counts the leases that have lapsed.
    """

    entry: WorkerEntry
    clock_rate: float = 1.0
    clock_start_s: float = 500.0
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    dead: bool = False
    refuses: bool = False
    breaks_calls: bool = False
    token: int = 0
    lease_ms: int = 0
    lapses: int = 0
    runs_by_id: dict[tuple[TaskId, int], _Run] = field(default_factory=dict)
    ended: list[EndReport] = field(default_factory=list)
    highest_by_task: dict[TaskId, int] = field(default_factory=dict)
    count: int = 0
    born_at: float = 0.0
    news: asyncio.Event = field(default_factory=asyncio.Event)
    lease_timer: asyncio.TimerHandle | None = None
    unacknowledged_by_number: dict[int, RunEnd] = field(default_factory=dict)

    @property
    def life(self) -> str:
        """Name of this life of the worker."""
        return f"{self.entry.worker_id}@{self.entry.born_ms}"


class Fleet(Workers):
    """Run tasks; ``violations`` lists every broken promise with its time.

    An order takes up to ``max_order_delay_s`` to its worker, so that polls overtake it.
    ``evacuated_from`` holds, by failure domain, the time from which no task may start
    there; ``starts_by_domain`` counts the starts. A stop saves the progress of steps
    that save it; ``lost_core_s`` is the work of runs that ended otherwise without being
    done.
    """

    def __init__(self, rng: random.Random, max_lease_s: float = 6.0) -> None:
        self.rng = rng
        self.max_lease_s = max_lease_s
        self.workers_by_address: dict[str, FakeWorker] = {}
        self.specs_by_id: dict[str, JobSpec] = {}
        self.poison: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.run_s_by_job: dict[str, float] = {}
        self.limits_by_customer: dict[str, Resources] = {}
        self.violations: list[str] = []
        self.history = RunHistory(self.report)
        self.done_noted: set[TaskId] = set()
        self.done: set[TaskId] = set()
        self.starts = 0
        self.starts_by_domain: Counter[str] = Counter()
        self.evacuated_from: dict[str, float] = {}
        self.stops = 0
        self.first_start_by_job: dict[str, float] = {}
        self.looks = 0
        self.max_order_delay_s = 0.0
        self.lost_core_s = 0.0
        self._connected_by_address: dict[str, FakeWorker] = {}

    def now(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def add(self, entry: WorkerEntry, **fields: object) -> FakeWorker:
        """Start a worker."""
        worker = FakeWorker(entry, born_at=self.now(), **fields)  # type: ignore[arg-type]
        self.workers_by_address[entry.address] = worker
        return worker

    def crash(
        self, worker: FakeWorker, refuses: bool = False, breaks_calls: bool = False
    ) -> None:
        """End a worker's life; nothing of it runs on."""
        if worker.dead:
            return
        worker.dead = True
        worker.refuses = refuses
        worker.breaks_calls = breaks_calls
        for run in worker.runs_by_id.values():
            if run.timer is not None:
                run.timer.cancel()
            self._lose(run)
        worker.runs_by_id.clear()
        worker.ended.clear()
        worker.unacknowledged_by_number.clear()
        worker.news.set()

    def rebirth(
        self,
        worker: FakeWorker,
        faults: WorkerFaults | None = None,
        **entry_fields: object,
    ) -> FakeWorker:
        """Start the next life of a worker under the same id.

        ``entry_fields`` change its entry, e.g. its address.
        """
        self.crash(worker)
        born_ms = worker.entry.born_ms + 1
        entry = replace(worker.entry, born_ms=born_ms, **entry_fields)  # type: ignore[arg-type]
        return self.add(
            entry, clock_start_s=FRESH_CLOCK_S, faults=faults or WorkerFaults()
        )

    def report(self, text: str) -> None:
        """Note a broken promise."""
        self.violations.append(f"{self.now():.3f}: {text}")

    def _clock_ms(self, worker: FakeWorker) -> int:
        elapsed_s = (self.now() - worker.born_at) * worker.clock_rate
        return int((worker.clock_start_s + elapsed_s) * 1000)

    # Orders

    async def start(
        self, worker: WorkerEntry, order: StartOrder, timeout_s: float
    ) -> WorkerAnswer:
        """Start a run."""
        return await self._order(
            worker,
            lambda found: self._start(found, order),
            lambda faults: faults.lost_starts,
            timeout_s,
        )

    async def stop(
        self, worker: WorkerEntry, task: TaskId, run: int, token: int, timeout_s: float
    ) -> WorkerAnswer:
        """Stop a run."""
        self.stops += 1
        return await self._order(
            worker,
            lambda found: self._stop(found, task, run, token),
            lambda faults: faults.lost_stops,
            timeout_s,
        )

    async def _order(
        self,
        worker: WorkerEntry,
        call: Callable[[FakeWorker], OrderOutcome],
        lost: Callable[[WorkerFaults], float],
        timeout_s: float,
    ) -> WorkerAnswer:
        if self.max_order_delay_s:
            await asyncio.sleep(self.rng.uniform(0.0, self.max_order_delay_s))
        found = await self._reach(worker, timeout_s)
        if isinstance(found, WorkerAnswer):
            return found
        if self.rng.random() < found.faults.late_orders:
            return await self._carry_out_late(found, call, timeout_s)
        outcome = call(found)
        if self._happens(lost(found.faults)):
            await asyncio.sleep(timeout_s)
            return WorkerAnswer(OrderOutcome.UNKNOWN)
        return WorkerAnswer(outcome, clock_ms=self._clock_ms(found))

    async def poll(
        self,
        worker: WorkerEntry,
        token: int,
        acknowledged: int | None,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> WorkerAnswer:
        """Return the inventory after a wait for an end."""
        connected = self._connected_by_address.pop(worker.address, None)
        if acknowledged is not None and (connected is None or connected.dead):
            return WorkerAnswer(OrderOutcome.CONNECTION_CLOSED)
        answer = await self.answer_poll(
            worker, token, acknowledged or 0, lease_until_ms, wait_s, timeout_s
        )
        if answer.inventory is not None:
            self._connected_by_address[worker.address] = self.workers_by_address[
                worker.address
            ]
        return answer

    async def answer_poll(
        self,
        worker: WorkerEntry,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> WorkerAnswer:
        """Return the inventory to a poll that has arrived on any connection."""
        self.looks += 1
        found = await self._reach(worker, timeout_s)
        if isinstance(found, WorkerAnswer):
            return found
        ends_at = self.now() + timeout_s

        def call(life: FakeWorker) -> OrderOutcome:
            return self._poll(life, token, acknowledged, lease_until_ms)

        if self._happens(found.faults.late_polls):
            return await self._carry_out_late(found, call, timeout_s)
        outcome = call(found)
        if outcome is not OrderOutcome.DONE:
            return WorkerAnswer(outcome)
        if wait_s and not found.ended:
            found.news.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await found.news.wait()
            except TimeoutError:
                pass
        if found.dead and found.breaks_calls:
            return WorkerAnswer(OrderOutcome.UNKNOWN)
        lost = self._happens(found.faults.lost_polls)
        if found.dead or found.faults.cut or lost:
            await asyncio.sleep(max(0.0, ends_at - self.now()))
            return WorkerAnswer(OrderOutcome.UNKNOWN)
        return WorkerAnswer(OrderOutcome.DONE, self._inventory(found))

    def _happens(self, probability: float) -> bool:
        return probability > 0 and self.rng.random() < probability

    async def _carry_out_late(
        self,
        found: FakeWorker,
        call: Callable[[FakeWorker], OrderOutcome],
        timeout_s: float,
    ) -> WorkerAnswer:
        """Leave a call unanswered; the worker's life at its arrival carries it out."""
        entry = found.entry

        def arrive() -> None:
            listening = self._listening(entry)
            if listening is not None and not listening.faults.cut:
                call(listening)

        asyncio.get_running_loop().call_later(found.faults.late_s, arrive)
        await asyncio.sleep(timeout_s)
        return WorkerAnswer(OrderOutcome.UNKNOWN)

    def _listening(self, entry: WorkerEntry) -> FakeWorker | None:
        """Return the life that a call meant for an entry reaches, if there is one."""
        found = self.workers_by_address.get(entry.address)
        if found is None or found.dead:
            return None
        return found if found.entry.worker_id == entry.worker_id else None

    def _refused(self) -> WorkerAnswer:
        """Return the answer of an address at which no process listens."""
        return WorkerAnswer(OrderOutcome.CONNECTION_REFUSED)

    async def _reach(
        self, entry: WorkerEntry, timeout_s: float
    ) -> FakeWorker | WorkerAnswer:
        await asyncio.sleep(ORDER_LATENCY_S)
        found = self.workers_by_address.get(entry.address)
        if found is not None and found.faults.cut and found.faults.cut_refuses:
            return self._refused()
        if found is not None and found.dead and found.refuses and not found.faults.cut:
            return self._refused()
        if found is None or found.dead or found.faults.cut:
            await asyncio.sleep(timeout_s)
            return WorkerAnswer(OrderOutcome.UNREACHABLE)
        if found.entry.worker_id != entry.worker_id:
            return WorkerAnswer(OrderOutcome.WRONG_INCARNATION)
        return found

    def _inventory(self, worker: FakeWorker) -> Inventory:
        running = tuple(
            RunReport(run.task, run.number, "", self._percent(worker, run), 0.0)
            for run in worker.runs_by_id.values()
        )
        return Inventory(
            self._clock_ms(worker),
            worker.entry.born_ms,
            running,
            tuple(worker.ended[:MAX_LISTED_ENDS]),
            lists_all_ends=len(worker.ended) < MAX_LISTED_ENDS,
        )

    def _percent(self, worker: FakeWorker, run: _Run) -> int:
        if worker.faults.hangs:
            return 0
        return min(99, int(100 * self._done_s(run) / max(run.run_s, 0.01)))

    def _done_s(self, run: _Run) -> float:
        return run.saved_s + self.now() - run.began_at

    def _lose(self, run: _Run) -> None:
        """Count the work of a run that is neither done nor saved."""
        self.lost_core_s += run.need.cores / 1000 * (self.now() - run.began_at)

    def _poll(
        self,
        worker: FakeWorker,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
    ) -> OrderOutcome:
        if token < worker.token:
            return OrderOutcome.FENCED
        worker.token = token
        self._acknowledge(worker, acknowledged)
        if lease_until_ms is not None:
            self._extend(worker, lease_until_ms)
        return OrderOutcome.DONE

    def _acknowledge(self, worker: FakeWorker, number: int) -> None:
        for report in worker.ended:
            if report.number <= number:
                end = worker.unacknowledged_by_number.pop(report.number)
                spec = self.specs_by_id[end.task.job_id]
                self.history.on_acknowledged(spec, end, worker.lapses, self.now())
                if end.kind is EndKind.DONE:
                    self.done_noted.add(end.task)
        worker.ended = [end for end in worker.ended if end.number > number]

    def _extend(self, worker: FakeWorker, until_ms: int) -> None:
        clock_ms = self._clock_ms(worker)
        bounded = min(until_ms, clock_ms + int(self.max_lease_s * 1000))
        if bounded <= worker.lease_ms:
            return
        worker.lease_ms = bounded
        if worker.lease_timer is not None:
            worker.lease_timer.cancel()
        left_s = max(0.0, (bounded - clock_ms) / 1000 / worker.clock_rate)
        loop = asyncio.get_running_loop()
        worker.lease_timer = loop.call_later(left_s + 0.001, self._lapse, worker)

    def _lapse(self, worker: FakeWorker) -> None:
        worker.lapses += 1
        for run in list(worker.runs_by_id.values()):
            self._end(worker, run, EndKind.LEASE_LAPSED)

    def _start(self, worker: FakeWorker, order: StartOrder) -> OrderOutcome:
        if worker.dead or worker.faults.cut:
            return OrderOutcome.UNREACHABLE
        if order.token < worker.token:
            return OrderOutcome.FENCED
        worker.token = order.token
        if order.lease_until_ms <= self._clock_ms(worker):
            return OrderOutcome.EXPIRED
        key = (order.task, order.run)
        if key in worker.runs_by_id:
            return OrderOutcome.DONE
        self._extend(worker, order.lease_until_ms)
        if order.run <= worker.highest_by_task.get(order.task, 0):
            return OrderOutcome.SUPERSEDED
        spec = self.specs_by_id.get(order.task.job_id)
        if spec is None:
            self.report(f"{order.task} was started but never submitted")
            return OrderOutcome.REJECTED
        step = spec.steps[order.task.step]
        self._check_start(worker, order, spec)
        run_s = self.run_s_by_job.get(order.task.job_id, step.estimated_ms / 1000)
        run = _Run(
            order.task,
            order.run,
            step.need,
            self.now(),
            run_s * worker.faults.slow_factor,
            int(order.checkpoint or 0) / 1000,
        )
        worker.runs_by_id[key] = run
        self.starts += 1
        self.starts_by_domain[worker.entry.failure_domain] += 1
        self.first_start_by_job.setdefault(order.task.job_id, self.now())
        loop = asyncio.get_running_loop()
        if step.gang:
            self._gather_gang(worker, run, step.count)
        elif not worker.faults.hangs and not step.service:
            left_s = max(0.0, run.run_s - run.saved_s)
            run.timer = loop.call_later(left_s, self._finish, worker, run)
        return OrderOutcome.DONE

    def _check_start(
        self, worker: FakeWorker, order: StartOrder, spec: JobSpec
    ) -> None:
        task, step = order.task, spec.steps[order.task.step]
        used = NOTHING
        for run in worker.runs_by_id.values():
            used = used + run.need
        if not (used + step.need).fits_in(worker.entry.capacity):
            self.report(f"{worker.entry.worker_id} is overcommitted by {task}")
        domain = worker.entry.failure_domain
        if self.now() > self.evacuated_from.get(domain, math.inf):
            self.report(f"{task} was started in {domain}, which is evacuated")
        self.history.on_start(spec, task, order.run, worker.life, self.now())
        cancelled_at = self.cancelled_at.get(task.job_id)
        if cancelled_at is not None and self.now() > cancelled_at + 3.0:
            self.report(f"{task} was started after its job was cancelled")
        total, in_use = step.need, NOTHING
        for other in self.workers_by_address.values():
            if other.dead:
                continue
            for run in other.runs_by_id.values():
                same = run.task == task and not step.duplicates_allowed
                if same:
                    self.report(f"{task} runs twice")
                owner = self.specs_by_id[run.task.job_id].customer
                if owner == spec.customer:
                    in_use = in_use + run.need
        limit = self.limits_by_customer.get(spec.customer)
        running = in_use + total
        if limit is not None and (
            0 < limit.cores < running.cores or 0 < limit.memory_mib < running.memory_mib
        ):
            self.report(f"{spec.customer} is above its limit")

    def _gather_gang(self, worker: FakeWorker, started: _Run, count: int) -> None:
        step, number = started.task.step_id, started.number
        members = [
            (worker, run)
            for worker in self.workers_by_address.values()
            for run in worker.runs_by_id.values()
            if run.task.step_id == step and run.number == number
        ]
        loop = asyncio.get_running_loop()
        if len(members) == count:
            for worker, run in members:
                if run.timer is not None:
                    run.timer.cancel()
                left_s = max(0.0, run.run_s - run.saved_s)
                run.timer = loop.call_later(left_s, self._finish, worker, run)
        else:
            started.timer = loop.call_later(
                GANG_WAIT_S, self._end, worker, started, EndKind.GANG_INCOMPLETE
            )

    def _finish(self, worker: FakeWorker, run: _Run) -> None:
        failed = worker.faults.fails_all or run.task.job_id in self.poison
        self._end(worker, run, EndKind.FAILED if failed else EndKind.DONE)

    def _stop(
        self, worker: FakeWorker, task: TaskId, number: int, token: int
    ) -> OrderOutcome:
        if worker.dead or worker.faults.cut:
            return OrderOutcome.UNREACHABLE
        if token < worker.token:
            return OrderOutcome.FENCED
        worker.token = token
        highest = worker.highest_by_task.get(task, 0)
        worker.highest_by_task[task] = max(highest, number)
        run = worker.runs_by_id.get((task, number))
        if run is not None and not run.stopping:
            run.stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self._end, worker, run, EndKind.STOPPED)
        return OrderOutcome.DONE

    def _end(
        self, worker: FakeWorker, run: _Run, kind: EndKind, saved: bool = False
    ) -> None:
        if worker.runs_by_id.pop((run.task, run.number), None) is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        highest = worker.highest_by_task.get(run.task, 0)
        worker.highest_by_task[run.task] = max(highest, run.number)
        worker.count += 1
        spec = self.specs_by_id[run.task.job_id]
        step = spec.steps[run.task.step]
        saved = saved or (kind is EndKind.STOPPED and step.checkpoints)
        checkpoint = str(int(1000 * self._done_s(run))) if saved else ""
        if kind is not EndKind.DONE and not saved:
            self._lose(run)
        report = EndReport(worker.count, run.task, run.number, kind, checkpoint)
        worker.ended.append(report)
        worker.news.set()
        end = RunEnd(run.task, run.number, kind, worker.life, self.now(), worker.lapses)
        worker.unacknowledged_by_number[worker.count] = end
        self.history.on_end(spec, end)
        if kind is EndKind.DONE:
            self.done.add(run.task)
        if step.gang and kind is not EndKind.DONE:
            self._break_gang(run, saved)

    def _break_gang(self, broken: _Run, saved: bool) -> None:
        for worker in self.workers_by_address.values():
            for run in list(worker.runs_by_id.values()):
                same = run.task.step_id == broken.task.step_id
                if same and run.number == broken.number:
                    self._end(worker, run, EndKind.GANG_BROKEN, saved)


class FakeAdvisor(Advisor):
    """Approve every worker that is not in ``refused``; one call at a time."""

    def __init__(self, decision_s: float = 0.01, validity_s: float = 2.0) -> None:
        self._decision_s = decision_s
        self._validity_s = validity_s
        self._turn = asyncio.Lock()
        self.refused: set[str] = set()
        self.calls = 0

    async def advise(
        self, step: StepId, worker_ids: object, timeout_s: float
    ) -> AdviceAnswer:
        """Return a ticket for each approved worker."""
        self.calls += 1
        async with self._turn:
            await asyncio.sleep(self._decision_s)
        tickets = {
            worker_id: f"{step.job_id}-{worker_id}"
            for worker_id in worker_ids  # type: ignore[attr-defined]
            if worker_id not in self.refused
        }
        return AdviceAnswer(tickets, self._validity_s)
