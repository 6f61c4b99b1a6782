"""Bounds on clients that follow from the VM's limits, and the report of shed load."""

from __future__ import annotations

from collections import Counter

from briarrun_cell.clock import Clock
from briarrun_cell.logs import ComponentLog
from briarrun_cell.metrics import Metrics
from briarrun_wire.client_bounds import Action, Bound, ListenerBounds, ProcessBounds

CALLERS = "callers"
PEERS = "peers"
READINESS = "readiness"
OPERATIONS = "operations"

FILES = 200
"""Descriptors that are for files."""

MIN_DESCRIPTORS = 40
"""Descriptors that clients have however low the limit is."""

PROCESS_BYTES = 64_000_000
"""Memory of a process at the size to support (1,900 workers, 10,000 tasks)."""

MIN_CLIENT_MEMORY = 8_000_000
"""Memory for clients on a VM that is too small for the process at that size."""

CONNECTION_BYTES = 8 * 1024
"""Memory of an idle connection; 5 KB were measured."""

MEMORY_PER_BYTE = 4
"""Memory for each byte that clients hold: a body is copied when it is complete, and its
decoded form takes about twice its size. The allocator keeps some of what is freed."""

MAX_REFUSALS = 16
"""Connections of each listener that are told 503 at a time."""

RESERVED_SHARE = {CALLERS: 1 / 2, PEERS: 1 / 8, READINESS: 1 / 16, OPERATIONS: 1 / 16}
"""Share of the bounds reserved for each listener; the rest is common."""

MAX_RESERVED_CONNECTIONS = {PEERS: 128, READINESS: 32, OPERATIONS: 32}
"""Reserved connections that are enough: a few for each of 34 VMs, and for probes and
operators."""

ADDRESS_SHARE = 3 / 4
"""Share of a listener's bounds for one address, which may be the platform's load
balancer and then stands for all clients."""

LOG_INTERVAL_S = 1.0
"""Minimum time between two log lines on shed load."""

_LOG = ComponentLog("front")


def bounds_of(memory_mb: int, file_descriptors: int) -> ProcessBounds:
    """Return the bounds on clients of a VM with these limits."""
    for_clients = max(memory_mb * 1_000_000 - PROCESS_BYTES, MIN_CLIENT_MEMORY)
    # Half of the sockets are for connections to the store, workers and other VMs.
    sockets = max(MIN_DESCRIPTORS, (file_descriptors - FILES) // 2)
    sockets = min(sockets, for_clients // 2 // CONNECTION_BYTES)
    refusals = max(1, min(MAX_REFUSALS, sockets // 32))
    connections = sockets - refusals * len(RESERVED_SHARE)
    size = (for_clients - sockets * CONNECTION_BYTES) // MEMORY_PER_BYTE
    reserved_connections = {
        name: min(
            int(connections * share),
            MAX_RESERVED_CONNECTIONS.get(name, connections),
        )
        for name, share in RESERVED_SHARE.items()
    }
    reserved_bytes = {name: int(size * share) for name, share in RESERVED_SHARE.items()}
    return ProcessBounds(
        {
            name: _of_listener(
                connections - sum(reserved_connections.values()),
                reserved_connections[name],
                size - sum(reserved_bytes.values()),
                reserved_bytes[name],
                refusals,
            )
            for name in RESERVED_SHARE
        },
        connections,
        size,
    )


def _of_listener(
    common_connections: int,
    reserved_connections: int,
    common_bytes: int,
    reserved_bytes: int,
    refusals: int,
) -> ListenerBounds:
    """Return the bounds of a listener: its reserve, and all that is common."""
    connections = common_connections + reserved_connections
    size = common_bytes + reserved_bytes
    return ListenerBounds(
        connections=connections,
        address_connections=int(connections * ADDRESS_SHARE),
        reserved_connections=reserved_connections,
        bytes=size,
        address_bytes=int(size * ADDRESS_SHARE),
        reserved_bytes=reserved_bytes,
        refusals=refusals,
    )


class ClientReport:
    """Counts clients that were refused or closed; logs them at most once a second."""

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._logged_at = float("-inf")
        self._count_by_event: Counter[str] = Counter()

    def __call__(self, listener: str, bound: Bound, action: Action, count: int) -> None:
        """Take note of clients that were refused or closed at a bound."""
        self._metrics.observe_shed(listener, bound, action, count)
        self._count_by_event[f"{listener} {action}: {bound}"] += count
        now = self._clock.now()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            _LOG.warning("shed load of clients", counts=dict(self._count_by_event))
            self._count_by_event.clear()
