"""Schedule of deadlines that avoids scanning all tasks or all workers."""

from __future__ import annotations

from collections.abc import Hashable
from heapq import heappop, heappush
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class Deadlines(Generic[K]):
    """Priority queue of keys by deadline; each key has at most one deadline.

    Moving a deadline later is cheap: the key is queued again only when its earlier
    entry reaches the head of the queue.
    """

    def __init__(self) -> None:
        self._due_by_key: dict[K, float] = {}
        self._entry_by_key: dict[K, int] = {}
        self._heap: list[tuple[float, int, K]] = []
        self._entries = 0

    def __len__(self) -> int:
        """Return the number of keys that have a deadline."""
        return len(self._due_by_key)

    def __contains__(self, key: K) -> bool:
        """Return whether the key has a deadline."""
        return key in self._due_by_key

    def set(self, key: K, due: float) -> None:
        """Set or move the deadline of a key."""
        previous = self._due_by_key.get(key)
        self._due_by_key[key] = due
        if previous is None or due < previous:
            self._push(key, due)

    def set_no_later(self, key: K, due: float) -> None:
        """Set the deadline of a key unless it already has an earlier one."""
        previous = self._due_by_key.get(key)
        if previous is None or due < previous:
            self.set(key, due)

    def discard(self, key: K) -> None:
        """Remove the deadline of a key, if it has one."""
        self._due_by_key.pop(key, None)
        self._entry_by_key.pop(key, None)

    def pop_due(self, now: float) -> list[K]:
        """Remove and return every key whose deadline is before ``now``, in order."""
        due_keys = []
        while self._heap and self._heap[0][0] < now:
            _, entry, key = heappop(self._heap)
            if self._entry_by_key.get(key) != entry:
                continue
            due = self._due_by_key[key]
            if due < now:
                self.discard(key)
                due_keys.append(key)
            else:
                self._push(key, due)
        return due_keys

    def clear(self) -> None:
        """Remove every deadline."""
        self._due_by_key.clear()
        self._entry_by_key.clear()
        self._heap.clear()

    def _push(self, key: K, due: float) -> None:
        self._entries += 1
        self._entry_by_key[key] = self._entries
        heappush(self._heap, (due, self._entries, key))
