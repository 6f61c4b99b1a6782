"""Tests of readers of the store that meet records of another writer."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Any

import eliot
import msgspec
import pytest

from briarrun_cell.clock import LoopClock
from briarrun_cell.config_view import ConfigView
from briarrun_cell.entry_vms import EntryVmTable
from briarrun_cell.job_table import JobTable
from briarrun_cell.model import JobSpec, Queue, StepSpec, WorkerEntry
from briarrun_cell.ports import Record, Topic
from briarrun_cell.registry import WorkerRegistry
from briarrun_cell.stream import JobStreamListener
from briarrun_cell.tail import TopicListener, TopicTail
from briarrun_platform.decoding import PlatformDecoder
from tests.platform_adapter.test_decoding import GOOD_WORKER
from tests.platform_adapter.test_odd_records import DEEP, HUGE, ODD_WORKERS
from tools.emulator.cell.cell import FakeCell, FakeDecoder
from tools.emulator.cell.store import FakeStore, StoreView

pytestmark = pytest.mark.looptime

VMS = 3
GOOD = json.dumps(GOOD_WORKER).encode()


@contextmanager
def _log_lines() -> Iterator[list[dict[str, Any]]]:
    lines: list[dict[str, Any]] = []
    eliot.add_destinations(lines.append)
    try:
        yield lines
    finally:
        eliot.remove_destination(lines.append)


def _restarts(lines: list[dict[str, Any]]) -> list[str]:
    texts = [str(line.get("message")) for line in lines]
    return [text for text in texts if "restarting" in text]


def new_registry() -> WorkerRegistry:
    return WorkerRegistry(PlatformDecoder(), LoopClock(), 6.0)


async def _started(
    cell_store: FakeStore, listeners: Sequence[TopicListener], topic: Topic
) -> tuple[list[TopicTail], list[asyncio.Task[None]]]:
    tails = [
        TopicTail(StoreView(cell_store), topic, each, LoopClock(), wait_s=1.0)
        for each in listeners
    ]
    tasks = [asyncio.get_running_loop().create_task(tail.run()) for tail in tails]
    return tails, tasks


@pytest.mark.parametrize("on_snapshot", [True, False], ids=["snapshot", "records"])
@pytest.mark.parametrize("name", ODD_WORKERS)
async def test_entries_behind_an_odd_one_are_followed(
    name: str, on_snapshot: bool
) -> None:
    """Guards against one odd entry that hides all workers behind it, on every VM."""
    with_rng = FakeCell(1)
    store = with_rng.store
    registries = [new_registry() for _ in range(VMS)]
    if not on_snapshot:
        tails, tasks = await _started(store, registries, Topic.WORKERS)
        await asyncio.sleep(0.5)
    store.put(Topic.WORKERS, "odd", ODD_WORKERS[name][0])
    store.put(Topic.WORKERS, "i-1", GOOD)
    if on_snapshot:
        tails, tasks = await _started(store, registries, Topic.WORKERS)
    await asyncio.sleep(0.5)
    store.put(Topic.WORKERS, "i-2", GOOD)
    await asyncio.sleep(0.5)
    assert [task.done() for task in tasks] == [False] * VMS
    for task in tasks:
        task.cancel()
    for registry, tail in zip(registries, tails, strict=True):
        assert sorted(registry.by_id) == ["i-1", "i-2"]
        assert registry.unreadable == 1
        assert tail.next_offset == 3


class _MixedDecoder(FakeDecoder):
    """Reads the entries of the emulated cell, and all others as the platform's."""

    def decode_worker(self, worker_id: str, value: bytes) -> WorkerEntry:
        if value.isdigit():
            return super().decode_worker(worker_id, value)
        return PlatformDecoder().decode_worker(worker_id, value)


