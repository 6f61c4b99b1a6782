"""Counts and log lines of records that cannot be read."""

from __future__ import annotations

from prometheus_client import Counter

from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import Record, Topic
from briarrun_wire.decode import DecodeError, shorten

MAX_LOGGED_KEYS = 256
"""Number of keys of a topic that are remembered as logged."""

RECORDS = Counter(
    "briarrun_unreadable_records",
    "Records of the store that this process could not read or apply, by topic.",
    ("topic",),
    registry=None,
)


class UnreadableRecords:
    """Unreadable records of one topic.

    They are counted. A key is logged once until one of its records is readable.
    """

    def __init__(self, topic: Topic, log: ComponentLog) -> None:
        self._topic = topic
        self._log = log
        self._logged_keys: dict[str, None] = {}
        self.count = 0

    def add(self, record: Record, error: Exception, effect: str) -> None:
        """Count a record; ``effect`` says what becomes of its key."""
        self.count += 1
        RECORDS.labels(self._topic.value).inc()
        if record.key in self._logged_keys:
            return
        if len(self._logged_keys) >= MAX_LOGGED_KEYS:
            del self._logged_keys[next(iter(self._logged_keys))]
        self._logged_keys[record.key] = None
        self._log.warning(
            "unreadable record",
            topic=self._topic,
            key=shorten(record.key),
            offset=record.offset,
            effect=effect,
            detail=(
                str(error) if isinstance(error, DecodeError) else shorten(repr(error))
            ),
        )

    def clear(self, key: str) -> None:
        """Note that the newest record of a key is readable or deletes the key."""
        self._logged_keys.pop(key, None)
