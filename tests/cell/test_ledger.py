"""Tests of the ledger and the planner, with a clock that the tests set."""

from __future__ import annotations

from dataclasses import replace

import pytest

from briarrun_cell.clock import Clock
from briarrun_cell.decisions.planner import Planner
from briarrun_cell.job_table import JobEntry
from briarrun_cell.leases import LeaseDurations
from briarrun_cell.ledger import GANG_END_GRACE_S, Ledger
from briarrun_cell.model import (
    AdviceTerms,
    CellConfig,
    Customer,
    EndKind,
    EndReport,
    Inventory,
    JobSpec,
    JobState,
    Queue,
    RunReport,
    StepId,
    StepSpec,
    WorkerEntry,
)
from briarrun_cell.orders import HolderTermGuard, OrderSender
from briarrun_cell.ports import StartOrder, WorkerAnswer, Workers
from briarrun_cell.reconciler import InventoryReconciler
from briarrun_cell.records import JobProgress, StepProgress
from briarrun_cell.workers import Run, RunState, StopReason, Worker, worst_in_quarantine
from briarrun_core.resources import Resources

TERMS = LeaseDurations(lease_s=3.0, start_s=2.0, longest_s=9.0, granted_s=3.2)
URGENT = Queue(name="urgent", host="h", path_prefix="/u/", pool="p", max_attempts=2)
NORMAL = Queue(
    name="normal", host="h", path_prefix="/n/", pool="p", priority=1, max_attempts=2
)


