"""In-memory platform, workers, upstreams and peer transport.

They record what ran, where and how often, so that tests can check it independently of
the daemons.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Ok, Result

from briarrun_adapters.log_service import LogEntry, LogPage, LogService
from briarrun_adapters.platform import PlatformFailure
from briarrun_adapters.upstream import UpstreamClient, UpstreamStatus
from briarrun_adapters.vm_list import Vm, VmList, VmListing
from briarrun_adapters.worker import (
    Inventory,
    InventoryTask,
    Lease,
    StartReply,
    TaskStart,
    WorkerClient,
)
from briarrun_core.resources import Resources
from briarrun_wire.codec import decode_message, encode_message
from briarrun_wire.http_types import HttpFailure, HttpFailureKind, HttpResponse
from briarrun_wire.messages import PeerMessage
from briarrun_wire.peer import (
    CallFailure,
    CallFailureKind,
    PeerAddress,
    PeerHandler,
    TrafficCount,
)

LATENCY_S = 0.001
WALL_OFFSET_S = 1_700_000_000.0


def wall() -> float:
    return asyncio.get_running_loop().time() + WALL_OFFSET_S


class Gate:
    """Gate that delays all messages and calls of one VM while it is frozen."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()
        self.dead = False
        self.freeze_at_start = False

    def freeze(self) -> None:
        self._open.clear()

    def thaw(self) -> None:
        self._open.set()

    @property
    def frozen(self) -> bool:
        return not self._open.is_set()

    async def wait_open(self) -> None:
        await asyncio.sleep(LATENCY_S)
        await self._open.wait()
        if self.dead:
            await asyncio.Event().wait()


@dataclass
class LogStore:
    """Records of the log; ``lose_responses`` appends take effect without a response."""

    records: list[dict[str, Any]] = field(default_factory=list)
    first: int = 0
    down: bool = False
    lose_responses: int = 0

    def of_type(self, kind: str) -> list[dict[str, Any]]:
        return [record for record in self.records if record["type"] == kind]


class FakeLog(LogService):
    """Log service that is backed by a ``LogStore``."""

    def __init__(self, store: LogStore, gate: Gate) -> None:
        self._store = store
        self._gate = gate

    async def append(
        self, records: Sequence[dict[str, Any]], timeout_s: float = 1.0
    ) -> Result[tuple[int, ...], PlatformFailure]:
        await self._gate.wait_open()
        store = self._store
        if store.down:
            return Error(PlatformFailure(True, "the log is down"))
        start = len(store.records)
        store.records += records
        if store.lose_responses:
            store.lose_responses -= 1
            await asyncio.sleep(timeout_s)
            return Error(PlatformFailure(False, "the response is lost"))
        return Ok(tuple(range(start, len(store.records))))

    async def read(
        self,
        from_offset: int,
        limit: int = 1000,
        wait_s: float = 0.0,
        timeout_s: float = 1.0,
    ) -> Result[LogPage, PlatformFailure]:
        await self._gate.wait_open()
        store = self._store
        if store.down:
            return Error(PlatformFailure(True, "the log is down"))
        first = max(from_offset, store.first)
        entries = tuple(
            LogEntry(offset, store.records[offset])
            for offset in range(first, min(first + limit, len(store.records)))
        )
        return Ok(LogPage(store.first, len(store.records), entries))


class FakeVmList(VmList):
    """VM list of the cluster."""

    def __init__(self, list_vms: Callable[[], list[Vm]], gate: Gate) -> None:
        self._list_vms = list_vms
        self._gate = gate

    async def fetch(self, timeout_s: float = 1.0) -> Result[VmListing, PlatformFailure]:
        await self._gate.wait_open()
        return Ok(VmListing(wall(), tuple(self._list_vms())))


@dataclass
class FakeTask:
    """State of a task on its worker."""

    order: TaskStart
    lease_until: float
    state: str = "running"
    ended_at: float = float("inf")

    def end(self, state: str, at: float) -> None:
        self.state, self.ended_at = state, at


@dataclass
class Worker:
    """Worker that runs tasks until their lease or their run time ends."""

    capacity: Resources
    rack: str = "rack-1"
    silent: bool = False
    tasks: dict[str, FakeTask] = field(default_factory=dict)
    starts: Counter[str] = field(default_factory=Counter)
    refused: int = 0

    def settle(self) -> None:
        for task in self.tasks.values():
            if task.state == "running" and task.lease_until <= wall():
                task.end("lapsed", task.lease_until)

    def running(self) -> list[str]:
        self.settle()
        return [name for name, task in self.tasks.items() if task.state == "running"]

    def used(self) -> Resources:
        total = Resources()
        for name in self.running():
            total = total + self.tasks[name].order.resources
        return total


