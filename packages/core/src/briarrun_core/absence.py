"""Which instances of a failure domain are certainly gone."""

from __future__ import annotations

from collections.abc import Iterable

from briarrun_core.claims import vm_of


class AbsenceTracker:
    """Track VMs missing from the VM list and instances replaced on the same VM.

    A VM counts as gone after ``lag_s`` of reads that all lacked it. A pause between two
    reads of more than ``gap_s`` proves nothing about the time between and starts anew.
    """

    def __init__(self, instance: str, lag_s: float, gap_s: float) -> None:
        self._instance = instance
        self._lag_s = lag_s
        self._gap_s = gap_s
        self._read_at: float | None = None
        self._present: frozenset[str] = frozenset()
        self._watched: set[str] = set()
        self._absent_since_by_vm: dict[str, float] = {}
        self._replaced: set[str] = set()

    def watch(self, instances: Iterable[str]) -> None:
        """Track these instances, the electors and the holder of the current claim."""
        watched = set(instances)
        # A newly named instance ran a moment ago, whatever the lagging list said.
        known_vms = {vm_of(instance) for instance in watched & self._watched}
        known_vms -= {vm_of(instance) for instance in watched - self._watched}
        self._absent_since_by_vm = {
            vm: since
            for vm, since in self._absent_since_by_vm.items()
            if vm in known_vms
        }
        self._watched = watched
        self._replaced &= watched

    def on_vm_list(self, live_vm_ids: Iterable[str], now: float) -> None:
        """Note a list that was read successfully at ``now``."""
        present = frozenset(live_vm_ids)
        if self._read_at is not None and now - self._read_at > self._gap_s:
            self._absent_since_by_vm.clear()
        self._read_at, self._present = now, present
        for vm in {vm_of(instance) for instance in self._watched}:
            if vm in present:
                self._absent_since_by_vm.pop(vm, None)
            else:
                self._absent_since_by_vm.setdefault(vm, now)

    def on_peer_running(self, peer: str) -> None:
        """Note proof that ``peer`` runs now, after the watched instances were named.

        A VM runs one instance at a time, so any other watched one on its VM has ended.
        """
        self._replaced |= {
            instance
            for instance in self._watched
            if instance != peer and vm_of(instance) == vm_of(peer)
        }

    def all_terminated(self, now: float) -> bool:
        """Tell whether every watched instance is certainly gone."""
        return all(self._is_gone(instance, now) for instance in self._watched)

    def _is_gone(self, instance: str, now: float) -> bool:
        if instance == self._instance:
            return False
        if instance in self._replaced or vm_of(instance) == vm_of(self._instance):
            return True
        since = self._absent_since_by_vm.get(vm_of(instance))
        if since is None or self._read_at is None or now - self._read_at > self._gap_s:
            return False
        return self._read_at - since >= self._lag_s
