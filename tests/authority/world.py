"""A fleet in virtual time: a log, VMs, links and processes that can fail.

The world holds the ground truth (what landed in the log, what runs, who was reached) and
raises ``ViolationError`` as soon as an invariant does not hold.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from briarrun_core.configuration import diff_documents, digest_of
from briarrun_core.records import ClaimKind, ClaimRecord, ConfigRecord, Record
from tests.authority.assumptions import KEY, WALL_OFFSETS_S
from tests.authority.fleets import Fleet
from tests.authority.process import Process


class ViolationError(AssertionError):
    """Report a broken invariant; ``check`` names it."""

    def __init__(self, check: str, detail: str) -> None:
        super().__init__(f"{check}: {detail}")
        self.check = check


@dataclass(frozen=True)
class TrueClaim:
    """Hold a domain's claim as the log's order decides it."""

    base: tuple[int, int] = (0, 0)
    holder: str = ""
    electors: frozenset[str] = frozenset()


class World:
    """Run processes of several failure domains against one log."""

    def __init__(self, seed: int, fleet: Fleet) -> None:
        self.rng = random.Random(seed)
        domains, vms, self.retention_s = fleet[:3]
        self.clock_rates = fleet.clock_rates
        self.now = 0.0
        self.domains = [f"d{index}" for index in range(domains)]
        self.log: list[tuple[int, float, Record]] = []
        self.log_next = 0
        self.log_is_down = self.log_is_slow = self.list_is_down = False
        self.is_trap_set = self.is_calm = False
        self.cut_links: set[tuple[str, str]] = set()
        self.processes: list[Process] = []
        self.listed_at: dict[str, float] = {}
        self.unlisted_at: dict[str, float] = {}
        self.running: dict[str, int] = dict.fromkeys(self.domains, 0)
        self.top_epoch: dict[str, int] = {}
        self.durable: dict[str, set[int]] = {name: set() for name in self.domains}
        self.given_up = dict.fromkeys(self.domains, 0)
        self.claims = {name: TrueClaim() for name in self.domains}
        self.claims_at: list[dict[str, TrueClaim]] = [dict(self.claims)]
        self.documents: dict[int, dict[str, Any]] = {0: {}}
        self.landed: set[str] = set()
        self.withdrawn_at: float | None = None
        self.folds: dict[int, str] = {}
        self.steps = 0
        self.drafts: dict[str, dict[str, Any]] = {}
        self.last_holder: dict[str, Process] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._ids = itertools.count(1)
        for index in range(domains * vms):
            self._start(self.domains[index // vms], f"vm{index}")
        self.publish("create")
        self.run(1.5)

    # Time

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._queue, (self.now + delay, next(self._ids), action))

    def run(self, seconds: float) -> None:
        """Advance time and check after every event."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
            self.check_authority()
        self.now = until

    def delay(self) -> float:
        """Return a transit time; a few are long."""
        if not self.is_calm and self.rng.random() < 0.02:
            return self.rng.uniform(0.05, 0.4)
        return self.rng.uniform(0.0005, 0.012)

    # Log, links, VM list

    def append(self, process: Process, record: Record) -> None:
        """Append, with a response that leads to a read unless it is lost."""
        slow = self.log_is_slow and self.rng.random() < 0.5
        delay = self.rng.uniform(0.2, 2.0) if slow else self.delay()
        process.written_at.setdefault(record.record_id, self.now)

        def arrive() -> None:
            # During an outage an append is lost or takes effect without a response.
            if self.reaches(process.vm, "log") and (
                not self.log_is_down or self.rng.random() < 0.3
            ):
                self.land(record)
                if not self.log_is_down and self.rng.random() < 0.9:
                    process.deliver(process.read_log, self.delay())

        self.at(delay, arrive)

    def land(self, record: Record) -> None:
        """Add a record to the log and note the configuration it makes in truth."""
        self.log.append((self.log_next, self.now, record))
        self.log_next += 1
        is_new = record.record_id not in self.landed
        base = max(self.documents)
        if (
            is_new
            and isinstance(record, ConfigRecord)
            and record.base_generation == base
        ):
            document = self.drafts[record.record_id]
            self.documents[base + 1] = document
            if "k" not in document["keys_by_id"] and self.withdrawn_at is None:
                self.withdrawn_at = self.now
        if is_new and isinstance(record, ClaimRecord):
            self._land_claim(record)
        self.claims_at.append(dict(self.claims))
        self.landed.add(record.record_id)

    def _land_claim(self, record: ClaimRecord) -> None:
        """Follow the claims by the rules of the design, apart from the fold."""
        claim = self.claims[record.domain]
        if (record.base_epoch, record.base_revision) != claim.base:
            return
        if record.kind is ClaimKind.TAKEOVER and record.author not in claim.electors:
            return
        author = next((p for p in self.processes if p.instance == record.author), None)
        if record.kind is ClaimKind.ORPHAN:
            named = {*claim.electors, claim.holder}
            alive = [p.instance for p in self.processes if p.is_alive]
            present = named & set(alive)
            self.require(not present, "orphan", f"{record.author} beside {present}")
        elif record.kind is ClaimKind.TAKEOVER and author is not None:
            self.require(
                author.promised_at < author.written_at.get(record.record_id, self.now),
                "promise",
                f"{record.author} promised after it wrote a claim",
            )
        is_renewal = record.kind is ClaimKind.ELECTORS
        holder = next((p for p in self.processes if p.instance == claim.holder), None)
        if self.is_trap_set and holder is not None:
            self._spring_trap(holder, set(record.electors) - claim.electors)
        self.claims[record.domain] = TrueClaim(
            (claim.base[0], claim.base[1] + 1) if is_renewal else (record.epoch, 0),
            record.holder,
            frozenset(record.electors),
        )

    def _spring_trap(self, holder: Process, added: set[str]) -> None:
        """Keep the holder from learning of a claim that took effect."""
        self.is_trap_set = False
        self.cut_links.add(("log", holder.vm))
        for process in self.processes:
            if process.instance in added:
                self.cut_links.add((holder.vm, process.vm))

    def retained(self) -> tuple[int, list[tuple[int, Record]]]:
        """Return the oldest offset and the records that retention left."""
        while self.log and self.log[0][1] < self.now - self.retention_s:
            self.log.pop(0)
        first = self.log[0][0] if self.log else self.log_next
        return first, [(offset, record) for offset, _, record in self.log]

    def reaches(self, source: str, target: str) -> bool:
        """Return whether the link from one VM (or to the log) is not cut."""
        return (source, target) not in self.cut_links

    def vm_list(self) -> frozenset[str]:
        """Return the VMs on the list, which lags in both directions."""
        return frozenset(
            vm
            for vm, since in self.listed_at.items()
            if self.now >= since and self.now < self.unlisted_at.get(vm, 1e9)
        )

    # Operators

    def publish(self, change: str) -> None:
        """Publish a change made from the newest generation that landed."""
        base = max(self.documents)
        old = self.documents[base]
        new = make_document(self.domains, old, change)
        record = ConfigRecord(
            record_id=f"operator:{next(self._ids)}",
            base_generation=base,
            changes=diff_documents(old, new),
            digest=digest_of(new),
        )
        self.drafts[record.record_id] = new
        self.at(self.delay() if base else 0.0, lambda: self.land_if_up(record))

    def land_if_up(self, record: Record) -> None:
        """Land an operator's record unless the log is down."""
        if not self.log_is_down:
            self.land(record)

    def limit_of(self, generation: int) -> int:
        """Return the team's limit in an accepted generation."""
        return limit_in(self.documents.get(generation, {}))

    def new_id(self) -> int:
        """Return a number that was not used before."""
        return next(self._ids)

    # Processes

    def members(self, domain: str) -> list[Process]:
        """Return the live processes of a domain."""
        return [p for p in self.processes if p.domain == domain and p.is_alive]

    def _start(self, domain: str, vm: str) -> Process:
        number = next(self._ids)
        process = Process(
            self,
            domain,
            vm,
            f"{vm}.{number}",
            rate=self.clock_rates[len(self.processes) % len(self.clock_rates)],
            offset=self.rng.uniform(0, 100),
            wall_offset=WALL_OFFSETS_S[len(self.processes) % 3],
        )
        self.processes.append(process)
        # A new VM may be missing from the list for a while, less than vm_list_lag_s.
        self.listed_at.setdefault(vm, self.now + self.rng.uniform(0.0, 1.5))
        process.loop()
        return process

    def pick(self, index: int) -> Process:
        """Return one of the processes, dead ones included, holders most often."""
        slots: dict[str, Process] = {p.slot: p for p in self.processes}
        ordered = sorted(slots.values(), key=lambda p: (not p.may_act(), p.slot))
        return ordered[min(index // 2, index) % len(ordered)]

    def replace(self, process: Process) -> None:
        """Start a successor: on the same VM, or on a new one if the VM is gone."""
        if process.is_alive:
            return
        vm = process.vm
        if vm in self.unlisted_at:
            vm = f"{process.slot}_{next(self._ids)}"
        successor = self._start(process.domain, vm)
        successor.slot = process.slot

    # Checks

    def require(self, holds: bool, check: str, detail: str) -> None:
        """Raise unless an invariant holds."""
        if not holds:
            raise ViolationError(check, f"at {self.now:.4f}: {detail}")

    def check_authority(self) -> None:
        """At most one instance of a domain can act, frozen ones included."""
        for domain in self.domains:
            acting = [p.instance for p in self.members(domain) if p.may_act()]
            self.require(len(acting) <= 1, "one-holder", f"{domain}: {acting}")

    def give_up(self, domain: str) -> None:
        """Note an orphan claim: everything written to the ledger so far is lost."""
        self.durable[domain].clear()
        self.given_up[domain] = self.new_id()

    def note_durable(self, domain: str, events: Iterable[int]) -> None:
        """Note events that a holder may report as durable from now on."""
        floor = self.given_up[domain]
        self.durable[domain].update(event for event in events if event > floor)

    def check_old_end(self, process: Process) -> None:
        """Require that no other holder can act when recovery begins."""
        for other in self.members(process.domain):
            is_earlier = other.authority.epoch < process.authority.epoch
            self.require(
                other is process or not other.may_act(),
                "old-end" if is_earlier else "recovery",
                f"{process.instance} beside {other.instance}",
            )

    def check_action(self, process: Process, epoch: int) -> None:
        """Require that no other instance can act when an action takes effect."""
        others = [
            p.instance
            for p in self.members(process.domain)
            if p is not process and (p.may_act() or p.inventory_epoch > epoch)
        ]
        self.require(not others, "late-action", f"{process.instance} beside {others}")
        top = self.top_epoch.get(process.domain, 0)
        self.require(epoch >= top, "late-action", f"epoch {epoch} after {top}")
        self.top_epoch[process.domain] = epoch

    def check_all(self) -> None:
        """Check what holds between events."""
        self.check_usage()
        for process in self.processes:
            process.check_admission()

    def recover(self) -> None:
        """End every fault; require one holder per domain and one configuration."""
        self.cut_links.clear()
        self.is_trap_set, self.is_calm = False, True
        self.log_is_down = self.log_is_slow = self.list_is_down = False
        for process in self.processes:
            if process.is_frozen:
                process.thaw()
        # A draining process may take 3 s to exit before it can be replaced.
        for seconds in (3.1, 6.0):
            for process in {p.slot: p for p in self.processes}.values():
                self.replace(process)
            self.run(seconds)
        for domain in self.domains:
            acting = [p for p in self.members(domain) if p.may_act()]
            self.require(len(acting) == 1, "liveness", f"{domain}: {len(acting)} act")
        newest = max(self.documents)
        for process in self.processes:
            self.require(
                not process.is_alive or process.fleet.generation == newest,
                "config-spread",
                f"{process.instance}: {process.fleet.generation} of {newest}",
            )
        self.check_all()

    def check_usage(self) -> None:
        """Everything running fits the largest limit that a domain may still act on."""
        known = [
            p.acted_generation
            for domain in self.domains
            if self.running[domain]
            for p in [self.last_holder[domain]]
        ]
        oldest = min(known, default=max(self.documents))
        ceiling = max(
            limit_in(document)
            for generation, document in self.documents.items()
            if generation >= oldest
        )
        total = sum(self.running.values())
        self.require(total <= ceiling, "limit", f"{total} running, limit {ceiling}")


def limit_in(document: dict[str, Any]) -> int:
    """Return the team's slots in a configuration document."""
    limit = document.get("teams_by_id", {}).get("alpha", {}).get("limit", {})
    slots: int = limit.get("slots", 0)
    return slots


def make_document(
    domains: list[str], old: dict[str, Any], change: str
) -> dict[str, Any]:
    """Return the document after an operator's change."""
    limit, keys = limit_in(old), dict(old.get("keys_by_id", {}))
    weight = old.get("teams_by_id", {}).get("alpha", {}).get("weight", 0.0)
    if change == "create":
        limit = 12
        keys["k"] = {
            "key_id": "k",
            "team": "alpha",
            "secret_sha256": KEY.key.secret_sha256,
        }
    elif change == "raise":
        limit += 5
    elif change == "lower":
        limit = max(limit - 7, 3)
    elif change == "withdraw":
        keys.pop("k", None)
    return {
        "domains_by_name": {n: {"name": n, "region": "r"} for n in domains},
        "teams_by_id": {
            "alpha": {
                "team_id": "alpha",
                "weight": weight + (1.0 if change == "weight" else 0.0),
                "limit": {"slots": limit},
            }
        },
        "queues_by_name": {"q": {"name": "q"}, "o": {"name": "o", "open_to_all": True}},
        "keys_by_id": keys,
    }
