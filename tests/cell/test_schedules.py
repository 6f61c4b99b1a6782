"""Tests of jobs that run many times."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarrun_cell.clock import LoopClock
from briarrun_cell.decisions.planner import Planner
from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.index_ranges import IndexRanges, to_indexes, to_ranges
from briarrun_cell.job_table import JobEntry
from briarrun_cell.jobs import remaining_s_by_step
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import EndKind, EndReport, JobSpec, JobState, StepSpec
from briarrun_cell.ports import Topic
from briarrun_cell.records import JobProgress, StepProgress, decode, progress_record
from tests.cell.running import with_cell
from tests.cell.test_ledger import NORMAL, make_ledger, poll
from tools.emulator.cell.cell import FakeCell, step

pytestmark = pytest.mark.looptime

HOUR_MS = 3_600_000
HOURS_OF_A_YEAR = 8_760

SMALL_RECORD_BYTES = 2_000
"""Size that the progress of a job with a few tasks must not exceed."""


def _scheduled(
    spec: JobSpec, occurrences: int, interval_ms: int, due_in_ms: int = 0
) -> JobSpec:
    """Return the job with a schedule."""
    return msgspec.structs.replace(
        spec,
        occurrences=occurrences,
        first_due_ms=LoopClock().wall_ms() + due_in_ms,
        interval_ms=interval_ms,
    )


def _hourly(ledger: Ledger, occurrences: int, due_in_ms: int = 0) -> JobSpec:
    spec = JobSpec(
        job_id="j",
        terms=NORMAL,
        customer="c",
        payload="x",
        steps=(step(2), step(1, after=(0,)), step(1, after=(1,))),
        occurrences=occurrences,
        first_due_ms=ledger.clock.wall_ms() + due_in_ms,
        interval_ms=HOUR_MS,
    )
    ledger.set_job("j", JobEntry(spec=spec))
    return spec


def _largest_progress(cell: FakeCell) -> int:
    sizes = [r.size for r in cell.store.values(Topic.JOBS) if r.key.startswith("p/")]
    return max(sizes, default=0)


@with_cell()
async def test_long_schedule_keeps_no_other_job_from_starting(cell: FakeCell) -> None:
    """Guards against LOST of all jobs because of one that runs often."""
    spec = cell.spec(step(1), step(1, after=(0,)), step(1, after=(1,)))
    spec = _scheduled(spec, HOURS_OF_A_YEAR, HOUR_MS, due_in_ms=500)
    assert (await cell.submit(spec)).request_outcome is RequestOutcome.ACCEPTED
    await asyncio.sleep(3.0)
    assert await cell.state(spec.job_id) is JobState.RUNNING
    others = [cell.spec(step(2)) for _ in range(10)]
    for other in others:
        assert (await cell.submit(other)).request_outcome is RequestOutcome.ACCEPTED
    assert not await cell.finished({other.job_id for other in others}, 3.0)
    assert _largest_progress(cell) < SMALL_RECORD_BYTES


@pytest.mark.parametrize("interval_ms", [0, 1, 200, 700])
@pytest.mark.parametrize("kills", [0, 2])
@with_cell(workers=6)
async def test_every_occurrence_runs_once(
    cell: FakeCell, interval_ms: int, kills: int
) -> None:
    """Guards against occurrences that are lost or run again after a takeover (TWICE).

    They overlap if the interval is shorter than the work of an occurrence.
    """
    spec = _scheduled(
        cell.spec(step(2, 300), step(1, 100, after=(0,))), 30, interval_ms
    )
    cell.fleet.specs_by_id[spec.job_id] = spec
    assert (await cell.submit(spec)).request_outcome is RequestOutcome.ACCEPTED
    for _ in range(kills):
        await asyncio.sleep(1.7)
        holder = await cell.wait_for_holder()
        cell.kill_vm(holder.name)
        cell.start_vm(holder.name)
    assert not await cell.finished({spec.job_id}, 60.0)
    assert await cell.state(spec.job_id) is JobState.COMPLETED
    done = {task for task in cell.fleet.done if task.job_id == spec.job_id}
    assert len(done) == 30 * 3


@with_cell(workers=8)
async def test_backlog_of_occurrences_completes(cell: FakeCell) -> None:
    """Guards against a schedule that is far behind and stops at the bound of its size."""
    spec = _scheduled(cell.spec(step(1, 50)), 3_000, 1)
    cell.fleet.specs_by_id[spec.job_id] = spec
    assert (await cell.submit(spec)).request_outcome is RequestOutcome.ACCEPTED
    other = cell.spec(step(1))
    await cell.submit(other)
    assert not await cell.finished({other.job_id}, 20.0)
    assert not await cell.finished({spec.job_id}, 120.0)


@pytest.mark.parametrize("due_in_ms", [0, 2 * HOUR_MS])
def test_ledger_holds_what_is_due(due_in_ms: int) -> None:
    """Guards against a takeover whose work grows with what was promised (LOST)."""
    ledger = make_ledger()
    _hourly(ledger, HOURS_OF_A_YEAR, due_in_ms)
    expected = 0 if due_in_ms else 3
    assert len(ledger.jobs_by_id["j"].steps_by_id) == expected
    assert len(Planner(ledger).plan().placements) == min(1, expected)
    record = progress_record("j", ledger.jobs_by_id["j"].progress)
    assert record.size < SMALL_RECORD_BYTES


def test_finished_occurrences_leave_the_record() -> None:
    """Guards against a record that grows with each occurrence, until none is stored."""
    ledger = make_ledger()
    _hourly(ledger, 500)
    planner = Planner(ledger)
    numbers = dict.fromkeys(ledger.workers_by_id, 0)
    while not (job := ledger.jobs_by_id["j"]).final:
        for placement in planner.plan().placements:
            for run in placement.runs:
                ledger.on_started(run)
                numbers[run.worker.worker_id] += 1
                number = numbers[run.worker.worker_id]
                end = EndReport(number, run.task, run.number, EndKind.DONE, "")
                poll(ledger, run.worker, ended=(end,))
        assert progress_record("j", job.progress).size < SMALL_RECORD_BYTES
        assert len(job.steps_by_id) <= 2 * 3
        ledger.clock.time += HOUR_MS / 3000  # type: ignore[attr-defined]
        for worker in ledger.workers_by_id.values():
            worker.contact_at = ledger.clock.now()
    assert job.progress.final is JobState.COMPLETED


@pytest.mark.parametrize("every_key", [False, True], ids=["used keys", "all keys"])
def test_progress_of_an_earlier_version_is_read(every_key: bool) -> None:
    """Guards against tasks that run again after an upgrade (TWICE)."""
    ledger = make_ledger()
    spec = _hourly(ledger, 100, -9 * HOUR_MS)
    finished = StepProgress(done=[0]), StepProgress(done=[0, 1])
    steps = {f"{k}.0": finished[1] for k in range(9)}
    steps |= {f"{k}.{n}": finished[0] for k in range(8) for n in (1, 2)}
    if every_key:
        empty = {f"{k}.{n}": StepProgress() for k in range(100) for n in range(3)}
        steps = empty | steps
    old = msgspec.json.encode(JobProgress(begun=True, steps_by_key=steps))
    later = make_ledger()
    later.clock.time = ledger.clock.now()  # type: ignore[attr-defined]
    progress = msgspec.json.decode(old, type=JobProgress)
    later.set_job("j", JobEntry(spec=spec, progress=progress))
    ready = later.jobs_by_id["j"].ready_steps(later.clock.wall_ms())
    names = [(each.step_id.occurrence, each.step_id.step) for each in ready]
    assert names == [(8, 1), (9, 0)]


def test_stored_progress_is_read_again() -> None:
    """Guards against tasks or occurrences that change between two holders."""
    ledger = make_ledger()
    spec = _hourly(ledger, 100, -9 * HOUR_MS)
    job = ledger.jobs_by_id["j"]
    for occurrence in (0, 1, 5):
        for each in job.occurrence_steps(occurrence):
            each.progress.done = list(range(each.spec.count))
            each.pending.clear()
    job.occurrence_steps(3)[0].progress.done = [1]
    job.occurrence_steps(3)[0].pending = {0}
    job.close_occurrences()
    _, progress = decode(progress_record("j", job.progress))
    assert isinstance(progress, JobProgress)
    later = make_ledger()
    later.set_job("j", JobEntry(spec=spec, progress=progress))
    again = later.jobs_by_id["j"]
    assert list(again.done_occurrences.ranges) == [(0, 1), (5, 5)]
    assert again.occurrence_steps(3)[0].pending == {0}
    assert again.steps_by_id.keys() == job.steps_by_id.keys()


@given(st.lists(st.integers(0, 40)), st.integers(0, 42))
def test_ranges_hold_the_indexes_added(indexes: list[int], probed: int) -> None:
    """Guards against a range that gains or loses an index."""
    ranges = IndexRanges()
    for index in indexes:
        ranges.add(index)
    assert len(ranges) == len(set(indexes))
    assert list(ranges.ranges) == to_ranges(indexes)
    assert to_indexes(ranges.ranges, 100) == set(indexes)
    assert (probed in ranges) is (probed in indexes)
    missing = next(each for each in range(probed, 50) if each not in indexes)
    assert ranges.next_missing(probed) == missing
    again = IndexRanges(ranges.ranges)
    assert list(again.ranges) == list(ranges.ranges) and len(again) == len(ranges)


@given(st.lists(st.tuples(st.integers(0, 50), st.sets(st.integers(0, 7))), max_size=8))
def test_remaining_run_time_is_the_longest_chain(
    shape: list[tuple[int, set[int]]],
) -> None:
    """Guards against steps that are ranked by a wrong estimate."""
    steps = tuple(
        StepSpec(estimated_ms=ms, after=tuple(i for i in after if i < number))
        for number, (ms, after) in enumerate(shape)
    )
    spec = JobSpec(job_id="j", terms=NORMAL, customer="c", payload="", steps=steps)

    def chain_ms(number: int, first: int) -> int:
        earlier = [chain_ms(i, first) for i in steps[number].after if i >= first]
        return steps[number].estimated_ms + max(earlier, default=0)

    expected = [
        max(chain_ms(number, first) for number in range(first, len(steps))) / 1000
        for first in range(len(steps))
    ]
    assert remaining_s_by_step(spec) == pytest.approx(expected)
