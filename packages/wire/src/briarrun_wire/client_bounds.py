"""Bounds on what clients hold of a process: connections, received and unsent bytes.

The load: clients that send ahead and read nothing, that never finish a request, or that
open many connections. All listeners of a process share one ``ClientBudget``. It decides
which connections are admitted, refused or closed, given what each holds, and when a
connection is to be paused. It does no I/O; times are arguments, in seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

LOW_WATER = 0.75
"""Share of a bound on bytes down to which load is shed. Going lower than the bound keeps
the choice, which looks at all connections, rare."""

CONNECTIONS_HIGH_WATER = 0.9
"""Share of a bound on connections above which the longest idle ones are closed, so that
new clients are admitted."""

CONNECTION_PAUSE_BYTES = 4 * 1024
"""Received bytes ahead of a request in progress at which a connection is not read. Some
pipelined requests are kept; a client's disconnection is noticed if it sends none."""

MAX_UNBOUNDED = 2**62
"""Stands for a bound that does not bind."""


class Activity(StrEnum):
    """What a connection is doing."""

    IDLE = "idle"
    RECEIVING = "receiving"
    HANDLING = "handling"
    SENDING = "sending"


MIN_AGE_S = {Activity.IDLE: 1.0, Activity.RECEIVING: 5.0, Activity.SENDING: 5.0}
"""Time in an activity from which a connection may be closed to admit others. An ordinary
client sends its request within a second of connecting, and sends or reads 256 KiB in
less than 5 s. Connections with a request in a handler are not closed for it."""


class Bound(StrEnum):
    """Bound that was reached."""

    ADDRESS_CONNECTIONS = "address-connections"
    LISTENER_CONNECTIONS = "listener-connections"
    PROCESS_CONNECTIONS = "process-connections"
    ADDRESS_BYTES = "address-bytes"
    LISTENER_BYTES = "listener-bytes"
    PROCESS_BYTES = "process-bytes"


class Action(StrEnum):
    """What was done to a client at a bound."""

    REFUSED = "refused"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class ListenerBounds:
    """Bounds of one listener, and the part of the process's bounds reserved for it.

    ``refusals`` is the number of further connections that may be open at a time to be
    told 503; clients beyond it are closed without an answer. Without
    ``makes_room``, connections are closed for lack of progress only by their time-outs.
    """

    connections: int = MAX_UNBOUNDED
    address_connections: int = MAX_UNBOUNDED
    reserved_connections: int = 0
    bytes: int = MAX_UNBOUNDED
    address_bytes: int = MAX_UNBOUNDED
    reserved_bytes: int = 0
    refusals: int = MAX_UNBOUNDED
    makes_room: bool = True


@dataclass(frozen=True, slots=True)
class ProcessBounds:
    """Bounds of a process; the reserves of its listeners are part of them."""

    by_listener: Mapping[str, ListenerBounds]
    connections: int = MAX_UNBOUNDED
    bytes: int = MAX_UNBOUNDED


def _do_nothing() -> None:
    """Close nothing; the connection is not made yet."""


@dataclass(eq=False, slots=True)
class Holding:
    """What one connection holds.

    ``pending`` counts bytes received that no handler has, ``request`` those of the
    request in a handler, ``unsent`` those of answers that the client has not read.
    ``close`` closes the connection; ``closing`` tells that it was chosen for it.
    """

    listener: str
    address: str
    since: float
    refused: bool = False
    activity: Activity = Activity.IDLE
    pending: int = 0
    request: int = 0
    unsent: int = 0
    closing: bool = False
    released: bool = False
    close: Callable[[], None] = _do_nothing

    @property
    def freeable(self) -> int:
        """Bytes that are free once the connection is closed."""
        return self.pending + self.unsent


def is_to_be_paused(activity: Activity, pending: int) -> bool:
    """Return whether a connection is not to be read for now.

    While a request arrives, its parser bounds what is pending.
    """
    in_progress = activity in (Activity.HANDLING, Activity.SENDING)
    return in_progress and pending >= CONNECTION_PAUSE_BYTES


@dataclass(slots=True)
class _AddressUse:
    connections: int = 0
    bytes: int = 0


