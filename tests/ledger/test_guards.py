"""Guard the checks: each must fail when the guard it stands for is removed."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.ledger.domain import CheckError, run_walk
from tests.ledger.scenarios import SCENARIOS
from tests.ledger.slot_domain import run_slot_walk
from tests.ledger.variants import Guard, load_guards, without_guard

STEPS = 200
WALKS: dict[str, Callable[[int, int], None]] = {
    "domain": run_walk,
    "slots": run_slot_walk,
}


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_scenario(scenario: str) -> None:
    """Guards against the loss of one rule of the ledger in a directed case."""
    SCENARIOS[scenario]()


@pytest.mark.parametrize("guard", load_guards(), ids=lambda g: g.guard)
def test_check_fails_without_guard(guard: Guard) -> None:
    """Guards against a check that would pass whatever the code does."""
    with without_guard(guard):
        if guard.walk == "scenario":
            with pytest.raises(AssertionError):
                SCENARIOS[guard.check]()
        else:
            with pytest.raises(CheckError, match=f"^{guard.check}:"):
                WALKS[guard.walk](guard.seed, STEPS)
