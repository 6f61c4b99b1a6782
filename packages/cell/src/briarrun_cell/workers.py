"""Workers in the ledger: resources, runs, leases and health."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum

from briarrun_cell.leases import CLOCK_DRIFT, LeaseBound
from briarrun_cell.model import TaskId, WorkerEntry
from briarrun_core.resources import NOTHING, Resources

MAX_CONTACT_AGE_S = 1.6
"""Time since the last answered poll after which a worker gets no new runs."""

FAILURE_WEIGHT = 0.35
"""Weight of the latest ended run in the failure score of a worker."""

FAILURE_LIMIT = 0.6
"""Failure score above which a worker is quarantined."""

QUARANTINE_S = 4.0
"""Duration of the first quarantine; it doubles with each further one."""

MAX_QUARANTINE_S = 30.0
"""Maximum duration of a quarantine."""

MAX_QUARANTINED_FRACTION = 0.25
"""Maximum fraction of the workers that is in quarantine. If more of them fail tasks, the
tasks are to blame, and without workers everything else would wait, too."""

SLOWNESS_WEIGHT = 0.3
"""Weight of the latest run time in the slowness of a worker."""

PROGRESS_WEIGHT = 0.12
"""Weight of the latest progress report in the slowness of a worker."""

MIN_PROGRESS_S = 0.25
"""Minimum time between progress reports from which slowness is measured."""


class RunState(StrEnum):
    """States of a run in the ledger."""

    PLANNED = "planned"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    OVER = "over"


class GiveUpReason(StrEnum):
    """Why a run was removed without a report of its end, and its task queued again."""

    NOT_STARTED = "not started"
    ORDER_EXPIRED = "order expired"
    NOT_LISTED = "not listed"
    LEASE_EXPIRED = "lease expired"
    WORKER_ENDED = "worker ended"


class StopReason(StrEnum):
    """Why a run is ordered to stop."""

    JOB_FINAL = "the job is final"
    NOT_WANTED = "the task is not wanted"
    RUNS_ELSEWHERE = "the task runs elsewhere"
    COPY_DONE = "another copy is done"
    GANG_INCOMPLETE = "the gang is incomplete"
    GANG_HAS_ANOTHER_RUN = "the gang has another run"
    MEMBER_REFUSED = "another member was refused"
    MEMBER_EVACUATED = "another member is in an evacuated domain"
    START_NOT_ANSWERED = "the start was not answered"
    START_UNSETTLED = "an earlier start order is unsettled"
    STALLED = "its progress stands still"
    DEPARTURE = "its worker will be gone"


@dataclass(slots=True, eq=False)
class Run:
    """Run of a task on a worker; times are in seconds on the holder's clock.

    ``need`` is what the run occupies on the worker, ``charge`` what it counts against
    the customer's limit. ``order_until_ms`` is a time on the worker's clock after which
    no start order of the run is carried out. ``answered_at`` is the time at which the
    last order was answered. ``resumed`` tells whether the run started from a checkpoint,
    ``listed`` whether an inventory of the worker's present life has listed the run, and
    ``confirmed`` whether that life has certainly got the last start order.
    ``base_percent`` and ``base_at`` are the first known progress and its time; None
    if none is known yet, since a resumed run starts with some.
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
    base_percent: int | None = None
    base_at: float = 0.0
    checkpoint: str = ""
    resumed: bool = False
    listed: bool = False
    confirmed: bool = True
    missing_polls: int = 0
    stop_reason: str = ""


class Health:
    """Failure score and slowness of a worker, from its runs."""

    def __init__(self) -> None:
        self._score = 0.0
        self._quarantine_s = QUARANTINE_S
        self.quarantined_until = 0.0
        self.slowness = 1.0

    def on_done(self, run_s: float, expected_s: float) -> None:
        """Record a run that completed."""
        self._score *= 1 - FAILURE_WEIGHT
        if self._score < 0.1:
            self._quarantine_s = QUARANTINE_S
        if expected_s > 0:
            ratio = min(max(run_s / expected_s, 0.25), 10.0)
            self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)

    def on_progress(self, took_s: float, expected_s: float) -> None:
        """Record the time that a run took for a part of its work."""
        if took_s >= MIN_PROGRESS_S and expected_s > 0:
            ratio = min(max(took_s / expected_s, 0.25), 10.0)
            self.slowness += PROGRESS_WEIGHT * (ratio - self.slowness)

    def on_failed(self, now: float) -> None:
        """Record a run that failed."""
        self._score += FAILURE_WEIGHT * (1 - self._score)
        if self._score > FAILURE_LIMIT and now >= self.quarantined_until:
            self.quarantine(now)

    def quarantine(self, now: float) -> None:
        """Give the worker no new runs for a while."""
        self.quarantined_until = now + self._quarantine_s
        self._quarantine_s = min(2 * self._quarantine_s, MAX_QUARANTINE_S)
        self._score = FAILURE_LIMIT - FAILURE_WEIGHT / 2


