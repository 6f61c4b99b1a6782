"""A process of the virtual fleet: the code under test between fake clocks and links."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from expression import Result

from briarrun_core.admission import Admission, AdmissionSettings
from briarrun_core.authority import (
    AppendClaim,
    Authority,
    AuthorityState,
    StartRecovery,
    SteppedDown,
)
from briarrun_core.configuration import digest_of
from briarrun_core.events import FleetEvent, RecordsLost, TransferApplied
from briarrun_core.fleet import FleetState
from briarrun_core.limits import LimitSettings, TeamLimits
from briarrun_core.records import Record, TransferRecord
from briarrun_core.resources import Resources
from briarrun_core.snapshots import SnapshotSchedule
from tests.authority.assumptions import (
    CUT_OFF_S,
    KEY,
    SETTINGS,
    SKEW_BOUND_S,
    TICK_S,
)

if TYPE_CHECKING:
    from tests.authority.world import World

HEARTBEAT_TICKS = 4
FAR_HEARTBEAT_TICKS = 40
VM_LIST_TICKS = 10
READ_TIMEOUT_S = 0.25
INVENTORY_S = 0.03


class Process:
    """Run one instance; it can be frozen, thawed and killed at any time."""

    def __init__(
        self,
        world: World,
        domain: str,
        vm: str,
        instance: str,
        rate: float,
        offset: float,
        wall_offset: float,
    ) -> None:
        self.world, self.domain, self.vm, self.instance = world, domain, vm, instance
        self.slot = vm
        self.rate, self.offset, self.wall_offset = rate, offset, wall_offset
        self.is_alive, self.is_frozen, self.is_draining = True, False, False
        self.inbox: list[Callable[[], None]] = []
        self.ticks = 0
        self.read_number = 0
        self.is_reading = False
        self.acted_generation = 0
        self.last_acted_epoch = 0
        self.seen_generation = self.forced_generation = 0
        self.contact_at: float | None = None
        self.read_started_at: float | None = None
        self.ledger: tuple[int, ...] = ()
        self.replica_epoch = 0
        self.inventory_epoch = 0
        self.promised_at = -1.0
        self.written_at: dict[str, float] = {}
        self.acknowledged: dict[str, int] = {}
        self.charged = 0
        self.authority = Authority.from_config(SETTINGS, domain, instance)
        self.fleet = FleetState()
        self.admission = Admission.from_config(
            AdmissionSettings(cut_off_serve_s=CUT_OFF_S), domain
        )
        self.schedule = SnapshotSchedule(domain, world.retention_s)
        self.limits: TeamLimits | None = None

    # Clocks and faults

    def clock(self) -> float:
        """Return the monotonic clock of this process."""
        return self.offset + self.rate * self.world.now

    def may_act(self) -> bool:
        """Tell whether the process would act now, or as soon as it thaws."""
        return self.is_alive and self.authority.may_act(self.clock())

    def deliver(self, action: Callable[[], None], delay: float) -> None:
        """Run an action in this process after a delay and once it is not frozen."""

        def arrive() -> None:
            if self.is_frozen:
                self.inbox.append(action)
            elif self.is_alive:
                action()

        self.world.at(delay, arrive)

    def thaw(self) -> None:
        """Handle everything that arrived while frozen, in order."""
        self.is_frozen = False
        inbox, self.inbox = self.inbox, []
        for action in inbox:
            if self.is_alive:
                action()
                self.world.check_authority()

    def deliver_thaw(self, delay: float) -> None:
        """Thaw after a delay; a process frozen twice thaws at the first end."""

        def end() -> None:
            if self.is_frozen:
                self.thaw()

        self.world.at(delay, end)

    def loop(self) -> None:
        """Tick until killed; ticks missed while frozen run once."""
        if not self.is_alive:
            return
        if not self.is_frozen:
            self.tick()
        self.world.at(TICK_S / self.rate, self.loop)

    # Periodic work

    def tick(self) -> None:
        """Do what the daemon does every few milliseconds."""
        self.ticks += 1
        if self.ticks % HEARTBEAT_TICKS == 0:
            self.send_heartbeats()
            self.read_log()
        if self.ticks % VM_LIST_TICKS == 0 and not self.world.list_is_down:
            self.authority.on_vm_list(self.world.vm_list(), self.clock())
        self.report_replicas()
        for action in self.authority.tick(self.clock()):
            if isinstance(action, AppendClaim):
                self.world.append(self, action.record)
            elif isinstance(action, StartRecovery):
                self.start_recovery(action)
            elif isinstance(action, SteppedDown):
                self.limits = None
        if self.may_act():
            self.hold()
        if self.is_draining and self.authority.state is AuthorityState.FOLLOWER:
            self.is_alive = False

    def start_recovery(self, action: StartRecovery) -> None:
        """Recover once inventories newer than the old authority's end exist."""

        def recover() -> None:
            if self.authority.epoch != action.epoch:
                return
            self.authority.on_recovered(self.clock())
            if self.authority.state is not AuthorityState.HOLDING:
                return
            if action.is_ledger_lost and self.world.claims[self.domain].base[0] == (
                action.epoch
            ):
                self.world.give_up(self.domain)
            self.acknowledged.clear()
            self.charged = self.world.running[self.domain]
            self.limits = TeamLimits.from_config(
                LimitSettings(settle_s=0.0), self.domain, self.instance, action.epoch
            )
            self.limits.on_log_read(self.fleet)

        self.world.check_old_end(self)

        def take_inventories() -> None:
            if self.authority.epoch == action.epoch:
                self.inventory_epoch = action.epoch
            self.deliver(recover, INVENTORY_S)

        wait = max(action.previous_term_end + SKEW_BOUND_S - self.clock(), 0.0)
        self.deliver(take_inventories, wait / self.rate)

    def hold(self) -> None:
        """Act as holder: write the ledger, start and end tasks, pass limits on."""
        rng = self.world.rng
        if self.last_acted_epoch != self.authority.epoch:
            self.last_acted_epoch = self.authority.epoch
            self.check_ledger()
        if rng.random() < 0.3:
            self.ledger += (self.world.new_id(),)
        if rng.random() < 0.6:
            self.act(frozen_s=0.0)
        if self.limits is None:
            return
        usable = self.limits.usable_of("alpha").slots
        while self.charged and (self.charged > usable or rng.random() < 0.3):
            self.charged -= 1
            self.world.running[self.domain] -= 1
        self.acted_generation = self.folded_generation()
        self.world.last_holder[self.domain] = self
        usage = {"alpha": Resources(slots=self.charged)}
        transfer = self.limits.offer(usage, {}, self.clock())
        if transfer is not None:
            self.world.append(self, transfer)
        report = self.limits.report_read(self.fleet, usage, self.clock())
        if report is not None:
            self.world.append(self, report)
        for section in self.schedule.due(self.fleet, self.clock()):
            record_id = f"{self.instance}:snapshot:{self.world.new_id()}"
            self.world.append(
                self,
                self.schedule.take(self.fleet, section, record_id, self.clock()),
            )

    def check_ledger(self) -> None:
        """Require every event that was durable and not given up by an orphan claim."""
        lost = self.world.durable[self.domain] - set(self.ledger)
        self.world.require(not lost, "durable", f"{self.instance} lacks {lost}")

    def act(self, frozen_s: float) -> None:
        """Start a task; it takes effect later unless its authority end has passed."""
        now = self.clock()
        if not self.authority.may_act(now) or self.limits is None:
            return
        if self.charged + 1 > self.limits.usable_of("alpha").slots:
            return
        wall = self.world.now + self.wall_offset
        end_wall = wall + self.authority.authority_until(now) - now
        epoch = self.authority.epoch
        self.charged += 1
        worker_offset = self.world.rng.choice((-1, 1)) * SKEW_BOUND_S / 2

        def take_effect() -> None:
            if self.world.now + worker_offset <= end_wall:
                self.world.running[self.domain] += 1
                self.world.check_action(self, epoch)
                self.world.check_usage()
            else:
                self.charged = max(self.charged - 1, 0)

        self.world.at(frozen_s or self.world.delay(), take_effect)

    # Log

    def read_log(self) -> None:
        """Read to the log's end; a read without response fails after a timeout."""
        if self.is_reading:
            return
        self.is_reading = True
        self.read_number += 1
        number, started, started_at = self.read_number, self.clock(), self.world.now
        world = self.world

        def arrive() -> None:
            if world.log_is_down or not world.reaches(self.vm, "log"):
                return
            first, records = world.retained()
            if world.reaches("log", self.vm):
                slow = world.log_is_slow and world.rng.random() < 0.5
                delay = world.rng.uniform(0.05, 0.24) if slow else world.delay()
                self.deliver(lambda: answer(first, records, world.log_next), delay)

        def answer(first: int, records: list[tuple[int, Record]], end: int) -> None:
            if number == self.read_number and self.is_reading:
                self.is_reading = False
                self.on_log(started, started_at, first, records, end)

        def expire() -> None:
            if number == self.read_number and self.is_reading:
                self.is_reading = False
                self.authority.on_log_failed(self.clock())

        world.at(world.delay(), arrive)
        self.deliver(expire, READ_TIMEOUT_S)

    def on_log(
        self,
        started: float,
        started_at: float,
        first: int,
        records: list[tuple[int, Record]],
        end: int,
    ) -> None:
        """Fold what was read and tell every part."""
        fleet, now, before = self.fleet, self.clock(), self.fleet.next_offset
        events = fleet.start_at(first)
        for offset, record in records:
            if offset >= fleet.next_offset:
                changes = fleet.apply(offset, record)
                self.check_transfer(offset, record, changes)
                events += changes
        fleet.forget_before(first)
        self.schedule.observe(events, now)
        self.schedule.on_caught_up()
        if any(isinstance(event, RecordsLost) for event in events):
            before = -1
        self.seen_generation = max(self.seen_generation, fleet.generation)
        self.admission.on_config(fleet.config, fleet.generation)
        is_config_known = fleet.is_section_known("config")
        self.admission.on_log_read(now, is_config_known)
        self.contact_at, self.read_started_at = self.world.now, started_at
        self.authority.on_log_read(started, now, fleet.claim_of(self.domain))
        if self.limits is not None:
            self.limits.on_log_read(fleet)
        if before != fleet.next_offset:
            self.check_fold()

    def check_transfer(
        self, offset: int, record: Record, changes: list[FleetEvent]
    ) -> None:
        """Require that only a transfer of the current epoch has an effect."""
        if isinstance(record, TransferRecord):
            epoch, _ = self.world.claims_at[offset][record.from_domain].base
            applied = any(isinstance(change, TransferApplied) for change in changes)
            self.world.require(
                record.epoch == epoch or not applied, "stale-epoch", record.record_id
            )

    def folded_generation(self) -> int:
        """Return the generation that the slices were folded with."""
        generation: int = 0
        if self.fleet.is_section_known("config"):
            generation = self.fleet.snapshot("config")["version"]["generation"]
        return generation

    def check_fold(self) -> None:
        """Equal offsets give equal states, and slices never exceed the limit."""
        world, offset = self.world, self.fleet.next_offset
        claim = self.fleet.claim_of(self.domain)
        truth = world.claims_at[offset][self.domain]
        world.require(
            claim is None or (claim.base, claim.holder) == (truth.base, truth.holder),
            "claim",
            f"{self.instance} at offset {offset}: {claim}, not {truth}",
        )
        self.check_config()
        if not (
            self.fleet.is_section_known("config")
            and self.fleet.is_section_known("slices")
        ):
            return
        state = {name: self.fleet.snapshot(name) for name in self.fleet.sections}
        if len(state) == 2 + len(world.domains):
            digest = digest_of(state)
            same = world.folds.setdefault(offset, digest) == digest
            world.require(same, "same-fold", f"{self.instance} at offset {offset}")
        slices = state.get("slices", {}).get("slices_by_team", {}).get("alpha", {})
        total = sum(part["slots"] for part in slices.values())
        generation = self.folded_generation()
        limit = world.limit_of(generation)
        world.require(total <= limit, "slice-sum", f"{total} of {limit}")

    def check_config(self) -> None:
        """Require the accepted document of a generation and no way back."""
        version = self.fleet.config_version
        truth = self.world.documents.get(version.generation)
        same = version.document == truth
        self.world.require(same, "config", f"generation {version.generation}")
        self.world.require(
            version.generation >= self.forced_generation,
            "config",
            f"{version.generation} after {self.forced_generation}",
        )
        self.forced_generation = version.generation

    # Peers

    def send_heartbeats(self) -> None:
        """Tell the members of the domain, and now and then the other domains."""
        far = self.ticks % FAR_HEARTBEAT_TICKS == 0
        for peer in self.world.processes:
            near = peer.domain == self.domain
            if peer is not self and peer.is_alive and (near or far):
                self.send(peer)

    def send(self, peer: Process) -> None:
        """Send one heartbeat with everything that peers exchange."""
        sent_at, ledger, generation = self.clock(), self.ledger, self.fleet.generation
        is_holder, epoch = self.authority.holder == self.instance, self.authority.epoch
        wanted = {}
        if self.limits is not None:
            free = self.limits.usable_of("alpha").slots - self.charged
            if free <= 0:
                wanted = {"alpha": Resources(slots=2)}
        if not self.world.reaches(self.vm, peer.vm):
            return

        def arrive() -> None:
            peer.on_peer(self, generation)
            if peer.limits is not None and wanted and peer.domain != self.domain:
                peer.limits.on_demand(self.domain, wanted, peer.clock())
            if peer.domain != self.domain:
                return
            promise = peer.authority.on_heartbeat(self.instance, peer.clock())
            if is_holder and peer.authority.holder == self.instance:
                peer.replicate(epoch, ledger)
            if promise:
                peer.promised_at = self.world.now
            if self.world.reaches(peer.vm, self.vm):
                self.deliver(
                    lambda: self.on_ack(peer, sent_at, promise, peer.ledger),
                    self.world.delay(),
                )

        peer.deliver(arrive, self.world.delay())

    def replicate(self, epoch: int, ledger: tuple[int, ...]) -> None:
        """Take the holder's ledger; messages of one epoch may arrive out of order."""
        if epoch > self.replica_epoch or len(ledger) > len(self.ledger):
            self.replica_epoch, self.ledger = epoch, ledger

    def on_ack(
        self, peer: Process, sent_at: float, promise: bool, ledger: tuple[int, ...]
    ) -> None:
        """Note a promise and what the peer's replica holds."""
        self.authority.on_heartbeat_ack(peer.instance, sent_at, promise)
        if self.limits is None or ledger != self.ledger[: len(ledger)]:
            return
        self.acknowledged[peer.instance] = len(ledger)
        required = self.authority.required_peers
        if required:
            least = min(self.acknowledged.get(name, 0) for name in required)
            self.world.note_durable(self.domain, self.ledger[:least])

    def report_replicas(self) -> None:
        """Tell the authority which peers hold every event so far."""
        for peer, length in self.acknowledged.items():
            complete = length == len(self.ledger) and self.limits is not None
            self.authority.on_replica(peer, complete)

    def on_peer(self, peer: Process, generation: int) -> None:
        """Note a peer's generation and request its document if it is newer."""
        self.seen_generation = max(self.seen_generation, generation)
        if peer.domain != self.domain:
            self.contact_at = self.world.now
        self.admission.on_peer(peer.domain, generation, self.clock())
        if generation <= self.fleet.generation:
            return
        version = peer.fleet.config_version

        def adopt() -> None:
            # By now a newer generation may have been read from the log.
            if self.fleet.adopt(version):
                self.admission.on_config(self.fleet.config, self.fleet.generation)
            self.check_config()

        if self.world.reaches(peer.vm, self.vm):
            self.deliver(adopt, self.world.delay() + self.world.delay())

    # Callers

    def check_admission(self) -> None:
        """Require that a key is admitted only while it may not be withdrawn."""
        if not self.is_alive or self.is_frozen:
            return
        world = self.world
        match self.admission.admit("q", KEY.token, self.clock()):
            case Result(tag="ok", ok=admitted):
                assert admitted.team == "alpha"
            case _:
                return
        generation = self.fleet.generation
        world.require(
            "k" in world.documents.get(generation, {}).get("keys_by_id", {}),
            "withdrawn-key",
            f"{self.instance} admits on generation {generation}",
        )
        world.require(
            generation >= self.seen_generation,
            "behind",
            f"{generation} in force, {self.seen_generation} seen",
        )
        known = world.withdrawn_at is not None and (
            self.read_started_at is not None
            and self.read_started_at > world.withdrawn_at
        )
        world.require(not known, "withdrawn-key", f"{self.instance} read the log")
        age = world.now - self.contact_at if self.contact_at is not None else 1e9
        world.require(
            age <= CUT_OFF_S / self.rate + 1e-6,
            "cut-off",
            f"last contact {age:.2f} s ago",
        )
