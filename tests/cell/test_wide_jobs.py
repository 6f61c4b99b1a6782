"""Tests of jobs with very many tasks, whose progress must fit into a record."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from briarrun_cell.decisions.planner import Planner
from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.job_table import JobEntry
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import (
    EndKind,
    EndReport,
    JobSpec,
    JobState,
    Queue,
    RunReport,
    StepSpec,
)
from briarrun_cell.ports import DEFAULT_RECORD_BYTES, StoreLimits, Topic
from briarrun_cell.progress_size import JobTooLarge, ProgressBounds
from briarrun_cell.records import JobProgress, StepProgress, decode, progress_record
from briarrun_cell.workers import GiveUpReason
from briarrun_core.resources import Resources
from tests.cell.running import with_cell
from tests.cell.test_ledger import NORMAL, entry, make_ledger, poll
from tools.emulator.cell.cell import FakeCell, step

SMALL_BOUNDS = ProgressBounds(30_000)
"""Bounds at which some hundred tasks fill a record."""

TINY = StepSpec(need=Resources(1, 1), estimated_ms=1000)


@pytest.mark.looptime
@pytest.mark.parametrize("kills", [0, 1])
@with_cell(
    capacity=Resources(64_000, 10_000_000),
    max_attempts=3,
    store_limits=StoreLimits(record_bytes=SMALL_BOUNDS.record_bytes),
)
async def test_wide_job_keeps_no_other_job_from_starting(
    cell: FakeCell, kills: int
) -> None:
    """Guards against LOST of all jobs because of one of many tasks."""
    wide = cell.spec(step(3_000, 300, cores=5))
    assert (await cell.submit(wide)).request_outcome is RequestOutcome.ACCEPTED
    async with asyncio.timeout(5.0):
        while not cell.fleet.starts:
            await asyncio.sleep(0.01)
    for _ in range(kills):
        holder = await cell.wait_for_holder()
        cell.kill_vm(holder.name)
        cell.start_vm(holder.name)
    others = [cell.spec(step(2)) for _ in range(10)]
    async with asyncio.timeout(10.0):
        for other in others:
            while (await cell.submit(other)).request_outcome is not (
                RequestOutcome.ACCEPTED
            ):
                await asyncio.sleep(0.1)
    assert not await cell.finished({other.job_id for other in others}, 14.0)
    assert not await cell.finished({wide.job_id}, 60.0)
    assert await cell.state(wide.job_id) is JobState.COMPLETED
    sizes = [record.size for record in cell.store.values(Topic.JOBS)]
    assert max(sizes) <= SMALL_BOUNDS.record_bytes


def _ledger(spec: JobSpec, progress: JobProgress | None = None) -> Ledger:
    """Return a ledger with small bounds, and workers with long ids and much room."""
    template = make_ledger(0)
    ledger = Ledger(
        template.clock,
        2**20,
        template.config,
        template.lease_durations,
        lambda job_id: None,
        SMALL_BOUNDS,
    )
    entries = [entry(f"{n:036x}", cores=10**6) for n in range(40)]
    for worker in ledger.set_workers(entries, []):
        poll(ledger, worker)
    ledger.set_job("j", JobEntry(spec=spec, progress=progress))
    return ledger


def _accepted_job(rng: random.Random) -> JobSpec:
    """Return a random job that the bounds accept, larger than a record if possible."""
    while True:
        steps = [
            msgspec.structs.replace(
                TINY,
                count=rng.choice((1, 3, 40, 150, 2_000)),
                gang=rng.random() < 0.3,
                service=rng.random() < 0.1,
                checkpoints=rng.random() < 0.5,
                after=() if number == 0 or rng.random() < 0.5 else (number - 1,),
            )
            for number in range(rng.choice((1, 2, 30)))
        ]
        attempts = rng.choice((1, 3, 9))
        spec = JobSpec(
            job_id="j",
            terms=msgspec.structs.replace(NORMAL, max_attempts=attempts),
            customer="c",
            payload="",
            steps=tuple(steps),
            occurrences=rng.choice((0, 0, 50, 5_000)),
            interval_ms=1,
        )
        try:
            SMALL_BOUNDS.check(spec)
        except JobTooLarge:
            continue
        return spec


def _end_kind(rng: random.Random, ledger: Ledger) -> EndKind:
    """Return how a run ends; failures are as frequent as the job's attempts allow."""
    attempts = ledger.jobs_by_id["j"].queue.max_attempts
    if rng.random() < 0.2 * (attempts > 1):
        return EndKind.FAILED
    return rng.choice((EndKind.DONE, EndKind.DONE, EndKind.STOPPED))


