"""Tests of the bounds on clients that follow from the limits of a VM."""

from __future__ import annotations

from typing import Any

import pytest

from briarrun_cell import client_limits
from briarrun_cell.client_limits import (
    CALLERS,
    CONNECTION_BYTES,
    FILES,
    MEMORY_PER_BYTE,
    PEERS,
    PROCESS_BYTES,
    RESERVED_SHARE,
    ClientReport,
    bounds_of,
)
from briarrun_cell.daemon import MAX_BODY_BYTES
from briarrun_cell.metrics import Metrics
from briarrun_cell.settings import DEFAULT_FILE_DESCRIPTORS, DEFAULT_MEMORY_MB
from briarrun_wire.client_bounds import (
    CONNECTIONS_HIGH_WATER,
    Action,
    Bound,
    ClientBudget,
)
from tests.cell.test_ledger import ManualClock

VMS = [(200, 4096), (300, 4100), (100, 400), (64, 300), (2000, 4100), (0, 0)]


@pytest.mark.parametrize(("memory_mb", "file_descriptors"), VMS)
def test_bounds_are_inside_the_limits_of_the_vm(
    memory_mb: int, file_descriptors: int
) -> None:
    """Guards against bounds whose sum exceeds the memory or the descriptors."""
    bounds = bounds_of(memory_mb, file_descriptors)
    listeners = bounds.by_listener.values()
    refusals = sum(each.refusals for each in listeners)
    used = bounds.connections * CONNECTION_BYTES + bounds.bytes * MEMORY_PER_BYTE
    assert used <= max(8_000_000, memory_mb * 1_000_000 - PROCESS_BYTES)
    assert bounds.connections + refusals <= max(40, (file_descriptors - FILES) / 2)
    assert sum(each.reserved_connections for each in listeners) <= bounds.connections
    assert sum(each.reserved_bytes for each in listeners) <= bounds.bytes
    for each in listeners:
        assert 0 < each.reserved_connections <= each.connections
        assert 0 < each.address_connections <= each.connections
        assert each.address_bytes > MAX_BODY_BYTES


def test_ordinary_load_meets_no_bound_by_default() -> None:
    """Guards against bounds that a load balancer meets on the smallest VM."""
    bounds = bounds_of(DEFAULT_MEMORY_MB, DEFAULT_FILE_DESCRIPTORS)
    callers = bounds.by_listener[CALLERS]
    assert callers.address_connections * CONNECTIONS_HIGH_WATER >= 1000
    budget = ClientBudget(bounds)
    for _ in range(1000):
        holding = budget.admit(CALLERS, "balancer", 0.0)
        assert holding is not None and not holding.refused
        # A request of ordinary size on each of them at once.
        assert budget.update(holding, 0, 16 * 1024, 0, 0.0) == []
        assert budget.may_handle(holding)
    assert budget.make_room(CALLERS, 1000.0) == []


def test_callers_leave_the_reserve_of_each_other_listener() -> None:
    """Guards against peers, probes and operators that callers keep away."""
    bounds = bounds_of(DEFAULT_MEMORY_MB, DEFAULT_FILE_DESCRIPTORS)
    budget = ClientBudget(bounds)
    for number in range(2 * bounds.connections):
        holding = budget.admit(CALLERS, f"c{number % 50}", 0.0)
        if holding is not None:
            budget.update(holding, 256 * 1024, 0, 0, 0.0)
    for name in RESERVED_SHARE:
        if name != CALLERS:
            for number in range(bounds.by_listener[name].reserved_connections):
                holding = budget.admit(name, f"p{number}", 0.0)
                assert holding is not None and not holding.refused
                assert budget.may_handle(holding)


def test_shed_load_is_counted_and_logged_at_most_once_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a crowd that fills the log, and limits without a metric."""
    lines: list[dict[str, Any]] = []

    class Log:
        def warning(self, message: str, **fields: Any) -> None:
            lines.append(fields)

    monkeypatch.setattr(client_limits, "_LOG", Log())
    clock, metrics = ManualClock(), Metrics()
    report = ClientReport(metrics, clock)
    metrics.export_clients(ClientBudget(bounds_of(200, 4096), report))
    for _ in range(3):
        report(PEERS, Bound.ADDRESS_BYTES, Action.CLOSED, 1)
    clock.time += 1.0
    report(PEERS, Bound.LISTENER_CONNECTIONS, Action.REFUSED, 1)
    assert [each["counts"] for each in lines] == [
        {"peers closed: address-bytes": 1},
        {
            "peers closed: address-bytes": 2,
            "peers refused: listener-connections": 1,
        },
    ]
    text = metrics.render().decode()
    shed = 'shed_clients_total{action="closed",bound="address-bytes",listener="peers"}'
    assert f"briarrun_{shed} 3.0" in text
    assert 'briarrun_client_connections{listener="readiness"} 0.0' in text
    for bound in Bound:
        assert f'briarrun_client_limit{{bound="{bound}",listener="callers"}}' in text
