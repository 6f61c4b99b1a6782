"""Bounded queues of calls that wait for an upstream slot."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass

from expression import Error, Result

from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.leases import Deadlines
from briarrun_core.model import Urgency
from briarrun_core.slot_orders import Grant, SlotCall, SlotSettings
from briarrun_core.slots import SlotTable

URGENCIES = (Urgency.URGENT, Urgency.NORMAL, Urgency.LOW)
"""Urgencies in the order in which they are granted; shedding goes the other way."""

_RATE_WINDOW_S = 1.0
"""Time over which the release rate is estimated; short, since load changes quickly."""

_RATE_SAMPLES = 5
"""Releases below which the estimated rate is too uncertain to refuse calls by it."""


@dataclass(frozen=True, slots=True)
class SlotAnswer:
    """Answer a waiting call with a grant or a refusal that says "not run"."""

    call: SlotCall
    result: Result[Grant, Refused]


class _UrgencyQueue:
    """Hold the waiting calls of one urgency by team, oldest first."""

    def __init__(self) -> None:
        self.calls_by_team: dict[str, deque[SlotCall]] = {}
        self.live: dict[str, SlotCall] = {}

    def push(self, call: SlotCall) -> None:
        self.calls_by_team.setdefault(call.team, deque()).append(call)
        self.live[call.call_id] = call

    def head(self, team: str) -> SlotCall | None:
        """Return a team's oldest waiting call; drops calls that were removed."""
        calls = self.calls_by_team.get(team)
        while calls:
            if self.live.get(calls[0].call_id) is calls[0]:
                return calls[0]
            calls.popleft()
        self.calls_by_team.pop(team, None)
        return None

    def newest(self, team: str) -> SlotCall | None:
        calls = self.calls_by_team.get(team)
        while calls:
            if self.live.get(calls[-1].call_id) is calls[-1]:
                return calls[-1]
            calls.pop()
        self.calls_by_team.pop(team, None)
        return None


