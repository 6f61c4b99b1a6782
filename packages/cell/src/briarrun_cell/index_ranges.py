"""Sets of indexes as sorted ranges, which stay small while the sets are dense. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Sequence

Range = tuple[int, int]
"""First and last index of a range."""


def to_ranges(indexes: Iterable[int]) -> list[Range]:
    """Return the ranges that cover exactly some indexes."""
    ranges: list[Range] = []
    for index in sorted(set(indexes)):
        if ranges and index == ranges[-1][1] + 1:
            ranges[-1] = (ranges[-1][0], index)
        else:
            ranges.append((index, index))
    return ranges


def to_indexes(ranges: Iterable[Range], limit: int) -> set[int]:
    """Return the indexes below ``limit`` in some ranges, which may be malformed."""
    indexes: set[int] = set()
    for first, last in ranges:
        indexes.update(range(max(0, first), min(last + 1, limit)))
    return indexes


class IndexRanges:
    """Set of indexes from 0 that is kept as ranges."""

    def __init__(self, ranges: Iterable[Range] = ()) -> None:
        self._ranges: list[Range] = []
        self._count = 0
        for first, last in sorted(ranges):
            self._append(max(0, first), last)

    def _append(self, first: int, last: int) -> None:
        if self._ranges and first <= self._ranges[-1][1] + 1:
            first = self._ranges[-1][1] + 1
            if last < first:
                return
            self._ranges[-1] = (self._ranges[-1][0], last)
        elif last >= first:
            self._ranges.append((first, last))
        else:
            return
        self._count += last - first + 1

    def __len__(self) -> int:
        """Return the number of indexes."""
        return self._count

    def __contains__(self, index: int) -> bool:
        """Return whether an index is in the set."""
        place = bisect_right(self._ranges, index, key=lambda each: each[0]) - 1
        return place >= 0 and index <= self._ranges[place][1]

    def add(self, index: int) -> None:
        """Add an index."""
        if index in self:
            return
        place = bisect_right(self._ranges, index, key=lambda each: each[0])
        first = last = index
        if place < len(self._ranges) and self._ranges[place][0] == index + 1:
            last = self._ranges.pop(place)[1]
        if place > 0 and self._ranges[place - 1][1] == index - 1:
            place -= 1
            first = self._ranges.pop(place)[0]
        self._ranges.insert(place, (first, last))
        self._count += 1

    def next_missing(self, index: int) -> int:
        """Return the lowest index from ``index`` on that is not in the set."""
        place = bisect_right(self._ranges, index, key=lambda each: each[0]) - 1
        if place >= 0 and index <= self._ranges[place][1]:
            return self._ranges[place][1] + 1
        return index

    @property
    def ranges(self) -> Sequence[Range]:
        """Ranges in order, with gaps between them."""
        return self._ranges
