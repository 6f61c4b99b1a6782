"""Components of one held epoch and their periodic maintenance."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterable
from dataclasses import asdict
from typing import Any

import msgspec

from briarrun_core.errors import RefusalReason
from briarrun_core.resources import Resources
from briarrun_core.snapshots import SnapshotSchedule
from briarrun_daemon.context import Context
from briarrun_daemon.decision_loop import DecisionLoop
from briarrun_daemon.durability import Durability
from briarrun_daemon.epoch_state import EpochState
from briarrun_daemon.job_service import JobService
from briarrun_daemon.logs import ComponentLog
from briarrun_daemon.record_service import RecordService
from briarrun_daemon.replication import Replica
from briarrun_daemon.slot_service import SlotService
from briarrun_daemon.worker_driver import WorkerDriver
from briarrun_wire.messages import DomainLoad

_LOG = ComponentLog("holder")
MAINTENANCE_INTERVAL_S = 0.1
SLOW_MAINTENANCE_ROUNDS = 10
LOAD_MAX_AGE_S = 0.5
LOAD_TEAM_BYTES = 24
LOAD_BUDGET_BYTES_S = 2_000
"""The usage of 270 teams takes about 6 KB. Sent to 21 domains every second it would
exceed the limit of 6 KB/s per VM, so the usage is sent to each domain less often."""


class EpochComponents:
    """Components that act for the domain during one epoch."""

    def __init__(
        self,
        context: Context,
        replica: Replica,
        snapshots: SnapshotSchedule,
        number: int,
        previous_term_end_wall: float,
        state_lost: bool,
    ) -> None:
        self._context = context
        self._snapshots = snapshots
        self.epoch = EpochState(
            context, replica, number, previous_term_end_wall, state_lost
        )
        self.durability = Durability(self.epoch)
        self.workers = WorkerDriver(self.epoch)
        self.slots = SlotService(self.epoch)
        self.jobs = JobService(self.epoch, self.workers, self.durability)
        self.records = RecordService(self.epoch, self.durability)
        self.decisions = DecisionLoop(self.epoch, self.workers)
        self._numbers = itertools.count(1)
        self._usage_due_at: dict[str, float] = {}
        self._load_expires_at = float("-inf")
        self._cached_load = DomainLoad()

    def begin(self) -> None:
        """Start all components."""
        self.workers.begin()
        self.slots.begin()
        self.durability.begin()
        self.epoch.tasks.supervise("decisions", self.decisions.run)
        self.epoch.tasks.supervise("upkeep", self._run_maintenance)

    def end(self) -> None:
        """Stop acting immediately and refuse the waiting calls."""
        self.epoch.closed = True
        self.epoch.source.end()
        self.slots.refuse_all(RefusalReason.NO_AUTHORITY)

    # Maintenance

    async def _run_maintenance(self) -> None:
        for round_number in itertools.count():
            self.epoch.sync_replicated_seq()
            self.epoch.report_replicas()
            if self.epoch.may_act():
                self.workers.send_orders(self.epoch.ledger.excess(self.epoch.wall()))
                if round_number % SLOW_MAINTENANCE_ROUNDS == 0:
                    self._run_slow_maintenance()
                self.epoch.flush()
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    def _run_slow_maintenance(self) -> None:
        self.records.expire()
        record = self.epoch.limits.offer(
            self.epoch.usage_by_team(),
            self.epoch.retained_demand_by_team(),
            self._now(),
        )
        if record is not None:
            self.epoch.apply_limits()
            self.epoch.tasks.start(self._context.tail.append([record]))
        report = self.epoch.limits.report_read(
            self._context.tail.fleet, self.epoch.usage_by_team(), self._now()
        )
        if report is not None:
            self.epoch.tasks.start(self._context.tail.append([report]))
        due = self._snapshots.due(self._context.tail.fleet, self._now())
        if due:
            self.epoch.tasks.start(self._append_snapshots(due))

    async def _append_snapshots(self, sections: Iterable[str]) -> None:
        for section in sections:
            record = self._snapshots.take(
                self._context.tail.fleet,
                section,
                f"{self._context.instance}:snapshot:{self.epoch.number}"
                f":{next(self._numbers)}",
                self._now(),
            )
            _LOG.info(
                "appending a snapshot to the log", section=section, as_of=record.as_of
            )
            await self._context.tail.append([record])

    def on_log_caught_up(self) -> None:
        """Apply limits and configuration after a read reached the log's end."""
        self.epoch.apply_limits()
        self.epoch.sync_replicated_seq()

    # Load

    def on_load(self, domain: str, load: DomainLoad) -> None:
        """Update another domain's capacity, usage and unmet demand."""
        usage = load.usage_by_team if load.has_usage else None
        self.epoch.feed.on_load(domain, load.capacity, usage)
        self.epoch.limits.on_demand(domain, load.unmet_by_team, self._now())

    def load_for(self, domain: str) -> DomainLoad | None:
        """Return the load to report to a domain within the traffic budget."""
        now = self._now()
        has_usage = now >= self._usage_due_at.get(domain, 0.0)
        if now >= self._load_expires_at:
            # Summing all open jobs separately for each of 21 domains would take 3 % of
            # a core.
            self._load_expires_at = now + LOAD_MAX_AGE_S
            self._cached_load = self._make_load()
        load = self._cached_load
        if not has_usage:
            return msgspec.structs.replace(load, usage_by_team={}, has_usage=False)
        teams = len(load.usage_by_team)
        others = max(1, len(self._context.directory.domains()) - 1)
        pause_s = others * teams * LOAD_TEAM_BYTES / LOAD_BUDGET_BYTES_S
        self._usage_due_at[domain] = now + pause_s
        return load

    def _make_load(self) -> DomainLoad:
        epoch = self.epoch
        usage = epoch.usage_by_team()
        slots = sum(u.slots for u in epoch.slots.upstreams_by_id.values())
        free_slots = epoch.slots.free_slots()
        return DomainLoad(
            capacity=epoch.feed.capacity() + Resources(slots=slots),
            free=epoch.feed.free() + Resources(slots=free_slots),
            usage_by_team=usage,
            waiting_by_urgency={
                urgency.value: count
                for urgency, count in epoch.queue.waiting_by_urgency().items()
            },
            expected_wait_s=epoch.expected_wait_s(),
            unmet_by_team=epoch.limits.unmet_demand(usage, epoch.demand_by_team()),
        )

    def status(self) -> dict[str, Any]:
        """Return the status of the held epoch for operators."""
        epoch, now = self.epoch, self._now()
        workers = [epoch.ledger.worker_view(w) for w in epoch.ledger.worker_ids()]
        return {
            "epoch": epoch.number,
            "acts_for_s": self._context.role.authority_until - now,
            "replica_seq": epoch.source.seq,
            "replicated_seq": epoch.source.replicated_seq,
            "members": sorted(epoch.source.members),
            "workers": {
                view.worker_id: {"state": view.state.value, "free": asdict(view.free)}
                for view in workers
                if view is not None
            },
            "upstreams": {
                upstream.upstream_id: {
                    "known": upstream.is_known,
                    "free": upstream.free,
                    "leaving": upstream.leaving or upstream.draining,
                }
                for upstream in epoch.slots.upstreams_by_id.values()
            },
            "usage_by_team": {
                team: asdict(usage) for team, usage in epoch.usage_by_team().items()
            },
            "waiting_by_urgency": {
                urgency.value: count
                for urgency, count in epoch.queue.waiting_by_urgency().items()
            },
        }

    def _now(self) -> float:
        return self._context.clock.now()
