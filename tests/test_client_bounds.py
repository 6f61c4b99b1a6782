"""Tests of the decision which clients are refused, paused and closed."""

from __future__ import annotations

import pytest

from briarrun_wire.client_bounds import (
    CONNECTION_PAUSE_BYTES,
    Action,
    Activity,
    Bound,
    ClientBudget,
    Holding,
    ListenerBounds,
    ProcessBounds,
    is_to_be_paused,
)

IDLE, RECEIVING = Activity.IDLE, Activity.RECEIVING
HANDLING, SENDING = Activity.HANDLING, Activity.SENDING


def budget(process: int = 10, size: int = 1000) -> ClientBudget:
    """Return a budget in which ``peers`` have a reserve of 2 connections and 200 B."""
    callers = ListenerBounds(8, 6, 0, size * 8 // 10, size * 6 // 10, 0, refusals=1)
    peers = ListenerBounds(4, 4, 2, size, size, size // 5, refusals=0)
    bounds = ProcessBounds({"callers": callers, "peers": peers}, process, size)
    return ClientBudget(bounds)


def admit(
    held: ClientBudget, listener: str, address: str, now: float = 0.0
) -> Holding | None:
    """Return the holding of a connection that is served, None if it is not."""
    holding = held.admit(listener, address, now)
    return None if holding is None or holding.refused else holding


@pytest.mark.parametrize(
    ("arrivals", "admitted"),
    [
        (["c1"] * 7, [True] * 6 + [False]),
        (["c1"] * 5 + ["c2"] * 4, [True] * 8 + [False]),
        # Callers cannot take the reserve of the peers, nor peers more than theirs.
        (["c1"] * 4 + ["c2"] * 4 + ["p1"] * 3, [True] * 10 + [False]),
        (["p1"] * 5, [True] * 4 + [False]),
        (["p1"] * 4 + ["c1"] * 6 + ["c2"], [True] * 10 + [False]),
    ],
)
def test_connections_are_admitted_up_to_each_bound(
    arrivals: list[str], admitted: list[bool]
) -> None:
    """Guards against clients that use up the connections of all others."""
    held = budget()
    name = {"c": "callers", "p": "peers"}
    served = [admit(held, name[each[0]], each) is not None for each in arrivals]
    assert served == admitted


def test_released_connection_makes_room() -> None:
    """Guards against connections that count after their end, or end twice."""
    held = budget()
    first = [admit(held, "callers", "a") for _ in range(6)]
    refused = held.admit("callers", "a", 0.0)
    assert refused is not None and refused.refused
    assert held.admit("callers", "a", 0.0) is None
    for each in (first[0], first[0], refused):
        assert each is not None
        held.release(each)
    assert admit(held, "callers", "a") is not None
    again = held.admit("callers", "a", 0.0)
    assert again is not None and again.refused


@pytest.mark.parametrize(
    ("held_bytes", "closed"),
    [
        # Address, activity, pending, in a handler, unsent, seconds; the last is new.
        ([("a", RECEIVING, 300, 0, 0, 0), ("a", RECEIVING, 300, 0, 0, 0)], []),
        ([("a", RECEIVING, 400, 0, 0, 0), ("a", RECEIVING, 250, 0, 0, 0)], [0]),
        # Of one address, the others are left alone.
        ([("b", RECEIVING, 190, 0, 0, 9), ("a", SENDING, 0, 0, 610, 0)], [1]),
        # Who takes longest goes first.
        (
            [
                ("a", RECEIVING, 300, 0, 0, 0),
                ("b", RECEIVING, 260, 0, 0, 1),
                ("c", RECEIVING, 250, 0, 0, 1),
            ],
            [1],
        ),
        # Clients with a request in a handler go last.
        (
            [
                ("a", HANDLING, 400, 0, 0, 9),
                ("b", RECEIVING, 250, 0, 0, 0),
                ("c", RECEIVING, 200, 0, 0, 0),
            ],
            [1],
        ),
        # What a handler has is not freed by closing the connection.
        ([("a", HANDLING, 0, 500, 0, 9), ("b", HANDLING, 0, 400, 0, 0)], []),
        ([("a", HANDLING, 10, 500, 0, 4), ("b", HANDLING, 100, 240, 0, 0)], [1, 0]),
    ],
)
def test_load_is_shed_at_a_bound_on_bytes(
    held_bytes: list[tuple[str, Activity, int, int, int, int]], closed: list[int]
) -> None:
    """Guards against clients that use up the memory, and ordinary ones that pay for it."""
    held = budget()
    holdings, chosen = [], []
    for address, activity, pending, request, unsent, age_s in held_bytes:
        holding = admit(held, "callers", address, 10.0 - age_s)
        assert holding is not None
        holding.activity = activity
        holdings.append(holding)
        chosen += held.update(holding, pending, request, unsent, 10.0)
    assert [holdings.index(each) for each in chosen] == closed
    left = sum(p + r + u for _, _, p, r, u, _ in held_bytes)
    assert held.bytes("callers") == left - sum(
        held_bytes[i][2] + held_bytes[i][4] for i in closed
    )


def test_peers_keep_their_reserve_of_bytes() -> None:
    """Guards against callers that have the calls of peers closed or refused."""
    held = budget()
    callers = [admit(held, "callers", f"{n}") for n in range(4)]
    peer = admit(held, "peers", "p")
    assert peer is not None
    closed = []
    for each in callers:
        assert each is not None
        closed += held.update(each, 200, 0, 0, 0.0)
    assert closed == [] and held.update(peer, 200, 0, 0, 0.0) == []
    assert held.may_handle(peer)
    # Above its reserve it competes for what is common, and is chosen like others.
    assert held.update(peer, 201, 0, 0, 0.0) == [peer]
    assert held.update(peer, 500, 0, 0, 0.0) == [] and not held.may_handle(peer)


def test_request_is_refused_while_handlers_hold_too_much() -> None:
    """Guards against requests that are begun without memory for them."""
    observed = []
    held = ClientBudget(budget().bounds, lambda *event: observed.append(event))
    holdings = [admit(held, "callers", f"{n}") for n in range(3)]
    for each, size in zip(holdings, (400, 390, 20), strict=True):
        assert each is not None
        each.activity = HANDLING
        held.update(each, 0, size, 0, 0.0)
    assert holdings[2] is not None and not held.may_handle(holdings[2])
    assert observed == [("callers", Bound.LISTENER_BYTES, Action.REFUSED, 1)]
    assert holdings[0] is not None
    held.release(holdings[0])
    assert held.may_handle(holdings[2])


@pytest.mark.parametrize(
    ("activity", "age_s", "closed"),
    [
        (IDLE, 0.5, 0),
        (IDLE, 2, 1),
        (RECEIVING, 2, 0),
        (RECEIVING, 9, 1),
        (HANDLING, 99, 0),
    ],
)
@pytest.mark.parametrize("addresses", [["a"] * 6, ["a", "b"] * 4])
def test_stale_connections_make_room(
    addresses: list[str], activity: Activity, age_s: float, closed: int
) -> None:
    """Guards against connections without progress that keep new clients away."""
    held = budget()
    holdings = [admit(held, "callers", each, 100.0 - age_s) for each in addresses]
    for each in holdings:
        assert each is not None
        each.activity = activity
    assert holdings[3] is not None
    holdings[3].since -= 0.1
    chosen = held.make_room("callers", 100.0)
    assert chosen == ([holdings[3]] if closed else [])


@pytest.mark.parametrize(
    ("activity", "pending", "paused"),
    [
        (HANDLING, CONNECTION_PAUSE_BYTES - 1, False),
        (HANDLING, CONNECTION_PAUSE_BYTES, True),
        (SENDING, CONNECTION_PAUSE_BYTES, True),
        (RECEIVING, 10**6, False),
    ],
)
def test_connection_ahead_is_paused(
    activity: Activity, pending: int, paused: bool
) -> None:
    """Guards against input that is read while a request is in progress."""
    assert is_to_be_paused(activity, pending) is paused
