"""Workers as the plan sees them: reported room less planned, held and closed."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from briarrun_core.model import JobKind
from briarrun_core.placement import UNSCHEDULABLE, ResourceTuple, WorkerIndex, as_tuple
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.views import WorkerState, WorkerView


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Describe a task that is planned or running on a worker."""

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
        """Tell whether the task may be checkpointed at all; gangs stay whole."""
        return self.checkpointable and self.kind is not JobKind.GANG


@dataclass(slots=True)
class _Entry:
    view: WorkerView
    planned: Resources = NOTHING
    held: Resources = NOTHING
    reserved_for: str | None = None
    fit_count: int = 0
    tasks: dict[str, RunningTask] = field(default_factory=dict)


class WorkerTable:
    """Keep workers, their tasks and the index of their room.

    Room grows only when the ledger reports it by ``set_view``: it alone knows when a
    task's resources are really free again.
    """

    def __init__(self, may_accept_tasks: Callable[[str], bool]) -> None:
        self._may_take = may_accept_tasks
        self._entries: dict[str, _Entry] = {}
        self._index = WorkerIndex()
        self._reclaimable = WorkerIndex()
        self._stale_reclaimable: set[str] = set()
        self._count_by_capacity: dict[Resources, int] = {}
        self._full: set[ResourceTuple] = set()
        self.total = NOTHING
        self.unit = NOTHING
        self._units = 0
        self.free_increase_count = 0

    def __contains__(self, worker_id: str) -> bool:
        return worker_id in self._entries

    def __len__(self) -> int:
        return len(self._entries)

    def ids(self) -> list[str]:
        """Return the ids of all workers."""
        return list(self._entries)

    def set_view(self, view: WorkerView) -> None:
        """Add a worker or replace what is known of it."""
        entry = self._entries.get(view.worker_id)
        if entry is None:
            entry = self._entries[view.worker_id] = _Entry(view)
            self._count(view.capacity, 1)
        elif entry.view.capacity != view.capacity:
            self._count(entry.view.capacity, -1)
            self._count(view.capacity, 1)
        entry.view = view
        self._index.add_or_replace(view.worker_id, view.rack, as_tuple(view.capacity))
        self.refresh(view.worker_id)

    def _count(self, capacity: Resources, change: int) -> None:
        count = self._count_by_capacity.get(capacity, 0) + change
        if count:
            self._count_by_capacity[capacity] = count
        else:
            del self._count_by_capacity[capacity]
        self.total += capacity.scaled(change)

    def remove(self, worker_id: str) -> list[RunningTask]:
        """Forget a worker and return the tasks it was taken to run."""
        entry = self._entries.pop(worker_id, None)
        if entry is None:
            return []
        self._count(entry.view.capacity, -1)
        self._units -= entry.fit_count
        self._index.remove(worker_id)
        self._reclaimable.remove(worker_id)
        self._stale_reclaimable.discard(worker_id)
        return list(entry.tasks.values())

    def view(self, worker_id: str) -> WorkerView:
        """Return the last view of a known worker."""
        return self._entries[worker_id].view

    def tasks(self, worker_id: str) -> list[RunningTask]:
        """Return the tasks planned or running on a known worker."""
        return list(self._entries[worker_id].tasks.values())

    def free(self, worker_id: str) -> Resources:
        """Return the reported room of a known worker less planned starts."""
        entry = self._entries[worker_id]
        return entry.view.free - entry.planned

    def unheld(self, worker_id: str) -> Resources:
        """Return the room of a known worker that is not held for a job."""
        entry = self._entries[worker_id]
        return entry.view.free - entry.planned - entry.held

    def available(self, worker_id: str) -> ResourceTuple:
        """Return the room open to any job, ``CLOSED`` if it takes none."""
        return self._index.available(worker_id)

    def refresh(self, worker_id: str) -> None:
        """Work out a worker's room anew."""
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
        self._count_worker_units(entry, new)
        if any(n > o for n, o in zip(new, old, strict=True)):
            self.free_increase_count += 1
            if self._full:
                self._full = {s for s in self._full if not _fits(s, new)}

    def _count_worker_units(self, entry: _Entry, available: ResourceTuple) -> None:
        if not self.unit.is_zero:
            fresh = fit_count(self.unit, Resources(*available))
            self._units += fresh - entry.fit_count
            entry.fit_count = fresh

    def set_unit(self, unit: Resources) -> None:
        """Count from now on how many tasks of a size all free room would take."""
        if unit == self.unit:
            return
        self.unit = unit
        for worker_id, entry in self._entries.items():
            self._count_worker_units(entry, self._index.available(worker_id))

    @property
    def free_unit_count(self) -> int:
        """Return how many units all free room would take."""
        return self._units

    def free_units_after(self, worker_id: str, need: Resources) -> int:
        """Return the count of units that is left after a start on a worker."""
        entry = self._entries[worker_id]
        rest = Resources(*self._index.available(worker_id)) - need
        return self._units - entry.fit_count + fit_count(self.unit, rest)

    def is_schedulable(self, worker_id: str) -> bool:
        """Tell whether a known worker may be given tasks now."""
        state = self._entries[worker_id].view.state
        return state is WorkerState.AVAILABLE and self._may_take(worker_id)

    def find(
        self, need: Resources, tasks_by_rack: dict[str, int] | None = None
    ) -> str | None:
        """Return a worker for a task, spread over racks if counts are given."""
        wanted = as_tuple(need)
        if wanted in self._full:
            return None
        if tasks_by_rack is None:
            found = self._index.find_packed(wanted)
        else:
            found = self._index.find_spread(wanted, tasks_by_rack)
        if found is None:
            self._full.add(wanted)
        return found

    @property
    def unplaceable_sizes(self) -> set[ResourceTuple]:
        """Return the sizes found to fit nowhere since room last grew for them."""
        return self._full

    def workers_that_fit(self, need: Resources) -> Iterator[str]:
        """Yield workers with room for a task, as long as no room changes."""
        return self._index.fitting(as_tuple(need))

    def plan(self, task: RunningTask) -> None:
        """Charge a planned start."""
        entry = self._entries[task.worker_id]
        entry.planned += task.resources
        entry.tasks[task.task_id] = task
        self.refresh(task.worker_id)

    def withdraw(self, task: RunningTask) -> None:
        """Take back a planned start."""
        entry = self._entries.get(task.worker_id)
        if entry is not None and entry.tasks.pop(task.task_id, None) is not None:
            entry.planned -= task.resources
            self.refresh(task.worker_id)

    def confirm(self, task: RunningTask) -> None:
        """Turn a planned start into one that the ledger accounts for."""
        entry = self._entries.get(task.worker_id)
        if entry is not None and task.task_id in entry.tasks:
            entry.planned -= task.resources
            entry.view = _less(entry.view, task.resources)

    def adopt(self, task: RunningTask) -> None:
        """Add a task that was running already; the reported room accounts for it."""
        self._entries[task.worker_id].tasks[task.task_id] = task
        self._stale_reclaimable.add(task.worker_id)

    def end(self, task: RunningTask) -> None:
        """Drop an ended task; its room returns with the next view."""
        entry = self._entries.get(task.worker_id)
        if entry is not None:
            entry.tasks.pop(task.task_id, None)
            self._stale_reclaimable.add(task.worker_id)

    def hold(self, worker_id: str, amount: Resources) -> None:
        """Keep room from other jobs; a negative amount gives it back."""
        entry = self._entries.get(worker_id)
        if entry is not None:
            entry.held += amount
            self.refresh(worker_id)

    def reserve(self, worker_id: str, job_id: str | None) -> None:
        """Close a worker to all jobs but one; ``None`` opens it again."""
        entry = self._entries.get(worker_id)
        if entry is not None:
            entry.reserved_for = job_id
            self.refresh(worker_id)

    def reserved_for(self, worker_id: str) -> str | None:
        """Return the job that a worker is reserved for."""
        entry = self._entries.get(worker_id)
        return entry.reserved_for if entry is not None else None

    def reclaimable(self, need: Resources, count: int) -> list[str]:
        """Return workers where lower-urgency tasks could make enough room."""
        for worker_id in self._stale_reclaimable:
            entry = self._entries[worker_id]
            view = entry.view
            available = UNSCHEDULABLE
            if entry.reserved_for is None and self.is_schedulable(worker_id):
                got = view.free - entry.planned - entry.held
                for task in entry.tasks.values():
                    if task.rank > 0 and task.preemptible:
                        got += task.resources
                available = as_tuple(got)
            self._reclaimable.add_or_replace(
                worker_id, view.rack, as_tuple(view.capacity)
            )
            self._reclaimable.set_available(worker_id, available)
        self._stale_reclaimable.clear()
        return self._reclaimable.candidates(as_tuple(need), count)

    def max_task_count(self, need: Resources) -> int:
        """Return how many such tasks the empty workers would hold at once."""
        return sum(
            count * fit_count(need, capacity)
            for capacity, count in self._count_by_capacity.items()
        )


def fit_count(need: Resources, available: Resources) -> int:
    """Return how many tasks of a size fit into a room."""
    if not need.fits_in(available):
        return 0
    pairs = zip(as_tuple(need), as_tuple(available), strict=True)
    return min((r // n for n, r in pairs if n > 0), default=1_000_000)


def _fits(need: ResourceTuple, available: ResourceTuple) -> bool:
    return all(n <= r for n, r in zip(need, available, strict=True))


def _less(view: WorkerView, amount: Resources) -> WorkerView:
    return WorkerView(
        view.worker_id,
        view.rack,
        view.domain,
        view.capacity,
        view.free - amount,
        view.state,
    )
