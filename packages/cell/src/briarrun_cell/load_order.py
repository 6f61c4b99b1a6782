"""Order in which VMs load the job stream when they start. No I/O.

Load pattern: all VMs of a large cell lose power and start together. If all of them load
all jobs at the same time, the store's read rate is shared, no VM is soon able to become
the holder, and nothing is decided meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterable

from briarrun_cell.entry_vms import EntryVm

FIRST_LOADERS = 12
"""Number of VMs, the largest ones, that load at once. One of them becomes the holder."""

LOAD_DELAY_S = 1.0
"""Delay of the other VMs, in which the first ones finish on links of 20 Mbit/s."""


def load_delay_s(
    own: EntryVm, known: Iterable[EntryVm], *, held_last: bool = False
) -> float:
    """Return the time for which a VM waits before it loads the jobs, in seconds.

    ``known`` are the VMs that have registered, in this life of the cell or before.
    ``held_last`` tells whether the last claim is of this VM, which need not wait for its
    end to claim the cell again.
    """
    if held_last:
        return 0.0
    others = [vm for vm in known if vm.vm != own.vm]
    position = sum((-vm.cores, vm.vm) < (-own.cores, own.vm) for vm in others)
    return 0.0 if position < FIRST_LOADERS else LOAD_DELAY_S
