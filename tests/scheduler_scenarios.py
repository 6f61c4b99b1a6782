"""Scenarios, each of which returns the names of the checks that failed."""

from __future__ import annotations

from collections.abc import Callable

from briarrun_core.model import JobKind, TaskState, Urgency
from briarrun_core.views import TeamView, WorkerState
from tests.scheduler_model import CAPACITY, TEAMS, UNIT, SchedulerModel, random_run

LOW, NORMAL, URGENT = Urgency.LOW, Urgency.NORMAL, Urgency.URGENT
BATCH, SERVICE, GANG = JobKind.BATCH, JobKind.SERVICE, JobKind.GANG


def _fleet(workers: int = 4, slice_cores: int = 100) -> SchedulerModel:
    model = SchedulerModel()
    for index in range(workers):
        model.add_worker(index)
    for team in TEAMS:
        model.set_slice(team, slice_cores)
    return model


def _run_for(
    model: SchedulerModel, seconds: float, run_s: float, step_s: float = 0.5
) -> None:
    """Advance the time and decide; batch and gang tasks end after ``run_s`` seconds."""
    end = model.now + seconds
    while model.now < end:
        _advance(model, step_s, run_s)
        model.decide(100)


def _advance(model: SchedulerModel, step_s: float, run_s: float) -> None:
    model.advance(step_s)
    for task_id, run in list(model.running.items()):
        if run.job.kind is not SERVICE and model.now - run.started_at >= run_s:
            model.end(task_id, TaskState.DONE, requeue=False)


def _started(model: SchedulerModel, job_id: str) -> bool:
    return not any(t in model.pending for t in model.jobs[job_id].pending_tasks)


def _last_job_id(model: SchedulerModel) -> str:
    return next(reversed(model.jobs))


def _failed_checks(model: SchedulerModel, passed: bool, name: str) -> list[str]:
    return [*model.violations, *([] if passed else [name])]


def gang_against_small_tasks(seed: int) -> list[str]:
    """Check that small tasks do not starve a gang that needs the whole fleet.

    The small tasks end one by one, so the whole fleet is never free by itself.
    """
    model = _fleet()
    for i in range(16):
        model.submit("a", BATCH, NORMAL, 500, 1)
        model.advance(1.0)
        model.decide(i)
    model.submit("b", GANG, NORMAL, 4, 4)
    gang = _last_job_id(model)
    _run_for(model, 180, 16)
    return _failed_checks(model, _started(model, gang), "gang-within-bound")


def _run_behind_blocked_gang(kind: JobKind) -> tuple[SchedulerModel, list[int]]:
    """Run small tasks behind a gang that needs the whole fleet and cannot start."""
    model = _fleet()
    model.submit("a", kind, NORMAL, 4, 1)
    model.decide()
    permanent = set(model.running)
    model.submit("b", GANG, NORMAL, 4, 4)
    model.submit("c", BATCH, LOW, 9000, 1)
    used = []
    for _ in range(1200):
        model.advance(1.0)
        for task_id, run in list(model.running.items()):
            if task_id not in permanent and model.now - run.started_at >= 5:
                model.end(task_id, TaskState.DONE, requeue=False)
        model.decide(100)
        used.append(len(model.running))
    return model, used


def reservation_is_bounded(seed: int) -> list[str]:
    """Check that a gang that never fits does not keep workers reserved.

    Other jobs use them again within the longest reservation.
    """
    model, used = _run_behind_blocked_gang(BATCH)
    return _failed_checks(model, max(used[600:]) == 16, "reservation-bounded")


def holding_back_is_bounded(seed: int) -> list[str]:
    """Check that teams are not limited for long in favor of one that cannot start.

    The fleet must be full for at least half of the time.
    """
    model, used = _run_behind_blocked_gang(GANG)
    full = sum(1 for n in used if n == 16) / len(used)
    return _failed_checks(model, full >= 0.5, "holding-back-bounded")


def low_against_normal(seed: int) -> list[str]:
    """Check that the normal work of a team does not starve its low work."""
    model = _fleet(workers=1)
    model.submit("a", BATCH, NORMAL, 20, 4)
    model.submit("a", BATCH, LOW, 1, 1)
    low = _last_job_id(model)
    for _ in range(40):
        model.submit("a", BATCH, NORMAL, 10, 4)
        _run_for(model, 50, 10, step_s=5.0)
    return _failed_checks(model, _started(model, low), "low-within-bound")


