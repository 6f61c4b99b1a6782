"""Callers of a soak, who check what they are told."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

import msgspec
from expression import Result

from briarrun_cell.model import JobSpec, JobState, Queue, TaskId
from briarrun_platform.decoding import decode_job
from briarrun_wire.http_client import HttpPool, PoolLimits
from briarrun_wire.http_types import HttpFailure, HttpFailureKind, HttpResponse
from tests.soak.world import MAX_ATTEMPTS, POOL, QUEUES, REVOCATION_S, SoakVm, World

CALL_TIMEOUT_S = 3.0
CALM_S = 4.0
"""A VM that was not disturbed for this long answers every request that it has read."""

VISIBLE_S = 3.0
"""Time after its acceptance from which every VM knows a job."""

TRIES = 6
FOLLOW_S = 45.0
"""Time in which every accepted job must end once all faults are healed."""

FINAL = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@dataclass(eq=False)
class Attempted:
    """Hold what a caller knows of one job."""

    spec: JobSpec
    statuses: list[int | None] = field(default_factory=list)
    accepted_at: float = float("inf")
    cancelled: bool = False
    cancel_sent: bool = False
    state: JobState | None = None

    @property
    def accepted(self) -> bool:
        """Tell whether the caller was told that the job is accepted."""
        return 200 in self.statuses

    @property
    def rejected(self) -> bool:
        """Tell whether every try was told that the job will not run."""
        return bool(self.statuses) and all(
            status in (429, 503) for status in self.statuses
        )


@dataclass
class Callers:
    """Submit, follow and cancel jobs; count the requests."""

    world: World
    rng: random.Random
    requests: int = 0
    jobs_by_id: dict[str, Attempted] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Open no connection yet."""
        self.pool = HttpPool(PoolLimits(connect_timeout_s=1.0, idle_timeout_s=60.0))

    async def run(self, until: float) -> None:
        """Act as one caller until a time of the loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await self._one_job()
            await asyncio.sleep(0.15 * self.rng.random())

    async def probe_keys(self, until: float) -> None:
        """Use withdrawn keys, which must not work any more."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(0.3)
            for key, withdrawn_at in list(self.world.withdrawn_at_by_key.items()):
                vm = self._any_vm()
                sent_at = loop.time()
                result = await self._call(vm, "GET", self._known_target(), b"", key)
                worked = result.is_ok() and result.ok.status == 200
                if worked and sent_at > withdrawn_at + REVOCATION_S:
                    age_s = sent_at - withdrawn_at
                    self._break(f"withdrawn key worked at {vm.name} after {age_s:.2f}")

    def _known_target(self) -> str:
        """Return a job that every VM knows: it is answered without the store."""
        for job in self.jobs_by_id.values():
            if job.state in FINAL:
                return f"/{job.spec.queue}/{job.spec.job_id}"
        return f"/{QUEUES[0]}/"

    def _break(self, text: str) -> None:
        self.world.broken.append(text)

    def _any_vm(self) -> SoakVm:
        return self.world.vms_by_name[self.rng.choice(sorted(self.world.vms_by_name))]

    async def _one_job(self) -> None:
        queue = self.rng.choice(QUEUES)
        customer = self.rng.choice(sorted(self.world.key_by_customer))
        number = len(self.jobs_by_id)
        job_id = f"{self.world.plan.seed & 0xFFFFFFFF:08x}{number:08x}"
        body = self._body(job_id)
        terms = _terms(queue)
        spec = msgspec.structs.replace(
            decode_job(job_id, terms, body), customer=customer
        )
        job = self.jobs_by_id[job_id] = Attempted(spec)
        self.world.fleet.specs_by_id[job_id] = spec
        target = f"/{queue}/{job_id}"
        for _ in range(TRIES):
            status = await self._status("POST", target, body, customer)
            job.statuses.append(status)
            if status == 200:
                job.accepted_at = asyncio.get_running_loop().time()
                break
            await asyncio.sleep(0.1 + 0.3 * self.rng.random())
        if not job.accepted:
            return
        if self.rng.random() < 0.1:
            await self._status("POST", target, body, customer)
        if self.rng.random() < 0.08:
            job.cancel_sent = True
            status = await self._status("DELETE", target, b"", customer)
            job.cancelled = status == 200
        for _ in range(self.rng.randint(1, 4)):
            await asyncio.sleep(0.1 + 0.5 * self.rng.random())
            await self.follow(job)

    def _body(self, job_id: str) -> bytes:
        rng = self.rng
        steps: list[dict[str, Any]] = [
            {
                "count": rng.randint(1, 5),
                "cpu": rng.choice((500, 2000, 6000)),
                "requestedMemoryMb": 64,
                "estimatedMs": rng.randint(100, 1500),
                "gangScheduled": rng.random() < 0.25,
            }
            for _ in range(rng.choice((1, 1, 1, 2)))
        ]
        if len(steps) > 1:
            steps[1]["after"] = [0]
        return msgspec.json.encode({"specification": f"do {job_id}", "steps": steps})

    async def _status(
        self, method: str, target: str, body: bytes, customer: str
    ) -> int | None:
        key = self.world.key_by_customer[customer]
        result = await self._call(self._any_vm(), method, target, body, key)
        return result.ok.status if result.is_ok() else None

    async def _call(
        self, vm: SoakVm, method: str, target: str, body: bytes, key: str
    ) -> Result[HttpResponse, HttpFailure]:
        self.requests += 1
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        result = await self.pool.request(
            vm.callers_address,
            method,
            target,
            headers=(("Authorization", f"Bearer {key}"),),
            body=body,
            idempotent=True,
            timeout_s=CALL_TIMEOUT_S,
        )
        calm = sent_at - vm.disturbed_at > CALM_S and loop.time() - sent_at < 1.0
        if (
            result.is_error()
            and result.error.sent
            and result.error.kind is HttpFailureKind.CLOSED
            and calm
            and vm.stopping
        ):
            self._break(f"{vm.name} cut a request while it shut down")
        return result

    async def follow(self, job: Attempted) -> None:
        """Ask for a job's state and check it."""
        spec = job.spec
        target = f"/{spec.queue}/{spec.job_id}"
        key = self.world.key_by_customer[spec.customer]
        asked_at = asyncio.get_running_loop().time()
        vm = self._any_vm()
        result = await self._call(vm, "GET", target, b"", key)
        if result.is_error() or result.ok.status not in (200, 410):
            return
        if result.ok.status == 410:
            visible = asked_at - job.accepted_at > VISIBLE_S
            if visible and asked_at - vm.disturbed_at > CALM_S:
                self._break(f"{spec.job_id} was accepted, {vm.name} does not know it")
            return
        state = JobState(result.ok.json()["state"])
        if job.state in FINAL and state is not job.state:
            # A VM that the store does not reach may lag behind.
            if state in FINAL or asked_at - vm.disturbed_at > CALM_S:
                self._break(f"{spec.job_id} was {job.state} and is {state}")
            return
        job.state = state
        if state is JobState.COMPLETED and not self._all_done(spec):
            self._break(f"{spec.job_id} is shown as completed, but is not")
        if state is JobState.CANCELLED and not job.cancel_sent:
            self._break(f"{spec.job_id} is shown as cancelled, but nobody asked")

    def _all_done(self, spec: JobSpec) -> bool:
        done = self.world.fleet.done
        for number, step in enumerate(spec.steps):
            tasks = [TaskId(spec.job_id, 0, number, i) for i in range(step.count)]
            ended = [task in done for task in tasks]
            if not (any(ended) if step.gang else all(ended)):
                return False
        return True

    async def follow_all(self) -> None:
        """Wait until every accepted job is final; note those that are not."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + FOLLOW_S
        while loop.time() < end_at:
            left = [
                job
                for job in self.jobs_by_id.values()
                if job.accepted and job.state not in FINAL
            ]
            if not left:
                break
            for job in left:
                await self.follow(job)
            await asyncio.sleep(0.2)
        for job in self.jobs_by_id.values():
            if job.accepted and job.state not in FINAL:
                self._break(f"{job.spec.job_id} is lost: {job.state}")

    def check_runs(self) -> None:
        """Check that nothing ran, or still runs, that should not."""
        fleet = self.world.fleet
        for job_id, job in self.jobs_by_id.items():
            if job.rejected and job_id in fleet.first_start_by_job:
                self._break(f"{job_id} ran, but every try was rejected")
        for held in self.world.workers_by_id.values():
            for task, _ in held.worker.runs_by_id:
                job = self.jobs_by_id[task.job_id]
                if job.state in FINAL:
                    self._break(f"{task} still runs, but its job is {job.state}")


def _terms(queue: str) -> Queue:
    return Queue(
        name=queue,
        host="",
        path_prefix=f"/{queue}/",
        pool=POOL,
        max_attempts=MAX_ATTEMPTS,
    )