@pytest.mark.parametrize("seed", range(40))
def test_progress_of_an_accepted_job_fits_into_a_record(seed: int) -> None:
    """Guards against accepted jobs that need a larger record than the store takes."""
    rng = random.Random(seed)
    spec = _accepted_job(rng)
    ledger = _ledger(spec)
    ledger.config.queues_by_name[spec.queue] = spec.terms
    planner, job = Planner(ledger), ledger.jobs_by_id["j"]
    numbers = dict.fromkeys(ledger.workers_by_id, 0)
    for _ in range(25):
        for placement in planner.plan().placements:
            ledger.record_assignments(placement.step, placement.runs)
            for run in placement.runs:
                ledger.on_started(run)
        assert progress_record("j", job.progress).size <= SMALL_BOUNDS.record_bytes
        for worker in list(ledger.workers_by_id.values()):
            listed, ended = [], []
            for run in worker.runs_by_id.values():
                saved = rng.choice(("", "0123456789abcdef", '"' * 500))
                if rng.random() < 0.6:
                    listed.append(RunReport(run.task, run.number, saved, 50, 0.0))
                    continue
                numbers[worker.worker_id] += 1
                number, how = numbers[worker.worker_id], _end_kind(rng, ledger)
                ended.append(EndReport(number, run.task, run.number, how, saved))
            poll(ledger, worker, tuple(listed), tuple(ended))
            worker.contact_at = ledger.clock.now()
        if job.final:
            break
        assert progress_record("j", job.progress).size <= SMALL_BOUNDS.record_bytes


@pytest.mark.looptime
@pytest.mark.parametrize(
    "steps",
    [
        (step(20_000, gang=True),),
        (step(20_000, service=True),),
        (step(1_000, service=True), step(1_000, service=True)),
    ],
    ids=["gang", "lasting", "lasting steps"],
)
@with_cell()
async def test_job_whose_progress_can_not_be_kept_is_rejected(
    cell: FakeCell, steps: tuple[StepSpec, ...]
) -> None:
    """Guards against a job that is accepted although no record can hold its progress."""
    await cell.wait_for_holder()
    reply = await cell.submit(cell.spec(*steps))
    assert reply.request_outcome is RequestOutcome.INVALID
    assert "run together" in reply.detail and reply.retry_after_s is None


def test_schedule_of_lasting_steps_is_bounded() -> None:
    """Guards against occurrences that never end and fill the record one by one."""
    spec = JobSpec(
        job_id="j",
        terms=NORMAL,
        customer="c",
        payload="",
        steps=(msgspec.structs.replace(TINY, service=True),),
        occurrences=8_760,
    )
    with pytest.raises(JobTooLarge):
        ProgressBounds(DEFAULT_RECORD_BYTES).check(spec)


@pytest.mark.parametrize(
    "saved", [{0: "a", 1: "a", 2: "a"}, {-1: "a"}, {2: "a"}], ids=str
)
def test_members_of_a_gang_resume_from_the_same_checkpoint(
    saved: dict[int, str],
) -> None:
    """Guards against a gang whose members start with different checkpoints."""
    spec = JobSpec(
        job_id="j",
        terms=NORMAL,
        customer="c",
        payload="",
        steps=(msgspec.structs.replace(TINY, count=3, gang=True),),
    )
    stored = StepProgress(checkpoints_by_index=saved)
    ledger = _ledger(spec, JobProgress(steps_by_key={"0.0": stored}))
    (placement,) = Planner(ledger).plan().placements
    assert [run.checkpoint for run in placement.runs] == ["a"] * 3
    for run in placement.runs:
        ledger.on_started(run)
    placement.runs[1].checkpoint = "b"
    for run in placement.runs:
        ledger.give_up(run, GiveUpReason.WORKER_ENDED)
    (again,) = Planner(ledger).plan().placements
    assert len({run.checkpoint for run in again.runs}) == 1


def test_queue_without_limits_is_read() -> None:
    """Guards against a bound that depends on fields which old records lack."""
    terms = Queue(name="q", host="h", path_prefix="/", pool="p")
    spec = JobSpec(job_id="j", terms=terms, customer="c", payload="", steps=(TINY,))
    ProgressBounds(DEFAULT_RECORD_BYTES).check(spec)
    record = progress_record("j", JobProgress(begun=True))
    assert decode(record) == ("j", JobProgress(begun=True))


@pytest.mark.parametrize("others", [0, 1, 9])
@pytest.mark.parametrize("attempts", [1, 3])
def test_every_occurrence_of_an_accepted_schedule_that_lasts_is_opened(
    others: int, attempts: int
) -> None:
    """Guards against LOST of late occurrences, as the earlier ones never end."""
    bounds = ProgressBounds(DEFAULT_RECORD_BYTES)
    lasting = msgspec.structs.replace(TINY, service=True)
    for runs in range(2, 2_000):
        spec = JobSpec(
            job_id="j",
            terms=msgspec.structs.replace(NORMAL, max_attempts=attempts),
            customer="c",
            payload="",
            steps=(lasting, *[TINY] * others),
            occurrences=runs,
        )
        try:
            bounds.check(spec)
        except JobTooLarge:
            continue
        assert bounds.admits_occurrence(spec, (runs - 1) * len(spec.steps))
