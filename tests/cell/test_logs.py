"""Tests of the writer of log lines: what it drops, and what it doesn't."""

from __future__ import annotations

import json
from typing import Any

import pytest

from briarrun_cell.logs import (
    MAX_LINES_PER_S,
    MAX_PENDING_BYTES,
    MAX_WARNINGS_PER_S,
    BoundedWriter,
)
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


@pytest.mark.parametrize(
    ("message", "level"),
    [
        ("worker: start order refused", "warning"),
        ("holder: worker process ended", "warning"),
        ("holder: scheduling round failed", "error"),
        ("holder: elected as holder", "info"),
    ],
)
@pytest.mark.parametrize(
    "flood",
    [
        [("holder: starting tasks", "info")],
        [
            ("holder: starting tasks", "info"),
            ("holder: runs ended", "info"),
            ("holder: job finished", "info"),
            ("front: handled submission", "info"),
            ("worker: sent start order", "info"),
        ],
        [
            ("worker: worker does not answer", "warning"),
            ("holder: append of job progress failed", "warning"),
            ("holder: task of the holder failed", "error"),
        ],
    ],
    ids=["starts", "five info messages", "warnings and errors"],
)
def test_rare_line_is_written_beside_2000_others(
    message: str, level: str, flood: list[tuple[str, str]]
) -> None:
    """Guards against the loss of the one line that explains a second start."""
    output = _Output()
    writer = _writer(output)
    for index in range(2000):
        writer(_line(*flood[index % len(flood)]))
    writer(_line(message, level, reason="superseded"))
    assert writer.dropped > 0
    assert output.lines()[-1]["message"] == message
    assert output.lines()[-1]["reason"] == "superseded"


@pytest.mark.parametrize(
    ("frequent", "other", "level", "count"),
    [
        ("holder: starting tasks", "holder: runs ended", "info", 100),
        ("holder: starting tasks", "front: handled submission", "info", 100),
        ("worker: worker does not answer", "worker: start refused", "warning", 37),
        ("worker: worker does not answer", "holder: process ended", "warning", 50),
    ],
)
def test_frequent_message_leaves_room_for_another(
    frequent: str, other: str, level: str, count: int
) -> None:
    """Guards against one frequent message that takes the lines of the others."""
    output = _Output()
    writer = _writer(output)
    for message in [frequent] * 2000 + [other] * count:
        writer(_line(message, level))
    assert output.count(other) == count
    assert output.count(frequent) > 0


@pytest.mark.parametrize(
    ("level", "kinds", "max_lines"),
    [
        ("info", 1, MAX_LINES_PER_S),
        ("info", 500, MAX_LINES_PER_S),
        ("warning", 1, MAX_WARNINGS_PER_S),
        ("warning", 500, MAX_WARNINGS_PER_S),
        ("error", 500, MAX_WARNINGS_PER_S),
    ],
)
def test_lines_of_a_second_are_bounded(level: str, kinds: int, max_lines: int) -> None:
    """Guards against shares for each message that add up to any number of lines."""
    output, clock = _Output(), ManualClock()
    writer = _writer(output, clock)
    lines_before = 0
    for second in range(3):
        for index in range(5000):
            writer(_line(f"worker: message {index % kinds}", level))
        notices = output.count("main: log lines were dropped")
        lines = len(output.lines()) - notices
        assert notices == second
        assert 0 < lines - lines_before <= max_lines
        lines_before = lines
        clock.time += 1.0


def test_notice_names_the_dropped_messages() -> None:
    """Guards against a count of dropped lines that does not say what is missing."""
    output, clock = _Output(), ManualClock()
    writer = _writer(output, clock)
    sent = {
        "worker: worker does not answer": ("warning", 70),
        "holder: starting tasks": ("info", 2000),
        "holder: runs ended": ("info", 3),
    }
    for message, (level, count) in sent.items():
        for _ in range(count):
            writer(_line(message, level))
    missing = {
        message: count - output.count(message)
        for message, (_, count) in sent.items()
        if output.count(message) < count
    }
    assert set(missing) == {"worker: worker does not answer", "holder: starting tasks"}
    for _ in range(2):
        clock.time += 1.0
        writer(_line("holder: runs ended"))
    (notice,) = (line for line in output.lines() if "dropped" in line)
    assert notice["message"] == "main: log lines were dropped"
    assert notice["dropped_by_kind"] == missing
    assert notice["dropped"] == sum(missing.values())


def test_warning_is_kept_while_info_lines_fill_the_buffer() -> None:
    """Guards against a slow reader who misses the warnings among the info lines."""
    output, clock = _Output(), ManualClock()
    writer = _writer(output, clock)
    output.reads = False
    for message, size in (("holder: starting tasks", 4000), ("holder: runs ended", 0)):
        for _ in range(100):
            writer(_line(message, detail="x" * size))
    writer(_line("worker: start order refused", "warning"))
    output.reads = True
    clock.time += 1.0
    writer(_line("holder: job finished"))
    assert output.count("holder: starting tasks") < 100
    assert output.count("worker: start order refused") == 1


def test_full_buffer_is_written_when_the_reader_reads_again() -> None:
    """Guards against silence for ever after a stop of the reader filled the buffer."""
    output, clock = _Output(), ManualClock()
    writer = _writer(output, clock)
    output.reads = False
    for size in (MAX_PENDING_BYTES // 40, 0):
        for message, level in (
            ("holder: starting tasks", "info"),
            ("holder: worker process ended", "warning"),
            ("holder: task of the holder failed", "error"),
        ):
            for _ in range(200):
                writer(_line(message, level, detail="x" * size))
    assert writer.dropped > 0
    output.reads = True
    clock.time += 1.0
    writer(_line("holder: job finished"))
    assert output.count("main: log lines were dropped") == 1
    assert output.count("holder: job finished") == 1
