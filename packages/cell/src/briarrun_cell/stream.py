"""Feed the job table from the store."""

from __future__ import annotations

from collections.abc import Sequence

from briarrun_cell.job_table import JobTable
from briarrun_cell.ports import Record
from briarrun_cell.tail import TopicListener


class JobStreamListener(TopicListener):
    """Fold the job stream into a table."""

    def __init__(self, table: JobTable) -> None:
        self._table = table

    def on_snapshot(self, records: Sequence[Record], asked_at: float) -> None:
        """Replace the table."""
        self._table.reset(records)

    def on_records(self, records: Sequence[Record], asked_at: float) -> None:
        """Fold further records."""
        self._table.apply(records)
