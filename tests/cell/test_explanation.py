"""Tests that an operator sees why a step or a job is not started."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from briarrun_cell.decisions.waiting import WaitReason
from briarrun_cell.explanation import (
    EARLIER_HOLDER,
    MAX_EXPLAINED_STEPS,
    MAX_LISTED_STEPS,
    REASONS,
    TEXT_BY_REASON,
    UNEXAMINED,
    Standing,
    WaitingStep,
    explain_job,
    summarize,
    waiting_steps,
)
from briarrun_cell.job_table import JobEntry
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import JobSpec, JobState, StepId, StepSpec
from briarrun_cell.records import JobProgress, StepProgress
from briarrun_core.resources import Resources
from tests.cell.test_ledger import (
    NORMAL,
    URGENT,
    ManualClock,
    entry,
    job,
    make_ledger,
    started,
)

OPERATIONS_PAGE = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
SMALL = StepSpec(need=Resources(1000, 10), estimated_ms=1000)
HUGE = msgspec.structs.replace(SMALL, need=Resources(9000, 10))


def _note(ledger: Ledger, job_id: str, reason: WaitReason, age_s: float) -> None:
    (step_,) = ledger.jobs_by_id[job_id].steps_by_id.values()
    step_.note_wait(reason, ledger.clock.now() - age_s)


def _advance(ledger: Ledger, seconds: float) -> None:
    assert isinstance(ledger.clock, ManualClock)
    ledger.clock.time += seconds


@pytest.mark.parametrize("reason", [*WaitReason, EARLIER_HOLDER, UNEXAMINED])
def test_every_reason_has_words(reason: str) -> None:
    """Guards against a reason that is added without words for operators."""
    assert TEXT_BY_REASON[reason]
    assert reason in REASONS


def test_texts_are_for_reasons_that_exist() -> None:
    """Guards against words for a reason that was renamed."""
    assert set(TEXT_BY_REASON) == set(REASONS)


def test_summary_counts_and_bounds() -> None:
    """Guards against an unbounded line, and one that leaves out the oldest steps."""
    steps = [
        WaitingStep(StepId(f"j{age:02}", 0, 0), reason, float(age), 1, 0)
        for reason in (WaitReason.SIZE, WaitReason.CAPACITY)
        for age in range(0 if reason is WaitReason.SIZE else 50, 20 + 40)
    ]
    summary = summarize(steps)
    assert summary.count_by_reason["size"] == 60
    assert summary.count_by_reason["capacity"] == 10
    assert summary.oldest_s_by_reason["capacity"] == 59.0
    assert summary.count_by_reason["tickets"] == 0
    assert set(summary.oldest_s_by_reason) == set(REASONS)
    ages = [each.age_s for each in summary.oldest]
    assert ages == sorted((each.age_s for each in steps), reverse=True)[:8]
    assert len(ages) == MAX_LISTED_STEPS


def _done(ledger: Ledger) -> None:
    spec = job(ledger, "j", SMALL, SMALL)
    progress = ledger.jobs_by_id[spec.job_id]
    first = progress.steps_by_id[StepId("j", 0, 0)]
    first.progress.done.append(0)
    first.pending.clear()


def _running(ledger: Ledger) -> None:
    job(ledger, "j", msgspec.structs.replace(SMALL, count=3))
    assert len(started(ledger)) == 3


def _partly_running(ledger: Ledger) -> None:
    wide = msgspec.structs.replace(SMALL, count=3, need=Resources(8000, 10))
    job(ledger, "j", wide, queue=URGENT)
    assert len(started(ledger)) == 2
    _advance(ledger, 0.5)
    _note(ledger, "j", WaitReason.CAPACITY, 0.2)


def _not_due(ledger: Ledger) -> None:
    now_ms = ledger.clock.wall_ms()
    spec = JobSpec(
        job_id="j",
        terms=NORMAL,
        customer="c",
        payload="x",
        steps=(SMALL,),
        occurrences=2,
        first_due_ms=now_ms + 2500,
        interval_ms=1000,
        accepted_ms=now_ms,
    )
    ledger.set_job("j", JobEntry(spec=spec))


def _after_others(ledger: Ledger) -> None:
    job(ledger, "j", SMALL, SMALL, msgspec.structs.replace(SMALL, after=(0, 1)))


def _huge(ledger: Ledger) -> None:
    job(ledger, "j", HUGE)
    assert started(ledger) == []
    _advance(ledger, 3.2)


def _unexamined(ledger: Ledger) -> None:
    job(ledger, "j")


def _earlier_holder(ledger: Ledger) -> None:
    _enter_assigned_job(ledger, "silent")
    _advance(ledger, 2.0)


def _final(ledger: Ledger) -> None:
    job(ledger, "j", SMALL, SMALL)
    started(ledger)
    ledger.finish(ledger.jobs_by_id["j"], JobState.CANCELLED)


def _enter_assigned_job(ledger: Ledger, worker_id: str) -> None:
    """Enter a job whose only task an earlier holder assigned to a worker."""
    ledger.set_workers(
        [*(each.entry for each in ledger.workers_by_id.values()), entry(worker_id)], []
    )
    spec = JobSpec(job_id="j", terms=NORMAL, customer="c", payload="x", steps=(SMALL,))
    assigned = StepProgress(assigned_by_index={0: worker_id})
    progress = JobProgress(begun=True, steps_by_key={"0.0": assigned})
    ledger.set_job("j", JobEntry(spec=spec, progress=progress))


@pytest.mark.parametrize(
    ("prepare", "standing", "line"),
    [
        (_done, Standing.DONE, "step 0: done (1 of 1 tasks)"),
        (_running, Standing.RUNNING, "step 0: running: 3 of 3 tasks, 0 done"),
        (
            _partly_running,
            Standing.WAITING,
            "step 0: waits for free capacity on its workers (capacity) for 0.2 s; "
            "tasks that wait: 1, running: 2 of 3 tasks, 0 done",
        ),
        (
            _not_due,
            Standing.NOT_DUE,
            "occurrence 0, step 0: not due until 1970-01-01T00:01:42.500+00:00, "
            "in 2.5 s",
        ),
        (
            _after_others,
            Standing.EARLIER_STEPS,
            "step 2: waits for earlier steps: 0, 1",
        ),
        (
            _huge,
            Standing.WAITING,
            "step 0: waits for larger workers; no approved one could hold it even if "
            "idle (size) for 3.2 s",
        ),
        (
            _unexamined,
            Standing.WAITING,
            "step 0: waits for a scheduling round that examines the step (unexamined) "
            "for 0.0 s",
        ),
        (
            _earlier_holder,
            Standing.WAITING,
            "step 0: waits for workers on which an earlier holder may have started its "
            "tasks (earlier-holder) for 2.0 s: silent",
        ),
        (
            _final,
            Standing.ENDED,
            "step 1: ended with the job, 0 of 1 tasks done; tasks that are being "
            "stopped: 1",
        ),
    ],
)
def test_line_of_a_step(
    prepare: Callable[[Ledger], None], standing: Standing, line: str
) -> None:
    """Guards against a step of which an operator does not see why it stands still."""
    ledger = make_ledger(2)
    prepare(ledger)
    explained = explain_job(ledger, "j", None, {})
    assert explained is not None
    assert line in explained.lines
    place = explained.lines.index(line) - 1
    assert explained.steps[place].standing is standing
    spec = ledger.jobs_by_id["j"].spec
    assert len(explained.lines) == 1 + spec.runs * len(spec.steps)


@pytest.mark.parametrize(
    ("job_entry", "line"),
    [
        (None, None),
        (
            JobEntry(progress=JobProgress(final=JobState.FAILED)),
            "job j has ended as failed",
        ),
        (JobEntry(), "the record of the acceptance of job j has not been read"),
        (
            JobEntry(
                spec=JobSpec(
                    job_id="j", terms=NORMAL, customer="c", payload="", steps=()
                )
            ),
            "job j is queued according to the store; the holder has not recovered it "
            "yet, or has just seen its end",
        ),
    ],
)
def test_job_that_is_not_in_the_ledger(
    job_entry: JobEntry | None, line: str | None
) -> None:
    """Guards against an ended job that is called unknown."""
    explained = explain_job(make_ledger(), "j", job_entry, {})
    assert (explained.lines if explained else None) == (line and (line,))


def test_explanation_of_a_long_schedule_is_bounded() -> None:
    """Guards against a step that waits behind thousands of occurrences."""
    ledger = make_ledger()
    now_ms = ledger.clock.wall_ms()
    spec = JobSpec(
        job_id="j",
        terms=NORMAL,
        customer="c",
        payload="x",
        steps=(SMALL,),
        occurrences=1000,
        first_due_ms=now_ms - 300_000,
        interval_ms=1000,
    )
    done = {
        f"{occurrence}.0": StepProgress(done=[0])
        for occurrence in range(1000)
        if occurrence != 200
    }
    progress = JobProgress(begun=True, steps_by_key=done)
    ledger.set_job("j", JobEntry(spec=spec, progress=progress))
    explained = explain_job(ledger, "j", None, {})
    assert explained is not None
    assert len(explained.steps) == MAX_EXPLAINED_STEPS
    assert [s.occurrence for s in explained.steps if s.reason] == [200]
    assert explained.lines[-1] == "900 further steps"


def test_steps_that_the_planner_does_not_see_are_counted() -> None:
    """Guards against a wait that only steps with a reason of the planner show."""
    ledger = make_ledger(2)
    _enter_assigned_job(ledger, "silent")
    job(ledger, "new")
    job(ledger, "busy", HUGE)
    _note(ledger, "busy", WaitReason.SIZE, 4.0)
    reasons = {s.step_id.job_id: s.reason for s in waiting_steps(ledger, {})}
    assert reasons == {"j": EARLIER_HOLDER, "new": UNEXAMINED, "busy": "size"}


@pytest.mark.parametrize("reason", REASONS)
def test_reason_is_in_the_operators_page(reason: str) -> None:
    """Guards against a reason that operators cannot look up."""
    assert f"| `{reason}` |" in OPERATIONS_PAGE.read_text()