class ManualClock(Clock):
    """Clock that stands still until a test sets it."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time

    def wall_ms(self) -> int:
        return int(self.time * 1000)


def entry(worker_id: str, born_ms: int = 1, cores: int = 8000) -> WorkerEntry:
    capacity = Resources(cores, 10_000)
    address = f"{worker_id}:1"
    return WorkerEntry(
        worker_id, born_ms, address, "p", "fd", capacity, ("a", "r1"), "r1", False
    )


def make_ledger(workers: int = 2, limit: Resources | None = None) -> Ledger:
    customer = Customer("c", ("k",), 100.0, limit or Resources())
    config = CellConfig(
        1, {"urgent": URGENT, "normal": NORMAL}, {"c": customer}, {"k": "c"}
    )
    ledger = Ledger(ManualClock(), 5, config, TERMS, lambda job_id: None)
    entries = [entry(f"w{number}") for number in range(workers)]
    for worker in ledger.set_workers(entries, []):
        poll(ledger, worker)
    return ledger


def poll(
    ledger: Ledger,
    worker: Worker,
    running: tuple[RunReport, ...] = (),
    ended: tuple[EndReport, ...] = (),
) -> None:
    inventory = Inventory(1_000, worker.entry.born_ms, running, ended)
    InventoryReconciler(ledger).on_inventory(worker, inventory, ledger.clock.now())


def job(
    ledger: Ledger, job_id: str, *steps: StepSpec, queue: Queue = NORMAL
) -> JobSpec:
    spec = JobSpec(
        job_id=job_id,
        terms=queue,
        customer="c",
        payload="x",
        steps=steps or (StepSpec(need=Resources(1000, 10), estimated_ms=1000),),
        accepted_ms=ledger.clock.wall_ms(),
    )
    ledger.set_job(job_id, JobEntry(spec=spec))
    return spec


def started(ledger: Ledger) -> list[Run]:
    runs = [run for each in Planner(ledger).plan().placements for run in each.runs]
    for run in runs:
        run.state = RunState.STARTING
        ledger.on_started(run)
    return runs


def test_released_job_is_not_entered_again_from_an_older_record() -> None:
    """Guards against a finished job that is started again.

    The job stream lags behind the ledger, so a record without an outcome may be read
    after the job has been removed from the ledger.
    """
    ledger = make_ledger()
    spec = job(ledger, "j1")
    (run,) = started(ledger)
    end = EndReport(1, run.task, run.number, EndKind.DONE, "")
    poll(ledger, run.worker, ended=(end,))
    ledger.dirty.clear()
    ledger.forget_finished_jobs()
    assert "j1" not in ledger.jobs_by_id
    ledger.set_job("j1", JobEntry(spec=spec, progress=JobProgress(begun=True)))
    assert "j1" not in ledger.jobs_by_id
    final = JobProgress(begun=True, final=JobState.COMPLETED)
    ledger.set_job("j1", JobEntry(spec=spec, progress=final))
    assert "j1" not in ledger.jobs_by_id


class _NotHolder(HolderTermGuard):
    def is_holder(self) -> bool:
        return False

    def may_renew_leases(self) -> bool:
        return False

    def on_fenced(self) -> None:
        raise AssertionError

    def wake(self) -> None:
        raise AssertionError


class _NoWorkers(Workers):
    async def start(
        self, worker: WorkerEntry, order: StartOrder, timeout_s: float
    ) -> WorkerAnswer:
        raise AssertionError("an order was sent after the term")

    stop = poll = start  # type: ignore[assignment]


async def test_no_order_is_sent_after_the_term() -> None:
    """Guards against a start that a holder sends after its term has ended."""
    ledger = make_ledger()
    job(ledger, "j1")
    (placement,) = Planner(ledger).plan().placements
    sender = OrderSender(_NoWorkers(), ledger, ledger.clock, _NotHolder())
    await sender.start(placement.runs[0], placement.step)
    assert placement.step.pending == {0}
    assert not placement.runs[0].worker.runs_by_id


@pytest.mark.parametrize(
    ("clock_ms", "charged"),
    [(1_000, True), (4_000, True), (4_001, False)],
    ids=["before", "at the last moment", "after"],
)
def test_unanswered_start_keeps_its_room_until_it_has_expired(
    clock_ms: int, charged: bool
) -> None:
    """Guards against resources reused while a start order may still be carried out."""
    ledger = make_ledger(1)
    job(ledger, "j1")
    ((run,),) = [each.runs for each in Planner(ledger).plan().placements]
    run.state, run.order_until_ms = RunState.STARTING, 4_000
    inventory = Inventory(clock_ms, 1, (), ())
    InventoryReconciler(ledger).on_inventory(run.worker, inventory, ledger.clock.now())
    assert bool(run.worker.runs_by_id) is charged


def test_stopped_run_is_charged_until_its_end_is_listed() -> None:
    """Guards against resources reused while a run is being stopped."""
    ledger = make_ledger(1)
    job(ledger, "j1")
    (run,) = started(ledger)
    ledger.stop(run, StopReason.JOB_FINAL)
    report = RunReport(run.task, run.number, "", 10, 0.0)
    poll(ledger, run.worker, running=(report,))
    assert run.worker.used == run.need
    end = EndReport(1, run.task, run.number, EndKind.STOPPED, "saved")
    poll(ledger, run.worker, ended=(end,))
    assert run.worker.used.is_zero
    (again,) = started(ledger)
    assert again.checkpoint == "saved"
    assert again.number > run.number


def test_gang_starts_whole_or_not_at_all() -> None:
    """Guards against gang members that wait for others that cannot be placed."""
    ledger = make_ledger(2)
    wide = StepSpec(count=5, need=Resources(4000, 1), estimated_ms=1000, gang=True)
    job(ledger, "j1", wide)
    assert started(ledger) == []
    job(
        ledger,
        "j2",
        StepSpec(count=4, need=Resources(4000, 1), gang=True),
        queue=URGENT,
    )
    runs = started(ledger)
    assert len(runs) == 4
    assert len({run.number for run in runs}) == 1


def test_end_of_one_member_ends_the_gang() -> None:
    """Guards against a gang that is started again although one member reported it done."""
    ledger = make_ledger(2)
    job(ledger, "j1", StepSpec(count=2, need=Resources(1000, 1), gang=True))
    first, second = started(ledger)
    end = EndReport(1, first.task, first.number, EndKind.DONE, "")
    poll(ledger, first.worker, ended=(end,))
    assert ledger.jobs_by_id["j1"].progress.final is JobState.COMPLETED


def test_customer_limit_counts_runs_that_are_being_stopped() -> None:
    """Guards against a customer above its limit while its runs are being stopped."""
    ledger = make_ledger(2, limit=Resources(2000, 0))
    job(ledger, "j1", StepSpec(count=3, need=Resources(1000, 1), estimated_ms=10))
    runs = started(ledger)
    assert len(runs) == 2
    ledger.stop(runs[0], StopReason.JOB_FINAL)
    assert started(ledger) == []


def test_max_per_worker_bounds_the_tasks_of_a_step() -> None:
    """Guards against more tasks of a step on one worker than it allows."""
    ledger = make_ledger(2)
    job(ledger, "j1", StepSpec(count=6, need=Resources(10, 1), max_per_worker=2))
    runs = started(ledger)
    assert len(runs) == 4
    per_worker = [run.worker.worker_id for run in runs]
    assert max(per_worker.count(each) for each in per_worker) == 2


def test_job_beyond_the_customers_rate_goes_last() -> None:
    """Guards against a burst of one customer that delays jobs within the rates of others.

    One customer submits far above its rate while the cell is full.
    """
    ledger = make_ledger(1)
    flood = Customer("flood", ("f",), 1.0, Resources())
    ledger.config.customers_by_name["flood"] = flood
    for number in range(30):
        spec = job(ledger, f"f{number:02}", StepSpec(need=Resources(4000, 1)))
        del ledger.jobs_by_id[spec.job_id]
        owned = JobSpec(
            job_id=spec.job_id,
            terms=NORMAL,
            customer="flood",
            payload="x",
            steps=spec.steps,
            accepted_ms=ledger.clock.wall_ms(),
        )
        ledger.set_job(owned.job_id, JobEntry(spec=owned))
    job(ledger, "owed", StepSpec(need=Resources(4000, 1)))
    runs = started(ledger)
    assert {run.task.job_id for run in runs} == {"f00", "owed"}


def test_punctual_work_goes_before_late_work_of_the_same_queue() -> None:
    """Guards against a backlog that makes every later job late as well.

    A burst of urgent jobs exceeds the capacity of the cell.
    """
    ledger = make_ledger(1)
    assert isinstance(ledger.clock, ManualClock)
    for number in range(4):
        step = StepSpec(need=Resources(8000, 1), estimated_ms=500)
        job(ledger, f"old{number}", step, queue=URGENT)
    ledger.clock.time += 1.2
    job(
        ledger, "new", StepSpec(need=Resources(8000, 1), estimated_ms=500), queue=URGENT
    )
    worker = ledger.workers_by_id["w0"]
    worker.contact_at = ledger.clock.now()
    (run,) = started(ledger)
    assert run.task.job_id == "new"


def test_worker_that_fails_everything_gets_no_more_work() -> None:
    """Guards against a failing worker that gets most tasks because it is always free."""
    ledger = make_ledger(2)
    bad = ledger.workers_by_id["w0"]
    for number in range(1, 5):
        spec = job(ledger, f"j{number}")
        step = next(iter(ledger.jobs_by_id[spec.job_id].steps_by_id.values()))
        run = ledger.place(step, 0, bad)
        poll(
            ledger,
            bad,
            ended=(EndReport(number, run.task, run.number, EndKind.FAILED, ""),),
        )
    assert worst_in_quarantine([bad], ledger.clock.now()) == [bad]
    assert {run.worker.worker_id for run in started(ledger)} == {"w1"}


def test_draining_worker_gets_no_new_work() -> None:
    """Guards against work that is started on a worker about to leave."""
    ledger = make_ledger(2)
    entries = [replace(entry("w0"), draining=True), entry("w1")]
    ledger.set_workers(entries, [])
    job(ledger, "j1", StepSpec(count=4, need=Resources(1000, 1), estimated_ms=10))
    assert {run.worker.worker_id for run in started(ledger)} == {"w1"}


def test_ledger_does_not_change_the_job_table() -> None:
    """Guards against outcomes that are shown and acknowledged but never stored.

    The ledger shared the progress of an inherited job with the job table. An end that the
    holder could not store made the job look finished to the next session in the same
    process, which acknowledged the end.
    """
    ledger = make_ledger(1)
    spec = JobSpec(
        job_id="j1",
        terms=NORMAL,
        customer="c",
        payload="x",
        steps=(StepSpec(need=Resources(1000, 10), estimated_ms=1000),),
        accepted_ms=ledger.clock.wall_ms(),
    )
    folded = JobEntry(spec=spec, progress=JobProgress(begun=True))
    ledger.set_job("j1", folded)
    (run,) = started(ledger)
    end = EndReport(1, run.task, run.number, EndKind.DONE, "")
    poll(ledger, run.worker, ended=(end,))
    assert ledger.jobs_by_id["j1"].progress.final is JobState.COMPLETED
    assert folded.progress == JobProgress(begun=True)


@pytest.mark.parametrize("advised", [False, True], ids=["too large", "none approved"])
def test_gang_that_can_never_fit_holds_up_no_other_work(advised: bool) -> None:
    """Guards against steps that starve behind a gang that cannot be placed.

    A gang needs more than all workers that may run it; less urgent work waits.
    """
    ledger = make_ledger(2)
    terms = AdviceTerms(decision_s=0.01, per_worker_s=0.0, validity_s=2.0)
    first = Queue(
        name="first",
        host="h",
        path_prefix="/f/",
        pool="p",
        priority=1,
        max_attempts=2,
        advice=terms if advised else None,
    )
    behind = Queue(name="behind", host="h", path_prefix="/b/", pool="p", priority=2)
    ledger.config.queues_by_name.update({"first": first, "behind": behind})
    job(
        ledger,
        "wide",
        StepSpec(count=9, need=Resources(4000, 1), gang=True),
        queue=first,
    )
    step = next(iter(ledger.jobs_by_id["wide"].steps_by_id.values()))
    step.advice.answered = advised
    step.advice.queried = frozenset({"w0@1", "w1@1"})
    job(ledger, "small", queue=behind)
    assert {run.task.job_id for run in started(ledger)} == {"small"}


def test_gang_that_waits_long_lets_other_work_pass() -> None:
    """Guards against steps that starve behind a gang that would fit into an idle cell."""
    ledger = make_ledger(2)
    assert isinstance(ledger.clock, ManualClock)
    first = Queue(name="first", host="h", path_prefix="/f/", pool="p", priority=1)
    behind = Queue(name="behind", host="h", path_prefix="/b/", pool="p", priority=2)
    ledger.config.queues_by_name.update({"first": first, "behind": behind})
    job(ledger, "busy", StepSpec(count=1, need=Resources(4000, 1)), queue=URGENT)
    assert len(started(ledger)) == 1
    job(
        ledger,
        "wide",
        StepSpec(count=4, need=Resources(4000, 1), gang=True),
        queue=first,
    )
    job(ledger, "small", queue=behind)
    assert started(ledger) == []
    ledger.clock.time += 7.0
    for worker in ledger.workers_by_id.values():
        worker.contact_at = ledger.clock.now()
    assert {run.task.job_id for run in started(ledger)} == {"small"}


def test_task_assigned_to_a_restarted_worker_waits_for_its_inventory() -> None:
    """Guards against a task that runs twice after a takeover.

    The registry still lists the incarnation before the one to which the earlier holder
    assigned the task. The end of that one says nothing about the next.
    """
    ledger = Ledger(ManualClock(), 5, make_ledger().config, TERMS, lambda job_id: None)
    old, other = ledger.set_workers([entry("w0", born_ms=1), entry("w1")], [])
    poll(ledger, other)
    spec = JobSpec(
        job_id="j1",
        terms=NORMAL,
        customer="c",
        payload="x",
        steps=(StepSpec(need=Resources(1000, 10), estimated_ms=1000),),
        accepted_ms=ledger.clock.wall_ms(),
    )
    assigned = StepProgress(assigned_by_index={0: "w0"})
    progress = JobProgress(begun=True, steps_by_key={"0.0": assigned})
    ledger.set_job("j1", JobEntry(spec=spec, progress=progress))
    reborn = ledger.replace_worker(old, replace(old.entry, born_ms=2))
    assert started(ledger) == []
    task = ledger.jobs_by_id["j1"].steps_by_id[StepId("j1", 0, 0)].step_id.task(0)
    poll(ledger, reborn, running=(RunReport(task, 7, "", 0, 0.0),))
    assert started(ledger) == []
    assert [run.number for run in reborn.runs_by_id.values()] == [7]


@pytest.mark.parametrize(("answered", "startable"), [(False, 1), (True, 3)])
def test_customer_limit_counts_tasks_that_an_earlier_holder_may_have_started(
    answered: bool, startable: int
) -> None:
    """Guards against a customer above its limit after a takeover.

    Two tasks were assigned to a worker that does not answer the new holder, so it is not
    known whether they run there. The limit admits three.
    """
    ledger = make_ledger(2, limit=Resources(3000, 0))
    silent = entry("silent")
    (worker,) = ledger.set_workers(
        [each.entry for each in ledger.workers_by_id.values()] + [silent], []
    )
    spec = StepSpec(count=5, need=Resources(1000, 1), estimated_ms=10)
    assigned = StepProgress(assigned_by_index={0: "silent", 1: "silent"})
    job_spec = JobSpec(
        job_id="j1", terms=NORMAL, customer="c", payload="x", steps=(spec,)
    )
    progress = JobProgress(begun=True, steps_by_key={"0.0": assigned})
    ledger.set_job("j1", JobEntry(spec=job_spec, progress=progress))
    if answered:
        poll(ledger, worker)
    assert len(started(ledger)) == startable


@pytest.mark.parametrize("ended", [True, False], ids=["ended", "lost"])
def test_members_of_a_gang_that_end_by_themselves_are_not_stopped(ended: bool) -> None:
    """Guards against stops of runs that have ended, and gangs that run on in part."""
    ledger = make_ledger(2)
    job(ledger, "j", StepSpec(count=2, need=Resources(5000, 10), gang=True))
    first, second = started(ledger)
    if ended:
        end = EndReport(1, first.task, first.number, EndKind.FAILED, "")
        poll(ledger, first.worker, ended=(end,))
    else:
        ledger.on_worker_dead(first.worker, "test")
    ledger.stop_broken_gangs()
    assert ledger.stops == ([] if ended else [second])
    assert isinstance(ledger.clock, ManualClock)
    ledger.clock.time += GANG_END_GRACE_S
    ledger.stop_broken_gangs()
    assert ledger.stops == [second]
