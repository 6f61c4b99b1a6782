"""Tests of decisions when the cell is full, each a replay of the load it answers."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec
import pytest

from briarrun_cell.advice import AdviceDispatcher, AdviceProxy, divide
from briarrun_cell.clock import LoopClock
from briarrun_cell.decisions.headroom import UrgentHeadroom
from briarrun_cell.decisions.planner import AdviceRequest, Planner
from briarrun_cell.decisions.run_times import RunTimeRatios
from briarrun_cell.decisions.ticket_renewal import RenewalLimits
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.jobs import Ticket
from briarrun_cell.leases import LeaseBound
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import (
    AdviceTerms,
    EndKind,
    EndReport,
    StepId,
    StepSpec,
)
from briarrun_cell.ports import AdviceAnswer, AdviceUnavailable
from briarrun_cell.workers import Run, RunState, Worker
from briarrun_core.resources import Resources
from tests.cell.test_ledger import (
    NORMAL,
    URGENT,
    ManualClock,
    entry,
    job,
    make_ledger,
    poll,
)

ADVISED = msgspec.structs.replace(
    NORMAL,
    name="advised",
    advice=AdviceTerms(decision_s=0.5, per_worker_s=0.007, validity_s=2.0),
)
PATIENT = msgspec.structs.replace(
    NORMAL, name="patient", stretch=4.0, latency_target_s=2.0
)


def _place(ledger: Ledger, planner: Planner) -> list[Run]:
    runs = [run for each in planner.plan().placements for run in each.runs]
    for run in runs:
        run.state = RunState.STARTING
        ledger.on_started(run)
    return runs


def _end(ledger: Ledger, run: Run) -> None:
    worker = run.worker
    end = EndReport(worker.applied + 1, run.task, run.number, EndKind.DONE, "")
    poll(ledger, worker, ended=(end,))


@pytest.mark.parametrize(
    ("task_cores", "free_cores"),
    [(0, 8_000), (2_000, 8_000), (5_600, 8_000), (16_000, 20_000), (60_000, 48_000)],
)
def test_headroom_follows_the_size_of_urgent_tasks(
    task_cores: int, free_cores: int
) -> None:
    """Guards against free cores on each worker that are too few for an urgent task."""
    headroom = UrgentHeadroom()
    headroom.note_task(Resources(cores=task_cores))
    workers = [
        Worker(entry(f"w{n}", cores=64_000), LeaseBound(0.0)) for n in range(240)
    ]
    kept = [headroom.kept_on(worker).cores for worker in workers]
    assert set(kept) == {0, free_cores}
    assert 0.03 <= sum(kept) / (240 * 64_000) <= 0.13


def test_urgent_burst_on_a_full_cell_starts_at_once() -> None:
    """Guards against urgent tasks that wait until less urgent ones end."""
    ledger = make_ledger()
    for worker in ledger.set_workers(
        [entry(f"x{n}", cores=64_000) for n in range(60)], []
    ):
        poll(ledger, worker)
    planner = Planner(ledger)
    need = Resources(16_000, 10)
    job(ledger, "first", StepSpec(need=need), queue=URGENT)
    (run,) = _place(ledger, planner)
    _end(ledger, run)
    job(ledger, "wide", StepSpec(count=1000, need=Resources(18_000, 10)), queue=NORMAL)
    assert len(_place(ledger, planner)) > 100
    job(ledger, "burst", StepSpec(count=8, need=need), queue=URGENT)
    assert len(_place(ledger, planner)) == 8


@pytest.mark.parametrize(
    ("vms", "gangs", "steps"), [(0, 3, 8), (9, 3, 8), (44, 5, 11), (97, 12, 24)]
)
def test_tickets_renewed_in_advance_grow_with_the_cell(
    vms: int, gangs: int, steps: int
) -> None:
    """Guards against a backlog of gangs that start one advice call after the other.

    The cell is full, and the tickets of twenty waiting gangs and thirty other steps are
    about to expire.
    """
    assert RenewalLimits.for_vms(vms) == RenewalLimits(gangs, steps)
    ledger = make_ledger(workers=30)
    for number in range(50):
        spec = StepSpec(count=4, need=Resources(2000, 10), gang=number < 20)
        job(ledger, f"j{number:02}", spec, queue=ADVISED)
    for worker in ledger.workers_by_id.values():
        worker.used = worker.entry.capacity
        worker._free = None
    for waiting in ledger.jobs_by_id.values():
        for each in waiting.steps_by_id.values():
            each.advice.answered = True
            each.advice.queried = frozenset(
                worker.incarnation_id for worker in ledger.workers_by_id.values()
            )
            each.advice.tickets_by_worker = {
                incarnation: Ticket("t", ledger.clock.now())
                for incarnation in each.advice.queried
            }
    requests = Planner(ledger, lambda: vms).plan().advice_requests
    assert sum(each.step.spec.gang for each in requests) == gangs
    assert sum(not each.step.spec.gang for each in requests) == steps


@pytest.mark.parametrize(
    ("tasks", "gang", "renewed"),
    [(4, True, True), (5, True, False), (5, False, True)],
)
def test_tickets_of_a_gang_above_its_limit_are_not_renewed(
    tasks: int, gang: bool, renewed: bool
) -> None:
    """Guards against calls for a gang that its customer's limit does not admit."""
    ledger = make_ledger(workers=8, limit=Resources(cores=8000))
    spec = StepSpec(count=tasks, need=Resources(2000, 10), gang=gang)
    job(ledger, "waiting", spec, queue=ADVISED)
    (step,) = ledger.jobs_by_id["waiting"].steps_by_id.values()
    queried = [worker.incarnation_id for worker in ledger.workers_by_id.values()]
    step.advice.answered = True
    step.advice.queried = frozenset(queried)
    step.advice.tickets_by_worker = {
        each: Ticket("t", ledger.clock.now()) for each in queried
    }
    requests = Planner(ledger).plan().advice_requests
    assert [each.step for each in requests] == ([step] if renewed else [])


