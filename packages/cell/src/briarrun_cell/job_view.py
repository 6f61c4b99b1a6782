"""What a VM tells callers about jobs: from its own table, or from a replica."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from briarrun_cell.clock import Clock
from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.job_table import JobTable
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import JobState
from briarrun_cell.outcome_wait import outcome_wait_s
from briarrun_cell.tail import TopicTail

MAX_VIEW_AGE_S = 2.6
"""Maximum age of the job view at which an unknown job is reported as nonexistent."""

VIEW_REFRESH_TIMEOUT_S = 0.12
"""Timeout of a refresh of the job view, after which a request is answered from the
present view."""

CATCH_UP_TIMEOUT_S = 0.5
"""Timeout for reading all that is stored, after which a job that is not known may exist.
It is shorter than that of a question to a replica."""

PEER_TIMEOUT_S = 0.6
"""Timeout of a question to a replica, which may wait for the outcome of the job."""

CONNECT_TIMEOUT_S = 0.25
"""Time after which a question is no longer sent if a replica cannot be connected to."""

MAX_ASKING_S = 1.5
"""Time after which no further replica is asked for the same request, whose caller waits
a few seconds."""

MIN_PEER_PAUSE_S = 2.0
"""Time for which a replica is asked last after it did not answer; it doubles with each
further failure."""

MAX_PEER_PAUSE_S = 60.0
"""Maximum time for which a replica is asked last."""

PROBE_QUEUE = ""
"""Name of no queue, for questions that only show whether replicas answer."""

_Answer = TypeVar("_Answer")

_LOG = ComponentLog("front")


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """State of a job, None if it is not known.

    Unless the view is ``current``, a job that is not known may exist nevertheless.
    """

    state: JobState | None
    current: bool


@dataclass(frozen=True, slots=True)
class CountAnswer:
    """Number of jobs of a queue with no started task; invalid unless ``current``."""

    waiting: int
    current: bool


class JobView(ABC):
    """Source of the states of jobs."""

    @abstractmethod
    def known_state(self, job_id: str) -> JobState | None:
        """Return the state of a job that is known without I/O."""

    @abstractmethod
    async def state(self, job_id: str, *, wait_for_outcome: bool) -> JobAnswer:
        """Return the newest state of a job.

        ``wait_for_outcome`` allows a short wait if the job may end soon.
        """

    @abstractmethod
    async def confirmed_state(self, job_id: str) -> JobAnswer:
        """Return a state of a job.

        A job that is not known in a ``current`` view was not stored at the time of the
        call.
        """

    @abstractmethod
    async def count_waiting(self, queue: str) -> CountAnswer:
        """Return the number of accepted jobs of a queue with no started task."""


class LocalJobView(JobView):
    """View of a replica, which follows the job stream."""

    def __init__(self, table: JobTable, tail: TopicTail, clock: Clock) -> None:
        self._table = table
        self._tail = tail
        self._clock = clock

    def known_state(self, job_id: str) -> JobState | None:
        """Return the state of a job in the table."""
        entry = self._table.by_id.get(job_id)
        return None if entry is None or entry.spec is None else entry.state

    async def state(self, job_id: str, *, wait_for_outcome: bool) -> JobAnswer:
        """Return the state after a refresh of the table, unless the job is final."""
        entry = self._table.by_id.get(job_id)
        if entry is None or not entry.final:
            await self._tail.refresh(VIEW_REFRESH_TIMEOUT_S)
            entry = self._table.by_id.get(job_id)
        wait_s = 0.0
        if entry is not None and wait_for_outcome:
            wait_s = outcome_wait_s(entry, self._clock.wall_ms())
        if wait_s:
            with self._tail.followed():
                await self._table.wait_for_outcome(job_id, wait_s)
        return JobAnswer(self.known_state(job_id), self._is_current())

    async def confirmed_state(self, job_id: str) -> JobAnswer:
        """Return the state in the table; reads all that is stored if there is none."""
        state = self.known_state(job_id)
        if state is not None:
            return JobAnswer(state, current=True)
        current = await self._tail.catch_up(CATCH_UP_TIMEOUT_S)
        return JobAnswer(self.known_state(job_id), current)

    async def count_waiting(self, queue: str) -> CountAnswer:
        """Return the number of waiting jobs after a refresh of the table."""
        await self._tail.refresh(VIEW_REFRESH_TIMEOUT_S)
        return CountAnswer(self._table.waiting(queue), self._is_current())

    def _is_current(self) -> bool:
        return self._tail.age_s() <= MAX_VIEW_AGE_S


class PeerUnavailable(Exception):  # noqa: N818 - state of the peer, not a bug
    """A replica did not answer a question."""


class ReplicaClient(ABC):
    """Client of the job views of other VMs; methods raise ``PeerUnavailable``."""

    @abstractmethod
    async def state_at(
        self, vm: EntryVm, job_id: str, wait_for_outcome: bool, timeout_s: float
    ) -> JobAnswer:
        """Return the state of a job as a replica knows it."""

    @abstractmethod
    async def confirmed_state_at(
        self, vm: EntryVm, job_id: str, timeout_s: float
    ) -> JobAnswer:
        """Return the state of a job; see ``JobView.confirmed_state``."""

    @abstractmethod
    async def count_at(self, vm: EntryVm, queue: str, timeout_s: float) -> CountAnswer:
        """Return the number of waiting jobs of a queue as a replica knows it."""


@dataclass(slots=True)
class _Pause:
    """Time for which a replica is asked last, after failures without an answer between."""

    until: float
    duration_s: float


class PeerJobView(JobView):
    """View of a VM that follows no job stream and asks the nearest replicas.

    ``replicas`` returns them in the order of preference.
    """

    def __init__(
        self,
        client: ReplicaClient,
        replicas: Callable[[], list[EntryVm]],
        clock: Clock,
    ) -> None:
        self._client = client
        self._replicas = replicas
        self._clock = clock
        self._last_failed = False
        self._pause_by_vm: dict[str, _Pause] = {}

    async def serves(self) -> bool:
        """Return whether replicas answer; asks them if the last request got no answer."""
        if self._last_failed:
            await self.count_waiting(PROBE_QUEUE)
        return not self._last_failed

    def known_state(self, job_id: str) -> JobState | None:
        """Return None, since this VM knows no jobs."""
        return None

    async def state(self, job_id: str, *, wait_for_outcome: bool) -> JobAnswer:
        """Return the answer of the first replica that knows the job or is current."""
        answer = await self._ask(
            lambda vm: self._client.state_at(
                vm, job_id, wait_for_outcome, PEER_TIMEOUT_S
            ),
            lambda each: each.state is not None or each.current,
        )
        return answer or JobAnswer(None, current=False)

    async def confirmed_state(self, job_id: str) -> JobAnswer:
        """Return the answer of the first replica that knows the job or is current."""
        answer = await self._ask(
            lambda vm: self._client.confirmed_state_at(vm, job_id, PEER_TIMEOUT_S),
            lambda each: each.state is not None or each.current,
        )
        return answer or JobAnswer(None, current=False)

    async def count_waiting(self, queue: str) -> CountAnswer:
        """Return the answer of the first replica with a current view."""
        answer = await self._ask(
            lambda vm: self._client.count_at(vm, queue, PEER_TIMEOUT_S),
            lambda each: each.current,
        )
        return answer or CountAnswer(0, current=False)

    async def _ask(
        self,
        ask: Callable[[EntryVm], Awaitable[_Answer]],
        usable: Callable[[_Answer], bool],
    ) -> _Answer | None:
        """Return the first usable answer of a replica, or None."""
        give_up_at = self._clock.now() + MAX_ASKING_S
        for vm in self._candidates():
            if self._clock.now() >= give_up_at:
                break
            try:
                answer = await ask(vm)
            except PeerUnavailable as error:
                self._pause(vm, error)
                continue
            self._pause_by_vm.pop(vm.vm, None)
            if usable(answer):
                self._last_failed = False
                return answer
        self._last_failed = True
        return None

    def _candidates(self) -> list[EntryVm]:
        """Return the replicas in their order, followed by those that failed lately."""
        now = self._clock.now()
        replicas = self._replicas()
        names = {vm.vm for vm in replicas}
        for name in self._pause_by_vm.keys() - names:
            del self._pause_by_vm[name]
        paused_until = {
            name: pause.until
            for name, pause in self._pause_by_vm.items()
            if pause.until > now
        }
        return sorted(replicas, key=lambda vm: paused_until.get(vm.vm, 0.0))

    def _pause(self, vm: EntryVm, error: PeerUnavailable) -> None:
        now = self._clock.now()
        last = self._pause_by_vm.get(vm.vm)
        if last is None:
            self._pause_by_vm[vm.vm] = _Pause(now + MIN_PEER_PAUSE_S, MIN_PEER_PAUSE_S)
        elif now >= last.until:
            # Requests that failed at the same time count as one failure.
            last.duration_s = min(2 * last.duration_s, MAX_PEER_PAUSE_S)
            last.until = now + last.duration_s
        _LOG.warning("a replica did not answer", replica=vm.vm, detail=str(error))