async def test_cell_with_an_odd_entry_runs_its_jobs() -> None:
    """Guards against a cell that restarts its readers because of one odd entry."""
    cell = FakeCell(1)
    cell.decoder = _MixedDecoder()
    with _log_lines() as lines:
        try:
            cell.store.put(Topic.WORKERS, "odd", DEEP)
            await cell.start()
            await cell.wait_for_holder()
            cell.store.put(Topic.WORKERS, "odd-2", DEEP)
            cell.add_worker("late")
            spec = cell.spec()
            await cell.submit(spec)
            assert not await cell.finished({spec.job_id}, 10.0)
            await asyncio.sleep(1.5)  # Others read less often than the holder.
            cores = [vm.core for vm in cell.vms_by_name.values()]
            replicas = [core for core in cores if core is not None and core.is_replica]
            assert replicas
            for core in replicas:
                known = core.holder._deps.registry.by_id
                assert sorted(known) == ["late", "w0", "w1", "w2", "w3"]
        finally:
            cell.close()
    assert not cell.fleet.violations
    assert _restarts(lines) == []


async def test_runs_of_a_worker_whose_entry_turned_odd_go_on() -> None:
    """Guards against work that is given up, or sent there, because of an odd entry."""
    cell = FakeCell(1)
    cell.decoder = _MixedDecoder()
    cell.options.workers = 1
    try:
        await cell.start()
        await cell.wait_for_holder()
        spec = cell.spec(StepSpec(count=1, estimated_ms=15_000))
        await cell.submit(spec)
        await asyncio.sleep(1.0)
        cell.store.put(Topic.WORKERS, "w0", DEEP)
        await asyncio.sleep(1.0)
        further = cell.spec()
        await cell.submit(further)
        assert not await cell.finished({spec.job_id}, 20.0)
        assert await cell.finished({further.job_id}, 1.0)
        cell.register(cell.decoder.entries[0])
        assert not await cell.finished({further.job_id}, 10.0)
        assert not cell.fleet.violations
    finally:
        cell.close()


async def test_restarted_worker_whose_entry_turned_odd_gets_no_work() -> None:
    """Guards against work for a life of a worker that has no readable entry."""
    cell = FakeCell(1)
    cell.decoder = _MixedDecoder()
    cell.options.workers = 0
    try:
        await cell.start()
        await cell.wait_for_holder()
        worker = cell.add_worker("w0")
        await asyncio.sleep(2.0)
        cell.fleet.rebirth(worker)
        await asyncio.sleep(10.0)
        cell.store.put(Topic.WORKERS, "w0", DEEP)
        await asyncio.sleep(2.0)
        spec = cell.spec()
        await cell.submit(spec)
        assert await cell.finished({spec.job_id}, 5.0)
    finally:
        cell.close()


async def test_repeated_odd_entry_of_a_key_is_logged_once() -> None:
    """Guards against a log that is filled by one writer, and against lines of any length."""
    registry = new_registry()
    odd = json.dumps({**GOOD_WORKER, "state": "x" * 10_000}).encode()
    with _log_lines() as lines:
        for offset in range(100):
            registry.on_records([Record("odd", odd, offset)], 0.0)
    assert registry.unreadable == 100
    written = [line for line in lines if line.get("message_type") == "registry:warning"]
    assert len(written) == 1
    assert len(json.dumps(written[0], default=str)) < 1_000


def test_last_good_configuration_stays_in_force() -> None:
    """Guards against a cell without a configuration because of an odd one."""
    view = ConfigView(PlatformDecoder())
    good, later = (Record("config", b'{"version": %d}' % n, n) for n in (1, 3))
    view.on_records([good], 0.0)
    view.on_records([Record("config", DEEP, 2)], 0.0)
    assert view.config.version == 1
    view.on_records([Record("config", DEEP, 2), later], 0.0)
    assert view.config.version == 3


def vm_value(**changes: Any) -> bytes:
    good = {"vm": "a", "address": "10.0.0.1:80", "failure_domain": "f", "region": "r"}
    return json.dumps({**good, **changes}).encode()


