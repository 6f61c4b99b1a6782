"""Text of docs/CAPACITY.md."""

from __future__ import annotations

from tools.capacity.model import (
    LIMIT_APPENDS_S,
    LIMIT_BYTES_S,
    LIMIT_CORE,
    LIMIT_MIB,
    ONE_DOMAIN,
    WHOLE_FLEET,
    Measured,
    RoleLoad,
    front,
    holder,
    others,
)
from tools.capacity.slopes import Fit

HEAD = """# Capacity

Written by `python -m tools.capacity --write`; `make capacity` prints the same. Sizes
are those of section 1.3 of the design: 1,900 workers, 10,000 running tasks, 270 teams,
250 starts/s, 5,900 configuration changes a day, 22 domains with 3 entry VMs each.

Measured are: every value under "Slopes", the fixed sizes, and the idle daemons (three
real processes of one domain with a stand-in log on loopback, all bytes counted by
relays). Derived are: every rate, which follows from a size or an interval on the design
page, and hence the whole table "Roles". Bytes are both directions together and include
52 bytes of TCP/IP header per message; pure TCP acknowledgements are left out. Times were
taken on a shared machine and are indicative. Memory of state was measured by tracemalloc,
memory of processes as resident size.
"""

CHANGES = {
    "core": (
        "Fewer and cheaper wake-ups: one call per worker for renewal and inventory, "
        "and usage passed on only for teams that changed."
    ),
    "MiB": "A domain of at most a few hundred workers; the fold could drop record ids "
    "to digests of 8 bytes.",
    "KB/s": (
        "Idle: heartbeats of 0.1 s alone take most of the limit; shorter framing or one "
        "heartbeat per pair instead of one each way halves them. Workers: an inventory "
        "that lists only changes since the last. VM list: an answer by domain, or only "
        "changes. Load between domains: only changed teams, one number each."
    ),
}


def _table(head: list[str], rows: list[list[str]]) -> str:
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rows)])


def _number(value: float | None, digits: int) -> str:
    return "-" if value is None else f"{value:.{digits}f}"


def misses(load: RoleLoad) -> list[str]:
    """Return which limits of section 1.3 a briarrun process misses."""
    if load.core is None or load.mib is None:
        return ["appends/s"] if load.appends_s > LIMIT_APPENDS_S else []
    found = []
    if load.core > LIMIT_CORE:
        found.append("core")
    if load.mib > LIMIT_MIB:
        found.append("MiB")
    if load.bytes_s > LIMIT_BYTES_S:
        found.append("KB/s")
    return found


def _roles(loads: list[RoleLoad]) -> str:
    rows = [
        [
            load.role,
            load.state,
            load.mechanism,
            _number(load.messages_s, 1),
            _number(load.bytes_s / 1000, 2),
            _number(load.appends_s, 2),
            "-" if load.core is None else f"{load.core:.1%}",
            _number(load.mib, 1),
            ", ".join(misses(load)) or "none",
            load.notes,
        ]
        for load in loads
    ]
    head = ["role", "state", "mechanism", "messages/s", "KB/s", "appends/s"]
    return _table([*head, "of a core", "MiB", "limits missed", "note"], rows)


def _slopes(fits: list[Fit]) -> str:
    rows = [
        [
            fit.name,
            fit.per,
            ", ".join(f"{size}" for size in fit.sizes),
            ", ".join(f"{value:.1f}" for value in fit.values),
            f"{fit.offset:.1f}",
            f"{fit.slope:.4g}",
            f"{fit.residual:.1%}",
            fit.unit,
        ]
        for fit in fits
    ]
    head = ["figure", "against", "sizes", "measured", "offset", "slope", "residual"]
    return _table([*head, "unit"], rows)


def _idle(measured: Measured) -> str:
    rows = [
        [
            str(teams),
            usage.role,
            f"{usage.core_fraction:.1%}",
            f"{usage.resident_mib:.1f}",
            f"{usage.peer_bytes_s / 1000:.2f}",
            f"{usage.log_bytes_s / 1000:.2f}",
        ]
        for teams, usages in measured.idle.items()
        for usage in usages
    ]
    head = ["teams", "daemon", "of a core", "resident MiB"]
    return _table([*head, "KB/s to peers", "KB/s to the log"], rows)


def render(measured: Measured) -> str:
    """Return the whole page."""
    loads = [
        front(measured),
        holder(measured, ONE_DOMAIN),
        holder(measured, WHOLE_FLEET),
        *others(measured),
    ]
    missed = sorted({name for load in loads for name in misses(load)})
    fixes = "\n".join(
        f"- {name}: {CHANGES[name]}" for name in missed if name in CHANGES
    )
    limits = (
        f"Limits per VM: {LIMIT_CORE:.0%} of a core, {LIMIT_MIB:g} MiB,"
        f" {LIMIT_BYTES_S / 1000:g} KB/s; for the log several hundred appends/s, taken"
        f" as {LIMIT_APPENDS_S:g}."
    )
    fixed = _table(
        ["size", "value"],
        [[name, f"{value:.1f}"] for name, value in measured.fixed.items()],
    )
    return (
        "\n\n".join(
            [
                HEAD.rstrip(),
                "## Roles (derived)\n\n" + limits + "\n\n" + _roles(loads),
                "## What would change where a limit is missed\n\n"
                + (fixes or "No limit is missed."),
                "## Idle daemons (measured)\n\nThe first started is taken to be the"
                " holder.\n\n" + _idle(measured),
                "## Fixed sizes (measured, bytes unless named otherwise)\n\n" + fixed,
                "## Slopes (measured)\n\nStraight lines by least squares; the residual is"
                " the root mean square of the relative deviations.\n\n"
                + _slopes(list(measured.fits.values())),
            ]
        )
        + "\n"
    )