class SlotQueue:
    """Grant slots in order of urgency, then of weighted share of teams.

    Every call that is submitted gets exactly one answer, unless it is withdrawn.
    """

    def __init__(self, settings: SlotSettings, table: SlotTable) -> None:
        self._settings = settings
        self._table = table
        self._queues_by_urgency = {urgency: _UrgencyQueue() for urgency in URGENCIES}
        self._weights_by_team: dict[str, float] = {}
        self._deadlines: Deadlines[str] = Deadlines()
        self._passes_by_team: dict[str, float] = {}
        self._last_pass = 0.0
        self._busy_since = 0.0
        self._released = 0.0

    def set_weights(self, by_team: Mapping[str, float]) -> None:
        """Set the teams' weights; a team left out has weight 1."""
        self._weights_by_team = dict(by_team)

    @property
    def waiting(self) -> int:
        """Return the number of waiting calls."""
        return sum(len(queue.live) for queue in self._queues_by_urgency.values())

    def waiting_by_urgency(self) -> dict[Urgency, int]:
        """Return the number of waiting calls of each urgency."""
        return {u: len(queue.live) for u, queue in self._queues_by_urgency.items()}

    def waiting_by_team(self) -> dict[str, int]:
        """Return the number of waiting calls of each team."""
        return Counter(
            call.team
            for queue in self._queues_by_urgency.values()
            for call in queue.live.values()
        )

    def submit(
        self, call: SlotCall, now: float, authority_until: float
    ) -> list[SlotAnswer]:
        """Queue a call and return every answer that is due.

        A call that could not be granted before its deadline is refused at once, so that
        its caller can go elsewhere.
        """
        if any(call.call_id in q.live for q in self._queues_by_urgency.values()):
            detail = f"call {call.call_id} is already waiting"
            return [_refuse(call, RefusalReason.DUPLICATE_REQUEST, detail)]
        wait_s = self.expected_wait_s(call.urgency, now)
        if now + wait_s >= call.deadline:
            detail = f"expected wait {wait_s:.3f} s"
            return [_refuse(call, RefusalReason.OVERLOADED, detail)]
        if not self.waiting:
            self._busy_since, self._released = now, 0.0
        if all(q.head(call.team) is None for q in self._queues_by_urgency.values()):
            passed = max(self._last_pass, self._passes_by_team.get(call.team, 0.0))
            self._passes_by_team[call.team] = passed
        self._queues_by_urgency[call.urgency].push(call)
        self._deadlines.set(call.call_id, call.deadline)
        answers = self.grant_waiting(now, authority_until)
        while self.waiting > self._settings.max_waiting:
            answers.append(self._shed())
        return answers

    def withdraw(self, call_id: str) -> bool:
        """Remove a waiting call; it gets no answer."""
        self._deadlines.discard(call_id)
        for queue in self._queues_by_urgency.values():
            if queue.live.pop(call_id, None) is not None:
                return True
        return False

    def note_release(self, now: float) -> None:
        """Note that a slot was released, to estimate how fast the queue moves."""
        if not self.waiting:
            return
        self._released += 1.0
        if now - self._busy_since > 2 * _RATE_WINDOW_S:
            self._released *= _RATE_WINDOW_S / (now - self._busy_since)
            self._busy_since = now - _RATE_WINDOW_S

    def expected_wait_s(self, urgency: Urgency, now: float) -> float:
        """Return how long a new call of an urgency is expected to wait.

        No wait is predicted before some releases were counted while calls waited.
        """
        ahead = 0
        for other in URGENCIES[: URGENCIES.index(urgency) + 1]:
            ahead += len(self._queues_by_urgency[other].live)
        elapsed_s = now - self._busy_since
        if not ahead or self._released < _RATE_SAMPLES or elapsed_s <= 0.0:
            return 0.0
        return ahead * elapsed_s / self._released

    def grant_waiting(self, now: float, authority_until: float) -> list[SlotAnswer]:
        """Return the answers that are due: expired calls, grants, lost authority."""
        answers = [
            _refuse(call, RefusalReason.DEADLINE_PASSED, "while waiting for a slot")
            for call in map(self._remove, self._deadlines.pop_due(now))
            if call is not None
        ]
        if now >= authority_until:
            return answers + self.refuse_all(RefusalReason.NO_AUTHORITY)
        for urgency in URGENCIES:
            queue = self._queues_by_urgency[urgency]
            while (call := self._next_call(queue)) is not None:
                result = self._table.grant(call, now, authority_until)
                if result.is_error():
                    return answers
                self._remove(call.call_id)
                self._note_granted(call.team)
                answers.append(SlotAnswer(call, result))
        return answers

    def _note_granted(self, team: str) -> None:
        self._last_pass = self._passes_by_team[team]
        step = 1.0 / self._weights_by_team.get(team, 1.0)
        self._passes_by_team[team] = self._last_pass + step

    def refuse_all(self, reason: RefusalReason) -> list[SlotAnswer]:
        """Refuse every waiting call, for example when authority ends."""
        calls = [c for q in self._queues_by_urgency.values() for c in q.live.values()]
        for call in calls:
            self._remove(call.call_id)
        return [_refuse(call, reason, "while waiting for a slot") for call in calls]

    def _remove(self, call_id: str) -> SlotCall | None:
        self._deadlines.discard(call_id)
        for queue in self._queues_by_urgency.values():
            call = queue.live.pop(call_id, None)
            if call is not None:
                return call
        return None

    def _next_call(self, queue: _UrgencyQueue) -> SlotCall | None:
        """Return the oldest call of the team with the smallest weighted use.

        Among equals the team goes first that was granted least for its weight since it
        began to wait; otherwise short requests would favour one team.
        """
        used_by_team = self._table.used_by_team()
        best: tuple[float, float, str] | None = None
        chosen = None
        for team in list(queue.calls_by_team):
            if self._table.at_limit(team):
                continue
            call = queue.head(team)
            if call is None:
                continue
            share = used_by_team.get(team, 0) / self._weights_by_team.get(team, 1.0)
            rank = (share, self._passes_by_team[team], team)
            if best is None or rank < best:
                best, chosen = rank, call
        return chosen

    def _shed(self) -> SlotAnswer:
        """Refuse the newest call of the team that waits most, least urgent first."""
        for urgency in reversed(URGENCIES):
            queue = self._queues_by_urgency[urgency]
            if queue.live:
                return self._shed_from(queue)
        raise AssertionError("nothing is waiting")

    def _shed_from(self, queue: _UrgencyQueue) -> SlotAnswer:
        def backlog(team: str) -> tuple[float, str]:
            waiting = len(queue.calls_by_team[team])
            return waiting / self._weights_by_team.get(team, 1.0), team

        for team in sorted(queue.calls_by_team, key=backlog, reverse=True):
            call = queue.newest(team)
            if call is not None:
                self._remove(call.call_id)
                return _refuse(call, RefusalReason.OVERLOADED, "the queue is full")
        raise AssertionError("the queue holds calls of no team")


def _refuse(call: SlotCall, reason: RefusalReason, detail: str) -> SlotAnswer:
    refused: Result[Grant, Refused] = Error(Refused(reason, detail))
    return SlotAnswer(call, refused)
