"""Number of waiting steps whose tickets are renewed before capacity is free. No I/O.

Load pattern: a backlog of gangs on a large cell. A call to the advice service about a
gang may take a second, and a ticket is valid for about two. If tickets were renewed for
a few steps only, starts would wait for advice while capacity is free, and the more
workers there are, the more gangs can start per second.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_GANGS = 3
"""Minimum number of waiting gangs, by rank."""

MIN_STEPS = 8
"""Minimum number of other waiting steps, by rank."""

VMS_PER_GANG = 8
"""One more gang is renewed for this many VMs. A VM has one call under way at a time, so
this leaves most of them for first requests."""

VMS_PER_STEP = 4
"""One more of the other steps is renewed for this many VMs."""


@dataclass(frozen=True, slots=True)
class RenewalLimits:
    """Maximum numbers of steps whose tickets are renewed in advance."""

    gangs: int = MIN_GANGS
    steps: int = MIN_STEPS

    @classmethod
    def for_vms(cls, vms: int) -> RenewalLimits:
        """Return the limits for a number of VMs through which advice is requested."""
        return cls(
            gangs=max(MIN_GANGS, vms // VMS_PER_GANG),
            steps=max(MIN_STEPS, vms // VMS_PER_STEP),
        )
