"""Interfaces between the cell and the outside; adapters implement them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from briarrun_cell.model import Inventory, StepId, TaskId, WorkerEntry


class Topic(StrEnum):
    """Name the streams of the store that a cell uses.

    Each keeps the newest record of every key for good.
    """

    CONFIG = "config"
    WORKERS = "workers"
    JOBS = "jobs"
    HOLDER = "holder"
    VMS = "vms"


@dataclass(frozen=True, slots=True)
class Record:
    """Hold one keyed record; ``value`` of None drops the key."""

    key: str
    value: bytes | None
    offset: int = -1


@dataclass(frozen=True, slots=True)
class ProducerSequence:
    """Order the appends of one producer; a higher epoch shuts out lower ones."""

    name: str
    epoch: int
    sequence: int


class AppendOutcome(StrEnum):
    """Name what became of an append.

    ``REFUSED`` was certainly not done; ``UNKNOWN`` may take effect even later.
    """

    DONE = "done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AppendResult:
    """Hold the outcome of an append and the end of the topic, if known."""

    outcome: AppendOutcome
    offset: int = -1
    end: int = -1
    detail: str = ""


class StoreUnavailable(Exception):  # noqa: N818 - the store's state, not a defect
    """A read of the store had no usable answer."""


class HistoryTruncated(Exception):  # noqa: N818 - the store's state, not a defect
    """The requested records are gone; read the newest of each key instead."""


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Hold records in order and the end of the topic at the time of the read."""

    records: tuple[Record, ...]
    end: int


class Store(ABC):
    """Linearizable keyed streams."""

    @abstractmethod
    async def append(
        self,
        topic: Topic,
        records: Sequence[Record],
        *,
        timeout_s: float,
        at: int | None = None,
        producer: ProducerSequence | None = None,
    ) -> AppendResult:
        """Append all records or none, if the topic ends at ``at``."""

    @abstractmethod
    async def read(
        self, topic: Topic, start: int, *, wait_s: float, timeout_s: float
    ) -> ReadResult:
        """Return records from an offset, waiting for the first.

        Raises ``StoreUnavailable`` or ``HistoryTruncated``.
        """

    @abstractmethod
    async def newest(self, topic: Topic, *, timeout_s: float) -> ReadResult:
        """Return the newest record of each key, and the end before the first page.

        Raises ``StoreUnavailable``.
        """


class OrderOutcome(StrEnum):
    """Name a worker's answer to an order.

    After ``UNKNOWN`` the order may still take effect. After every other refusal it has
    certainly not been carried out.
    """

    DONE = "done"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"
    NO_CAPACITY = "no-room"
    BAD_TICKET = "bad-ticket"
    REJECTED = "rejected"
    BUSY = "busy"
    WRONG_INCARNATION = "other-life"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order one run; ``lease_until_ms`` is on the worker's clock."""

    task: TaskId
    run: int
    payload: str
    lease_until_ms: int
    epoch: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class WorkerAnswer:
    """Hold the answer to an order or a look.

    ``inventory`` is set only after a look that was answered.
    """

    outcome: OrderOutcome
    inventory: Inventory | None = None
    detail: str = ""


class Workers(ABC):
    """Send orders to workers. Every order names the intended life of the worker."""

    @abstractmethod
    async def start(
        self, worker: WorkerEntry, order: StartOrder, timeout_s: float
    ) -> WorkerAnswer:
        """Start a run; a repeat for a run that is there succeeds."""

    @abstractmethod
    async def stop(
        self, worker: WorkerEntry, task: TaskId, run: int, epoch: int, timeout_s: float
    ) -> WorkerAnswer:
        """Stop a run; afterwards this run can never start there."""

    @abstractmethod
    async def poll(
        self,
        worker: WorkerEntry,
        epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> WorkerAnswer:
        """Return the inventory, after a wait for an end, and extend the leases."""


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """Hold the approved workers of a step with their tickets."""

    tickets_by_worker: dict[str, str]
    validity_s: float


class AdviceUnavailable(Exception):  # noqa: N818 - the service's state, not a defect
    """The advice service had no usable answer."""


class Advisor(ABC):
    """Ask which workers may run a step."""

    @abstractmethod
    async def advise(
        self, step: StepId, worker_ids: Sequence[str], timeout_s: float
    ) -> AdviceAnswer:
        """Return the approved workers; raises ``AdviceUnavailable``."""
