"""Entry VMs of the cell and their addresses."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import Record
from briarrun_cell.tail import TopicListener

_LOG = ComponentLog("registry")


class EntryVm(msgspec.Struct, frozen=True, kw_only=True):
    """Process on an entry VM; ``cores`` is 0 if an older version registered it."""

    vm: str
    address: str
    failure_domain: str
    region: str
    cores: float = 0.0


class EntryVmTable(TopicListener):
    """Entry VMs by name; ``on_change`` is called with their number."""

    def __init__(self) -> None:
        self.by_name: dict[str, EntryVm] = {}
        self.on_change: Callable[[int], None] | None = None

    def on_snapshot(self, records: Sequence[Record], sent_at: float) -> None:
        """Replace the table by a snapshot."""
        self.by_name = {}
        self.on_records(records, sent_at)

    def on_records(self, records: Sequence[Record], sent_at: float) -> None:
        """Add, replace or remove entries."""
        for record in records:
            if record.value is None:
                self.by_name.pop(record.key, None)
                continue
            try:
                entry = msgspec.json.decode(record.value, type=EntryVm)
            except (msgspec.DecodeError, msgspec.ValidationError) as error:
                _LOG.warning("ignored malformed entry of a VM", detail=str(error))
                continue
            self.by_name[record.key] = entry
        if self.on_change is not None:
            self.on_change(len(self.by_name))