@dataclass(slots=True, eq=False)
class Worker:
    """One incarnation of a worker, i.e. one process under its id.

    ``inventory_known`` is set once its inventory was read in this term. ``registered``
    tells whether the registry lists it. ``applied`` and ``acknowledged`` are the
    numbers of the last end reports that are in the ledger and that are durable.

    ``lease`` bounds the leases of this life. ``misread_lease`` bounds those of a next
    life that has not been noticed, which may have been given by calls to this one.

    ``token`` goes with all calls, so that the worker refuses those that were sent to an
    earlier life. ``restarted`` tells that an earlier life was known in this term, so that
    all ends of this one are to be read.
    ``in_conversation`` tells that the last poll was answered, so that the next one
    reaches the same process on its connection. ``clock_ms`` is the time on its clock at
    some moment between ``clock_asked_at`` and ``clock_at``.
    """

    entry: WorkerEntry
    lease: LeaseBound
    misread_lease: LeaseBound = field(default_factory=LeaseBound)
    used: Resources = NOTHING
    runs_by_id: dict[tuple[TaskId, int], Run] = field(default_factory=dict)
    count_by_step: dict[tuple[str, int, int], int] = field(default_factory=dict)
    health: Health = field(default_factory=Health)
    inventory_known: bool = False
    registered: bool = True
    dead: bool = False
    applied: int = 0
    acknowledged: int = 0
    in_conversation: bool = False
    token: int = 0
    restarted: bool = False
    contact_at: float = -1e9
    clock_ms: int = 0
    clock_asked_at: float = 0.0
    clock_at: float = 0.0
    incarnation_id: str = field(init=False)
    _free: Resources | None = None

    def __post_init__(self) -> None:
        """Set the id of the incarnation, for which admission tickets are valid."""
        self.incarnation_id = f"{self.entry.worker_id}@{self.entry.born_ms}"

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self.entry.worker_id

    def update_entry(self, entry: WorkerEntry) -> None:
        """Apply a changed registry entry of the same incarnation."""
        self.entry = entry
        self._free = None

    def takes_orders(self, now: float) -> bool:
        """Return whether the worker can start runs, as far as the holder knows."""
        return (
            self.inventory_known
            and self.registered
            and not self.dead
            and not self.entry.draining
            and not self.entry.suspended
            and now - self.contact_at <= MAX_CONTACT_AGE_S
        )

    def is_cold(self, now: float) -> bool:
        """Return whether the worker is still slow after its start."""
        return now < self.entry.cold_until

    def quarantined(self, now: float) -> bool:
        """Return whether other workers are to be used, because of failed runs."""
        return now < self.health.quarantined_until

    def leases_expired(self, now: float) -> bool:
        """Return whether all leases have expired without contact since then."""
        end = self.lease.latest_end
        return now >= end and self.contact_at < end

    def may_go_on(self, run: Run, now: float) -> bool:
        """Return whether a run may go on although the leases have expired.

        A next life that has not been noticed may have got its start order.
        """
        return not run.confirmed and now < self.misread_lease.latest_end

    def clock_now_ms(self, now: float) -> int:
        """Return a lower bound of the time on the worker's clock."""
        elapsed_s = max(0.0, now - self.clock_at) * (1 - CLOCK_DRIFT)
        return self.clock_ms + int(elapsed_s * 1000)

    def may_be_own_clock(self, clock_ms: int, sent_at: float, now: float) -> bool:
        """Return whether an answer to a call that was sent can come from this life."""
        elapsed_s = max(0.0, now - self.clock_asked_at) * (1 + CLOCK_DRIFT)
        latest_ms = self.clock_ms + int(elapsed_s * 1000) + 1
        return self.clock_now_ms(sent_at) <= clock_ms <= latest_ms

    def free(self) -> Resources:
        """Return the free resources."""
        if self._free is None:
            self._free = self.entry.capacity - self.used
        return self._free

    def charge(self, run: Run) -> None:
        """Add a run and its resources."""
        self.runs_by_id[(run.task, run.number)] = run
        self.used = self.used + run.need
        self._free = None
        key = run.task.step_id
        self.count_by_step[key] = self.count_by_step.get(key, 0) + 1

    def release(self, run: Run) -> None:
        """Remove a run and free its resources."""
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


def worst_in_quarantine(workers: Collection[Worker], now: float) -> list[Worker]:
    """Return the workers to leave out because of failed runs.

    Load pattern: a wave of jobs whose tasks fail by their own fault, on all workers. The
    workers with the longest quarantines, which failed most often, are left out.
    """
    quarantined = [worker for worker in workers if worker.quarantined(now)]
    quarantined.sort(key=lambda worker: -worker.health.quarantined_until)
    most = max(1, int(len(workers) * MAX_QUARANTINED_FRACTION))
    return quarantined[:most]
