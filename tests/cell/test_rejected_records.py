"""Tests of records that the store rejects for good, beside others that it takes."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.job_table import JobTable
from briarrun_cell.journal import Journal
from briarrun_cell.model import JobState
from briarrun_cell.ports import AppendOutcome, AppendResult, Record, Store, StoreLimits
from briarrun_cell.record_writer import RecordWriter, WriteOutcome
from briarrun_cell.records import decode
from briarrun_cell.store_monitor import ObservedStore, StoreMonitor
from tests.cell.running import with_cell
from tests.cell.test_ledger import job, make_ledger
from tools.emulator.cell.cell import FakeCell, step
from tools.emulator.cell.store import StoreView

pytestmark = pytest.mark.looptime

LARGE = 200_000
"""Size of a payload of which ten fit into one append, and one into a record."""


class _PickyStore(StoreView):
    """Rejects each append that holds a record with one of some keys."""

    def __init__(self, rejected: set[str], limits: StoreLimits | None = None) -> None:
        super().__init__(FakeCell(1).store, limits=limits)
        self.rejected = rejected
        self.stored: list[Record] = []

    async def append(self, *args: object, **kwargs: object) -> AppendResult:
        records = args[1]
        assert isinstance(records, list)
        if self.rejected & {record.key for record in records}:
            return AppendResult(AppendOutcome.INVALID, detail="status 400")
        result = await super().append(*args, **kwargs)  # type: ignore[arg-type]
        if result.outcome is AppendOutcome.DONE:
            self.stored += records
        return result


def _journal(store: Store, jobs: int) -> tuple[Journal, dict[str, JobState | None]]:
    """Return a journal of some jobs with progress to store, and their outcomes."""
    ledger = make_ledger(2)
    for number in range(jobs):
        spec = job(ledger, f"j{number}")
        ledger.jobs_by_id[spec.job_id].progress.begun = True
        ledger.dirty.add(spec.job_id)
    outcomes: dict[str, JobState | None] = {}
    for job_id, each in ledger.jobs_by_id.items():
        outcomes[job_id] = each.progress.final
    return Journal(store, ledger.clock, ledger, JobTable(), 1.0, lambda: None), outcomes


@pytest.mark.parametrize("rejected", [{"p/j0"}, {"p/j3"}, {"p/j1", "p/j6"}])
async def test_record_that_the_store_rejects_holds_up_no_other(
    rejected: set[str],
) -> None:
    """Guards against LOST of all jobs because of one record that is never stored."""
    store = _PickyStore(rejected)
    journal, outcomes = _journal(store, 7)
    await journal.fence()
    running = asyncio.create_task(journal.run())
    try:
        async with asyncio.timeout(5.0):
            await journal.wait_flushed()
    finally:
        running.cancel()
    stored = {record.key for record in store.stored}
    assert stored == {f"p/{name}" for name in outcomes} - rejected


async def test_job_whose_progress_is_too_large_fails_alone() -> None:
    """Guards against a cell that stops since the progress of one job does not fit."""
    store = _PickyStore(set(), StoreLimits(record_bytes=400))
    ledger = make_ledger(2)
    for name in ("wide", "narrow"):
        spec = job(ledger, name, step(100))
        ledger.jobs_by_id[spec.job_id].progress.begun = True
        ledger.dirty.add(spec.job_id)
    (wide,) = ledger.jobs_by_id["wide"].steps_by_id.values()
    wide.progress.assigned_by_index = {index: "worker" for index in range(100)}
    journal = Journal(store, ledger.clock, ledger, JobTable(), 1.0, lambda: None)
    await journal.fence()
    running = asyncio.create_task(journal.run())
    try:
        async with asyncio.timeout(5.0):
            await journal.wait_flushed()
            await journal.wait_flushed()
    finally:
        running.cancel()
    progress = {job_id: content for job_id, content in map(decode, store.stored)}
    assert getattr(progress["wide"], "final", None) is JobState.FAILED
    assert getattr(progress["narrow"], "final", None) is None


@pytest.mark.parametrize("rejected", [set(), {"j/0"}, {"j/4", "j/5"}])
async def test_submission_that_the_store_rejects_is_rejected_alone(
    rejected: set[str],
) -> None:
    """Guards against callers that are turned away because of another one's job."""
    store = _PickyStore(rejected)
    clock = make_ledger().clock
    monitor = StoreMonitor(ObservedStore(store, clock), clock, lambda: None)
    writer = RecordWriter(store, clock, monitor)
    running = asyncio.create_task(writer.run())
    records = [Record(f"j/{number}", b"x" * LARGE) for number in range(25)]
    try:
        async with asyncio.timeout(5.0):
            outcomes = await asyncio.gather(
                *(writer.write(record, 0.1, 0.9) for record in records)
            )
    finally:
        running.cancel()
    refused = {r.key for r, o in zip(records, outcomes, strict=True) if o != "stored"}
    assert refused == rejected
    assert {outcomes[int(key[2:])] for key in rejected} <= {WriteOutcome.REJECTED}


@with_cell()
async def test_job_that_is_too_large_for_a_record_is_rejected_at_once(
    cell: FakeCell,
) -> None:
    """Guards against a caller who is told for ever to try a job again."""
    await cell.wait_for_holder()
    spec = msgspec.structs.replace(cell.spec(step(1)), payload="x" * 300_000)
    for vm in cell.vms_by_name:
        reply = await cell.submit(spec, vm)
        assert reply.request_outcome is RequestOutcome.INVALID
        assert "bytes" in reply.detail
