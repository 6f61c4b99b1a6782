"""A virtual fleet that reports each step as it is seen and records what ran."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

from expression import Error, Result

from briarrun_adapters.log_service import LogPage
from briarrun_adapters.platform import PlatformFailure
from briarrun_adapters.worker import Lease, StartReply, TaskStart
from briarrun_daemon.clock import Clock
from briarrun_daemon.daemon import Adapters, Daemon
from briarrun_wire.http_types import HttpFailure, HttpFailureKind, HttpResponse
from briarrun_wire.messages import PeerMessage, SlotRequest
from tests.daemon import fakes
from tests.daemon.cluster import Cluster
from tests.faults.checks import RequestRun

Answer = TypeVar("Answer")


@dataclass
class Steps:
    """Fire an armed action when its step is seen, before or after its effect."""

    step: str = ""
    is_after: bool = False
    vm_ids: frozenset[str] | None = None
    action: Callable[[str], None] | None = None
    fired_at: float | None = None

    def seen(self, step: str, vm_id: str, is_after: bool) -> None:
        if self.action is None or (step, is_after) != (self.step, self.is_after):
            return
        if self.vm_ids is not None and vm_id not in self.vm_ids:
            return
        action, self.action = self.action, None
        self.fired_at = fakes.wall()
        action(vm_id)


@dataclass
class TaskRun:
    """Hold one start of a task at a worker."""

    by: str
    at: float
    task: fakes.FakeTask


@dataclass
class HookedCluster(Cluster):
    """Report steps, cut VMs off from the platform, and keep the ground truth."""

    steps: Steps = field(default_factory=Steps)
    request_runs: list[RequestRun] = field(default_factory=list)
    task_runs: list[TaskRun] = field(default_factory=list)
    cut_off: set[str] = field(default_factory=set)
    silent_upstreams: set[str] = field(default_factory=set)
    offset_by_vm: dict[str, float] = field(default_factory=dict)
    log_delay_s: float = 0.0
    appended_at: list[float] = field(default_factory=list)

    def make_adapters(self, vm_id: str, gate: fakes.Gate) -> Adapters:
        return Adapters(
            HookedLog(self, vm_id, gate),
            fakes.FakeVmList(self.vms, gate),
            HookedWorkers(self, vm_id, gate),
            HookedUpstreams(self, vm_id, gate),
        )

    def make_transport(
        self, vm_id: str, instance: str, handler: Any
    ) -> fakes.FakeTransport:
        return HookedTransport(self, vm_id, instance, handler)

    def make_clock(self, vm_id: str) -> Clock:
        offset = self.offset_by_vm.get(vm_id, 0.0)
        return Clock(asyncio.get_running_loop(), lambda: fakes.wall() + offset)

    async def start(self, vm_id: str) -> Daemon:
        daemon = await super().start(vm_id)
        # Retries jitter by this source, which is seeded for the same run every time.
        daemon.front._requests._random.seed(daemon.instance)
        return daemon

    async def pass_call(
        self,
        step: str,
        vm_id: str,
        call: Callable[[], Awaitable[Result[Answer, PlatformFailure]]],
        timeout_s: float,
    ) -> Result[Answer, PlatformFailure]:
        """Make a VM's call of the platform unless it is cut off; report its step."""
        self.steps.seen(step, vm_id, False)
        if vm_id in self.cut_off:
            await asyncio.sleep(timeout_s)
            return Error(PlatformFailure(False, "cut off"))
        result = await call()
        self.steps.seen(step, vm_id, True)
        await self.gates[vm_id].wait_open()
        return result

    def records(self) -> list[dict[str, Any]]:
        """Return what ran in the form of the stand-ins' records, ordered by time."""
        return sorted(self._records(), key=lambda r: (r["at"], r["event"]))

    def _records(self) -> Iterator[dict[str, Any]]:
        for worker in self.workers.values():
            worker.settle()
        for run in self.request_runs:
            yield {"event": "run", "request_id": run.request_id, "at": run.at}
        for number, started in enumerate(self.task_runs):
            order, same = started.task.order, {"run": number, "by": started.by}
            yield {
                "event": "start",
                **same,
                "task_id": order.task_id,
                "at": started.at,
                "resources": {
                    name: getattr(order.resources, name)
                    for name in ("cores", "memory_mib", "accelerators")
                },
            }
            if started.task.ended_at < float("inf"):
                yield {"event": "end", **same, "at": started.task.ended_at}