@pytest.mark.parametrize(
    ("ratios", "low", "high"),
    [
        ([], 1.0, 1.2),
        ([1.0] * 200, 1.0, 1.01),
        ([0.5] * 200, 1.0, 1.0),
        ([1.5] * 200, 1.45, 1.55),
        ([0.5, 1.5] * 200, 1.35, 1.65),
        ([9.0] * 400, 3.9, 4.2),
    ],
)
def test_cautious_ratio_covers_most_runs(
    ratios: list[float], low: float, high: float
) -> None:
    """Guards against a learnt run time that is below that of most runs."""
    learnt = RunTimeRatios()
    for ratio in ratios:
        learnt.note("q", ratio, 1.0)
    assert low <= learnt.cautious("q") <= high


@pytest.mark.parametrize("actual_s", [1.0, 1.3, 1.6])
def test_backlog_with_short_estimates_ends_jobs_on_time(actual_s: float) -> None:
    """Guards against jobs that are started just in time by an estimate that is short.

    One worker runs one task at a time, and jobs come half again as fast as it can run
    them. The jobs that it can run on time must be on time; the rest waits.
    """
    ledger = make_ledger(workers=1)
    clock = ledger.clock
    assert isinstance(clock, ManualClock)
    planner = Planner(ledger)
    began, step_s, ends = clock.time, 0.05, {}
    need = Resources(8000, 10)
    running: Run | None = None
    ended_at = 0.0
    arrivals = 0
    while clock.time < began + 60:
        if clock.time >= began + arrivals * actual_s / 1.5:
            job(
                ledger,
                f"j{arrivals:03}",
                StepSpec(need=need, estimated_ms=1000),
                queue=PATIENT,
            )
            arrivals += 1
        if running is not None and clock.time >= ended_at:
            _end(ledger, running)
            ends[running.task.job_id] = clock.time
            running = None
        for worker in ledger.workers_by_id.values():
            worker.contact_at = clock.time
        for run in _place(ledger, planner):
            running, ended_at = run, clock.time + actual_s
        clock.time += step_s
    on_time = sum(
        ledger.jobs_by_id[job_id].target_end_at >= ended
        for job_id, ended in ends.items()
    )
    assert on_time >= 0.8 * 60 / actual_s


@pytest.mark.parametrize(
    ("workers", "per_worker_s", "vms", "largest"),
    [
        (100, 0.007, 97, 20),
        (81, 0.007, 97, 17),
        (100, 0.007, 44, 20),
        (100, 0.007, 9, 100),
        (100, 0.0002, 97, 100),
        (30, 0.007, 97, 15),
        (20, 0.007, 97, 20),
        (1, 0.007, 97, 1),
    ],
)
def test_requests_of_wide_steps_are_divided_among_vms(
    workers: int, per_worker_s: float, vms: int, largest: int
) -> None:
    """Guards against a call that takes a second for a wide gang on a large cell."""
    terms = AdviceTerms(decision_s=0.5, per_worker_s=per_worker_s, validity_s=2.0)
    named = tuple(Worker(entry(f"w{n}"), LeaseBound(0.0)) for n in range(workers))
    parts = divide(named, terms, vms)
    assert max(len(part) for part in parts) == largest
    assert {each for part in parts for each in part} == set(named)
    assert sum(len(part) for part in parts) == workers