def urgent_in_full_fleet(seed: int) -> list[str]:
    """Check that urgent work starts within 1.2 s while low work fills all workers."""
    model = _fleet()
    model.submit("a", BATCH, LOW, 100, 2)
    model.decide(100)
    model.submit("b", BATCH, URGENT, 4, 4)
    urgent = _last_job_id(model)
    _run_for(model, 1.2, 1000, step_s=0.4)
    return _failed_checks(model, _started(model, urgent), "urgent-within-1.2-s")


def urgent_gang_in_full_fleet(seed: int) -> list[str]:
    """Check that an urgent gang starts within 1.2 s while the fleet is full."""
    model = _fleet()
    model.submit("a", BATCH, LOW, 100, 2)
    model.decide(100)
    model.submit("b", GANG, URGENT, 3, 4)
    _run_for(model, 1.2, 1000, step_s=0.4)
    remaining_low = len([r for r in model.running.values() if r.job.team == "a"])
    started = _started(model, _last_job_id(model))
    return _failed_checks(
        model, started and remaining_low == 2, "urgent-gang-within-1.2-s"
    )


def uncheckpointable_task(seed: int) -> list[str]:
    """Check that another task is checkpointed if the first one does not end."""
    model = _fleet(workers=2)
    model.submit("a", BATCH, LOW, 2, 4)
    model.decide(100)
    model.submit("b", BATCH, URGENT, 1, 4)
    first_checkpointed = None
    for _ in range(40):
        model.decide(100)
        being_checkpointed = [
            t for t, r in model.running.items() if r.being_checkpointed
        ]
        first_checkpointed = first_checkpointed or being_checkpointed[0]
        if first_checkpointed in model.running:
            model.running[first_checkpointed].being_checkpointed = False
        model.advance(0.5)
    return _failed_checks(
        model, _started(model, _last_job_id(model)), "other-task-chosen"
    )


def fewest_checkpoints(seed: int) -> list[str]:
    """Check that an urgent task of one core displaces a single low task of one core."""
    model = _fleet()
    model.submit("a", BATCH, NORMAL, 4, 2)
    model.submit("a", BATCH, LOW, 8, 1)
    model.decide(100)
    model.submit("b", BATCH, URGENT, 1, 1)
    model.decide(100)
    model.decide(100)
    being_checkpointed = [r.job for r in model.running.values() if r.being_checkpointed]
    as_expected = [(j.urgency, j.resources) for j in being_checkpointed] == [
        (LOW, UNIT)
    ]
    return _failed_checks(model, as_expected, "fewest-checkpoints")


def failing_worker(seed: int) -> list[str]:
    """Check that a worker on which all tasks fail gets three, and later one probe."""
    model = _fleet(workers=2)
    for _ in range(4):
        model.submit("a", BATCH, NORMAL, 40, 1)
    starts = 0
    for _ in range(100):
        model.advance(0.25)
        model.decide(100)
        on_failing_worker = [t for t, r in model.running.items() if r.worker_id == "w0"]
        starts += len(on_failing_worker)
        for task_id in on_failing_worker:
            model.end(task_id, TaskState.FAILED, requeue=True)
        for task_id, run in list(model.running.items()):
            if model.now - run.started_at >= 1:
                model.end(task_id, TaskState.DONE, requeue=False)
    quarantined = starts <= 4
    model.advance(30.0)
    model.decide(100)
    probes = sum(1 for r in model.running.values() if r.worker_id == "w0")
    return [
        *_failed_checks(model, quarantined, "quarantine"),
        *([] if probes <= 1 else ["single-probe"]),
    ]


def broken_job(seed: int) -> list[str]:
    """Check that a job that fails on every worker does not quarantine the fleet."""
    model = _fleet()
    model.submit("a", BATCH, NORMAL, 60, 1)
    for _ in range(20):
        model.advance(0.25)
        model.decide(100)
        for task_id in list(model.running):
            model.end(task_id, TaskState.FAILED, requeue=False)
    model.submit("b", BATCH, NORMAL, 8, 2)
    model.decide(100)
    return _failed_checks(model, len(model.running) == 8, "broken-job-harms-nobody")


def services_over_racks(seed: int) -> list[str]:
    """Check that the tasks of a service are spread over all racks."""
    model = _fleet(workers=6)
    model.submit("a", SERVICE, NORMAL, 3, 1)
    model.decide()
    racks = {model.workers[r.worker_id].rack for r in model.running.values()}
    return _failed_checks(model, len(racks) == 3, "service-spread")


def unfit_job_in_front(seed: int) -> list[str]:
    """Check that a job that cannot run does not delay the jobs behind it."""
    model = _fleet()
    model.submit("a", BATCH, NORMAL, 1, 9)
    model.submit("a", BATCH, NORMAL, 1, 1)
    model.decide()
    return _failed_checks(
        model, _started(model, _last_job_id(model)), "unfit-blocks-nobody"
    )


