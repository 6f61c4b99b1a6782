"""Tests of the writer of log lines: what it drops, and what it doesn't."""

from __future__ import annotations

import json
from typing import Any

from briarrun_cell.logs import MAX_LINES_PER_S, MAX_PENDING_BYTES, BoundedWriter
from tests.cell.test_ledger import ManualClock


class _Output:
    """A reader of log lines that can stop reading."""

    def __init__(self) -> None:
        self.reads = True
        self._data = b""

    def write(self, data: bytes) -> int:
        """Take all data, or none while the reader has stopped."""
        if not self.reads:
            raise BlockingIOError
        self._data += data
        return len(data)

    def lines(self) -> list[dict[str, Any]]:
        """Return the lines that were read."""
        return [json.loads(line) for line in self._data.splitlines()]

    def count(self, message: str) -> int:
        """Return the number of lines with a message."""
        return sum(line["message"] == message for line in self.lines())


def _line(message: str, level: str = "info", **fields: Any) -> dict[str, Any]:
    component = message.partition(":")[0]
    return {"message_type": f"{component}:{level}", "message": message, **fields}


def _writer(output: _Output, clock: ManualClock | None = None) -> BoundedWriter:
    return BoundedWriter("vm1", clock or ManualClock(), output.write, MAX_LINES_PER_S)


def test_full_buffer_is_written_when_the_reader_reads_again() -> None:
    """Guards against silence for ever after a stop of the reader filled the buffer."""
    output, clock = _Output(), ManualClock()
    writer = _writer(output, clock)
    output.reads = False
    for size in (MAX_PENDING_BYTES // 100, 0):
        for _ in range(200):
            writer(_line("holder: starting tasks", detail="x" * size))
    assert writer.dropped > 0
    output.reads = True
    clock.time += 1.0
    writer(_line("holder: job finished"))
    assert output.count("main: log lines were dropped") == 1
    assert output.count("holder: job finished") == 1
