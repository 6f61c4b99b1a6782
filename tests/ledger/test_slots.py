"""Guard upstream slots, waiting queues and request records."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from briarrun_core.model import Urgency
from briarrun_core.request_records import (
    KnownRequest,
    RequestRecords,
    RequestSettings,
    RequestState,
)
from briarrun_core.resources import Resources
from briarrun_core.retries import (
    FailedAttempt,
    RetryBudget,
    RetrySettings,
    backoff_s,
    next_retry_at,
)
from briarrun_core.slot_orders import (
    SlotCall,
    SlotSettings,
    UpstreamInfo,
    UpstreamStatus,
)
from briarrun_core.slot_queue import SlotQueue
from briarrun_core.slots import SlotTable
from tests.ledger.slot_domain import SLOT_ACTIONS, SlotDomain, run_slot_walk


class SlotMachine(RuleBasedStateMachine):
    """Drive slots and records by actions and seeds that hypothesis chooses."""

    steps = 0
    domain: SlotDomain

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        self.domain = SlotDomain(seed)

    @rule(name=st.sampled_from(sorted(SLOT_ACTIONS)), seed=st.integers(0, 2**16))
    def act(self, name: str, seed: int) -> None:
        SlotMachine.steps += 1
        self.domain.source.seed(seed)
        getattr(self.domain, f"act_{name}")()

    @invariant()
    def holds(self) -> None:
        if hasattr(self, "domain"):
            self.domain.check()


def test_slot_machine() -> None:
    """Guards against any order of faults that breaks an invariant of requests."""
    run_state_machine_as_test(
        SlotMachine,
        settings=settings(
            max_examples=60,
            stateful_step_count=50,
            derandomize=True,
            deadline=None,
            database=None,
            phases=(Phase.explicit, Phase.generate),
            suppress_health_check=list(HealthCheck),
        ),
    )
    assert SlotMachine.steps >= 2_000


def test_slot_walks() -> None:
    """Guards against faults that need long runs with many requests."""
    for seed in range(60):
        run_slot_walk(seed, 200)


def _queue(slots: int, max_waiting: int = 100) -> tuple[SlotTable, SlotQueue]:
    options = SlotSettings(max_waiting=max_waiting)
    table = SlotTable.from_config(options, "h")
    table.set_upstream(UpstreamInfo(upstream_id="u", address=""))
    table.set_slices({team: Resources(slots=100) for team in "abc"})
    status = UpstreamStatus(
        slots=slots, connections=64, active=0, draining=False, taken_at=100.0
    )
    table.on_status("u", status)
    return table, SlotQueue(options, table)


def _call(
    number: int, team: str, urgency: Urgency, deadline: float = 109.0
) -> SlotCall:
    return SlotCall(f"c{number}", team, urgency, deadline)


def test_grants_follow_weights() -> None:
    """Guards against a team that gets more than its weight while others wait."""
    table, queue = _queue(8)
    queue.set_weights({"a": 1.0, "b": 3.0})
    held: list[str] = []
    granted = {"a": 0, "b": 0}
    number = 0
    for _ in range(400):
        for team in ("a", "a", "b", "b"):
            number += 1
            call = _call(number, team, Urgency.NORMAL)
            for answer in queue.submit(call, 100.0, 100.3):
                if answer.result.is_ok():
                    granted[answer.call.team] += 1
                    held.append(answer.result.ok.grant_id)
        if held:
            table.release(held.pop(0))
    assert 2.5 <= granted["b"] / granted["a"] <= 3.5


@pytest.mark.parametrize("urgency", list(Urgency))
def test_most_urgent_is_granted_first_and_shed_last(urgency: Urgency) -> None:
    """Guards against urgent work that waits behind or is shed before other work."""
    table, queue = _queue(1, max_waiting=6)
    first = queue.submit(_call(0, "a", Urgency.LOW), 100.0, 100.3)[0].result.ok
    shed = []
    for number in range(1, 10):
        rank = list(Urgency)[number % 3]
        answers = queue.submit(_call(number, "a", rank), 100.0, 100.3)
        shed += [answer.call.urgency for answer in answers]
    assert shed == [Urgency.LOW] * 3
    table.release(first.grant_id)
    assert [a.call.urgency for a in queue.grant_waiting(100.1, 100.3)] == [
        Urgency.URGENT
    ]
    answers = queue.refuse_all("draining")  # type: ignore[arg-type]
    left = [a.call.urgency for a in answers]
    assert left.count(urgency) == {"urgent": 2, "normal": 3, "low": 0}[urgency]


def test_waiting_call_is_answered_at_its_deadline() -> None:
    """Guards against a call that waits in silence after its deadline."""
    _, queue = _queue(1)
    queue.submit(_call(0, "a", Urgency.LOW), 100.0, 100.3)
    assert queue.submit(_call(1, "a", Urgency.LOW, 100.2), 100.0, 100.3) == []
    (answer,) = queue.grant_waiting(100.21, 100.5)
    assert answer.result.error.reason == "deadline-passed"


def _begun(records: RequestRecords) -> int:
    attempt: int = records.begin("r", 10.0).ok.attempt
    return attempt


def _retry_after_not_run(records: RequestRecords) -> bool:
    records.finish("r", _begun(records), RequestState.NOT_RUN)
    return records.begin("r", 11.0).is_ok()


def _retry_after_done(records: RequestRecords) -> bool:
    records.finish("r", _begun(records), RequestState.DONE, "digest", b"answer")
    known = records.begin("r", 11.0).error
    return isinstance(known, KnownRequest) and known.record.answer != b"answer"


def _late_outcome_of_first_attempt(records: RequestRecords) -> bool:
    first = _begun(records)
    records.finish("r", first, RequestState.NOT_RUN)
    _begun(records)
    return records.finish("r", first, RequestState.DONE)


def _not_run_after_done(records: RequestRecords) -> bool:
    first = _begun(records)
    records.finish("r", first, RequestState.DONE)
    return records.finish("r", first, RequestState.NOT_RUN)


def _retry_before_expiry(records: RequestRecords) -> bool:
    _begun(records)
    records.expire(609.0)
    return records.begin("r", 609.0).is_ok()


def _retry_after_expiry(records: RequestRecords) -> bool:
    _begun(records)
    records.expire(611.0)
    return records.begin("r", 611.0).is_ok()


def _begin_in_amnesia(records: RequestRecords) -> bool:
    records.assume_ledger_lost(10.0)
    known = records.begin("r", 609.0).error
    assert (
        isinstance(known, KnownRequest) and known.record.state is RequestState.UNKNOWN
    )
    return records.begin("r", 609.0).is_ok()


def _begin_after_amnesia(records: RequestRecords) -> bool:
    records.assume_ledger_lost(10.0)
    return records.begin("r", 611.0).is_ok()


RECORD_CASES: list[tuple[Callable[[RequestRecords], bool], bool]] = [
    (_retry_after_not_run, True),
    (_retry_after_done, False),
    (_late_outcome_of_first_attempt, False),
    (_not_run_after_done, False),
    (_retry_before_expiry, False),
    (_retry_after_expiry, True),
    (_begin_in_amnesia, False),
    (_begin_after_amnesia, True),
]


@pytest.mark.parametrize(("case", "allowed"), RECORD_CASES)
def test_request_record(case: Callable[[RequestRecords], bool], allowed: bool) -> None:
    """Guards against a second run of a request and against a lost first record."""
    records = RequestRecords.from_config(RequestSettings())
    assert case(records) is allowed
    replica = RequestRecords.from_config(RequestSettings())
    for event in records.take_events():
        replica.apply(event)
    replica.expire(611.0)
    records.expire(611.0)
    assert replica.snapshot() == records.snapshot()


# idempotent, certainly not run, attempts so far, allowed
RETRY_CASES = [
    (True, False, 1, True),
    (False, True, 1, True),
    (False, False, 1, False),
    (True, True, 3, False),
]


@pytest.mark.parametrize(("idempotent", "certain", "attempts", "allowed"), RETRY_CASES)
def test_retry_rule(
    idempotent: bool, certain: bool, attempts: int, allowed: bool
) -> None:
    """Guards against a retry that may run a request twice, or without end."""
    budget = RetryBudget(RetrySettings(), 0.0)
    failed = FailedAttempt(idempotent, certain, attempts)
    source = random.Random(1)
    retry_at = next_retry_at(RetrySettings(), budget, failed, 1.0, 5.0, source)
    assert (retry_at is not None) is allowed


def test_retries_are_bounded_by_the_budget() -> None:
    """Guards against retries that multiply the load on a failing upstream."""
    options = RetrySettings(min_per_s=0.0, max_tokens=1000.0)
    budget = RetryBudget(options, 0.0)
    allowed = 0
    for _ in range(1000):
        budget.note_first_attempt(0.0)
        allowed += budget.take(0.0)
    assert allowed == pytest.approx(100, abs=1)


def test_backoff_grows_to_its_limit() -> None:
    """Guards against retries in step or without any wait."""
    options, source = RetrySettings(), random.Random(1)
    waits = [max(backoff_s(options, n, source) for _ in range(200)) for n in (1, 4, 50)]
    assert waits[0] <= 0.02 < waits[1] <= 0.16 < waits[2] <= 1.0