class _SlowAdvice(AdviceProxy):
    """Approves all workers; a call takes time for each of them."""

    async def ask_via(
        self, vm: EntryVm, step: StepId, worker_ids: Sequence[str], timeout_s: float
    ) -> AdviceAnswer:
        await asyncio.sleep(0.5 + 0.007 * len(worker_ids))
        return AdviceAnswer(dict.fromkeys(worker_ids, "t"), 2.0)


@pytest.mark.looptime
async def test_advice_for_a_wide_gang_is_complete_when_answered() -> None:
    """Guards against a gang that is placed by a part of the answers, or late."""
    ledger = make_ledger(workers=100)
    job(ledger, "wide", StepSpec(count=8, gang=True), queue=ADVISED)
    (waiting,) = ledger.jobs_by_id["wide"].steps_by_id.values()
    vms = [
        EntryVm(vm=f"vm{n:02}", address="", failure_domain="", region="")
        for n in range(97)
    ]
    planner = Planner(ledger, lambda: len(vms))
    seen: list[int] = []
    dispatcher = AdviceDispatcher(
        LoopClock(),
        lambda: vms,
        _SlowAdvice(),
        planner.rates,
        lambda: seen.append(len(waiting.advice.tickets_by_worker)),
    )
    workers = tuple(ledger.workers_by_id.values())
    rank = (False, False, 0, 0, False, 0.0)
    dispatcher.enqueue(AdviceRequest(waiting, workers, rank))
    assert waiting.advice.request_in_flight
    await asyncio.sleep(0.5 + 0.007 * 20 + 0.01)
    assert seen == [100]
    assert waiting.advice.answered
    assert not waiting.advice.request_in_flight


class _LostVms(AdviceProxy):
    """Answers through some of the VMs; calls through the others time out."""

    def __init__(self, lost: set[str]) -> None:
        self._lost = lost
        self.failed_via: list[str] = []

    async def ask_via(
        self, vm: EntryVm, step: StepId, worker_ids: Sequence[str], timeout_s: float
    ) -> AdviceAnswer:
        if vm.vm in self._lost:
            self.failed_via.append(vm.vm)
            await asyncio.sleep(timeout_s)
            raise AdviceUnavailable(f"{vm.vm} does not answer")
        return AdviceAnswer(dict.fromkeys(worker_ids, "t"), 2.0)


@pytest.mark.looptime
@pytest.mark.parametrize("decision_s", [0.01, 0.5])
@pytest.mark.parametrize("lost", [1, 2, 4])
async def test_advice_is_not_asked_for_through_a_lost_vm_twice(
    lost: int, decision_s: float
) -> None:
    """Guards against a step that waits for advice as long as some VMs are lost."""
    ledger = make_ledger(workers=4)
    queue = msgspec.structs.replace(
        ADVISED, advice=AdviceTerms(decision_s=decision_s, per_worker_s=0, validity_s=2)
    )
    job(ledger, "waiting", queue=queue)
    (waiting,) = ledger.jobs_by_id["waiting"].steps_by_id.values()
    vms = [
        EntryVm(vm=f"vm{n}", address="", failure_domain="", region="") for n in range(9)
    ]
    # Fast calls begin at the start of the list, slow ones at its end.
    named = [vm.vm for vm in vms]
    proxy = _LostVms(set(named[:lost] + named[-lost:]))
    planner = Planner(ledger, lambda: len(vms))
    dispatcher = AdviceDispatcher(
        LoopClock(), lambda: vms, proxy, planner.rates, lambda: None
    )
    workers = tuple(ledger.workers_by_id.values())
    rank = (False, False, 0, 0, False, 0.0)
    for _ in range(2 * lost + 1):
        if not waiting.advice.answered:
            dispatcher.enqueue(AdviceRequest(waiting, workers, rank))
        while waiting.advice.request_in_flight:
            await asyncio.sleep(0.01)
    assert waiting.advice.answered
    assert len(proxy.failed_via) == len(set(proxy.failed_via)) == lost
    dispatcher.close()
