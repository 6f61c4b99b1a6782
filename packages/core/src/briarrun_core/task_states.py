"""Task states and their transitions in the ``task`` chart."""

from __future__ import annotations

from briarrun_core.chart import Chart
from briarrun_core.model import TaskState

ACTIVE_STATES = frozenset(
    {
        TaskState.STARTING,
        TaskState.RUNNING,
        TaskState.STOPPING,
        TaskState.CHECKPOINTING,
    }
)
_CHART = Chart.from_file("task")
ENDED_STATES = frozenset(TaskState(state) for state in _CHART.final_states)

_END_EVENTS = {
    TaskState.DONE: "ended",
    TaskState.FAILED: "failed",
    TaskState.UNKNOWN: "lost",
}


def next_state(state: TaskState, event: str) -> TaskState:
    """Return the state after an event; raises ``ChartError`` if it is not allowed."""
    return TaskState(_CHART.step(state.value, event))


def end_event(state: TaskState, final: TaskState) -> str:
    """Return the event that leads from ``state`` to the final state ``final``."""
    if final is TaskState.CANCELLED:
        return "stopped" if state is TaskState.STOPPING else "cancel"
    return _END_EVENTS[final]
