"""A whole cell in one process and virtual time: VMs, store, workers, callers."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable
from dataclasses import dataclass, field, replace

import msgspec

from briarrun_cell.clock import LoopClock
from briarrun_cell.config_view import ConfigDecoder, EvacuationRecord
from briarrun_cell.core import CellCore, CorePorts
from briarrun_cell.frontend import Reply, RequestOutcome
from briarrun_cell.model import (
    AdviceTerms,
    CellConfig,
    Customer,
    JobSpec,
    JobState,
    Queue,
    StepSpec,
    TaskId,
    WorkerEntry,
)
from briarrun_cell.ports import (
    Record,
    StartOrder,
    StoreLimits,
    Topic,
    WorkerAnswer,
    Workers,
)
from briarrun_cell.records import job_record
from briarrun_cell.registry import EntryDecoder
from briarrun_cell.settings import CellSettings
from briarrun_core.resources import NOTHING, Resources
from briarrun_wire.decode import DecodeError
from tools.emulator.cell.fleet import EVACUATION_S, FakeAdvisor, FakeWorker, Fleet
from tools.emulator.cell.peers import DirectProxy, DirectRelay, DirectReplicas
from tools.emulator.cell.store import FakeStore, StoreView

POOL = "planner"
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"

CALL_DEADLINE_S = 3.0
"""Time after which a caller gives up."""


class FakeDecoder(ConfigDecoder, EntryDecoder):
    """Look decoded objects up by the number that a record holds."""

    def __init__(self) -> None:
        self.configs: list[CellConfig] = []
        self.entries: list[WorkerEntry] = []

    def decode_config(self, record: Record) -> CellConfig | None:
        """Return the configuration that the record names."""
        if record.key != CONFIG_KEY or record.value is None:
            return None
        return self.configs[int(record.value)]

    def decode_evacuation(self, record: Record) -> EvacuationRecord | None:
        """Return the request that the record holds; an odd value is a defect."""
        if not record.key.startswith(EVACUATION_PREFIX):
            return None
        name = record.key.removeprefix(EVACUATION_PREFIX)
        if not name:
            raise DecodeError("the key names no failure domain")
        defect = "" if record.value in (None, b"{}") else "odd value"
        return EvacuationRecord(name, record.value is not None, defect)

    def decode_worker(self, worker_id: str, value: bytes) -> WorkerEntry:
        """Return the entry that the record names; raises ``DecodeError``."""
        try:
            return self.entries[int(value)]
        except (ValueError, IndexError) as error:
            raise DecodeError(f"entry {value!r} is unknown") from error


class GatedWorkers(Workers):
    """Reach the workers from one VM; nothing leaves while it is frozen or cut."""

    def __init__(self, fleet: Fleet, vm: CellVm) -> None:
        self._fleet = fleet
        self._vm = vm

    async def start(
        self, worker: WorkerEntry, order: StartOrder, timeout_s: float
    ) -> WorkerAnswer:
        """Start a run."""
        await self._vm.store.running.wait()
        answer = await self._fleet.start(worker, order, timeout_s)
        await self._vm.store.running.wait()
        return answer

    async def stop(
        self, worker: WorkerEntry, task: TaskId, run: int, token: int, timeout_s: float
    ) -> WorkerAnswer:
        """Stop a run."""
        await self._vm.store.running.wait()
        answer = await self._fleet.stop(worker, task, run, token, timeout_s)
        await self._vm.store.running.wait()
        return answer

    async def poll(
        self,
        worker: WorkerEntry,
        token: int,
        acknowledged: int | None,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> WorkerAnswer:
        """Return the inventory."""
        await self._vm.store.running.wait()
        answer = await self._fleet.poll(
            worker, token, acknowledged, lease_until_ms, wait_s, timeout_s
        )
        await self._vm.store.running.wait()
        return answer


@dataclass(eq=False)
class CellVm:
    """Hold one VM and its current process, if it runs.

    Calls to a VM that is ``removed`` get no answer, not even a refusal.
    """

    name: str
    store: StoreView
    advisor: FakeAdvisor
    core: CellCore | None = None
    removed: bool = False


@dataclass
class CellOptions:
    """Choose the size of a cell."""

    vms: int = 3
    workers: int = 4
    capacity: Resources = Resources(8000, 32000)
    advice: bool = False
    decision_s: float = 0.01
    cores_by_vm: dict[str, float] = field(default_factory=dict)
    limit: Resources = NOTHING
    max_attempts: int = 2
    customers: tuple[str, ...] = ("roster", "stalls")
    weight: float = 50.0
    store_limits: StoreLimits = StoreLimits()
    max_lease_s: float = 6.0
    failure_domains: tuple[str, ...] = ("fd1",)


@dataclass
class FakeCell:
    """Run a cell; ``accepted`` names the jobs that callers were told are accepted."""

    seed: int = 1
    options: CellOptions = field(default_factory=CellOptions)

    def __post_init__(self) -> None:
        """Build everything; nothing runs before ``start``."""
        self.rng = random.Random(self.seed)
        self.store = FakeStore(self.rng)
        self.fleet = Fleet(self.rng, self.options.max_lease_s)
        self.decoder = FakeDecoder()
        self.vms_by_name: dict[str, CellVm] = {}
        self.accepted: set[str] = set()
        self.rejected: set[str] = set()
        self.in_doubt: set[str] = set()
        self.number = 0
        self.number_of_starts = 0
        self.config_version = 0
        self.lose_relay_answers = 0.0

    async def start(self, vm_start_interval_s: float = 0.0) -> None:
        """Publish the configuration and the workers, and start every VM.

        With an interval, the VMs start one after the other, the last one first.
        """
        self.publish()
        domains = self.options.failure_domains
        for number in range(self.options.workers):
            domain = domains[number % len(domains)]
            self.add_worker(f"w{number}", failure_domain=domain)
        for number in range(self.options.vms):
            self.add_vm(f"vm{number}", latency_s=0.002 * number)
        names = list(self.vms_by_name)
        for name in reversed(names) if vm_start_interval_s else names:
            self.start_vm(name)
            if vm_start_interval_s:
                await asyncio.sleep(vm_start_interval_s)

    def publish(self, **changes: object) -> None:
        """Write a configuration as the operator does."""
        for name, value in changes.items():
            setattr(self.options, name, value)
        options = self.options
        self.config_version += 3
        terms = AdviceTerms(
            decision_s=options.decision_s, per_worker_s=0.0, validity_s=2.0
        )
        queues = {
            name: Queue(
                name=name,
                host="h",
                path_prefix=f"/{name}/",
                pool=POOL,
                priority=priority,
                max_attempts=options.max_attempts,
                stretch=2.0,
                latency_target_s=1.0,
                advice=terms if options.advice else None,
            )
            for priority, name in enumerate(("urgent", "normal"))
        }
        customers = {
            name: Customer(name, (f"key-{name}",), options.weight, options.limit)
            for name in options.customers
        }
        if not options.limit.is_zero:
            self.fleet.limits_by_customer = dict.fromkeys(customers, options.limit)
        self.decoder.configs.append(
            CellConfig(
                self.config_version,
                queues,
                customers,
                {f"key-{name}": name for name in customers},
            )
        )
        value = str(len(self.decoder.configs) - 1).encode()
        self.store.put(Topic.CONFIG, CONFIG_KEY, value)

    def evacuate(self, failure_domain: str, disturbed_s: float = 0.0) -> None:
        """Request an evacuation as the operator does.

        It must be in force ``EVACUATION_S`` later, plus the time for which the store is
        disturbed.
        """
        self.store.put(Topic.CONFIG, EVACUATION_PREFIX + failure_domain, b"{}")
        now = asyncio.get_running_loop().time()
        self.fleet.evacuated_from.setdefault(
            failure_domain, now + EVACUATION_S + disturbed_s
        )

    def end_evacuation(self, failure_domain: str) -> None:
        """Withdraw the request of an evacuation."""
        self.store.put(Topic.CONFIG, EVACUATION_PREFIX + failure_domain, None)
        self.fleet.evacuated_from.pop(failure_domain, None)

    def add_worker(
        self, worker_id: str, draining: bool = False, failure_domain: str = "fd1"
    ) -> FakeWorker:
        """Start and register a worker."""
        entry = WorkerEntry(
            worker_id,
            1_000,
            f"{worker_id}:1",
            POOL,
            failure_domain,
            self.options.capacity,
            ("a", "r1"),
            "r1",
            draining,
        )
        self.register(entry)
        return self.fleet.add(entry)

    def preempt(self, worker: FakeWorker, notice_s: float = 5.5) -> None:
        """Announce the end of a worker, and end it when the notice is over."""
        self.register(replace(worker.entry, draining=True, remaining_s=notice_s))
        loop = asyncio.get_running_loop()
        loop.call_later(notice_s, self.fleet.crash, worker, True)
        worker_id = worker.entry.worker_id
        loop.call_later(notice_s, self.store.put, Topic.WORKERS, worker_id, None)

    def register(self, entry: WorkerEntry) -> None:
        """Write a worker's entry as the worker does."""
        self.decoder.entries.append(entry)
        value = str(len(self.decoder.entries) - 1).encode()
        self.store.put(Topic.WORKERS, entry.worker_id, value)

    def add_vm(self, name: str, latency_s: float) -> None:
        """Add a VM without a process; its calls of the store take ``latency_s`` longer."""
        view = StoreView(self.store, latency_s, self.options.store_limits)
        self.vms_by_name[name] = CellVm(
            name, view, FakeAdvisor(self.options.decision_s)
        )

    def start_vm(self, name: str) -> None:
        """Start a process on a VM."""
        vm = self.vms_by_name[name]
        self.number_of_starts += 1
        settings = CellSettings(
            vm=name,
            failure_domain="fd1",
            region="r",
            callers_address="",
            readiness_address="",
            peer_address=f"{name}:1",
            store_address="",
            advice_address="",
            max_config_age_s=4.4,
            max_lease_s=self.options.max_lease_s,
            grace_s=6.0,
            keep_final_s=120.0,
            cores=self.options.cores_by_vm.get(name, 1.0),
        )
        vm.core = CellCore(
            settings,
            CorePorts(
                vm.store,
                GatedWorkers(self.fleet, vm),
                DirectProxy(self),
                DirectRelay(self, vm),
                DirectReplicas(self, vm),
                self.decoder,
                self.decoder,
            ),
            LoopClock(),
            incarnation=f"{name}-{self.number_of_starts}",
        )
        vm.core.start()

    def kill_vm(self, name: str) -> None:
        """End the process of a VM without notice."""
        vm = self.vms_by_name[name]
        if vm.core is not None:
            vm.core.close()
            vm.core = None

    def remove_vm(self, name: str) -> None:
        """Take a VM away for good, without notice."""
        self.kill_vm(name)
        self.vms_by_name[name].removed = True

    def holder(self) -> CellVm | None:
        """Return the VM that may act now."""
        for vm in self.vms_by_name.values():
            if vm.core is not None and vm.core.election.is_holder:
                return vm
        return None

    async def wait_for_holder(self, timeout_s: float = 10.0) -> CellVm:
        """Return the holder once there is one."""
        async with asyncio.timeout(timeout_s):
            while (vm := self.holder()) is None:
                await asyncio.sleep(0.01)
            return vm

    def close(self) -> None:
        """End every process."""
        for name in self.vms_by_name:
            self.kill_vm(name)

    # Callers

    def spec(
        self,
        *steps: StepSpec,
        queue: str = "normal",
        customer: str = "roster",
    ) -> JobSpec:
        """Return a job with a fresh id and make it known to the workers."""
        self.number += 1
        job_id = f"{self.number:016x}"
        spec = JobSpec(
            job_id=job_id,
            terms=self.decoder.configs[-1].queues_by_name[queue],
            customer=customer,
            payload=json.dumps({"job": job_id}),
            steps=steps or (step(),),
        )
        self.fleet.specs_by_id[job_id] = spec
        return spec

    async def submit(self, spec: JobSpec, vm: str | None = None) -> Reply:
        """Submit a job at a VM and note what the caller was told."""
        core = self._core(vm)
        if core is None:
            return Reply(RequestOutcome.IN_DOUBT)  # Nothing was sent.
        call = core.frontend.submit(spec.terms, spec.customer, spec)
        reply = await _within_deadline(call)
        if reply.request_outcome is RequestOutcome.ACCEPTED:
            self.accepted.add(spec.job_id)
        elif reply.request_outcome in (
            RequestOutcome.NOT_RUN,
            RequestOutcome.NO_CONFIG,
            RequestOutcome.OVERLOAD,
        ):
            self.rejected.add(spec.job_id)
        else:
            self.in_doubt.add(spec.job_id)
        return reply

    def store_job(self, spec: JobSpec) -> None:
        """Store a job without a review, as a VM does while there is no holder."""
        accepted = msgspec.structs.replace(spec, accepted_ms=LoopClock().wall_ms())
        record = job_record(accepted)
        self.store.put(Topic.JOBS, record.key, record.value)
        self.accepted.add(spec.job_id)

    async def cancel(self, spec: JobSpec, vm: str | None = None) -> Reply:
        """Cancel a job at a VM."""
        core = self._core(vm)
        if core is None:
            return Reply(RequestOutcome.IN_DOUBT)
        reply = await _within_deadline(core.frontend.cancel(spec.job_id, spec.customer))
        if reply.request_outcome is RequestOutcome.CANCELLED:
            now = asyncio.get_running_loop().time()
            self.fleet.cancelled_at.setdefault(spec.job_id, now)
        return reply

    async def state(self, job_id: str, vm: str | None = None) -> JobState | None:
        """Return a job's state as a VM shows it."""
        core = self._core(vm)
        return None if core is None else (await core.frontend.state(job_id, "")).state

    async def finished(self, job_ids: set[str], timeout_s: float) -> set[str]:
        """Wait for jobs to become final; return those that did not."""
        end_at = asyncio.get_running_loop().time() + timeout_s
        final = {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
        while True:
            open_ids = {each for each in job_ids if await self.state(each) not in final}
            if not open_ids or asyncio.get_running_loop().time() >= end_at:
                return open_ids
            await asyncio.sleep(0.1)

    def _core(self, vm: str | None) -> CellCore | None:
        if vm is not None:
            return self.vms_by_name[vm].core
        running = [each.core for each in self.vms_by_name.values() if each.core]
        return self.rng.choice(running) if running else None


async def _within_deadline(call: Awaitable[Reply]) -> Reply:
    """Return the reply, or that there was none; the VM may have been killed."""
    try:
        async with asyncio.timeout(CALL_DEADLINE_S):
            return await call
    except TimeoutError:
        return Reply(RequestOutcome.IN_DOUBT, detail="no answer")


def step(
    count: int = 2, run_ms: int = 500, cores: int = 1000, **fields: object
) -> StepSpec:
    """Return a step of like tasks."""
    return StepSpec(
        count=count,
        estimated_ms=run_ms,
        need=Resources(cores, 100),
        **fields,  # type: ignore[arg-type]
    )