class FakeWorkers(WorkerClient):
    """Client of the workers, found by address."""

    def __init__(self, workers: dict[str, Worker], gate: Gate) -> None:
        self._workers = workers
        self._gate = gate

    async def _reach(self, address: str, timeout_s: float) -> Worker | None:
        await self._gate.wait_open()
        worker = self._workers[address]
        if worker.silent:
            await asyncio.sleep(timeout_s)
            return None
        worker.settle()
        return worker

    async def start(
        self, address: str, order: TaskStart, timeout_s: float = 1.0
    ) -> Result[StartReply, PlatformFailure]:
        if self._gate.freeze_at_start:
            self._gate.freeze()
        worker = await self._reach(address, timeout_s)
        if worker is None:
            return Error(PlatformFailure(False, "no response"))
        if order.lease_until <= wall():
            worker.refused += 1
            return Ok(StartReply.LAPSED)
        worker.tasks[order.task_id] = FakeTask(order, order.lease_until)
        worker.starts[order.task_id] += 1
        if order.run_seconds is not None:
            task = worker.tasks[order.task_id]
            asyncio.get_running_loop().call_later(
                order.run_seconds, _complete, worker, task
            )
        return Ok(StartReply.RUNNING)

    async def renew(
        self, address: str, leases: Sequence[Lease], timeout_s: float = 1.0
    ) -> Result[tuple[str, ...], PlatformFailure]:
        worker = await self._reach(address, timeout_s)
        if worker is None:
            return Error(PlatformFailure(False, "no response"))
        unknown = []
        for lease in leases:
            task = worker.tasks.get(lease.task_id)
            if task is None or task.order.attempt != lease.attempt:
                unknown.append(lease.task_id)
            elif task.state == "running":
                task.lease_until = max(task.lease_until, lease.lease_until)
        return Ok(tuple(unknown))

    async def apply_action(
        self, address: str, task_id: str, action: str, timeout_s: float = 1.0
    ) -> Result[str, PlatformFailure]:
        worker = await self._reach(address, timeout_s)
        if worker is None or task_id not in worker.tasks:
            return Error(PlatformFailure(worker is not None, "no task", 404))
        task = worker.tasks[task_id]
        if task.state == "running" and action in ("stop", "checkpoint"):
            task.end("stopped" if action == "stop" else "checkpointed", wall())
        return Ok(task.state)

    async def inventory(
        self, address: str, timeout_s: float = 1.0
    ) -> Result[Inventory, PlatformFailure]:
        worker = await self._reach(address, timeout_s)
        if worker is None:
            return Error(PlatformFailure(False, "no response"))
        tasks = tuple(
            InventoryTask(
                task_id=name,
                attempt=task.order.attempt,
                state=task.state,
                lease_until=task.lease_until,
                usage=task.order.resources,
            )
            for name, task in worker.tasks.items()
        )
        return Ok(
            Inventory(
                taken_at=wall(), capacity=worker.capacity, rack=worker.rack, tasks=tasks
            )
        )

    async def forget(
        self, address: str, task_ids: Sequence[str], timeout_s: float = 1.0
    ) -> Result[None, PlatformFailure]:
        worker = await self._reach(address, timeout_s)
        if worker is None:
            return Error(PlatformFailure(False, "no response"))
        for task_id in task_ids:
            if worker.tasks.get(task_id, None) and (
                worker.tasks[task_id].state != "running"
            ):
                del worker.tasks[task_id]
        return Ok(None)


def _complete(worker: Worker, task: FakeTask) -> None:
    worker.settle()
    if task.state == "running":
        task.end("done", wall())


@dataclass
class Upstream:
    """Upstream; the next ``fail_after_send`` requests run but lose their connection."""

    slots: int = 8
    service_s: float = 0.01
    draining: bool = False
    fail_after_send: int = 0
    refuse_connections: bool = False
    active: int = 0
    most_active: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    started_at: list[float] = field(default_factory=list)


