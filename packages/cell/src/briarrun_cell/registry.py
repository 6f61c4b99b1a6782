"""Workers in the registry of the store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import replace

from briarrun_cell.clock import Clock
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import WorkerEntry
from briarrun_cell.ports import Record, Topic
from briarrun_cell.tail import TopicListener
from briarrun_cell.unreadable import UnreadableRecords
from briarrun_wire.decode import DecodeError

_LOG = ComponentLog("registry")


class EntryDecoder(ABC):
    """Decoder of registry entries of the platform."""

    @abstractmethod
    def decode_worker(self, worker_id: str, value: bytes) -> WorkerEntry:
        """Return the entry of a worker.

        Raises ``DecodeError`` if it cannot be read.
        """


class WorkerRegistry(TopicListener):
    """Registered workers.

    A worker whose newest entry cannot be read stays with its last readable entry, but
    suspended: its runs keep their leases and it gets no new ones. Removed entries are
    kept for ``retention_s``, since the runs of these workers may continue until their
    leases expire.
    """

    def __init__(self, decoder: EntryDecoder, clock: Clock, retention_s: float) -> None:
        self._decoder = decoder
        self._clock = clock
        self._retention_s = retention_s
        self.by_id: dict[str, WorkerEntry] = {}
        self._read_at_by_id: dict[str, tuple[int, float]] = {}
        self._left_by_id: dict[str, tuple[float, WorkerEntry]] = {}
        self._unreadable = UnreadableRecords(Topic.WORKERS, _LOG)
        self.on_change: Callable[[], None] | None = None

    @property
    def unreadable(self) -> int:
        """Number of entries that could not be read."""
        return self._unreadable.count

    def on_snapshot(self, records: Sequence[Record], sent_at: float) -> None:
        """Replace the registry by a snapshot."""
        named = {record.key for record in records}
        for worker_id in [each for each in self.by_id if each not in named]:
            self._leave(worker_id)
        self.on_records(records, sent_at)

    def on_records(self, records: Sequence[Record], sent_at: float) -> None:
        """Add, replace or remove entries."""
        for record in records:
            if record.value is None:
                self._unreadable.clear(record.key)
                self._leave(record.key)
                continue
            try:
                entry = self._decoder.decode_worker(record.key, record.value)
            except DecodeError as error:
                self._unreadable.add(record, error, "the worker gets no new runs")
                known = self.by_id.get(record.key)
                if known is not None:
                    self.by_id[record.key] = replace(known, suspended=True)
                continue
            self._unreadable.clear(record.key)
            self.by_id[record.key] = replace(
                entry,
                read_at=self._read_at(record),
                known_since=self._known_since(entry),
            )
            self._left_by_id.pop(record.key, None)
        if self.on_change is not None:
            self.on_change()

    def recently_left(self) -> list[WorkerEntry]:
        """Return the entries that were removed within ``retention_s``."""
        oldest = self._clock.now() - self._retention_s
        self._left_by_id = {
            key: left for key, left in self._left_by_id.items() if left[0] >= oldest
        }
        return [entry for _, entry in self._left_by_id.values()]

    def _read_at(self, record: Record) -> float:
        """Return the time at which a record was first read; snapshots repeat records."""
        known = self._read_at_by_id.get(record.key)
        if known is None or known[0] != record.offset:
            known = self._read_at_by_id[record.key] = (record.offset, self._clock.now())
        return known[1]

    def _known_since(self, entry: WorkerEntry) -> float:
        """Return the time at which this incarnation was first read.

        Entries without a time of birth do not tell incarnations apart.
        """
        known = self.by_id.get(entry.worker_id)
        if known is None or not entry.born_ms or known.born_ms != entry.born_ms:
            return self._clock.now()
        return known.known_since

    def _leave(self, worker_id: str) -> None:
        self._read_at_by_id.pop(worker_id, None)
        entry = self.by_id.pop(worker_id, None)
        if entry is not None:
            self._left_by_id[worker_id] = (self._clock.now(), entry)
