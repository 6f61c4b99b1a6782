"""Load of each role at the two-year size, derived from measured figures.

Every rate comes from a size or an interval on the design page; every size and time from
a measurement of the same run.
"""

from __future__ import annotations

from dataclasses import dataclass

from tools.capacity.processes import Usage
from tools.capacity.slopes import Fit

WORKERS, TASKS, TEAMS, DOMAINS = 1900, 10_000, 270, 22
STARTS_S, JOBS_DAY, CHANGES_DAY = 250.0, 11_000, 5_900
MEMBERS = 3
DAY_S = 86_400.0

INVENTORY_INTERVAL_S = 2.0
RENEW_INTERVAL_S = 5.0
LOG_READS_S = 10.0
FLUSHES_S = 4.0
HEARTBEATS_S = 10.0
VM_LIST_FOLLOWERS_S = 0.2
LOAD_BUDGET_BYTES_S = 2000.0
LOAD_TEAM_BYTES = 24.0

CURVE_BYTES = 35
"""Framing of one CURVE message: ZMTP header, command name, nonce and MAC."""

PACKET_BYTES = 52
"""TCP/IPv4 header with timestamps; counted once per message sent."""

LIMIT_CORE, LIMIT_MIB, LIMIT_BYTES_S = 0.04, 64.0, 6000.0
LIMIT_APPENDS_S = 300.0
"""The page says several hundred; 300 is taken as the least that is meant."""


@dataclass(frozen=True, slots=True)
class Measured:
    """Hold what one run measured."""

    fits: dict[tuple[str, str], Fit]
    fixed: dict[str, float]
    idle: dict[int, list[Usage]]

    def at(self, name: str, per: str, size: float) -> float:
        """Return a fitted value."""
        return self.fits[name, per].at(size)


@dataclass(frozen=True, slots=True)
class RoleLoad:
    """Hold one role's load; ``None`` where nothing of briarrun runs."""

    role: str
    state: str
    mechanism: str
    messages_s: float
    bytes_s: float
    appends_s: float
    core: float | None
    mib: float | None
    notes: str = ""


@dataclass(frozen=True, slots=True)
class Share:
    """Hold the part of the fleet that one domain has."""

    name: str
    workers: float
    tasks: float
    starts_s: float
    other_domains: int


ONE_DOMAIN = Share(
    "one of 22 domains",
    WORKERS / DOMAINS,
    TASKS / DOMAINS,
    STARTS_S / DOMAINS,
    DOMAINS - 1,
)
WHOLE_FLEET = Share("whole fleet in one domain", WORKERS, TASKS, STARTS_S, 0)


def _peer_bytes(payload: float) -> float:
    return payload + CURVE_BYTES + PACKET_BYTES


def vm_list_bytes(measured: Measured) -> float:
    """Return the size of one answer at the two-year size."""
    return measured.at("VM list answer (JSON body)", "VMs", WORKERS + MEMBERS * DOMAINS)


def front(measured: Measured) -> RoleLoad:
    """Return the load of a member that is not the holder, without requests."""
    idle = measured.idle[TEAMS][1:]
    heartbeats = 4 * HEARTBEATS_S * (MEMBERS - 1)
    peers = sum(u.peer_bytes_s for u in idle) / len(idle)
    log = sum(u.log_bytes_s for u in idle) / len(idle)
    events = ONE_DOMAIN.starts_s * measured.fixed["replicated bytes per start"]
    headers = PACKET_BYTES * (heartbeats + 2 * LOG_READS_S)
    changes = CHANGES_DAY / DAY_S
    config = changes * measured.fixed["config change record (JSON)"]
    fold = changes * measured.at("fold, one config change", "teams", TEAMS) / 1e6
    replica = measured.at("ledger, memory", "running tasks", ONE_DOMAIN.tasks)
    state = replica + CHANGES_DAY * _retained(measured)
    listing = VM_LIST_FOLLOWERS_S * vm_list_bytes(measured)
    return RoleLoad(
        "front and standby",
        "fold of the log, replica of the ledger",
        "heartbeats by peer socket, log read every 0.1 s, VM list every 5 s,"
        " replicated events",
        heartbeats + 2 * LOG_READS_S + 2 * ONE_DOMAIN.starts_s,
        peers + log + events + headers + config + listing,
        0.0,
        sum(u.core_fraction for u in idle) / len(idle) + fold,
        max(u.resident_mib for u in idle) + state / 2**20,
        "without callers' requests, whose rate the page does not give",
    )


def _retained(measured: Measured) -> float:
    return measured.fits["fold, memory at 6 teams", "changes retained"].slope


