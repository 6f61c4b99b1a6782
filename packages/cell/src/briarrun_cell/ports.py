"""Interfaces to external systems, which adapters implement."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from briarrun_cell.model import Inventory, StepId, TaskId, WorkerEntry


class Topic(StrEnum):
    """Topics of the store.

    Topics are compacted: the newest record of each key is kept indefinitely.
    """

    CONFIG = "config"
    WORKERS = "workers"
    JOBS = "jobs"
    HOLDER = "holder"
    VMS = "vms"


RECORD_OVERHEAD_BYTES = 5
"""Size of the lengths of a record and its key in the store."""


@dataclass(frozen=True, slots=True)
class Record:
    """Keyed record; a ``value`` of None deletes the key."""

    key: str
    value: bytes | None
    offset: int = -1

    @property
    def size(self) -> int:
        """Size in the store, in bytes: the lengths, the key and the value."""
        return RECORD_OVERHEAD_BYTES + len(self.key.encode()) + len(self.value or b"")


@dataclass(frozen=True, slots=True)
class ProducerSequence:
    """Sequence number of a producer's append; a higher epoch fences off lower ones."""

    name: str
    epoch: int
    sequence: int


class AppendOutcome(StrEnum):
    """Outcome of an append.

    After ``REFUSED`` the append has certainly had no effect, but may succeed later. After
    ``INVALID`` it has had none and never will, e.g. since a record is too large. After
    ``UNKNOWN`` it may have taken effect, or may still do so.
    """

    DONE = "done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    INVALID = "invalid"
    UNKNOWN = "unknown"


DEFAULT_RECORD_BYTES = 256 * 1024
"""Maximum size of a record if the settings name none."""

DEFAULT_APPEND_BYTES = 2 * 1024 * 1024
"""Maximum size of all records of an append if the settings name none."""


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Maximum sizes of a record, and of all records of an append, in bytes."""

    record_bytes: int = DEFAULT_RECORD_BYTES
    append_bytes: int = DEFAULT_APPEND_BYTES


@dataclass(frozen=True, slots=True)
class AppendResult:
    """Outcome of an append and, if known, its offset and the end of the topic."""

    outcome: AppendOutcome
    offset: int = -1
    end: int = -1
    detail: str = ""


class StoreUnavailable(Exception):  # noqa: N818 - state of the store, not a bug
    """A read of the store failed."""


class HistoryTruncated(Exception):  # noqa: N818 - state of the store, not a bug
    """The requested offsets were compacted; the reader needs a new snapshot."""


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Records in order, and the end of the topic at the time of the read."""

    records: tuple[Record, ...]
    end: int


class Store(ABC):
    """Linearizable store of compacted topics."""

    limits: StoreLimits = StoreLimits()

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
        """Append all records or none.

        With ``at``, the append succeeds only if the topic ends at that offset.
        """

    @abstractmethod
    async def read(
        self, topic: Topic, start: int, *, wait_s: float, timeout_s: float
    ) -> ReadResult:
        """Return the records from an offset on, waiting up to ``wait_s`` for the first.

        Raises ``StoreUnavailable`` or ``HistoryTruncated``.
        """

    @abstractmethod
    async def newest(self, topic: Topic, *, timeout_s: float) -> ReadResult:
        """Return a snapshot: the newest record of each key.

        ``end`` is the end of the topic before the snapshot was read.

        Raises ``StoreUnavailable``.
        """


class OrderOutcome(StrEnum):
    """Outcome of an order to a worker.

    After ``UNKNOWN`` the order may still take effect. After any other failure it has
    certainly not been carried out, but an earlier order of the same run may have been.
    After ``SUPERSEDED`` this run, or a later one of its task, has ended on the worker.
    After ``CONNECTION_REFUSED`` and ``UNREACHABLE`` nothing was sent, but the worker may run
    on, e.g. behind a firewall that rejects connections. ``WRONG_INCARNATION`` is what another
    worker answers that now has the address, so that the intended one has ended.
    ``CONNECTION_CLOSED`` is the outcome of a poll that was not sent, since it was to continue
    on a connection that is closed.
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
    CONNECTION_REFUSED = "connection-refused"
    CONNECTION_CLOSED = "connection-closed"
    UNKNOWN = "unknown"

    @property
    def was_sent(self) -> bool:
        """Whether the worker may have received the order."""
        return self not in (
            OrderOutcome.UNREACHABLE,
            OrderOutcome.CONNECTION_REFUSED,
            OrderOutcome.CONNECTION_CLOSED,
        )


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run.

    ``lease_until_ms`` is a time on the worker's clock. A worker refuses orders and polls
    whose ``token`` is lower than one that it has seen.
    """

    task: TaskId
    run: int
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class WorkerAnswer:
    """Answer to an order or a poll.

    ``inventory`` is set only for a successful poll. ``clock_ms`` is the time on the clock
    of the life that answered an order, if it says so.
    """

    outcome: OrderOutcome
    inventory: Inventory | None = None
    detail: str = ""
    clock_ms: int | None = None


class Workers(ABC):
    """Client of the workers.

    Every order names the id of the worker that it is meant for. A worker that restarts
    under its id carries out orders that were meant for its earlier life, too.
    """

    @abstractmethod
    async def start(
        self, worker: WorkerEntry, order: StartOrder, timeout_s: float
    ) -> WorkerAnswer:
        """Start a run; succeeds if the run has already been started."""

    @abstractmethod
    async def stop(
        self, worker: WorkerEntry, task: TaskId, run: int, token: int, timeout_s: float
    ) -> WorkerAnswer:
        """Stop a run, and keep it from being started by a delayed order."""

    @abstractmethod
    async def poll(
        self,
        worker: WorkerEntry,
        token: int,
        acknowledged: int | None,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> WorkerAnswer:
        """Extend the run leases and return the inventory.

        Waits up to ``wait_s`` for the end of a run. ``acknowledged`` is the number of
        the last end report that the worker may delete. Numbers start anew in each life
        of a worker, so a number is sent only over the connection on which the last poll
        was answered, and nothing is sent if that is closed. A poll with None may open
        another connection and acknowledges nothing.
        """


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """Tickets of the workers that are approved for a step."""

    tickets_by_worker: dict[str, str]
    validity_s: float


class AdviceUnavailable(Exception):  # noqa: N818 - state of the service, not a bug
    """A call to the advice service failed."""


class Advisor(ABC):
    """Client of the advice service."""

    @abstractmethod
    async def advise(
        self, step: StepId, worker_ids: Sequence[str], timeout_s: float
    ) -> AdviceAnswer:
        """Return the workers that may run the step.

        Raises ``AdviceUnavailable``.
        """
