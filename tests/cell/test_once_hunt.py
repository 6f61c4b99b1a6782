"""Replays with random faults in which no task may run again after its end.

``python -m tools.emulator.cell.once_hunt`` replays more of the same kind.
"""

from __future__ import annotations

import pytest

from tools.emulator.cell.once_hunt import replay_seed


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_task_runs_again_after_its_end(seed: int) -> None:
    """Guards against any mix of faults in which a task runs again (TWICE, BUDGET)."""
    assert not replay_seed(seed, load_s=6.0).violations