def holder(measured: Measured, share: Share) -> RoleLoad:
    """Return the load of a holder of a part of the fleet."""
    per_worker = share.tasks / share.workers
    inventories = share.workers / INVENTORY_INTERVAL_S
    renewals = share.workers / RENEW_INTERVAL_S
    calls = "tasks on the worker"
    size = "TCP payload, both directions"
    worker_bytes = inventories * measured.at(
        f"inventory of one worker, {size}", calls, per_worker
    ) + renewals * measured.at(f"renewal of one worker, {size}", calls, per_worker)
    what = "time in the holder"
    worker_core = (
        inventories * measured.at(f"inventory of one worker, {what}", calls, per_worker)
        + renewals * measured.at(f"renewal of one worker, {what}", calls, per_worker)
    ) / 1e6
    # A start is one call and its end one acknowledgement, each about a renewal's size.
    start_us = (
        measured.at("scheduler, one start", "workers", share.workers)
        + measured.at("ledger, one start", "running tasks", share.tasks)
        + 2 * measured.at(f"renewal of one worker, {what}", calls, 1)
    )
    start_bytes = 2 * measured.at(f"renewal of one worker, {size}", calls, 1)
    replicated = (MEMBERS - 1) * _peer_bytes(
        measured.fixed["replicated bytes per start"]
    )
    remote = 2.0 * share.other_domains
    greeting = _peer_bytes(measured.fixed["heartbeat in the domain"])
    answer = _peer_bytes(measured.fixed["heartbeat acknowledgement"])
    loads = 0.0
    if share.other_domains:
        per_team = measured.fits["heartbeat between domains with load", "teams"].slope
        loads = 2 * LOAD_BUDGET_BYTES_S * per_team / 2 / LOAD_TEAM_BYTES
    idle = measured.idle[TEAMS][0]
    headers = PACKET_BYTES * (4 * HEARTBEATS_S * (MEMBERS - 1) + 2 * LOG_READS_S)
    feed = min(50.0, inventories + share.starts_s)
    feed_us = measured.at("schedule feed, one changed worker", "teams", TEAMS)
    ledger = measured.at("ledger, memory", "running tasks", share.tasks)
    plan = measured.at("scheduler, memory", "running tasks", share.tasks)
    plan -= measured.at("scheduler, memory", "workers", WORKERS)
    plan += measured.at("scheduler, memory", "workers", share.workers)
    state = ledger + plan + CHANGES_DAY * _retained(measured)
    jobs = JOBS_DAY / DAY_S * share.workers / WORKERS
    return RoleLoad(
        f"holder, {share.name}",
        "ledger, scheduler, slots, request records",
        "inventory every 2 s and renewal every 5 s per worker by HTTP, events to"
        " standbys, 1 heartbeat/s to each other holder, VM list every 1 s, jobs records",
        4 * HEARTBEATS_S * (MEMBERS - 1)
        + 2 * LOG_READS_S
        + 2 * (inventories + renewals)
        + share.starts_s * (4 + 2 * (MEMBERS - 1))
        + 2 * remote,
        idle.peer_bytes_s
        + idle.log_bytes_s
        + headers
        + worker_bytes
        + 2 * PACKET_BYTES * (inventories + renewals)
        + share.starts_s * (start_bytes + replicated)
        + remote * (greeting + answer)
        + loads
        + vm_list_bytes(measured)
        + jobs * measured.fixed["job in a jobs record (JSON)"],
        min(FLUSHES_S, 2 * jobs),
        idle.core_fraction
        + worker_core
        + share.starts_s * start_us / 1e6
        + feed * feed_us / 1e6,
        idle.resident_mib + state / 2**20,
        "usage of all teams is passed on at most 50 times a second",
    )


def others(measured: Measured) -> list[RoleLoad]:
    """Return the load as others see it."""
    members = MEMBERS * DOMAINS
    per_worker = TASKS / WORKERS
    size, calls = "TCP payload, both directions", "tasks on the worker"
    one_worker = measured.at(
        f"inventory of one worker, {size}", calls, per_worker
    ) / INVENTORY_INTERVAL_S + (
        measured.at(f"renewal of one worker, {size}", calls, per_worker)
        / RENEW_INTERVAL_S
    )
    reads = members * LOG_READS_S
    log_bytes = members * measured.idle[TEAMS][1].log_bytes_s
    jobs = 2 * JOBS_DAY / DAY_S
    snapshots = (DOMAINS + 2) / (DAY_S / 3)
    change = measured.fixed["config change record (JSON)"]
    return [
        RoleLoad(
            "operator's command",
            "none between runs",
            "read of the log, one append",
            CHANGES_DAY / DAY_S * 4,
            CHANGES_DAY / DAY_S * change,
            CHANGES_DAY / DAY_S,
            None,
            None,
            "one append per change; the read of the document before it is not counted",
        ),
        RoleLoad(
            "one worker",
            "its tasks and leases",
            "HTTP, called by the holder",
            2 * (1 / INVENTORY_INTERVAL_S + 1 / RENEW_INTERVAL_S),
            one_worker,
            0.0,
            None,
            None,
            "nothing of briarrun runs there",
        ),
        RoleLoad(
            "one upstream",
            "its slots",
            "HTTP status every 1 s, called by the holder; requests from fronts",
            2.0,
            measured.at(f"inventory of one worker, {size}", calls, 0),
            0.0,
            None,
            None,
            "a status is taken to be as large as an empty inventory; no requests",
        ),
        RoleLoad(
            "log service",
            "all records of the retention time",
            "HTTP reads by every member, appends by holders and operators",
            2 * reads,
            log_bytes
            + reads * 2 * PACKET_BYTES
            + members * change * CHANGES_DAY / DAY_S,
            jobs + CHANGES_DAY / DAY_S + snapshots,
            None,
            None,
            "worst case of the page: 88 appends/s of jobs records",
        ),
        RoleLoad(
            "VM list",
            "live and leaving VMs",
            "HTTP read every 1 s by holders, every 5 s by others",
            2 * (DOMAINS + (members - DOMAINS) * VM_LIST_FOLLOWERS_S),
            (DOMAINS + (members - DOMAINS) * VM_LIST_FOLLOWERS_S)
            * vm_list_bytes(measured),
            0.0,
            None,
            None,
            "an answer lists every VM of the fleet",
        ),
    ]
