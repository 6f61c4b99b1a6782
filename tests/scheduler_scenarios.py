"""Scenarios that each return the names of failed checks; none means all held."""

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


def _live(
    model: SchedulerModel, seconds: float, run_s: float, step_s: float = 0.5
) -> None:
    """Let time pass; batch and gang tasks end after ``run_s`` seconds."""
    end = model.now + seconds
    while model.now < end:
        _tick(model, step_s, run_s)
        model.decide(100)


def _tick(model: SchedulerModel, step_s: float, run_s: float) -> None:
    model.advance(step_s)
    for task_id, run in list(model.running.items()):
        if run.job.kind is not SERVICE and model.now - run.since >= run_s:
            model.end(task_id, TaskState.DONE, requeue=False)


def _started(model: SchedulerModel, job_id: str) -> bool:
    return not any(t in model.pending for t in model.jobs[job_id].pending_tasks)


def _last(model: SchedulerModel) -> str:
    return next(reversed(model.jobs))


def _failed(model: SchedulerModel, holds: bool, name: str) -> list[str]:
    return [*model.violations, *([] if holds else [name])]


def gang_against_small_tasks(seed: int) -> list[str]:
    """Check that small tasks that end one by one must not starve a gang of the whole fleet."""
    model = _fleet()
    for i in range(16):
        model.submit("a", BATCH, NORMAL, 500, 1)
        model.advance(1.0)
        model.decide(i)
    model.submit("b", GANG, NORMAL, 4, 4)
    gang = _last(model)
    _live(model, 180, 16)
    return _failed(model, _started(model, gang), "gang-within-bound")


def _idle_behind_gang(kind: JobKind) -> tuple[SchedulerModel, list[int]]:
    """Run small tasks behind a gang of the whole fleet that cannot start."""
    model = _fleet()
    model.submit("a", kind, NORMAL, 4, 1)
    model.decide()
    stays = set(model.running)
    model.submit("b", GANG, NORMAL, 4, 4)
    model.submit("c", BATCH, LOW, 9000, 1)
    used = []
    for _ in range(1200):
        model.advance(1.0)
        for task_id, run in list(model.running.items()):
            if task_id not in stays and model.now - run.since >= 5:
                model.end(task_id, TaskState.DONE, requeue=False)
        model.decide(100)
        used.append(len(model.running))
    return model, used


def reservation_is_bounded(seed: int) -> list[str]:
    """Check that workers reserved in vain are used by others again within the longest time."""
    model, used = _idle_behind_gang(BATCH)
    return _failed(model, max(used[600:]) == 16, "reservation-bounded")


def holding_back_is_bounded(seed: int) -> list[str]:
    """Check that others stop holding back for a team that cannot start; most time is used."""
    model, used = _idle_behind_gang(GANG)
    full = sum(1 for n in used if n == 16) / len(used)
    return _failed(model, full >= 0.5, "holding-back-bounded")


def low_against_normal(seed: int) -> list[str]:
    """Check that a team's own normal work must not starve its low work for ever."""
    model = _fleet(workers=1)
    model.submit("a", BATCH, NORMAL, 20, 4)
    model.submit("a", BATCH, LOW, 1, 1)
    low = _last(model)
    for _ in range(40):
        model.submit("a", BATCH, NORMAL, 10, 4)
        _live(model, 50, 10, step_s=5.0)
    return _failed(model, _started(model, low), "low-within-bound")


def urgent_in_full_fleet(seed: int) -> list[str]:
    """Check that urgent work starts within 1.2 s although lower work holds every worker."""
    model = _fleet()
    model.submit("a", BATCH, LOW, 100, 2)
    model.decide(100)
    model.submit("b", BATCH, URGENT, 4, 4)
    urgent = _last(model)
    _live(model, 1.2, 1000, step_s=0.4)
    return _failed(model, _started(model, urgent), "urgent-within-1.2-s")


def urgent_gang_in_full_fleet(seed: int) -> list[str]:
    """Check that an urgent gang starts within 1.2 s although the fleet is full."""
    model = _fleet()
    model.submit("a", BATCH, LOW, 100, 2)
    model.decide(100)
    model.submit("b", GANG, URGENT, 3, 4)
    _live(model, 1.2, 1000, step_s=0.4)
    left = len([r for r in model.running.values() if r.job.team == "a"])
    started = _started(model, _last(model))
    return _failed(model, started and left == 2, "urgent-gang-within-1.2-s")


def uncheckpointable_task(seed: int) -> list[str]:
    """Check that urgent work finds another task if one cannot be checkpointed."""
    model = _fleet(workers=2)
    model.submit("a", BATCH, LOW, 2, 4)
    model.decide(100)
    model.submit("b", BATCH, URGENT, 1, 4)
    stubborn = None
    for _ in range(40):
        model.decide(100)
        being_checkpointed = [
            t for t, r in model.running.items() if r.being_checkpointed
        ]
        stubborn = stubborn or being_checkpointed[0]
        if stubborn in model.running:
            model.running[stubborn].being_checkpointed = False
        model.advance(0.5)
    return _failed(model, _started(model, _last(model)), "other-task-chosen")


def fewest_checkpoints(seed: int) -> list[str]:
    """Check that one urgent task of one core costs one task of one core, a low one."""
    model = _fleet()
    model.submit("a", BATCH, NORMAL, 4, 2)
    model.submit("a", BATCH, LOW, 8, 1)
    model.decide(100)
    model.submit("b", BATCH, URGENT, 1, 1)
    model.decide(100)
    model.decide(100)
    being_checkpointed = [r.job for r in model.running.values() if r.being_checkpointed]
    right = [(j.urgency, j.resources) for j in being_checkpointed] == [(LOW, UNIT)]
    return _failed(model, right, "fewest-checkpoints")


