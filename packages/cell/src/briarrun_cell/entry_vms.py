"""Entry VMs of the cell and their addresses."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Annotated

import msgspec

from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import Record, Topic
from briarrun_cell.tail import TopicListener
from briarrun_cell.unreadable import UnreadableRecords
from briarrun_wire.decode import DecodeError, check_address, decode_json

MAX_CORES = 10_000.0
"""Maximum number of cores of an entry VM."""

_LOG = ComponentLog("registry")


class EntryVm(msgspec.Struct, frozen=True, kw_only=True):
    """Process on an entry VM; ``cores`` is 0 if an older version registered it."""

    vm: str
    address: str
    failure_domain: str
    region: str
    cores: Annotated[float, msgspec.Meta(ge=0, le=MAX_CORES)] = 0.0


class EntryVmTable(TopicListener):
    """Entry VMs by name; ``on_change`` is called with their number.

    A VM whose newest entry cannot be read stays in the table with its last readable one.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, EntryVm] = {}
        self._unreadable = UnreadableRecords(Topic.VMS, _LOG)
        self.on_change: Callable[[int], None] | None = None

    def on_snapshot(self, records: Sequence[Record], sent_at: float) -> None:
        """Replace the table by a snapshot."""
        named = {record.key for record in records}
        self.by_name = {
            name: entry for name, entry in self.by_name.items() if name in named
        }
        self.on_records(records, sent_at)

    def on_records(self, records: Sequence[Record], sent_at: float) -> None:
        """Add, replace or remove entries."""
        for record in records:
            if record.value is None:
                self._unreadable.clear(record.key)
                self.by_name.pop(record.key, None)
                continue
            try:
                entry = decode_json(record.value, EntryVm)
                check_address(entry.address)
            except DecodeError as error:
                self._unreadable.add(record, error, "the last entry stays")
                continue
            self._unreadable.clear(record.key)
            self.by_name[record.key] = entry
        if self.on_change is not None:
            self.on_change(len(self.by_name))
