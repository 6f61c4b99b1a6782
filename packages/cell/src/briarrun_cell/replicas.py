"""Choice of the VMs that follow the job stream. No I/O.

Load pattern: a large cell in which every VM reads all jobs and all workers. The store
sends the same records to each VM, and after a loss of power all VMs load the jobs at the
same time, over links of 10 Mbit/s, so that no VM is ready for seconds. Therefore a few
large VMs of each failure domain are replicas, from which the holder comes; the others
accept submissions and ask a replica for the state of a job.
"""

from __future__ import annotations

from collections.abc import Iterable

from briarrun_cell.entry_vms import EntryVm

REPLICAS_PER_DOMAIN = 3
"""Number of replicas in each failure domain."""

MIN_REPLICAS = 6
"""Minimum number of replicas of a cell, which has more in a domain if it has few."""


def choose_replicas(vms: Iterable[EntryVm]) -> list[EntryVm]:
    """Return the replicas of a cell: the largest VMs of each failure domain."""
    seen_by_domain: dict[str, int] = {}
    ranked = []
    for vm in sorted(vms, key=_by_size):
        position = seen_by_domain.get(vm.failure_domain, 0)
        seen_by_domain[vm.failure_domain] = position + 1
        ranked.append((position, vm))
    ranked.sort(key=lambda each: (each[0], _by_size(each[1])))
    wanted = max(MIN_REPLICAS, REPLICAS_PER_DOMAIN * len(seen_by_domain))
    return [vm for _, vm in ranked[:wanted]]


def is_replica(own: EntryVm, known: Iterable[EntryVm]) -> bool:
    """Return whether a VM is a replica.

    ``known`` are the VMs that have registered, in this life of the cell or before.
    """
    others = [vm for vm in known if vm.vm != own.vm]
    return own in choose_replicas([*others, own])


def nearest_first(own: EntryVm, replicas: Iterable[EntryVm]) -> list[EntryVm]:
    """Return the replicas in the order in which a VM asks them, without itself."""
    return sorted(
        (vm for vm in replicas if vm.vm != own.vm),
        key=lambda vm: (
            vm.failure_domain != own.failure_domain,
            vm.region != own.region,
            vm.vm,
        ),
    )


def _by_size(vm: EntryVm) -> tuple[float, str]:
    return (-vm.cores, vm.vm)