def unfit_job_is_set_aside(seed: int) -> list[str]:
    """Check that a job that cannot run is set aside, and not placed afterwards."""
    model = _fleet()
    model.submit("a", BATCH, NORMAL, 1, 9)
    model.submit("a", GANG, NORMAL, 5, 4)
    _run_for(model, 40, 1)
    set_aside_count = len(model.set_aside_jobs)
    for index in (4, 5):
        model.add_worker(index)
    _run_for(model, 5, 1)
    return _failed_checks(model, set_aside_count == 2, "set-aside")


def shares_by_weight(seed: int) -> list[str]:
    """Check that teams with weights 3 and 1 get three quarters and one quarter."""
    model = _fleet()
    model.scheduler.set_team(TeamView("a", 3.0, UNIT.scaled(100)))
    model.submit("b", BATCH, NORMAL, 200, 1)
    model.submit("a", BATCH, NORMAL, 200, 1)
    model.decide(100)
    used_share = model.usage("a").cores / (4 * CAPACITY.cores)
    return _failed_checks(model, abs(used_share - 0.75) <= 0.05, "share-by-weight")


def late_team(seed: int) -> list[str]:
    """Check that a team gets its share within 60 s while long tasks fill the fleet."""
    model = _fleet()
    model.submit("a", BATCH, NORMAL, 100, 1)
    _run_for(model, 10, 10_000)
    model.submit("b", BATCH, LOW, 100, 1)
    _run_for(model, 60, 10_000)
    used_share = model.usage("b").cores / (4 * CAPACITY.cores)
    return _failed_checks(model, abs(used_share - 0.5) <= 0.07, "share-of-late-team")


def room_for_urgent(seed: int) -> list[str]:
    """Check that steady urgent work needs no checkpoints in a saturated fleet."""
    model = _fleet(workers=6)
    waited = 0
    for i in range(160):
        if i % 4 == 0:
            model.submit("b", BATCH, URGENT, 1, 1)
        if i == 40:
            model.submit("a", BATCH, LOW, 1000, 1)
        model.advance(0.5)
        for task_id, run in list(model.running.items()):
            limit = 1.0 if run.job.urgency is URGENT else 7.0
            if model.now - run.started_at >= limit:
                model.end(task_id, TaskState.DONE, requeue=False)
        model.decide(100)
        if i > 70:
            waited += sum(1 for r in model.running.values() if r.being_checkpointed)
    return _failed_checks(model, waited == 0, "room-for-urgent")


def team_above_ceiling(seed: int) -> list[str]:
    """Check that small tasks of one team do not keep larger tasks from their share.

    The small tasks end before they may be checkpointed for rebalancing, and would fill
    every gap that the larger tasks need.
    """
    model = _fleet()
    model.submit("a", BATCH, NORMAL, 4000, 1)
    for _ in range(16):
        model.decide(1)
        _advance(model, 0.25, 4.0)
    model.submit("b", BATCH, NORMAL, 400, 4)
    used_shares = []
    for _ in range(240):
        _advance(model, 0.25, 4.0)
        model.decide(100)
        used_shares.append(model.usage("b").cores / (4 * CAPACITY.cores))
    steady_shares = used_shares[40:]
    return _failed_checks(
        model, sum(steady_shares) / len(steady_shares) >= 0.4, "large-tasks-get-share"
    )


def silent_workers(seed: int) -> list[str]:
    """Check that workers that are not available get no tasks."""
    model = _fleet()
    model.set_state(0, WorkerState.UNKNOWN)
    model.set_state(1, WorkerState.SILENT)
    model.submit("a", BATCH, NORMAL, 20, 1)
    model.decide(100)
    return _failed_checks(model, len(model.running) == 8, "only-available")


def random_events(seed: int) -> list[str]:
    """Run random events and return the failed checks of the model."""
    return random_run(seed).violations


SCENARIOS: dict[str, Callable[[int], list[str]]] = {
    f.__name__: f
    for f in (
        broken_job,
        failing_worker,
        fewest_checkpoints,
        gang_against_small_tasks,
        holding_back_is_bounded,
        late_team,
        low_against_normal,
        random_events,
        reservation_is_bounded,
        room_for_urgent,
        services_over_racks,
        shares_by_weight,
        silent_workers,
        uncheckpointable_task,
        team_above_ceiling,
        unfit_job_in_front,
        urgent_gang_in_full_fleet,
        unfit_job_is_set_aside,
        urgent_in_full_fleet,
    )
}
