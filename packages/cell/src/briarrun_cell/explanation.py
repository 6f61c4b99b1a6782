"""Explanations of why steps are not started, from the ledger of the holder. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from datetime import UTC, datetime
from enum import StrEnum
from heapq import nsmallest
from itertools import islice

from briarrun_cell.decisions.customer_shares import WINDOW_S
from briarrun_cell.decisions.ranking import (
    DeadlineStatus,
    expected_status,
    is_aged,
)
from briarrun_cell.decisions.waiting import WaitReason
from briarrun_cell.job_table import JobEntry
from briarrun_cell.jobs import Job, Step
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import StepId

EARLIER_HOLDER = "earlier-holder"
"""Reason of a step that the planner leaves out: an earlier holder may have started its
tasks, and their workers have not answered this one."""

UNEXAMINED = "unexamined"
"""Reason of a step that no scheduling round has examined since it became due, or since
its last placement."""

REASONS = (*(reason.value for reason in WaitReason), EARLIER_HOLDER, UNEXAMINED)
"""All reasons for which a step that is due can wait."""

TEXT_BY_REASON: Mapping[str, str] = {
    WaitReason.ADVICE: "an answer of the advice service",
    WaitReason.NOT_APPROVED: "workers that the advice service approves",
    WaitReason.WORKERS: "approved workers that are in quarantine or do not answer",
    WaitReason.SIZE: "larger workers; no approved one could hold it even if idle",
    WaitReason.EVACUATED: "workers outside the failure domains under evacuation",
    WaitReason.CUSTOMER_LIMIT: "other tasks of the customer, which is at its limit",
    WaitReason.CAPACITY: "free capacity on its workers",
    WaitReason.QUARANTINE: (
        "free capacity, beside that of approved workers in quarantine"
    ),
    WaitReason.HEADROOM: "free capacity beside that kept for urgent tasks",
    WaitReason.TICKETS: "valid tickets for workers with free capacity",
    WaitReason.RESERVATION: "workers with free capacity that are reserved for a gang",
    WaitReason.TURN: "its turn; a round looks for workers for some of the blocked steps",
    EARLIER_HOLDER: "workers on which an earlier holder may have started its tasks",
    UNEXAMINED: "a scheduling round that examines the step",
}
"""What a step waits for, in words for operators."""

MAX_LISTED_STEPS = 8
"""Maximum number of steps that a summary lists."""

MAX_LISTED_WORKERS = 8
"""Maximum number of workers that the explanation of a step names."""

MAX_EXPLAINED_STEPS = 100
"""Maximum number of steps in the explanation of a job."""


class Standing(StrEnum):
    """Where a step stands."""

    DONE = "done"
    RUNNING = "running"
    ENDED = "ended"
    NOT_DUE = "not-due"
    EARLIER_STEPS = "earlier-steps"
    WAITING = "waiting"


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """Step with tasks that are due but not started, with the age of its wait."""

    step_id: StepId
    reason: str
    age_s: float
    pending: int
    active: int

    @property
    def age_ms(self) -> int:
        """Age of the wait in milliseconds."""
        return round(self.age_s * 1000)


@dataclass(frozen=True, slots=True)
class WaitSummary:
    """Waiting steps of a cell: numbers by reason, and the steps that wait longest."""

    count_by_reason: dict[str, int]
    oldest_s_by_reason: dict[str, float]
    oldest: tuple[WaitingStep, ...]


@dataclass(frozen=True, slots=True)
class StepExplanation:
    """Where one step stands; ``reason`` and ``age_ms`` are set if it waits."""

    occurrence: int
    step: int
    standing: Standing
    text: str
    done: int
    active: int
    pending: int
    reason: str = ""
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class JobExplanation:
    """Why a job is where it is; ``lines`` is the same as text, a line for each step."""

    job: str
    state: str
    lines: tuple[str, ...]
    customer: str = ""
    queue: str = ""
    steps: tuple[StepExplanation, ...] = ()


def waiting_steps(
    ledger: Ledger, unexamined_since: Mapping[StepId, float]
) -> list[WaitingStep]:
    """Return the steps with tasks that are due but not started.

    ``unexamined_since`` holds the times on the holder's clock at which unexamined
    steps were first seen.
    """
    wall_ms = ledger.clock.wall_ms()
    return [
        _waiting_step(step, ledger, unexamined_since)
        for job in ledger.jobs_by_id.values()
        if not job.final
        for step in job.ready_steps(wall_ms)
    ]


def summarize(steps: Iterable[WaitingStep]) -> WaitSummary:
    """Return the number and the oldest age of waiting steps for all reasons."""
    steps = list(steps)
    count_by_reason = dict.fromkeys(REASONS, 0)
    oldest_s_by_reason = dict.fromkeys(REASONS, 0.0)
    for step in steps:
        count_by_reason[step.reason] += 1
        oldest_s_by_reason[step.reason] = max(
            oldest_s_by_reason[step.reason], step.age_s
        )
    oldest = nsmallest(
        MAX_LISTED_STEPS, steps, key=lambda each: (-each.age_s, each.step_id)
    )
    return WaitSummary(count_by_reason, oldest_s_by_reason, tuple(oldest))


def explain_job(
    ledger: Ledger,
    job_id: str,
    entry: JobEntry | None,
    unexamined_since: Mapping[StepId, float],
) -> JobExplanation | None:
    """Explain where each step of a job stands, None if the job is not known.

    ``entry`` is the state of the job according to the job stream.
    """
    job = ledger.jobs_by_id.get(job_id)
    if job is not None:
        return _explain_job(job, ledger, unexamined_since)
    if entry is None:
        return None
    state = entry.state.value
    if entry.final:
        line = f"job {job_id} has ended as {state}"
    elif entry.spec is None:
        line = f"the record of the acceptance of job {job_id} has not been read"
    else:
        line = (
            f"job {job_id} is {state} according to the store; the holder has not "
            "recovered it yet, or has just seen its end"
        )
    return JobExplanation(job_id, state, (line,))


def _explain_job(
    job: Job, ledger: Ledger, unexamined_since: Mapping[StepId, float]
) -> JobExplanation:
    state = job.progress.final or ("running" if job.progress.begun else "queued")
    age_s = ledger.clock.now() - job.accepted_at
    first = f"job {job.job_id} is {state}, first due {age_s:.1f} s ago"
    if job.progress.final is not None:
        first = f"job {job.job_id} has ended as {state}"
    elif age_s < 0:
        first = f"job {job.job_id} is {state}, first due in {-age_s:.1f} s"
    steps = [
        _explain_step(step, ledger, unexamined_since)
        for step in job.steps_by_id.values()
    ]
    steps += islice(_explain_quiet_steps(job, ledger), MAX_EXPLAINED_STEPS)
    listed = _bounded(steps)
    lines = [first, *(_line(step, job.spec.runs > 1) for step in listed)]
    total = job.spec.runs * len(job.spec.steps)
    waits = [step for step in steps if step.standing is Standing.WAITING]
    if waits:
        first_id = StepId(job.job_id, waits[0].occurrence, waits[0].step)
        lines[0] += f"; {_order_text(job.steps_by_id[first_id], ledger)}"
    if len(listed) < total:
        lines.append(f"{total - len(listed)} further steps")
    return JobExplanation(
        job.job_id,
        state,
        tuple(lines),
        job.spec.customer,
        job.queue.name,
        tuple(listed),
    )


def _bounded(steps: list[StepExplanation]) -> list[StepExplanation]:
    """Return the steps to be listed; those that are done or not due are left out first.

    A schedule may have thousands of occurrences.
    """
    quiet = (Standing.DONE, Standing.NOT_DUE)
    listed = nsmallest(
        MAX_EXPLAINED_STEPS,
        steps,
        key=lambda each: (each.standing in quiet, each.occurrence, each.step),
    )
    return sorted(listed, key=lambda each: (each.occurrence, each.step))


def _explain_quiet_steps(job: Job, ledger: Ledger) -> Iterator[StepExplanation]:
    """Explain the steps of occurrences that are done or not open yet, in order."""
    for occurrence in job.quiet_occurrences():
        done = occurrence in job.done_occurrences
        for number, spec in enumerate(job.spec.steps):
            tasks = spec.count if done else 0
            if done:
                standing, text = Standing.DONE, f"done ({tasks} of {spec.count} tasks)"
            elif job.final:
                standing = Standing.ENDED
                text = f"ended with the job, 0 of {spec.count} tasks done"
            else:
                standing = Standing.NOT_DUE
                text = _not_due_text(job, occurrence, ledger)
            yield StepExplanation(
                occurrence=occurrence,
                step=number,
                standing=standing,
                text=text,
                done=tasks,
                active=0,
                pending=spec.count - tasks,
            )


def _not_due_text(job: Job, occurrence: int, ledger: Ledger) -> str:
    """Return why an occurrence has not been opened."""
    wall_ms, due_ms = ledger.clock.wall_ms(), job.spec.due_ms(occurrence)
    if due_ms <= wall_ms:
        return "waits for earlier occurrences to end"
    return f"not due until {_utc(due_ms)}, in {(due_ms - wall_ms) / 1000:.1f} s"


def _line(step: StepExplanation, scheduled: bool) -> str:
    place = f"occurrence {step.occurrence}, " if scheduled else ""
    return f"{place}step {step.step}: {step.text}"


def _explain_step(
    step: Step, ledger: Ledger, unexamined_since: Mapping[StepId, float]
) -> StepExplanation:
    job, count, active = step.job, step.spec.count, len(step.active)
    done = len(step.progress.done)
    result = StepExplanation(
        occurrence=step.step_id.occurrence,
        step=step.step_id.step,
        standing=Standing.DONE,
        text=f"done ({done} of {count} tasks)",
        done=done,
        active=active,
        pending=len(step.pending),
    )
    if job.final:
        text = f"ended with the job, {done} of {count} tasks done"
        if active:
            text += f"; tasks that are being stopped: {active}"
        return replace(result, standing=Standing.ENDED, text=text)
    if step.done:
        return result
    running = f"running: {active} of {count} tasks, {done} done"
    if not step.startable:
        return replace(result, standing=Standing.RUNNING, text=running)
    if job.spec.due_ms(result.occurrence) > ledger.clock.wall_ms():
        text = _not_due_text(job, result.occurrence, ledger)
        return replace(result, standing=Standing.NOT_DUE, text=text)
    earlier = [
        number
        for number in step.spec.after
        if not job.steps_by_id[StepId(job.job_id, result.occurrence, number)].done
    ]
    if earlier:
        names = ", ".join(str(number) for number in earlier)
        text = f"waits for earlier steps: {names}"
        return replace(result, standing=Standing.EARLIER_STEPS, text=text)
    waiting = _waiting_step(step, ledger, unexamined_since)
    what = TEXT_BY_REASON.get(waiting.reason, waiting.reason)
    text = f"waits for {what} ({waiting.reason}) for {waiting.age_s:.1f} s"
    if waiting.reason == EARLIER_HOLDER:
        text += f": {_earlier_workers(step, ledger)}"
    if done or active:
        text += f"; tasks that wait: {result.pending}, {running}"
    return replace(
        result,
        standing=Standing.WAITING,
        text=text,
        reason=waiting.reason,
        age_ms=waiting.age_ms,
    )


TEXT_BY_STATUS: Mapping[DeadlineStatus, str] = {
    DeadlineStatus.ON_TIME: "can be on time",
    DeadlineStatus.LATE: "will be late",
    DeadlineStatus.TOO_LATE: "is too late to be of use",
}


def _order_text(step: Step, ledger: Ledger) -> str:
    """Return what decides on the place of a waiting step in the order."""
    job, now = step.job, ledger.clock.now()
    customer = job.spec.customer
    used = ledger.shares.relative_use(customer)
    estimated_s = step.spec.estimated_ms / 1000
    ratios = ledger.run_time_ratios.expected(job.queue.name, estimated_s)
    status, _ = expected_status(step, now, *ratios)
    text = f"it {TEXT_BY_STATUS[status]}"
    if job.over_rate:
        text += ", is beyond its customer's rate"
    elif job.early:
        text += ", came less than a second after others of its customer's rate"
    if is_aged(job, now):
        text += ", is aged and goes first in its turn"
    text += f"; customer {customer} used {used:.2f} of its share in {WINDOW_S:.0f} s"
    return text


def _waiting_step(
    step: Step, ledger: Ledger, unexamined_since: Mapping[StepId, float]
) -> WaitingStep:
    """Return the wait of a step that is due and whose earlier steps are done."""
    now = ledger.clock.now()
    reason, since = UNEXAMINED, unexamined_since.get(step.step_id, now)
    if _uncertain_tasks(step, ledger) and not ledger.startable(step):
        reason, since = EARLIER_HOLDER, ledger.began_at
    elif step.wait is not None:
        reason, since = step.wait.reason.value, step.wait.since
    age_s = max(0.0, now - since)
    return WaitingStep(step.step_id, reason, age_s, len(step.pending), len(step.active))


def _uncertain_tasks(step: Step, ledger: Ledger) -> list[int]:
    assigned = step.pending & step.progress.assigned_by_index.keys()
    return sorted(i for i in assigned if ledger.assignment_is_uncertain(step, i))


def _earlier_workers(step: Step, ledger: Ledger) -> str:
    by_index = step.progress.assigned_by_index
    workers = sorted({by_index[index] for index in _uncertain_tasks(step, ledger)})
    names = ", ".join(workers[:MAX_LISTED_WORKERS])
    further = len(workers) - MAX_LISTED_WORKERS
    return f"{names} and {further} further" if further > 0 else names


def _utc(wall_ms: int) -> str:
    moment = datetime.fromtimestamp(wall_ms / 1000, UTC)
    return moment.isoformat(timespec="milliseconds")
