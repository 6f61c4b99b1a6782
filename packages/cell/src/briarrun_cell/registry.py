"""Workers as the store's registry lists them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from briarrun_cell.clock import Clock
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import WorkerEntry
from briarrun_cell.ports import Record
from briarrun_cell.tail import TopicListener

_LOG = ComponentLog("registry")


class EntryDecoder(ABC):
    """Decode the platform's registry entries."""

    @abstractmethod
    def decode_worker(self, worker_id: str, value: bytes) -> WorkerEntry:
        """Return an entry; raises ``ValueError`` if it names no worker."""


class WorkerRegistry(TopicListener):
    """Fold the stream of workers; an entry that cannot be read is ignored.

    Entries that left are remembered for ``memory_s``, since their runs may go on
    until their leases lapse.
    """

    def __init__(self, decoder: EntryDecoder, clock: Clock, memory_s: float) -> None:
        self._decoder = decoder
        self._clock = clock
        self._memory_s = memory_s
        self.by_id: dict[str, WorkerEntry] = {}
        self._left_by_id: dict[str, tuple[float, WorkerEntry]] = {}
        self.unreadable = 0
        self.on_change: Callable[[], None] | None = None

    def on_snapshot(self, records: Sequence[Record], asked_at: float) -> None:
        """Replace the registry."""
        named = {record.key for record in records}
        for worker_id in [each for each in self.by_id if each not in named]:
            self._leave(worker_id)
        self.on_records(records, asked_at)

    def on_records(self, records: Sequence[Record], asked_at: float) -> None:
        """Add, replace and drop entries."""
        for record in records:
            if record.value is None:
                self._leave(record.key)
                continue
            try:
                entry = self._decoder.decode_worker(record.key, record.value)
            except ValueError as error:
                self.unreadable += 1
                _LOG.warning(
                    "ignored an unreadable entry", worker=record.key, detail=str(error)
                )
                continue
            self.by_id[record.key] = entry
            self._left_by_id.pop(record.key, None)
        if self.on_change is not None:
            self.on_change()

    def recently_left(self) -> list[WorkerEntry]:
        """Return entries that left a short time ago."""
        oldest = self._clock.now() - self._memory_s
        self._left_by_id = {
            key: left for key, left in self._left_by_id.items() if left[0] >= oldest
        }
        return [entry for _, entry in self._left_by_id.values()]

    def _leave(self, worker_id: str) -> None:
        entry = self.by_id.pop(worker_id, None)
        if entry is not None:
            self._left_by_id[worker_id] = (self._clock.now(), entry)
