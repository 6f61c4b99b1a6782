"""Tests of submissions while the store answers no call, and right after it returns."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from briarrun_cell.clock import LoopClock
from briarrun_cell.decisions.store_silence import (
    SILENT_AFTER_S,
    StoreSilence,
    retry_after_s,
)
from briarrun_cell.frontend import RequestOutcome
from briarrun_cell.model import JobSpec
from briarrun_cell.ports import ReadResult, Record, StoreLimits, Topic
from briarrun_cell.record_writer import RecordWriter, WriteOutcome
from briarrun_cell.store_monitor import ObservedStore, StoreMonitor
from tests.cell.running import with_cell
from tools.emulator.cell.cell import CALL_DEADLINE_S, FakeCell, step
from tools.emulator.cell.store import FakeStore, StoreView

pytestmark = pytest.mark.looptime

SUBMISSIONS_PER_S = 40
SILENT_S = 3.0
MAX_TRIES = 4
"""Number of times that a client submits a job."""

ANSWER_MARGIN_S = 0.2
"""Time before the deadline of a caller at which a write in doubt is given up."""

MAX_REFUSAL_S = 1.0
"""Time within which a VM tells a caller that the store is silent: a slow store needs
0.5 s for an answer."""

MAX_IN_DOUBT = 0.05
"""Fraction of the submissions during the silence whose outcome may stay unknown: those
of the append that was under way at its start, not those that were never sent."""


@dataclass
class _Client:
    """Submits jobs, repeats those that were refused, and records the answers."""

    cell: FakeCell
    refusals_s: list[float] = field(default_factory=list)
    in_doubt_s: list[float] = field(default_factory=list)
    accepted_at_by_id: dict[str, float] = field(default_factory=dict)
    given_up: list[JobSpec] = field(default_factory=list)
    returned_at: list[float] = field(default_factory=list)

    async def submit(self, spec: JobSpec, vm: str | None = None) -> None:
        now = asyncio.get_running_loop().time
        for _ in range(MAX_TRIES):
            sent_at = now()
            reply = await self.cell.submit(spec, vm)
            took_s = now() - sent_at
            if reply.request_outcome is RequestOutcome.ACCEPTED:
                self.accepted_at_by_id[spec.job_id] = now()
                return
            if reply.request_outcome is RequestOutcome.IN_DOUBT:
                self.in_doubt_s.append(took_s)
                return
            assert reply.request_outcome is RequestOutcome.NOT_RUN
            self.refusals_s.append(took_s)
            assert reply.retry_after_s is not None
            assert 1 <= reply.retry_after_s <= 5
            await asyncio.sleep(reply.retry_after_s)
            self.returned_at.append(now())
        self.given_up.append(spec)

    async def stream(self, seconds: float, tasks: asyncio.TaskGroup) -> list[JobSpec]:
        specs = []
        for number in range(int(seconds * SUBMISSIONS_PER_S)):
            queue = "urgent" if number % 4 else "normal"
            spec = self.cell.spec(step(1, 100, cores=100), queue=queue)
            specs.append(spec)
            tasks.create_task(self.submit(spec))
            await asyncio.sleep(1 / SUBMISSIONS_PER_S)
        return specs


@pytest.mark.parametrize("seed", range(3))
@with_cell(vms=8, workers=8)
async def test_stream_of_submissions_while_the_store_is_silent(
    cell: FakeCell, seed: int
) -> None:
    """Guards against unknown outcomes of writes that were never sent.

    Before, such writes waited for the answer of a holder that waited for the store.
    """
    client = _Client(cell)
    async with asyncio.TaskGroup() as tasks:
        await client.stream(2.0, tasks)
        cell.store.faults.silent = True
        during = await client.stream(SILENT_S, tasks)
        cell.store.faults.silent = False
        await client.stream(3.0, tasks)
    assert len(client.in_doubt_s) <= MAX_IN_DOUBT * len(during)
    least_s = CALL_DEADLINE_S - ANSWER_MARGIN_S
    assert all(took_s >= least_s - 0.05 for took_s in client.in_doubt_s)
    assert client.refusals_s and max(client.refusals_s) <= MAX_REFUSAL_S
    started = cell.fleet.first_start_by_job
    assert not [spec for spec in client.given_up if spec.job_id in started]
    assert not [spec for spec in client.given_up if spec.queue == "urgent"]
    assert not await cell.finished(set(client.accepted_at_by_id), 10.0)
    # The callers come back over some seconds, not all at once.
    back = [at for at in client.returned_at]
    fullest = max(sum(at <= other < at + 0.25 for other in back) for at in back)
    assert fullest <= len(back) / 3


@pytest.mark.parametrize("slow_factor", [40.0, 60.0])
@with_cell(vms=20, workers=20)
async def test_slow_store_is_not_taken_for_a_silent_one(
    cell: FakeCell, slow_factor: float
) -> None:
    """Guards against refusals while the store needs a quarter of a second an answer."""
    await asyncio.sleep(2.0)
    cell.store.append_s = 0.001
    cell.store.faults.slow_factor = slow_factor
    client = _Client(cell)
    async with asyncio.TaskGroup() as tasks:
        specs = await client.stream(4.0, tasks)
    assert not client.refusals_s and not client.in_doubt_s
    assert len(client.accepted_at_by_id) == len(specs)


@pytest.mark.parametrize("frozen", [False, True], ids=["killed", "frozen"])
@with_cell(vms=8, workers=8)
async def test_submissions_right_after_the_holder_is_lost(
    cell: FakeCell, frozen: bool
) -> None:
    """Guards against submissions that wait for a lost holder while the store answers."""
    await asyncio.sleep(2.0)
    holder = await cell.wait_for_holder()
    if frozen:
        holder.store.running.clear()
    else:
        cell.kill_vm(holder.name)
    others = [name for name in cell.vms_by_name if name != holder.name]
    client = _Client(cell)
    sent_at = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as tasks:
        for name in others:
            tasks.create_task(client.submit(cell.spec(step(1, 100)), name))
    assert len(client.accepted_at_by_id) == len(others)
    assert max(client.accepted_at_by_id.values()) - sent_at <= 0.5
    holder.store.running.set()
    assert not await cell.finished(set(client.accepted_at_by_id), 8.0)


@with_cell(vms=3)
async def test_write_in_doubt_is_settled_when_the_store_returns(
    cell: FakeCell,
) -> None:
    """Guards against 504 for a write that a caller who still waits could learn about."""
    await asyncio.sleep(2.0)
    holder = await cell.wait_for_holder()
    cell.store.faults.silent = True
    client = _Client(cell)
    spec = cell.spec(step(1, 100))
    call = asyncio.create_task(client.submit(spec, holder.name))
    await asyncio.sleep(2.0)
    cell.store.faults.silent = False
    await call
    assert spec.job_id in client.accepted_at_by_id
    assert not await cell.finished({spec.job_id}, 8.0)


@pytest.mark.parametrize(
    ("events", "silent_s"),
    [
        # A call of a slow store.
        ([(0.0, "sent"), (0.5, "answered")], None),
        ([(0.0, "sent")], (0.6, 1.8)),
        (
            [(0.0, "sent"), (0.7, "sent"), (0.9, "failed"), (1.0, "answered")],
            (0.6, 1.0),
        ),
        # An answer to an earlier call shows that the store still answered then.
        ([(0.0, "sent"), (0.3, "sent"), (0.4, "answered")], (1.0, 1.8)),
        # A call that timed out still counts, one that failed at once does not.
        ([(0.0, "sent"), (0.8, "failed"), (0.8, "sent")], (0.6, 1.8)),
        ([(0.0, "sent"), (0.1, "failed"), (0.2, "sent")], (0.8, 1.8)),
        ([(0.0, "poll")], (1.6, 1.8)),
        # The report of the holder holds until a call that was sent later is answered.
        ([(0.0, "sent"), (0.1, "report"), (0.2, "answered")], (0.1, 1.1)),
        ([(0.0, "report"), (0.1, "sent"), (0.104, "answered")], (0.0, 0.104)),
    ],
)
async def test_calls_that_show_a_silent_store(
    events: list[tuple[float, str]], silent_s: tuple[float, float] | None
) -> None:
    """Guards against a slow store that counts as silent, and the reverse."""
    silence = StoreSilence(0.0)
    calls: list[int] = []
    silent_at: list[float] = []
    for millisecond in range(0, 1800, 4):
        now = millisecond / 1000
        for _, event in [each for each in events if abs(each[0] - now) < 0.001]:
            if event in ("sent", "poll"):
                wait_s = 1.0 if event == "poll" else 0.0
                calls.append(silence.on_sent(now, SILENT_AFTER_S + wait_s))
            elif event == "report":
                silence.on_report(now)
            else:
                silence.on_end(calls.pop(0), now, answered=event == "answered")
        if silence.is_silent(now):
            silent_at.append(now)
    if silent_s is None:
        assert not silent_at
    else:
        first, end = silent_s
        assert silent_at[0] == pytest.approx(first, abs=0.005)
        assert silent_at[-1] == pytest.approx(end, abs=0.005)
        assert len(silent_at) == pytest.approx((end - first) / 0.004, abs=2)


@pytest.mark.parametrize(
    ("urgency", "outage_s", "expected"),
    [
        (0, 2.0, {1}),
        (0, 9.0, {1, 2}),
        (1, 2.0, {2, 3}),
        (2, 2.0, {3, 4}),
        (5, 9.0, {3, 4, 5}),
    ],
)
async def test_retry_after_by_urgency(
    urgency: int, outage_s: float, expected: set[int]
) -> None:
    """Guards against callers who all return at once, or urgent ones who return last."""
    ids = [f"{number:016x}" for number in range(300)]
    answers = [retry_after_s(urgency, outage_s, job_id) for job_id in ids]
    assert set(answers) == expected
    assert all(answers.count(value) > 50 for value in expected)
    assert answers == [retry_after_s(urgency, outage_s, job_id) for job_id in ids]


class _SlowTransfer(StoreView):
    """Takes two seconds for each read that is no probe, since it returns much."""

    async def read(
        self, topic: Topic, start: int, *, wait_s: float, timeout_s: float
    ) -> ReadResult:
        """Return the records after the transfer."""
        if topic is not Topic.CONFIG:
            await asyncio.sleep(2.0)
        return await super().read(topic, start, wait_s=wait_s, timeout_s=timeout_s)


async def test_long_transfer_is_no_silence_and_is_not_given_up() -> None:
    """Guards against reads on slow links that are repeated for ever.

    The read took longer than a silence, and the next answer of the store ended it.
    """
    store, clock = FakeStore(random.Random(1)), LoopClock()
    observed = ObservedStore(_SlowTransfer(store), clock)
    monitor = StoreMonitor(observed, clock, lambda: 0)
    read = asyncio.ensure_future(
        observed.read(Topic.JOBS, 0, wait_s=0.0, timeout_s=5.0)
    )
    await asyncio.sleep(1.0)
    assert not monitor.is_silent()
    assert await monitor.answers_within(SILENT_AFTER_S)
    await asyncio.sleep(0.1)
    assert not read.done()
    assert (await read).records == ()


class _OneByOne(StoreView):
    """Takes one record an append."""

    def __init__(self, store: FakeStore) -> None:
        super().__init__(store, limits=StoreLimits(1000, 12))


async def test_urgent_records_are_stored_first_after_a_silence() -> None:
    """Guards against urgent work that waits behind all others when the store returns."""
    store, clock = FakeStore(random.Random(1)), LoopClock()
    observed = ObservedStore(_OneByOne(store), clock)
    monitor = StoreMonitor(observed, clock, lambda: 0)
    writer = RecordWriter(observed, clock, monitor)
    watching = asyncio.ensure_future(monitor.run())
    store.faults.silent = True
    assert not await monitor.answers_within(SILENT_AFTER_S)
    assert await writer.write(Record("j/0", b""), 0.1, 1.0) is WriteOutcome.UNREACHABLE
    store.faults.silent = False
    while monitor.is_silent():
        await asyncio.sleep(0.01)
    writes = [
        asyncio.ensure_future(
            writer.write(Record(f"j/{key}", b"{}"), 0.1, 1.0, priority=priority)
        )
        for key, priority in (("a", 2), ("b", 0), ("c", 1))
    ]
    await asyncio.sleep(0)
    running = asyncio.ensure_future(writer.run())
    await asyncio.gather(*writes)
    assert [each.key for each in store.values(Topic.JOBS)] == ["j/b", "j/c", "j/a"]
    running.cancel()
    watching.cancel()
