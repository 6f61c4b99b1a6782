"""Entry VMs of the cell: entries that their owners renew, and which of them are gone."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Annotated

import msgspec

from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import Record, Topic
from briarrun_cell.tail import TopicListener
from briarrun_cell.unreadable import UnreadableRecords
from briarrun_wire.decode import DecodeError, DurationS, check_address, decode_json

MAX_CORES = 10_000.0
"""Maximum number of cores of an entry VM."""

MIN_RENEWAL_INTERVAL_S = 3.0
"""Minimum interval between renewals of an entry."""

RENEWAL_INTERVAL_PER_VM_S = 0.1
"""Interval between renewals of an entry per VM of the cell, which bounds the rate of
the renewals of all VMs."""

MISSED_RENEWALS = 3
"""Number of missed renewals after which a VM counts as gone."""

RENEWAL_SLACK_S = 1.0
"""Time by which a renewal may be late, because of a slow store or pauses of readers."""

_LOG = ComponentLog("registry")


def renewal_interval_s(vms: int) -> float:
    """Return the interval at which the VMs of a cell renew their entries."""
    return max(MIN_RENEWAL_INTERVAL_S, RENEWAL_INTERVAL_PER_VM_S * vms)


class EntryVm(msgspec.Struct, frozen=True, kw_only=True):
    """Process on an entry VM; ``cores`` is 0 if an older version registered it."""

    vm: str
    address: str
    failure_domain: str
    region: str
    cores: Annotated[float, msgspec.Meta(ge=0, le=MAX_CORES)] = 0.0
    renewed_every_s: DurationS = MIN_RENEWAL_INTERVAL_S


class EntryVmTable(TopicListener):
    """Entry VMs by name; ``on_change`` is called after every read.

    ``gone`` names the VMs that missed renewals. The age of an entry is measured in the
    time for which renewals of other entries were read. While the store is away nobody can
    renew, so that a long pause between two reads counts as one renewal interval only.

    A VM whose newest entry cannot be read stays in the table with its last readable one.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, EntryVm] = {}
        self.gone: set[str] = set()
        self.on_change: Callable[[], None] | None = None
        self._unreadable = UnreadableRecords(Topic.VMS, _LOG)
        self._last_sent_at: float | None = None
        self._observed_s = 0.0
        self._renewed_by_name: dict[str, float] = {}

    def on_snapshot(self, records: Sequence[Record], sent_at: float) -> None:
        """Replace the table by a snapshot."""
        named = {record.key for record in records}
        for name in [*self.by_name, *self.gone]:
            if name not in named:
                self._remove(name)
        self.on_records(records, sent_at)

    def on_records(self, records: Sequence[Record], sent_at: float) -> None:
        """Add, renew or remove entries."""
        if self._last_sent_at is not None:
            elapsed_s = sent_at - self._last_sent_at
            self._observed_s += min(elapsed_s, MIN_RENEWAL_INTERVAL_S)
        self._last_sent_at = sent_at
        for record in records:
            if record.value is None:
                self._unreadable.clear(record.key)
                self._remove(record.key)
                continue
            try:
                entry = decode_json(record.value, EntryVm)
                check_address(entry.address)
            except DecodeError as error:
                self._unreadable.add(record, error, "the last entry stays")
                continue
            self._unreadable.clear(record.key)
            self._renewed_by_name[record.key] = self._observed_s
            self.by_name[record.key] = entry
            self.gone.discard(record.key)
        self._expire()
        if self.on_change is not None:
            self.on_change()

    def _remove(self, name: str) -> None:
        self.by_name.pop(name, None)
        self.gone.discard(name)
        self._renewed_by_name.pop(name, None)

    def _expire(self) -> None:
        for name, entry in list(self.by_name.items()):
            max_age_s = MISSED_RENEWALS * entry.renewed_every_s + RENEWAL_SLACK_S
            if self._observed_s - self._renewed_by_name[name] > max_age_s:
                _LOG.warning("a VM no longer renews its entry", gone=name)
                del self.by_name[name]
                self.gone.add(name)