def failing_worker(seed: int) -> list[str]:
    """Check that a worker that fails every task gets three, later a single probe."""
    model = _fleet(workers=2)
    for _ in range(4):
        model.submit("a", BATCH, NORMAL, 40, 1)
    starts = 0
    for _ in range(100):
        model.advance(0.25)
        model.decide(100)
        on_bad = [t for t, r in model.running.items() if r.worker_id == "w0"]
        starts += len(on_bad)
        for task_id in on_bad:
            model.end(task_id, TaskState.FAILED, requeue=True)
        for task_id, run in list(model.running.items()):
            if model.now - run.since >= 1:
                model.end(task_id, TaskState.DONE, requeue=False)
    quarantined = starts <= 4
    model.advance(30.0)
    model.decide(100)
    probes = sum(1 for r in model.running.values() if r.worker_id == "w0")
    return [
        *_failed(model, quarantined, "quarantine"),
        *([] if probes <= 1 else ["single-probe"]),
    ]


def broken_job(seed: int) -> list[str]:
    """Check that a job that fails everywhere must not quarantine the fleet."""
    model = _fleet()
    model.submit("a", BATCH, NORMAL, 60, 1)
    for _ in range(20):
        model.advance(0.25)
        model.decide(100)
        for task_id in list(model.running):
            model.end(task_id, TaskState.FAILED, requeue=False)
    model.submit("b", BATCH, NORMAL, 8, 2)
    model.decide(100)
    return _failed(model, len(model.running) == 8, "broken-job-harms-nobody")


def services_over_racks(seed: int) -> list[str]:
    """Check that a service's tasks stand in as many racks as there are."""
    model = _fleet(workers=6)
    model.submit("a", SERVICE, NORMAL, 3, 1)
    model.decide()
    racks = {model.workers[r.worker_id].rack for r in model.running.values()}
    return _failed(model, len(racks) == 3, "service-spread")


def unfit_job_in_front(seed: int) -> list[str]:
    """Check that a job that cannot run lets those behind it start at once."""
    model = _fleet()
    model.submit("a", BATCH, NORMAL, 1, 9)
    model.submit("a", BATCH, NORMAL, 1, 1)
    model.decide()
    return _failed(model, _started(model, _last(model)), "unfit-blocks-nobody")


def unfit_job_is_set_aside(seed: int) -> list[str]:
    """Check that a job that cannot run is set aside and stays so."""
    model = _fleet()
    model.submit("a", BATCH, NORMAL, 1, 9)
    model.submit("a", GANG, NORMAL, 5, 4)
    _live(model, 40, 1)
    set_aside_jobs = len(model.set_aside_jobs)
    for index in (4, 5):
        model.add_worker(index)
    _live(model, 5, 1)
    return _failed(model, set_aside_jobs == 2, "set-aside")


def shares_by_weight(seed: int) -> list[str]:
    """Check that two teams of weights 3 and 1 hold three quarters and one quarter."""
    model = _fleet()
    model.scheduler.set_team(TeamView("a", 3.0, UNIT.scaled(100)))
    model.submit("b", BATCH, NORMAL, 200, 1)
    model.submit("a", BATCH, NORMAL, 200, 1)
    model.decide(100)
    held = model.usage("a").cores / (4 * CAPACITY.cores)
    return _failed(model, abs(held - 0.75) <= 0.05, "share-by-weight")


def late_team(seed: int) -> list[str]:
    """Check that a team that comes to a fleet full of long tasks gets its share within 60 s."""
    model = _fleet()
    model.submit("a", BATCH, NORMAL, 100, 1)
    _live(model, 10, 10_000)
    model.submit("b", BATCH, LOW, 100, 1)
    _live(model, 60, 10_000)
    held = model.usage("b").cores / (4 * CAPACITY.cores)
    return _failed(model, abs(held - 0.5) <= 0.07, "share-of-late-team")


def room_for_urgent(seed: int) -> list[str]:
    """Check that steady urgent work finds room in a saturated fleet without checkpoints."""
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
            if model.now - run.since >= limit:
                model.end(task_id, TaskState.DONE, requeue=False)
        model.decide(100)
        if i > 70:
            waited += sum(1 for r in model.running.values() if r.being_checkpointed)
    return _failed(model, waited == 0, "room-for-urgent")


def team_above_ceiling(seed: int) -> list[str]:
    """Check that small tasks of one team must not fill every gap that larger ones need.

    They end before they could be checkpointed for share.
    """
    model = _fleet()
    model.submit("a", BATCH, NORMAL, 4000, 1)
    for _ in range(16):
        model.decide(1)
        _tick(model, 0.25, 4.0)
    model.submit("b", BATCH, NORMAL, 400, 4)
    held = []
    for _ in range(240):
        _tick(model, 0.25, 4.0)
        model.decide(100)
        held.append(model.usage("b").cores / (4 * CAPACITY.cores))
    late = held[40:]
    return _failed(model, sum(late) / len(late) >= 0.4, "large-tasks-get-share")


def silent_workers(seed: int) -> list[str]:
    """Check that workers that are not available get nothing."""
    model = _fleet()
    model.set_state(0, WorkerState.UNKNOWN)
    model.set_state(1, WorkerState.SILENT)
    model.submit("a", BATCH, NORMAL, 20, 1)
    model.decide(100)
    return _failed(model, len(model.running) == 8, "only-available")


def random_events(seed: int) -> list[str]:
    """Hold every check of the model in a seeded run."""
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
