"""Failure domains under evacuation, from requests of the operator in the store.

No task may start in such a failure domain. What runs there goes on.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from briarrun_cell.config_view import ConfigDecoder
from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import Record, Topic
from briarrun_cell.tail import TopicListener
from briarrun_cell.unreadable import UnreadableRecords
from briarrun_wire.decode import DecodeError

_LOG = ComponentLog("config")


class Evacuations(TopicListener):
    """The failure domains whose evacuation is requested.

    A request whose value cannot be read counts: its key names the failure domain, and a
    task that starts there does more harm than one that starts elsewhere. While the store
    cannot be read, the last known set remains.
    """

    def __init__(self, decoder: ConfigDecoder) -> None:
        self._decoder = decoder
        self._unreadable = UnreadableRecords(Topic.CONFIG, _LOG)
        self.failure_domains: frozenset[str] = frozenset()
        self.on_change: Callable[[], None] | None = None

    def on_snapshot(self, records: Sequence[Record], sent_at: float) -> None:
        """Replace the set by that of a snapshot; what it lacks was withdrawn."""
        self._set(self._applied(frozenset(), records))

    def on_records(self, records: Sequence[Record], sent_at: float) -> None:
        """Apply requests and withdrawals in their order."""
        self._set(self._applied(self.failure_domains, records))

    def _applied(
        self, before: frozenset[str], records: Sequence[Record]
    ) -> frozenset[str]:
        requested = set(before)
        for record in records:
            try:
                evacuation = self._decoder.decode_evacuation(record)
            except DecodeError as error:
                self._unreadable.add(record, error, "other evacuations stay in force")
                continue
            if evacuation is None:
                continue
            if evacuation.defect:
                defect = DecodeError(evacuation.defect)
                self._unreadable.add(record, defect, "the failure domain is evacuated")
            else:
                self._unreadable.clear(record.key)
            if evacuation.requested:
                requested.add(evacuation.failure_domain)
            else:
                requested.discard(evacuation.failure_domain)
        return frozenset(requested)

    def _set(self, failure_domains: frozenset[str]) -> None:
        before, self.failure_domains = self.failure_domains, failure_domains
        for name in sorted(failure_domains - before):
            _LOG.info("evacuation of a failure domain begins", failure_domain=name)
        for name in sorted(before - failure_domains):
            _LOG.info("evacuation of a failure domain ends", failure_domain=name)
        if before != failure_domains and self.on_change is not None:
            self.on_change()