@dataclass(slots=True)
class _ListenerUse:
    bounds: ListenerBounds
    bytes: int = 0
    refusals: int = 0
    holdings: set[Holding] = field(default_factory=set)
    by_address: dict[str, _AddressUse] = field(default_factory=dict)

    @property
    def connections(self) -> int:
        """Number of admitted connections."""
        return len(self.holdings)


class ClientBudget:
    """What the clients of all listeners of a process hold, and who has to go.

    A listener uses its reserve first and shares what is not reserved with the others.
    ``observe`` is called with the listener, bound, action and number of connections.
    """

    def __init__(
        self,
        bounds: ProcessBounds,
        observe: Callable[[str, Bound, Action, int], None] | None = None,
    ) -> None:
        self.bounds = bounds
        self._observe = observe
        self._uses = {
            name: _ListenerUse(each) for name, each in bounds.by_listener.items()
        }
        listeners = bounds.by_listener.values()
        self._common_connections = bounds.connections - sum(
            each.reserved_connections for each in listeners
        )
        self._common_bytes = bounds.bytes - sum(
            each.reserved_bytes for each in listeners
        )

    def connections(self, listener: str) -> int:
        """Return the number of connections admitted at a listener."""
        return self._uses[listener].connections

    def bytes(self, listener: str) -> int:
        """Return the bytes held by the clients of a listener."""
        return self._uses[listener].bytes

    def admit(self, listener: str, address: str, now: float) -> Holding | None:
        """Return the holding of a new connection, None if it is to be closed at once.

        A holding that is ``refused`` is for an answer 503 only.
        """
        use = self._uses[listener]
        bound = self._reached_connections(use, address)
        if bound is None:
            holding = Holding(listener, address, now)
            use.holdings.add(holding)
            use.by_address.setdefault(address, _AddressUse()).connections += 1
            return holding
        if use.refusals < use.bounds.refusals:
            use.refusals += 1
            self._report(listener, bound, Action.REFUSED, 1)
            return Holding(listener, address, now, refused=True)
        self._report(listener, bound, Action.CLOSED, 1)
        return None

    def release(self, holding: Holding) -> None:
        """Forget a connection that is closed and has no request in a handler."""
        if holding.released:
            return
        use = self._uses[holding.listener]
        if holding.refused:
            use.refusals -= 1
        else:
            self._set(holding, 0, 0, 0)
            use.holdings.discard(holding)
            of_address = use.by_address[holding.address]
            of_address.connections -= 1
            if not of_address.connections:
                del use.by_address[holding.address]
        holding.released = True
        holding.close = _do_nothing

    def update(
        self, holding: Holding, pending: int, request: int, unsent: int, now: float
    ) -> list[Holding]:
        """Set what a connection holds; return the connections that are to be closed."""
        if holding.released or holding.refused:
            return []
        if holding.closing:
            # What the connection still has is freed with it, but for its request.
            pending = unsent = 0
        if self._set(holding, pending, request, unsent) <= 0:
            return []
        return self._shed(holding.listener, holding.address, now)

    def may_handle(self, holding: Holding) -> bool:
        """Return whether a handler may get a request; otherwise it gets 503."""
        if holding.closing:
            return False
        bound = self._reached_bytes(self._uses[holding.listener], holding.address)
        if bound is not None:
            self._report(holding.listener, bound, Action.REFUSED, 1)
        return bound is None

    def make_room(self, listener: str, now: float) -> list[Holding]:
        """Return the connections of a listener to close so that others are admitted.

        Those that have made no progress for longest are closed first.
        """
        use = self._uses[listener]
        if not use.bounds.makes_room:
            return []
        closed = []
        most = int(use.bounds.address_connections * CONNECTIONS_HIGH_WATER)
        for address, of_address in list(use.by_address.items()):
            if of_address.connections > most:
                of_one = (h for h in use.holdings if h.address == address)
                closed += self._close_oldest(
                    of_one,
                    of_address.connections - most,
                    now,
                    Bound.ADDRESS_CONNECTIONS,
                )
        most = int(use.bounds.connections * CONNECTIONS_HIGH_WATER)
        excess = use.connections - len(closed) - most
        closed += self._close_oldest(
            use.holdings, excess, now, Bound.LISTENER_CONNECTIONS
        )
        most = int(self._common_connections * CONNECTIONS_HIGH_WATER)
        above_reserve = use.connections - use.bounds.reserved_connections
        excess = min(self._common_connections_used() - most, above_reserve)
        closed += self._close_oldest(
            use.holdings, excess - len(closed), now, Bound.PROCESS_CONNECTIONS
        )
        return closed

    def _close_oldest(
        self, holdings: Iterable[Holding], count: int, now: float, bound: Bound
    ) -> list[Holding]:
        if count <= 0:
            return []
        stale = [
            each
            for each in holdings
            if not each.closing
            and each.activity in MIN_AGE_S
            and now - each.since >= MIN_AGE_S[each.activity]
        ]
        stale.sort(key=lambda each: each.since)
        return self._close(stale[:count], bound)

    def _close(self, chosen: list[Holding], bound: Bound) -> list[Holding]:
        for each in chosen:
            each.closing = True
            self._set(each, 0, each.request, 0)
            self._report(each.listener, bound, Action.CLOSED, 1)
        return chosen

    def _shed(self, listener: str, address: str, now: float) -> list[Holding]:
        use = self._uses[listener]
        bound = self._reached_bytes(use, address)
        if bound is None:
            return []
        if bound is Bound.ADDRESS_BYTES:
            limit = use.bounds.address_bytes
            used = use.by_address[address].bytes
            candidates = [h for h in use.holdings if h.address == address]
        elif bound is Bound.LISTENER_BYTES:
            limit, used = use.bounds.bytes, use.bytes
            candidates = list(use.holdings)
        else:
            limit, used = self._common_bytes, self._common_bytes_used()
            candidates = [
                holding
                for each in self._uses.values()
                if each.bytes > each.bounds.reserved_bytes
                for holding in each.holdings
            ]
        excess = used - int(limit * LOW_WATER)
        # A request in a handler may have taken effect, and its client waits for the
        # answer, so these connections are closed last.
        candidates.sort(
            key=lambda each: (
                each.activity is Activity.HANDLING,
                -each.freeable * (now - each.since + 1.0),
            )
        )
        chosen = []
        for each in candidates:
            if excess <= 0:
                break
            if each.freeable and not each.closing:
                excess -= each.freeable
                chosen.append(each)
        return self._close(chosen, bound)

    def _reached_connections(self, use: _ListenerUse, address: str) -> Bound | None:
        of_address = use.by_address.get(address)
        if of_address and of_address.connections >= use.bounds.address_connections:
            return Bound.ADDRESS_CONNECTIONS
        if use.connections >= use.bounds.connections:
            return Bound.LISTENER_CONNECTIONS
        if use.connections < use.bounds.reserved_connections:
            return None
        if self._common_connections_used() >= self._common_connections:
            return Bound.PROCESS_CONNECTIONS
        return None

    def _reached_bytes(self, use: _ListenerUse, address: str) -> Bound | None:
        of_address = use.by_address.get(address)
        if of_address and of_address.bytes > use.bounds.address_bytes:
            return Bound.ADDRESS_BYTES
        if use.bytes > use.bounds.bytes:
            return Bound.LISTENER_BYTES
        if use.bytes <= use.bounds.reserved_bytes:
            return None
        if self._common_bytes_used() > self._common_bytes:
            return Bound.PROCESS_BYTES
        return None

    def _common_connections_used(self) -> int:
        return sum(
            max(0, use.connections - use.bounds.reserved_connections)
            for use in self._uses.values()
        )

    def _common_bytes_used(self) -> int:
        return sum(
            max(0, use.bytes - use.bounds.reserved_bytes) for use in self._uses.values()
        )

    def _set(self, holding: Holding, pending: int, request: int, unsent: int) -> int:
        """Set what a connection holds and return the change in bytes."""
        change = pending + request + unsent
        change -= holding.pending + holding.request + holding.unsent
        holding.pending, holding.request, holding.unsent = pending, request, unsent
        use = self._uses[holding.listener]
        use.bytes += change
        use.by_address[holding.address].bytes += change
        return change

    def _report(self, listener: str, bound: Bound, action: Action, count: int) -> None:
        if self._observe is not None:
            self._observe(listener, bound, action, count)
