"""Workers as the holder knows them: rooms, runs, clocks and health."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from briarrun_cell.model import TaskId, WorkerEntry
from briarrun_core.resources import NOTHING, Resources

CLOCK_DRIFT = 0.02
"""A worker's clock may run slower than ours by this fraction."""

CONTACT_S = 1.6
"""A worker that answered no look for this long gets no new work."""

FAILURE_WEIGHT = 0.35
"""Weight of the newest end in a worker's failure score."""

FAILURE_LIMIT = 0.6
"""A worker whose failure score exceeds this gets no new work for a while."""

QUARANTINE_S = 4.0
"""Time without new work after too many failures; it doubles with each repeat."""

MAX_QUARANTINE_S = 30.0
"""Longest time without new work after failures."""

SLOWNESS_WEIGHT = 0.3
"""Weight of the newest run time in a worker's slowness."""


PROGRESS_WEIGHT = 0.12
"""Weight of the newest progress report in a worker's slowness."""

MIN_PROGRESS_S = 0.25
"""Shortest time over which progress is measured."""


class RunState(StrEnum):
    """Name the states of a run as the holder knows it."""

    PLANNED = "planned"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    OVER = "over"


@dataclass(slots=True, eq=False)
class Run:
    """Hold one run and what it occupies; times are seconds of the holder's clock.

    ``order_until_ms`` is on the worker's clock: no start order of the run is carried
    out later. ``answered_at`` is when the last order was answered.
    """

    task: TaskId
    number: int
    worker: Worker
    customer: str
    need: Resources
    charge: Resources
    state: RunState
    since: float
    order_until_ms: int = 0
    unanswered_starts: int = 0
    answered_at: float | None = None
    percent: int = 0
    percent_at: float = 0.0
    checkpoint: str = ""
    missing_polls: int = 0
    stop_reason: str = ""


class Health:
    """Judge from ended runs whether a worker should get work."""

    def __init__(self) -> None:
        self._score = 0.0
        self._quarantine_s = QUARANTINE_S
        self.quarantined_until = 0.0
        self.slowness = 1.0

    def on_done(self, run_s: float, expected_s: float) -> None:
        """Take note of a run that ended well."""
        self._score *= 1 - FAILURE_WEIGHT
        if self._score < 0.1:
            self._quarantine_s = QUARANTINE_S
        if expected_s > 0:
            ratio = min(max(run_s / expected_s, 0.25), 10.0)
            self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)

    def on_progress(self, took_s: float, expected_s: float) -> None:
        """Take note of how long a run took for a part of its work."""
        if took_s >= MIN_PROGRESS_S and expected_s > 0:
            ratio = min(max(took_s / expected_s, 0.25), 10.0)
            self.slowness += PROGRESS_WEIGHT * (ratio - self.slowness)

    def on_failed(self, now: float) -> None:
        """Take note of a run that failed."""
        self._score += FAILURE_WEIGHT * (1 - self._score)
        if self._score > FAILURE_LIMIT and now >= self.quarantined_until:
            self.quarantine(now)

    def quarantine(self, now: float) -> None:
        """Give the worker no new work for a while."""
        self.quarantined_until = now + self._quarantine_s
        self._quarantine_s = min(2 * self._quarantine_s, MAX_QUARANTINE_S)
        self._score = FAILURE_LIMIT - FAILURE_WEIGHT / 2


@dataclass(slots=True, eq=False)
class Worker:
    """Hold one life of a worker.

    ``resolved`` tells that its inventory was seen in this tenure. ``lease_end`` is the
    time on the holder's clock by which every lease given so far has surely lapsed, and
    ``requested_lease_end`` the same for the look that is under way.
    """

    entry: WorkerEntry
    lease_end: float
    requested_lease_end: float = float("-inf")
    used: Resources = NOTHING
    runs_by_id: dict[tuple[TaskId, int], Run] = field(default_factory=dict)
    count_by_step: dict[tuple[str, int, int], int] = field(default_factory=dict)
    health: Health = field(default_factory=Health)
    inventory_known: bool = False
    listed: bool = True
    dead: bool = False
    applied: int = 0
    acknowledged: int = 0
    contact_at: float = -1e9
    clock_ms: int = 0
    clock_at: float = 0.0
    incarnation_id: str = field(init=False)
    _free: Resources | None = None

    def __post_init__(self) -> None:
        """Name this life of the worker, for which admission tickets are valid."""
        self.incarnation_id = f"{self.entry.worker_id}@{self.entry.born_ms}"

    @property
    def worker_id(self) -> str:
        """Return the worker's id."""
        return self.entry.worker_id

    def update_entry(self, entry: WorkerEntry) -> None:
        """Take over what the registry says anew of the same life."""
        self.entry = entry
        self._free = None

    def usable(self, now: float) -> bool:
        """Tell whether the worker may get new work."""
        return (
            self.inventory_known
            and self.listed
            and not self.dead
            and not self.entry.draining
            and now - self.contact_at <= CONTACT_S
            and now >= self.health.quarantined_until
        )

    def lapsed(self, now: float) -> bool:
        """Tell whether every lease has lapsed without contact since."""
        end = max(self.lease_end, self.requested_lease_end)
        return now >= end and self.contact_at < end

    def clock_now_ms(self, now: float) -> int:
        """Return a time that the worker's clock has surely reached."""
        elapsed_s = max(0.0, now - self.clock_at) * (1 - CLOCK_DRIFT)
        return self.clock_ms + int(elapsed_s * 1000)

    def free(self) -> Resources:
        """Return the room that is not charged."""
        if self._free is None:
            self._free = self.entry.capacity - self.used
        return self._free

    def charge(self, run: Run) -> None:
        """Occupy room for a run."""
        self.runs_by_id[(run.task, run.number)] = run
        self.used = self.used + run.need
        self._free = None
        key = run.task.step_id
        self.count_by_step[key] = self.count_by_step.get(key, 0) + 1

    def release(self, run: Run) -> None:
        """Free the room of a run."""
        if self.runs_by_id.pop((run.task, run.number), None) is None:
            return
        self.used = self.used - run.need
        self._free = None
        key = run.task.step_id
        left = self.count_by_step.get(key, 0) - 1
        if left > 0:
            self.count_by_step[key] = left
        else:
            self.count_by_step.pop(key, None)
