"""Division of records into appends that the store takes. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

_Item = TypeVar("_Item")


def take_batch(
    items: Iterable[_Item], size: Callable[[_Item], int], max_bytes: int, max_items: int
) -> list[_Item]:
    """Return the first items that fit into one append, at least one if there is any."""
    batch: list[_Item] = []
    total = 0
    for item in items:
        total += size(item)
        if batch and (total > max_bytes or len(batch) >= max_items):
            break
        batch.append(item)
    return batch


def halves(batch: list[_Item]) -> tuple[list[_Item], list[_Item]]:
    """Return the two halves of a batch, to find the item that the store rejects."""
    middle = len(batch) // 2
    return batch[:middle], batch[middle:]
