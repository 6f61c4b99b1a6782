"""One-line reasons of decisions."""

from __future__ import annotations

from briarrun_core.model import Urgency
from briarrun_core.resources import NOTHING, Resources


def describe(resources: Resources) -> str:
    """Return a resource vector in words, for example ``2 cores, 512 MiB``."""
    parts = []
    if resources.cores:
        parts.append(f"{resources.cores / 1000:g} cores")
    if resources.memory_mib:
        parts.append(f"{resources.memory_mib} MiB")
    if resources.accelerators:
        parts.append(f"{resources.accelerators} accelerators")
    if resources.slots:
        parts.append(f"{resources.slots} slots")
    return ", ".join(parts) if parts else "nothing"


def missing(need: Resources, available: Resources) -> str:
    """Return what of ``need`` a room lacks, in words."""
    rest = need - available
    return describe(rest - rest.minimum(NOTHING))


def placed(team: str, share: float, worker_id: str, spread: bool) -> str:
    """Say why a task was placed."""
    how = "spread over racks" if spread else "packed"
    return f"team {team} is next at weighted share {share:.3f}; {how} on {worker_id}"


def placed_gang(team: str, count: int, workers: int, reserved: bool) -> str:
    """Say why a gang was placed."""
    how = "on reserved workers" if reserved else "without a reservation"
    return f"all {count} tasks of team {team}'s gang fit on {workers} workers {how}"


def checkpointed_for_urgency(job_id: str, urgency: Urgency, worker_id: str) -> str:
    """Say why a task was checkpointed for urgent work."""
    return f"makes room on {worker_id} for {urgency} job {job_id}, which fits nowhere"


def checkpointed_for_share(job_id: str, team: str, gap: float) -> str:
    """Say why a task was checkpointed for a team below its share."""
    return (
        f"team is above its share; team {team} is {gap:.1%} of the fleet below and"
        f" waits with job {job_id}"
    )


def never_fits_worker(need: Resources, count: int) -> str:
    """Say why a job can never run on the workers there are."""
    what = f"{count} tasks of {describe(need)} each" if count > 1 else describe(need)
    return f"needs {what}, which the domain's workers cannot hold even when empty"


def above_limit(team: str, limit: Resources) -> str:
    """Say why a job can never run within its team's limit."""
    return f"needs more than team {team}'s limit of {describe(limit)} over the fleet"


def waits_for_slice(team: str, need: Resources, available: Resources) -> str:
    """Say that a job waits for its team's own work to end."""
    lacking = missing(need, available)
    return f"waits: team {team}'s slice in this domain lacks {lacking}"


def waits_for_capacity(need: Resources, count: int, reserved: int, held: int) -> str:
    """Say that a job waits for capacity."""
    what = f"{count} tasks of {describe(need)} together" if count else describe(need)
    if reserved:
        return f"waits: {reserved} workers are reserved until {what} fit"
    if held:
        return f"waits: {held} running tasks are being checkpointed for it"
    return f"waits: no worker has room for {what}"


def waits_for_turn(place: int, team: str, share: float) -> str:
    """Say that a job waits behind teams with a smaller share."""
    return (
        f"waits: {place} teams with a smaller weighted share come before team {team}"
        f" at {share:.3f}"
    )
