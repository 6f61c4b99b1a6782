"""Finds out why a step was not placed although its customer's limit admits it. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from briarrun_cell.decisions.fitting import tasks_fit
from briarrun_cell.decisions.planning_round import PlanningRound, approved_for, in_pool
from briarrun_cell.decisions.waiting import WaitReason
from briarrun_cell.jobs import Step
from briarrun_cell.workers import Worker


def find_wait_reason(
    step: Step, approved: list[Worker], known: Iterable[Worker], round_: PlanningRound
) -> WaitReason:
    """Return the first of the conditions for a placement that is not met.

    ``approved`` are the workers that the round could use for the step, ``known`` all
    workers of the cell.
    """
    count = step.spec.count if step.spec.gang else 1
    if not tasks_fit(step, count, (w.entry.capacity for w in approved)):
        return _lack_of_workers(step, count, known, round_)
    if not tasks_fit(step, count, (w.free() for w in approved)):
        return _lack_of_capacity(step, count, approved, round_)
    headroom = round_.is_less_urgent(step)
    available = {w: round_.available(w, headroom=headroom) for w in approved}
    if not tasks_fit(step, count, available.values()):
        return WaitReason.HEADROOM
    if step.job.queue.advice is not None:
        fresh = [
            free
            for worker, free in available.items()
            if round_.ticket_is_fresh(step, worker)
        ]
        if not tasks_fit(step, count, fresh):
            return WaitReason.TICKETS
    # The only other conditions are a reservation, and the number of tasks of the step
    # that a worker may hold.
    return WaitReason.RESERVATION if round_.reserved else WaitReason.CAPACITY


def reason_without_advice(step: Step, round_: PlanningRound) -> WaitReason:
    """Return why a step waits about which the advice service has not answered."""
    askable = round_.pool_of(step) or round_.quarantined_of(step)
    if not askable and in_pool(step, round_.evacuated):
        return WaitReason.EVACUATED
    return WaitReason.ADVICE


def _lack_of_capacity(
    step: Step, count: int, approved: list[Worker], round_: PlanningRound
) -> WaitReason:
    """Return why the approved workers have too little free capacity."""
    quarantined = approved_for(step, round_.quarantined_of(step))
    free = [worker.free() for worker in {*approved, *quarantined}]
    if tasks_fit(step, count, free):
        return WaitReason.QUARANTINE
    free += [worker.free() for worker in _evacuated_of(step, round_)]
    if tasks_fit(step, count, free):
        return WaitReason.EVACUATED
    return WaitReason.CAPACITY


def _lack_of_workers(
    step: Step, count: int, known: Iterable[Worker], round_: PlanningRound
) -> WaitReason:
    """Return why the usable and approved workers are not enough for the step."""
    if step.job.queue.advice is not None:
        reachable = [*round_.pool_of(step), *round_.quarantined_of(step)]
        if any(w.incarnation_id not in step.advice.queried for w in reachable):
            return WaitReason.ADVICE
    left_out = set(round_.evacuated)
    others = [worker for worker in known if worker not in left_out]
    pool = approved_for(step, in_pool(step, others))
    capacities = [worker.entry.capacity for worker in pool]
    if tasks_fit(step, count, capacities):
        return WaitReason.WORKERS
    capacities += [w.entry.capacity for w in _evacuated_of(step, round_)]
    if tasks_fit(step, count, capacities):
        return WaitReason.EVACUATED
    if not pool and step.job.queue.advice is not None:
        return WaitReason.NOT_APPROVED
    return WaitReason.SIZE


def _evacuated_of(step: Step, round_: PlanningRound) -> list[Worker]:
    """Return the workers that an evacuation takes from the step.

    A worker about which the advice service was not asked counts as approved.
    """
    pool = in_pool(step, round_.evacuated)
    approved = approved_for(step, pool)
    queried = step.advice.queried
    return [w for w in pool if w in approved or w.incarnation_id not in queried]
