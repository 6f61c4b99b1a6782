"""Workers, which run tasks under leases."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import StrEnum
from urllib.parse import quote

import msgspec
from expression import Error, Ok, Result

from briarrun_adapters.platform import JsonClient, PlatformFailure
from briarrun_core.resources import NOTHING, Resources
from briarrun_wire.http_client import HttpPool


class TaskStart(msgspec.Struct, frozen=True, kw_only=True):
    """Order a worker to start a task; ``lease_until`` is wall-clock seconds."""

    task_id: str
    attempt: int
    epoch: int
    resources: Resources
    lease_until: float
    command: str = ""
    run_seconds: float | None = None


class StartReply(StrEnum):
    """Name a worker's definite answers to a start."""

    RUNNING = "running"
    LAPSED = "lapsed"
    FAILED = "failed"


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """Extend a task's lease to ``lease_until`` (wall-clock seconds)."""

    task_id: str
    attempt: int
    lease_until: float


class InventoryTask(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a task as its worker sees it.

    ``state`` is ``running``, ``checkpointed``, ``throttled``, ``stopped``, ``done``,
    ``failed`` or ``lapsed``; ended tasks stay listed until forgotten.
    """

    task_id: str
    attempt: int
    state: str
    lease_until: float
    usage: Resources = NOTHING
    started_at: float | None = None
    ended_at: float | None = None


class Inventory(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a worker and its tasks as of ``taken_at`` (wall-clock seconds)."""

    taken_at: float
    capacity: Resources
    rack: str
    draining: bool = False
    tasks: tuple[InventoryTask, ...] = ()


class _State(msgspec.Struct, frozen=True):
    state: str


class _Unknown(msgspec.Struct, frozen=True):
    unknown: tuple[str, ...]


class _Empty(msgspec.Struct, frozen=True):
    pass


class WorkerClient(ABC):
    """Speak to workers; ``address`` is the worker's ``host:port``."""

    @abstractmethod
    async def start(
        self, address: str, order: TaskStart, timeout_s: float = 1.0
    ) -> Result[StartReply, PlatformFailure]:
        """Start a task; it certainly does not run if the failure is ``certain``."""

    @abstractmethod
    async def renew(
        self, address: str, leases: Sequence[Lease], timeout_s: float = 1.0
    ) -> Result[tuple[str, ...], PlatformFailure]:
        """Extend leases in one batch and return the task ids unknown to the worker."""

    @abstractmethod
    async def apply_action(
        self, address: str, task_id: str, action: str, timeout_s: float = 1.0
    ) -> Result[str, PlatformFailure]:
        """Apply ``stop``, ``checkpoint`` or ``throttle`` and return the new state."""

    @abstractmethod
    async def inventory(
        self, address: str, timeout_s: float = 1.0
    ) -> Result[Inventory, PlatformFailure]:
        """Return the worker's capacity and tasks."""

    @abstractmethod
    async def forget(
        self, address: str, task_ids: Sequence[str], timeout_s: float = 1.0
    ) -> Result[None, PlatformFailure]:
        """Acknowledge ended tasks so that the worker no longer lists them."""


class HttpWorkerClient(WorkerClient):
    """Speak to workers over HTTP."""

    def __init__(self, pool: HttpPool) -> None:
        self._pool = pool

    async def start(
        self, address: str, order: TaskStart, timeout_s: float = 1.0
    ) -> Result[StartReply, PlatformFailure]:
        """Start a task; it certainly does not run if the failure is ``certain``."""
        reply = await JsonClient(address, self._pool).call(
            "POST",
            "/v1/tasks",
            _State,
            body=order,
            idempotent=False,
            timeout_s=timeout_s,
        )
        match reply:
            case Result(tag="ok", ok=body):
                if body.state == StartReply.RUNNING:
                    return Ok(StartReply.RUNNING)
                detail = f"unexpected state {body.state!r}"
                return Error(PlatformFailure(False, detail, 200))
            case Result(error=failure):
                if failure.status == 409 and failure.reason in ("lapsed", "failed"):
                    return Ok(StartReply(failure.reason))
                return Error(failure)

    async def renew(
        self, address: str, leases: Sequence[Lease], timeout_s: float = 1.0
    ) -> Result[tuple[str, ...], PlatformFailure]:
        """Extend leases in one batch and return the task ids unknown to the worker."""
        reply = await JsonClient(address, self._pool).call(
            "POST",
            "/v1/renew",
            _Unknown,
            body={"leases": leases},
            idempotent=True,
            timeout_s=timeout_s,
        )
        return reply.map(lambda body: body.unknown)

    async def apply_action(
        self, address: str, task_id: str, action: str, timeout_s: float = 1.0
    ) -> Result[str, PlatformFailure]:
        """Apply ``stop``, ``checkpoint`` or ``throttle`` and return the new state."""
        reply = await JsonClient(address, self._pool).call(
            "POST",
            f"/v1/tasks/{quote(task_id, safe='')}/{action}",
            _State,
            idempotent=True,
            timeout_s=timeout_s,
        )
        return reply.map(lambda body: body.state)

    async def inventory(
        self, address: str, timeout_s: float = 1.0
    ) -> Result[Inventory, PlatformFailure]:
        """Return the worker's capacity and tasks."""
        return await JsonClient(address, self._pool).call(
            "GET", "/v1/inventory", Inventory, idempotent=True, timeout_s=timeout_s
        )

    async def forget(
        self, address: str, task_ids: Sequence[str], timeout_s: float = 1.0
    ) -> Result[None, PlatformFailure]:
        """Acknowledge ended tasks so that the worker no longer lists them."""
        reply = await JsonClient(address, self._pool).call(
            "POST",
            "/v1/forget",
            _Empty,
            body={"tasks": task_ids},
            idempotent=True,
            timeout_s=timeout_s,
        )
        return reply.map(lambda _: None)
