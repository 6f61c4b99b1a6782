"""Tests of the election after claims that cannot be read."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from briarrun_cell.clock import LoopClock
from briarrun_cell.election import MAX_TERM_S, Election, HolderRole, HolderTerm
from briarrun_cell.ports import Topic
from briarrun_cell.tail import TopicTail
from tests.platform_adapter.test_odd_records import DEEP, HUGE
from tools.emulator.cell.cell import FakeCell
from tools.emulator.cell.store import StoreView

pytestmark = pytest.mark.looptime

VMS = 3
GOOD_CLAIM = {"vm": "vm1", "address": "vm1:1", "incarnation": "i", "epoch": 3}


class Role(HolderRole):
    """Notes whether it may act."""

    def __init__(self) -> None:
        self.acting = False

    async def begin(self, holder_term: HolderTerm) -> None:
        self.acting = True

    async def end(self, superseded: bool) -> None:
        self.acting = False


def claim_value(**changes: Any) -> bytes:
    return json.dumps({**GOOD_CLAIM, **changes}).encode()


ODD_CLAIMS: dict[str, bytes | None] = {
    "nested": DEEP,
    "bytes": b"\xff",
    "empty": b"",
    "term negative": claim_value(term_s=-1),
    "term of years": claim_value(term_s=1e12),
    "term of 400 digits": claim_value(term_s=HUGE),
    "term a text": claim_value(term_s="soon"),
    "epoch negative": claim_value(epoch=-1),
    "address without a port": claim_value(address="vm1"),
    "deleted": None,
}


@pytest.mark.parametrize("name", ODD_CLAIMS)
async def test_odd_claim_lets_one_holder_act(name: str) -> None:
    """Guards against two holders, and against a cell without one, after an odd claim."""
    store = FakeCell(1).store
    roles = [Role() for _ in range(VMS)]
    elections: list[Election] = []
    tasks: list[asyncio.Task[None]] = []
    for number, role in enumerate(roles):
        view = StoreView(store)
        vm = f"vm{number}"
        election = Election(view, LoopClock(), vm, f"{vm}:1", vm, role)
        tail = TopicTail(view, Topic.HOLDER, election, LoopClock(), wait_s=1.0)
        elections.append(election)
        for run in (tail.run(), election.run()):
            tasks.append(asyncio.get_running_loop().create_task(run))
    await asyncio.sleep(2.0)
    assert sum(role.acting for role in roles) == 1
    for _ in range(4):
        store.put(Topic.HOLDER, "holder", ODD_CLAIMS[name])
        for _ in range(300):
            await asyncio.sleep(0.01)
            acting = sum(election.is_holder for election in elections)
            assert acting <= 1
        assert sum(role.acting for role in roles) == 1
    assert not any(task.done() for task in tasks)
    for task in tasks:
        task.cancel()


async def test_candidate_waits_for_the_term_that_an_odd_claim_may_have() -> None:
    """Guards against a candidate that acts beside a holder of another version."""
    store = FakeCell(1).store
    role = Role()
    view = StoreView(store)
    election = Election(view, LoopClock(), "vm0", "vm0:1", "vm0", role)
    tail = TopicTail(view, Topic.HOLDER, election, LoopClock(), wait_s=1.0)
    store.put(Topic.HOLDER, "holder", b'{"format": 2}')
    tasks = [
        asyncio.get_running_loop().create_task(run)
        for run in (tail.run(), election.run())
    ]
    for _ in range(20):  # The other holder renews its claim.
        await asyncio.sleep(MAX_TERM_S / 2)
        assert not role.acting
        store.put(Topic.HOLDER, "holder", b'{"format": 2}')
    await asyncio.sleep(2 * MAX_TERM_S)
    assert role.acting
    for task in tasks:
        task.cancel()


async def test_holder_steps_down_if_it_can_not_read_a_claim() -> None:
    """Guards against a holder that goes on beside a successor of another version."""
    store = FakeCell(1).store
    role = Role()
    view = StoreView(store)
    election = Election(view, LoopClock(), "vm0", "vm0:1", "vm0", role)
    tail = TopicTail(view, Topic.HOLDER, election, LoopClock(), wait_s=1.0)
    tasks = [
        asyncio.get_running_loop().create_task(run)
        for run in (tail.run(), election.run())
    ]
    await asyncio.sleep(1.0)
    assert role.acting
    store.put(Topic.HOLDER, "holder", b'{"format": 2}')
    await asyncio.sleep(0.6)
    assert not role.acting
    for task in tasks:
        task.cancel()
