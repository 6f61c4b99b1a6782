"""Workers with their available resources.

Resources are available if the ledger reports them as free and they are not charged to a
planned start, held for a job or on a reserved or unschedulable worker.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from briarrun_core.model import JobKind
from briarrun_core.placement import UNSCHEDULABLE, ResourceTuple, WorkerIndex, as_tuple
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.views import WorkerState, WorkerView


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that is planned or running on a worker."""

    task_id: str
    job_id: str
    team: str
    kind: JobKind
    rank: int
    resources: Resources
    worker_id: str
    started_at: float
    checkpointable: bool = True

    @property
    def preemptible(self) -> bool:
        """Whether the task may be checkpointed; tasks of gangs never are."""
        return self.checkpointable and self.kind is not JobKind.GANG


@dataclass(slots=True)
class _Entry:
    view: WorkerView
    planned: Resources = NOTHING
    held: Resources = NOTHING
    reserved_for: str | None = None
    unit_count: int = 0
    tasks: dict[str, RunningTask] = field(default_factory=dict)


class WorkerTable:
    """Workers, their tasks and the index of their available resources.

    The resources of an ended task become available only when the ledger reports them
    and ``set_view`` is called, since only the ledger knows when they are free again.
    """

    def __init__(self, may_accept_tasks: Callable[[str], bool]) -> None:
        self._may_accept_tasks = may_accept_tasks
        self._entries: dict[str, _Entry] = {}
        self._index = WorkerIndex()
        self._reclaimable = WorkerIndex()
        self._stale_reclaimable: set[str] = set()
        self._worker_count_by_capacity: dict[Resources, int] = {}
        self._unplaceable_sizes: set[ResourceTuple] = set()
        self.total = NOTHING
        self.unit = NOTHING
        self._free_unit_count = 0
        self.free_increase_count = 0

    def __contains__(self, worker_id: str) -> bool:
        return worker_id in self._entries

    def __len__(self) -> int:
        return len(self._entries)

    def ids(self) -> list[str]:
        """Return the ids of all workers."""
        return list(self._entries)

    def set_view(self, view: WorkerView) -> None:
        """Add or update a worker."""
        entry = self._entries.get(view.worker_id)
        if entry is None:
            entry = self._entries[view.worker_id] = _Entry(view)
            self._count_capacity(view.capacity, 1)
        elif entry.view.capacity != view.capacity:
            self._count_capacity(entry.view.capacity, -1)
            self._count_capacity(view.capacity, 1)
        entry.view = view
        self._index.add_or_replace(view.worker_id, view.rack, as_tuple(view.capacity))
        self.refresh(view.worker_id)

    def _count_capacity(self, capacity: Resources, change: int) -> None:
        count = self._worker_count_by_capacity.get(capacity, 0) + change
        if count:
            self._worker_count_by_capacity[capacity] = count
        else:
            del self._worker_count_by_capacity[capacity]
        self.total += capacity.scaled(change)

    def remove(self, worker_id: str) -> list[RunningTask]:
        """Remove a worker and return the tasks registered on it."""
        entry = self._entries.pop(worker_id, None)
        if entry is None:
            return []
        self._count_capacity(entry.view.capacity, -1)
        self._free_unit_count -= entry.unit_count
        self._index.remove(worker_id)
        self._reclaimable.remove(worker_id)
        self._stale_reclaimable.discard(worker_id)
        return list(entry.tasks.values())

    def view(self, worker_id: str) -> WorkerView:
        """Return the latest view of a known worker."""
        return self._entries[worker_id].view

    def tasks(self, worker_id: str) -> list[RunningTask]:
        """Return the tasks planned or running on a known worker."""
        return list(self._entries[worker_id].tasks.values())

    def free(self, worker_id: str) -> Resources:
        """Return the reported free resources of a known worker minus planned starts."""
        entry = self._entries[worker_id]
        return entry.view.free - entry.planned

    def unheld(self, worker_id: str) -> Resources:
        """Return the free resources of a known worker that are not held for a job."""
        entry = self._entries[worker_id]
        return entry.view.free - entry.planned - entry.held

    def available(self, worker_id: str) -> ResourceTuple:
        """Return the resources of a worker that are available to all jobs.

        A worker that is reserved or not schedulable is ``UNSCHEDULABLE``.
        """
        return self._index.available(worker_id)

    def refresh(self, worker_id: str) -> None:
        """Recompute the available resources of a worker."""
        entry = self._entries.get(worker_id)
        if entry is None:
            return
        old = self._index.available(worker_id)
        new = UNSCHEDULABLE
        if entry.reserved_for is None and self.is_schedulable(worker_id):
            f, p, h = entry.view.free, entry.planned, entry.held
            new = (
                f.cores - p.cores - h.cores,
                f.memory_mib - p.memory_mib - h.memory_mib,
                f.accelerators - p.accelerators - h.accelerators,
                f.slots - p.slots - h.slots,
            )
        self._stale_reclaimable.add(worker_id)
        if new == old:
            return
        self._index.set_available(worker_id, new)
        self._update_unit_count(entry, new)
        if any(n > o for n, o in zip(new, old, strict=True)):
            self.free_increase_count += 1
            if self._unplaceable_sizes:
                self._unplaceable_sizes = {
                    s for s in self._unplaceable_sizes if not _fits(s, new)
                }

    def _update_unit_count(self, entry: _Entry, available: ResourceTuple) -> None:
        if not self.unit.is_zero:
            new_count = fit_count(self.unit, Resources(*available))
            self._free_unit_count += new_count - entry.unit_count
            entry.unit_count = new_count

    def set_unit(self, unit: Resources) -> None:
        """Set the task size in which the available resources are counted."""
        if unit == self.unit:
            return
        self.unit = unit
        for worker_id, entry in self._entries.items():
            self._update_unit_count(entry, self._index.available(worker_id))

    @property
    def free_unit_count(self) -> int:
        """Number of tasks of the unit size that fit into the available resources."""
        return self._free_unit_count

    def free_units_after(self, worker_id: str, need: Resources) -> int:
        """Return the number of free units after a start on a worker."""
        entry = self._entries[worker_id]
        rest = Resources(*self._index.available(worker_id)) - need
        return self._free_unit_count - entry.unit_count + fit_count(self.unit, rest)

    def is_schedulable(self, worker_id: str) -> bool:
        """Return whether a known worker may be given tasks now."""
        state = self._entries[worker_id].view.state
        return state is WorkerState.AVAILABLE and self._may_accept_tasks(worker_id)

    def find(
        self, need: Resources, tasks_by_rack: dict[str, int] | None = None
    ) -> str | None:
        """Return a worker on which a task fits.

        With ``tasks_by_rack`` the tasks are spread over racks, otherwise packed.
        """
        size = as_tuple(need)
        if size in self._unplaceable_sizes:
            return None
        if tasks_by_rack is None:
            found = self._index.find_packed(size)
        else:
            found = self._index.find_spread(size, tasks_by_rack)
        if found is None:
            self._unplaceable_sizes.add(size)
        return found

    @property
    def unplaceable_sizes(self) -> set[ResourceTuple]:
        """Sizes known to fit on no worker until resources become available."""
        return self._unplaceable_sizes

    def workers_that_fit(self, need: Resources) -> Iterator[str]:
        """Yield workers on which a task fits.

        Available resources must not change during the iteration.
        """
        return self._index.fitting(as_tuple(need))

    def plan(self, task: RunningTask) -> None:
        """Charge a planned start."""
        entry = self._entries[task.worker_id]
        entry.planned += task.resources
        entry.tasks[task.task_id] = task
        self.refresh(task.worker_id)

    def withdraw(self, task: RunningTask) -> None:
        """Revert a planned start."""
        entry = self._entries.get(task.worker_id)
        if entry is not None and entry.tasks.pop(task.task_id, None) is not None:
            entry.planned -= task.resources
            self.refresh(task.worker_id)

    def confirm(self, task: RunningTask) -> None:
        """Convert a planned start into one that the ledger has charged."""
        entry = self._entries.get(task.worker_id)
        if entry is not None and task.task_id in entry.tasks:
            entry.planned -= task.resources
            entry.view = _charge_view(entry.view, task.resources)

    def adopt(self, task: RunningTask) -> None:
        """Add a task that was already running and is included in the reported usage."""
        self._entries[task.worker_id].tasks[task.task_id] = task
        self._stale_reclaimable.add(task.worker_id)

    def end(self, task: RunningTask) -> None:
        """Remove an ended task; its resources become available with the next view."""
        entry = self._entries.get(task.worker_id)
        if entry is not None:
            entry.tasks.pop(task.task_id, None)
            self._stale_reclaimable.add(task.worker_id)

    def hold(self, worker_id: str, amount: Resources) -> None:
        """Hold resources of a worker; a negative amount releases them."""
        entry = self._entries.get(worker_id)
        if entry is not None:
            entry.held += amount
            self.refresh(worker_id)

    def reserve(self, worker_id: str, job_id: str | None) -> None:
        """Reserve a worker for a job, or release it with ``None``."""
        entry = self._entries.get(worker_id)
        if entry is not None:
            entry.reserved_for = job_id
            self.refresh(worker_id)

    def reserved_for(self, worker_id: str) -> str | None:
        """Return the job for which a worker is reserved, if any."""
        entry = self._entries.get(worker_id)
        return entry.reserved_for if entry is not None else None

    def reclaimable(self, need: Resources, count: int) -> list[str]:
        """Return up to ``count`` workers on which a task fits after checkpoints."""
        for worker_id in self._stale_reclaimable:
            entry = self._entries[worker_id]
            view = entry.view
            available = UNSCHEDULABLE
            if entry.reserved_for is None and self.is_schedulable(worker_id):
                reclaimable_resources = view.free - entry.planned - entry.held
                for task in entry.tasks.values():
                    if task.rank > 0 and task.preemptible:
                        reclaimable_resources += task.resources
                available = as_tuple(reclaimable_resources)
            self._reclaimable.add_or_replace(
                worker_id, view.rack, as_tuple(view.capacity)
            )
            self._reclaimable.set_available(worker_id, available)
        self._stale_reclaimable.clear()
        return self._reclaimable.candidates(as_tuple(need), count)

    def max_task_count(self, need: Resources) -> int:
        """Return how many tasks of a size would fit if all workers were empty."""
        return sum(
            count * fit_count(need, capacity)
            for capacity, count in self._worker_count_by_capacity.items()
        )


def fit_count(need: Resources, available: Resources) -> int:
    """Return how many tasks of a size fit into the available resources."""
    if not need.fits_in(available):
        return 0
    pairs = zip(as_tuple(need), as_tuple(available), strict=True)
    return min((r // n for n, r in pairs if n > 0), default=1_000_000)


def _fits(need: ResourceTuple, available: ResourceTuple) -> bool:
    return all(n <= r for n, r in zip(need, available, strict=True))


def _charge_view(view: WorkerView, amount: Resources) -> WorkerView:
    return WorkerView(
        view.worker_id,
        view.rack,
        view.domain,
        view.capacity,
        view.free - amount,
        view.state,
    )
