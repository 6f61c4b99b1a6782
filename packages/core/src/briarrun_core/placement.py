"""Index of workers by free resources.

Workers stand in a binary tree in rack order. Every inner node holds, per resource, the
largest free amount below it, so a search skips whole subtrees without room and costs
about the logarithm of the number of workers. In a full fleet one worker has cores left
and another memory; so that such pairs do not look like room, a node also holds the
largest free amount for several ratios of memory to cores.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

from briarrun_core.resources import Resources

ResourceTuple = tuple[int, int, int, int]
Row = tuple[int, ...]

UNSCHEDULABLE: ResourceTuple = (-1, -1, -1, -1)
"""Room of a worker that takes nothing, not even a task without resources."""

RATIOS = (1, 2, 4, 8)
"""Ratios of memory to cores, in MiB per thousandth of a core, that nodes bound."""

CLOSED_ROW: Row = (-1,) * (4 + len(RATIOS))

CANDIDATES = 8
"""Fitting workers compared before one is chosen; more cost time and pack no better."""


def as_tuple(resources: Resources) -> ResourceTuple:
    """Return a resource vector as a plain tuple."""
    return (
        resources.cores,
        resources.memory_mib,
        resources.accelerators,
        resources.slots,
    )


def _row(available: ResourceTuple) -> Row:
    """Return a room with its bound for each ratio."""
    cores, memory = available[0], available[1]
    if cores < 0 or memory < 0:
        return CLOSED_ROW
    return available + tuple(min(cores * ratio, memory) for ratio in RATIOS)


def _bound(need: ResourceTuple) -> tuple[int, int]:
    """Return the place in a row of the nearest ratio and the least amount there."""
    cores, memory = need[0], need[1]
    nearest = min(
        range(len(RATIOS)),
        key=lambda i: max(cores * RATIOS[i], memory)
        / (min(cores * RATIOS[i], memory) or 1),
    )
    return 4 + nearest, min(cores * RATIOS[nearest], memory)


def _largest(a: Row, b: Row) -> Row:
    return (
        a[0] if a[0] > b[0] else b[0],
        a[1] if a[1] > b[1] else b[1],
        a[2] if a[2] > b[2] else b[2],
        a[3] if a[3] > b[3] else b[3],
        a[4] if a[4] > b[4] else b[4],
        a[5] if a[5] > b[5] else b[5],
        a[6] if a[6] > b[6] else b[6],
        a[7] if a[7] > b[7] else b[7],
    )


class _Pool:
    """Hold the tree over the workers of one kind."""

    def __init__(self) -> None:
        self._racks: dict[str, str] = {}
        self._rooms: dict[str, ResourceTuple] = {}
        self._stale = True
        self._ids: list[str] = []
        self._positions: dict[str, int] = {}
        self._rack_ends: list[int] = []
        self._rack_starts: dict[str, int] = {}
        self._tree: list[Row] = [CLOSED_ROW, CLOSED_ROW]
        self._size = 1

    def add(self, worker_id: str, rack: str, available: ResourceTuple) -> None:
        self._racks[worker_id] = rack
        self._rooms[worker_id] = available
        self._stale = True

    def remove(self, worker_id: str) -> None:
        del self._racks[worker_id]
        del self._rooms[worker_id]
        self._stale = True

    def set_available(self, worker_id: str, available: ResourceTuple) -> None:
        self._rooms[worker_id] = available
        if self._stale:
            return
        tree = self._tree
        i = self._positions[worker_id] + self._size
        tree[i] = _row(available)
        i >>= 1
        while i:
            best = _largest(tree[2 * i], tree[2 * i + 1])
            if best == tree[i]:
                return
            tree[i] = best
            i >>= 1

    def _rebuild(self) -> None:
        """Lay out the tree anew; workers come and go far less often than tasks."""
        self._stale = False
        self._ids = sorted(self._racks, key=lambda w: (self._racks[w], w))
        self._positions = {w: i for i, w in enumerate(self._ids)}
        self._rack_ends = [0] * len(self._ids)
        self._rack_starts = {}
        end = len(self._ids)
        for i in range(len(self._ids) - 1, -1, -1):
            rack = self._racks[self._ids[i]]
            if i + 1 < len(self._ids) and self._racks[self._ids[i + 1]] != rack:
                end = i + 1
            self._rack_ends[i] = end
            self._rack_starts[rack] = i
        self._size = 1
        while self._size < max(1, len(self._ids)):
            self._size *= 2
        size = self._size
        tree = [CLOSED_ROW] * (2 * size)
        for i, worker_id in enumerate(self._ids):
            tree[size + i] = _row(self._rooms[worker_id])
        for i in range(size - 1, 0, -1):
            tree[i] = _largest(tree[2 * i], tree[2 * i + 1])
        self._tree = tree

    def _first_from(
        self, need: ResourceTuple, bound: tuple[int, int], start: int
    ) -> int:
        """Return the first position at or after ``start`` with room, else -1."""
        if start >= len(self._ids):
            return -1
        c, m, a, s = need
        column, least = bound
        tree, size = self._tree, self._size
        i = start + size
        while True:
            node = tree[i]
            if (
                node[column] >= least
                and node[0] >= c
                and node[1] >= m
                and node[2] >= a
                and node[3] >= s
            ):
                if i >= size:
                    return i - size
                i *= 2
                continue
            while i & 1:
                i >>= 1
            if not i:
                return -1
            i += 1

    def fitting(self, need: ResourceTuple, avoid: Collection[str]) -> Iterator[str]:
        """Yield workers with room outside the racks to avoid, in rack order."""
        if self._stale:
            self._rebuild()
        bound = _bound(need)
        position = self._first_from(need, bound, 0)
        while position >= 0:
            worker_id = self._ids[position]
            if avoid and self._racks[worker_id] in avoid:
                position = self._first_from(need, bound, self._rack_ends[position])
                continue
            yield worker_id
            position = self._first_from(need, bound, position + 1)

    def in_rack(self, need: ResourceTuple, rack: str) -> Iterator[str]:
        """Yield workers of one rack with room."""
        if self._stale:
            self._rebuild()
        start = self._rack_starts.get(rack)
        if start is None:
            return
        end = self._rack_ends[start]
        bound = _bound(need)
        position = self._first_from(need, bound, start)
        while 0 <= position < end:
            yield self._ids[position]
            position = self._first_from(need, bound, position + 1)

    def available(self, worker_id: str) -> ResourceTuple:
        return self._rooms[worker_id]


class WorkerIndex:
    """Find workers with room for a task.

    Workers with accelerators are a pool of their own, so that tasks which need none
    fill it last.
    """

    def __init__(self) -> None:
        self._pools = (_Pool(), _Pool())
        self._pool_by_worker: dict[str, _Pool] = {}
        self._shape_by_worker: dict[str, tuple[str, ResourceTuple]] = {}

    def add_or_replace(
        self, worker_id: str, rack: str, capacity: ResourceTuple
    ) -> None:
        """Add a worker, closed, or change its rack and capacity."""
        shape = (rack, capacity)
        if self._shape_by_worker.get(worker_id) == shape:
            return
        self.remove(worker_id)
        pool = self._pools[1 if capacity[2] else 0]
        pool.add(worker_id, rack, UNSCHEDULABLE)
        self._pool_by_worker[worker_id] = pool
        self._shape_by_worker[worker_id] = shape

    def remove(self, worker_id: str) -> None:
        """Forget a worker; an unknown one is ignored."""
        pool = self._pool_by_worker.pop(worker_id, None)
        if pool is not None:
            pool.remove(worker_id)
            del self._shape_by_worker[worker_id]

    def set_available(self, worker_id: str, available: ResourceTuple) -> None:
        """Change the room of a known worker."""
        self._pool_by_worker[worker_id].set_available(worker_id, available)

    def available(self, worker_id: str) -> ResourceTuple:
        """Return the room of a known worker."""
        return self._pool_by_worker[worker_id].available(worker_id)

    def fitting(self, need: ResourceTuple) -> Iterator[str]:
        """Yield all workers with room, those without accelerators first."""
        for pool in self._pools[1:] if need[2] else self._pools:
            yield from pool.fitting(need, ())

    def candidates(
        self, need: ResourceTuple, count: int, avoid: Collection[str] = ()
    ) -> list[str]:
        """Return up to ``count`` workers with room, outside the racks to avoid."""
        pools = self._pools[1:] if need[2] else self._pools
        found: list[str] = []
        for pool in pools:
            for worker_id in pool.fitting(need, avoid):
                found.append(worker_id)
                if len(found) >= count:
                    return found
            if found:
                return found
        return found

    def find_packed(
        self, need: ResourceTuple, avoid: Collection[str] = ()
    ) -> str | None:
        """Return the fitting worker that keeps the least and most even rest."""
        found = self.candidates(need, CANDIDATES, avoid)
        return self._tightest(need, found) if found else None

    def find_spread(
        self, need: ResourceTuple, tasks_by_rack: dict[str, int]
    ) -> str | None:
        """Return a fitting worker in a rack with the fewest of the job's tasks."""
        found = self.find_packed(need, tasks_by_rack)
        if found is not None or not tasks_by_rack:
            return found
        pools = self._pools[1:] if need[2] else self._pools
        for rack, _ in sorted(tasks_by_rack.items(), key=lambda item: (item[1], item)):
            for pool in pools:
                fitting = list(pool.in_rack(need, rack))
                if fitting:
                    return self._tightest(need, fitting)
        return None

    def _tightest(self, need: ResourceTuple, workers: list[str]) -> str:
        if len(workers) == 1:
            return workers[0]
        best, best_waste = workers[0], float("inf")
        for worker_id in workers:
            available = self._pool_by_worker[worker_id].available(worker_id)
            capacity = self._shape_by_worker[worker_id][1]
            cores = (available[0] - need[0]) / (capacity[0] or 1)
            memory = (available[1] - need[1]) / (capacity[1] or 1)
            waste = cores + memory + abs(cores - memory)
            if waste < best_waste:
                best, best_waste = worker_id, waste
        return best
