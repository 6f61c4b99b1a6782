"""Updates of the job table from the job stream."""

from __future__ import annotations

from collections.abc import Sequence

from briarrun_cell.job_table import JobTable
from briarrun_cell.ports import Record
from briarrun_cell.tail import TopicListener


class JobStreamListener(TopicListener):
    """Applies the records of the job stream to the job table."""

    def __init__(self, table: JobTable) -> None:
        self._table = table

    def on_snapshot(self, records: Sequence[Record], sent_at: float) -> None:
        """Replace the table by a snapshot."""
        self._table.reset(records)

    def on_records(self, records: Sequence[Record], sent_at: float) -> None:
        """Apply further records."""
        self._table.apply(records)