class FakeUpstreams(UpstreamClient):
    """Client of the upstreams, found by address."""

    def __init__(self, upstreams: dict[str, Upstream], gate: Gate) -> None:
        self._upstreams = upstreams
        self._gate = gate

    async def send(
        self,
        address: str,
        request_id: str,
        body: bytes,
        *,
        path: str = "/",
        content_type: str = "application/octet-stream",
        start_by_wall: float,
        send_within_s: float,
        idempotent: bool,
        timeout_s: float,
    ) -> Result[HttpResponse, HttpFailure]:
        upstream = self._upstreams[address]
        if upstream.refuse_connections:
            return Error(HttpFailure(HttpFailureKind.CONNECT_FAILED, False, "refused"))
        try:
            async with asyncio.timeout(timeout_s):
                return await self._run(upstream, request_id, body)
        except TimeoutError:
            return Error(HttpFailure(HttpFailureKind.TIMEOUT, True, "no answer"))

    async def _run(
        self, upstream: Upstream, request_id: str, body: bytes
    ) -> Result[HttpResponse, HttpFailure]:
        await self._gate.wait_open()
        return await self._serve(upstream, request_id, body)

    async def _serve(
        self, upstream: Upstream, request_id: str, body: bytes
    ) -> Result[HttpResponse, HttpFailure]:
        upstream.active += 1
        upstream.most_active = max(upstream.most_active, upstream.active)
        upstream.started_at.append(wall())
        upstream.runs[request_id] += 1
        try:
            await asyncio.sleep(upstream.service_s)
        finally:
            upstream.active -= 1
        if upstream.fail_after_send:
            upstream.fail_after_send -= 1
            return Error(HttpFailure(HttpFailureKind.CLOSED, True, "closed"))
        return Ok(HttpResponse(200, b"answer to " + body))

    async def status(
        self, address: str, timeout_s: float = 1.0
    ) -> Result[UpstreamStatus, PlatformFailure]:
        await self._gate.wait_open()
        upstream = self._upstreams[address]
        return Ok(
            UpstreamStatus(
                slots=upstream.slots,
                connections=64,
                active=upstream.active,
                draining=upstream.draining,
                taken_at=wall(),
            )
        )


class Network:
    """Network between transports; ``cut`` contains pairs of sender and receiver."""

    def __init__(self) -> None:
        self.transports: dict[str, FakeTransport] = {}
        self.cut: set[tuple[str, str]] = set()

    def isolate(self, vm_ids: Iterable[str], others: Iterable[str]) -> None:
        other_ids = list(others)
        for one in vm_ids:
            self.cut |= {(one, other) for other in other_ids}
            self.cut |= {(other, one) for other in other_ids}

    def connects(self, source: str, target: str) -> bool:
        return target in self.transports and (source, target) not in self.cut


class FakeTransport:
    """Transport that delivers encoded messages in order per pair of VMs."""

    def __init__(
        self, network: Network, vm_id: str, instance: str, handler: PeerHandler
    ) -> None:
        self.vm_id = vm_id
        self.instance = instance
        self.handler = handler
        self.gate: Gate = Gate()
        self._network = network
        self._queues_by_vm: dict[str, asyncio.Queue[PeerMessage]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        self._network.transports[self.vm_id] = self

    @property
    def address(self) -> str:
        return self.vm_id

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        return None

    def send(self, vm_id: str, message: PeerMessage) -> bool:
        if vm_id not in self._queues_by_vm:
            self._queues_by_vm[vm_id] = asyncio.Queue()
            self._start(self._deliver(vm_id, self._queues_by_vm[vm_id]))
        self._queues_by_vm[vm_id].put_nowait(message)
        return True

    async def _deliver(self, vm_id: str, queue: asyncio.Queue[PeerMessage]) -> None:
        while True:
            message = await queue.get()
            await self.gate.wait_open()
            if self._network.connects(self.vm_id, vm_id):
                target = self._network.transports[vm_id]
                await target.gate.wait_open()
                target.handler.on_message(
                    self.instance, decode_message(encode_message(message))
                )

    async def call(
        self, vm_id: str, message: PeerMessage, timeout_s: float
    ) -> Result[PeerMessage, CallFailure]:
        if vm_id not in self._network.transports:
            failure = CallFailure(CallFailureKind.NOT_CONNECTED, False, vm_id)
            return Error(failure)
        try:
            async with asyncio.timeout(timeout_s):
                return Ok(await self._exchange(vm_id, message))
        except TimeoutError:
            return Error(CallFailure(CallFailureKind.TIMEOUT, True, vm_id))

    async def _exchange(self, vm_id: str, message: PeerMessage) -> PeerMessage:
        await self.gate.wait_open()
        if not self._network.connects(self.vm_id, vm_id):
            await asyncio.Event().wait()
        target = self._network.transports[vm_id]
        await target.gate.wait_open()
        copy = decode_message(encode_message(message))
        reply = await target._start(target.handler.on_call(self.instance, copy))
        await target.gate.wait_open()
        if reply is None or not self._network.connects(vm_id, self.vm_id):
            await asyncio.Event().wait()
        return decode_message(encode_message(reply))

    def _start(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def is_connected(self, vm_id: str) -> bool:
        return self._network.connects(self.vm_id, vm_id)

    @property
    def traffic_by_region(self) -> dict[str, TrafficCount]:
        return {"region-1": TrafficCount(bytes_sent=5)}

    async def close(self) -> None:
        if self._network.transports.get(self.vm_id) is self:
            del self._network.transports[self.vm_id]
        for task in list(self._tasks):
            task.cancel()
