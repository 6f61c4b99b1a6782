"""Tests of the scheduler's safety and progress under any order of events."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from briarrun_core.model import JobKind, TaskState, Urgency
from briarrun_core.views import WorkerState
from tests.scheduler_model import SIZES, TEAMS, SchedulerModel

MIN_STEPS = 5000
STEPS_TAKEN = [0]


class SchedulerMachine(RuleBasedStateMachine):
    """State machine that applies events to the model in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.model = SchedulerModel()
        self.model.start()

    @rule(
        team=st.sampled_from(TEAMS),
        kind=st.sampled_from(list(JobKind)),
        urgency=st.sampled_from(list(Urgency)),
        tasks=st.integers(1, 6),
        cores=st.sampled_from(SIZES),
    )
    def submit(
        self, team: str, kind: JobKind, urgency: Urgency, tasks: int, cores: int
    ) -> None:
        self.model.submit(team, kind, urgency, tasks, cores)

    @rule(limit=st.integers(1, 20), refuse=st.integers(-1, 3))
    def decide(self, limit: int, refuse: int) -> None:
        self.model.decide(limit, refuse)

    @precondition(lambda self: self.model.running)
    @rule(
        data=st.data(),
        state=st.sampled_from([TaskState.DONE, TaskState.FAILED, TaskState.UNKNOWN]),
        requeue=st.booleans(),
    )
    def end(self, data: st.DataObject, state: TaskState, requeue: bool) -> None:
        task_id = data.draw(st.sampled_from(sorted(self.model.running)))
        self.model.end(task_id, state, requeue and state is not TaskState.DONE)

    @precondition(lambda self: self.model.jobs)
    @rule(data=st.data())
    def forget(self, data: st.DataObject) -> None:
        self.model.forget(data.draw(st.sampled_from(sorted(self.model.jobs))))

    @rule(index=st.integers(0, 5), state=st.sampled_from(list(WorkerState)))
    def set_state(self, index: int, state: WorkerState) -> None:
        self.model.set_state(index, state)

    @rule(index=st.integers(0, 5))
    def add_worker(self, index: int) -> None:
        self.model.add_worker(index)

    @rule(index=st.integers(0, 5))
    def remove_worker(self, index: int) -> None:
        self.model.remove_worker(index)

    @rule(team=st.sampled_from(TEAMS), cores=st.integers(0, 16))
    def set_slice(self, team: str, cores: int) -> None:
        self.model.set_slice(team, cores)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 40.0]))
    def advance(self, seconds: float) -> None:
        self.model.advance(seconds)

    @invariant()
    def no_check_failed(self) -> None:
        STEPS_TAKEN[0] += 1
        assert not self.model.violations

    def teardown(self) -> None:
        if not self.model.violations:
            self.model.drain()
        assert not self.model.violations


def test_invariants_hold_for_any_order_of_events() -> None:
    STEPS_TAKEN[0] = 0
    run_state_machine_as_test(
        SchedulerMachine,
        settings=settings(
            max_examples=400,
            stateful_step_count=60,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
    assert STEPS_TAKEN[0] >= MIN_STEPS