class HookedLog(fakes.FakeLog):
    """Report appends by the type of their first record."""

    def __init__(self, cluster: HookedCluster, vm_id: str, gate: fakes.Gate) -> None:
        super().__init__(cluster.log, gate)
        self._cluster, self._vm_id = cluster, vm_id

    async def append(
        self, records: Sequence[dict[str, Any]], timeout_s: float = 1.0
    ) -> Result[tuple[int, ...], PlatformFailure]:
        cluster, kind = self._cluster, str(records[0]["type"])

        async def call() -> Result[tuple[int, ...], PlatformFailure]:
            await asyncio.sleep(cluster.log_delay_s)
            result = await super(HookedLog, self).append(records, timeout_s)
            missing = len(cluster.log.records) - 1 - len(cluster.appended_at)
            cluster.appended_at += [fakes.wall()] * missing
            return result

        step = "publish" if kind == "config" else kind
        return await cluster.pass_call(step, self._vm_id, call, timeout_s)

    async def read(
        self, *args: Any, **options: Any
    ) -> Result[LogPage, PlatformFailure]:
        async def call() -> Result[LogPage, PlatformFailure]:
            await asyncio.sleep(self._cluster.log_delay_s)
            return await super(HookedLog, self).read(*args, **options)

        step = "restart" if 0 in args[:1] else ""
        return await self._cluster.pass_call(step, self._vm_id, call, 1.0)


class HookedWorkers(fakes.FakeWorkers):
    """Report renewals and record starts."""

    def __init__(self, cluster: HookedCluster, vm_id: str, gate: fakes.Gate) -> None:
        super().__init__(cluster.workers, gate)
        self._cluster, self._vm_id = cluster, vm_id

    async def start(
        self, address: str, order: TaskStart, timeout_s: float = 1.0
    ) -> Result[StartReply, PlatformFailure]:
        async def call() -> Result[StartReply, PlatformFailure]:
            result = await super(HookedWorkers, self).start(address, order, timeout_s)
            if result.is_ok() and result.ok is StartReply.RUNNING:
                task = self._workers[address].tasks[order.task_id]
                self._cluster.task_runs.append(TaskRun(address, fakes.wall(), task))
            return result

        return await self._cluster.pass_call("", self._vm_id, call, timeout_s)

    async def renew(
        self, address: str, leases: Sequence[Lease], timeout_s: float = 1.0
    ) -> Result[tuple[str, ...], PlatformFailure]:
        return await self._cluster.pass_call(
            "renew",
            self._vm_id,
            lambda: super(HookedWorkers, self).renew(address, leases, timeout_s),
            timeout_s,
        )


class HookedUpstreams(fakes.FakeUpstreams):
    """Report requests and answers and record runs."""

    def __init__(self, cluster: HookedCluster, vm_id: str, gate: fakes.Gate) -> None:
        super().__init__(cluster.upstreams, gate)
        self._cluster, self._vm_id = cluster, vm_id

    async def send(
        self,
        address: str,
        request_id: str,
        body: bytes,
        *,
        start_by_wall: float,
        send_within_s: float,
        timeout_s: float,
        **_: Any,
    ) -> Result[HttpResponse, HttpFailure]:
        cluster = self._cluster
        cluster.steps.seen("send", self._vm_id, False)
        try:
            async with asyncio.timeout(timeout_s):
                await self._gate.wait_open()
                if {self._vm_id, address} & (
                    cluster.cut_off | cluster.silent_upstreams
                ):
                    await asyncio.Event().wait()
                run = RequestRun(request_id, address, fakes.wall(), start_by_wall)
                cluster.request_runs.append(run)
                cluster.steps.seen("send", self._vm_id, True)
                cluster.steps.seen("answer", self._vm_id, False)
                try:
                    result = await self._serve(
                        self._upstreams[address], request_id, body
                    )
                finally:
                    run.end = fakes.wall()
                cluster.steps.seen("answer", self._vm_id, True)
                await self._gate.wait_open()
                return result
        except TimeoutError:
            return Error(HttpFailure(HttpFailureKind.TIMEOUT, True, "no answer"))


class HookedTransport(fakes.FakeTransport):
    """Report slot requests and the grants that answer them."""

    def __init__(
        self, cluster: HookedCluster, vm_id: str, instance: str, handler: Any
    ) -> None:
        super().__init__(cluster.network, vm_id, instance, handler)
        self._cluster = cluster

    async def _exchange(self, vm_id: str, message: PeerMessage) -> PeerMessage:
        is_grant = isinstance(message, SlotRequest)
        if is_grant:
            self._cluster.steps.seen("grant", vm_id, False)
        reply = await super()._exchange(vm_id, message)
        if is_grant:
            self._cluster.steps.seen("grant", vm_id, True)
            await self.gate.wait_open()
            if not self._network.connects(vm_id, self.vm_id):
                await asyncio.Event().wait()
        return reply