@pytest.mark.parametrize(
    "value",
    [
        DEEP,
        b"",
        b"\xff",
        vm_value(address="10.0.0.1"),
        vm_value(address="10.0.0.1:99999"),
        vm_value(address="10.0.0.1\0:80"),
        vm_value(cores=-1),
        vm_value(cores=HUGE),
        vm_value(vm=None),
    ],
)
def test_odd_vm_is_left_out(value: bytes) -> None:
    """Guards against a VM that no call can reach, and VMs behind it that are missed."""
    table = EntryVmTable()
    table.on_snapshot([Record("odd", value, 0), Record("a", vm_value(), 1)], 0.0)
    assert list(table.by_name) == ["a"]
    table.on_records([Record("odd", value, 2), Record("b", vm_value(vm="b"), 3)], 0.0)
    assert list(table.by_name) == ["a", "b"]


def job_value(**changes: Any) -> bytes:
    spec = JobSpec(
        job_id="1",
        terms=Queue(name="q", host="h", path_prefix="/", pool="p"),
        customer="c",
        payload="",
        steps=(StepSpec(),),
    )
    return json.dumps({**json.loads(msgspec.json.encode(spec)), **changes}).encode()


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("j/odd", DEEP),
        ("p/odd", DEEP),
        ("c/odd", DEEP),
        ("x/odd", b"{}"),
        ("", b"{}"),
        ("c/odd", b'{"cancelled_ms":' + b"9" * 400 + b"}"),
        ("j/odd", job_value(steps=[{"count": 10**9}])),
        ("j/odd", job_value(steps=[{"count": -1}])),
        ("j/odd", job_value(steps=[{"count": HUGE}])),
        ("j/odd", job_value(steps=[{"after": [4]}])),
        ("j/odd", job_value(steps=[{"need": {"cores": -1}}])),
        ("j/odd", job_value(occurrences=10**9)),
        ("p/odd", b'{"steps_by_key":{"0.0":{"done":[-7]}}}'),
        ("p/odd", b'{"steps_by_key":{"0.0":{"done":[' + b"9" * 400 + b"]}}}"),
    ],
)
def test_jobs_behind_an_odd_record_are_followed(key: str, value: bytes) -> None:
    """Guards against a job that no holder can keep, and jobs behind it that are lost."""
    table = JobTable()
    listener = JobStreamListener(table)
    listener.on_snapshot([Record(key, value, 0), Record("j/1", job_value(), 1)], 0.0)
    listener.on_records([Record(key, value, 2), Record("j/2", job_value(), 3)], 0.0)
    assert sorted(table.by_id) == ["1", "2"]
    assert table.unreadable == 2


class _FailingListener(TopicListener):
    """Raises for the records of one key, once it has read the others before it."""

    def __init__(self) -> None:
        self.keys: list[str] = []

    def on_snapshot(self, records: Sequence[Record], sent_at: float) -> None:
        self.on_records(records, sent_at)

    def on_records(self, records: Sequence[Record], sent_at: float) -> None:
        for record in records:
            if record.key == "odd":
                raise KeyError("defect of the listener")
            self.keys.append(record.key)


@pytest.mark.parametrize("on_snapshot", [True, False], ids=["snapshot", "records"])
async def test_tail_goes_on_behind_a_record_on_which_its_listener_fails(
    on_snapshot: bool,
) -> None:
    """Guards against a tail that reads the same record for ever."""
    store = FakeCell(1).store
    listener = _FailingListener()
    tasks: list[asyncio.Task[None]] = []
    with _log_lines() as lines:
        if not on_snapshot:
            _, tasks = await _started(store, [listener], Topic.JOBS)
            await asyncio.sleep(0.2)
        for key in ("a", "odd", "b"):
            store.put(Topic.JOBS, key, b"v")
        if on_snapshot:
            _, tasks = await _started(store, [listener], Topic.JOBS)
        await asyncio.sleep(0.5)
        store.put(Topic.JOBS, "c", b"v")
        await asyncio.sleep(0.5)
    assert not tasks[0].done()
    tasks[0].cancel()
    assert set(listener.keys) == {"a", "b", "c"}
    assert listener.keys[-2:] == ["b", "c"]
    failures = [line for line in lines if "defect" in str(line.get("detail"))]
    assert len(failures) == 1
