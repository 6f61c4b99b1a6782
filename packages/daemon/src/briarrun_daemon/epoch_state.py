"""State of one held epoch of a failure domain."""

from __future__ import annotations

from collections import deque

from briarrun_core.ledger import Ledger
from briarrun_core.limits import LimitSettings, TeamLimits
from briarrun_core.model import FleetConfig, Urgency
from briarrun_core.request_records import RequestRecords, RequestState
from briarrun_core.resources import NOTHING, Resources
from briarrun_core.scheduler import Scheduler
from briarrun_core.slot_orders import SlotSettings
from briarrun_core.slot_queue import SlotQueue
from briarrun_core.slots import SlotTable
from briarrun_daemon.context import Context
from briarrun_daemon.logs import ComponentLog
from briarrun_daemon.replication import Replica, ReplicationSource
from briarrun_daemon.schedule_feed import ScheduleFeed
from briarrun_daemon.tasks import TaskGroup

_LOG = ComponentLog("holder")
GANG_TURN_S = 10.0
"""Duration of a domain's turn. It allows about ten transfers of slices, after which all
but a thousandth of a slice is given away."""


class EpochState:
    """State of one epoch; sends its changes to the replicas and the scheduler."""

    def __init__(
        self,
        context: Context,
        replica: Replica,
        number: int,
        previous_term_end_wall: float,
        state_lost: bool,
    ) -> None:
        self.context = context
        self.number = number
        self.domain = context.settings.failure_domain
        self.replica = replica
        self.ledger: Ledger = replica.ledger
        self.records: RequestRecords = replica.records
        self.tasks = TaskGroup()
        self.closed = False
        self.source = ReplicationSource(
            number, context.peers, lambda: context.role.authority.required_peers
        )
        self.scheduler = _make_scheduler(context.tail.fleet.config)
        self.feed = ScheduleFeed(self.scheduler, self.ledger, context)
        self.slots = SlotTable.from_config(
            slot_settings(context), f"{context.instance}-{number}"
        )
        self.queue = SlotQueue(slot_settings(context), self.slots)
        self.limits = TeamLimits.from_config(
            LimitSettings(
                transfer_interval_s=context.settings.timing.transfer_interval_s
            ),
            self.domain,
            context.instance,
            number,
        )
        self.config_generation = -1
        self._usable: dict[str, Resources] = {}
        self._ledger_seqs: deque[tuple[int, int]] = deque()
        self._recover(previous_term_end_wall, state_lost)

    # Recovery

    def _recover(self, previous_term_end_wall: float, state_lost: bool) -> None:
        fleet = self.context.tail.fleet
        self.replica.take_over(self.number)
        self.ledger.begin_recovery(previous_term_end_wall, state_lost)
        open_jobs = fleet.open_jobs_by_domain.get(self.domain, {})
        self.ledger.merge_logged_jobs(open_jobs.values())
        self.ledger.on_jobs_logged(open_jobs, ())
        for request_id, outcome in fleet.requests_by_domain.get(
            self.domain, {}
        ).items():
            merge_logged_request(self.records, request_id, outcome, self.wall())
        if state_lost:
            self.records.assume_ledger_lost(self.wall())
        self.previous_term_end_wall = previous_term_end_wall
        self.apply_limits()
        self.feed.begin()
        self.flush()

    # Authority

    def wall(self) -> float:
        """Return wall-clock seconds."""
        return self.context.clock.wall()

    def may_act(self) -> bool:
        """Return whether this daemon currently has authority for this epoch."""
        role = self.context.role
        return (
            not self.closed and role.authority.epoch == self.number and role.may_act()
        )

    def authority_until_wall(self) -> float:
        """Return when authority ends in wall-clock seconds, or ``-inf`` without it."""
        if self.closed or self.context.role.authority.epoch != self.number:
            return float("-inf")
        return self.context.role.authority_until_wall

    # Replication

    def flush(self) -> int:
        """Send pending changes to the replicas and the scheduler.

        Returns the number of the last batch. Once that batch is replicated, so is every
        change made before this call.
        """
        ledger_events = self.ledger.take_events()
        events = [*ledger_events, *self.records.take_events()]
        if events:
            self.source.publish(events)
            self._ledger_seqs.append((self.source.seq, self.ledger.seq))
            self.feed.on_ledger_events(ledger_events)
        # A worker's state can change without an event, for example from unknown to
        # available when its first inventory arrives after a takeover.
        self.feed.sync_workers()
        self.sync_replicated_seq()
        return self.source.seq

    def sync_replicated_seq(self) -> None:
        """Report the replicas' progress to the ledger and wake waiting calls."""
        reached = self.source.replicated_seq
        ledger_seq = None
        while self._ledger_seqs and self._ledger_seqs[0][0] <= reached:
            ledger_seq = self._ledger_seqs.popleft()[1]
        if ledger_seq is not None:
            self.ledger.on_replicated(ledger_seq)
        self.source.check()

    def report_replicas(self) -> None:
        """Report to the authority which members have a complete replica."""
        for member in self.source.members:
            complete = self.source.is_complete(member)
            self.context.role.authority.on_replica(member, complete)

    # Limits

    def apply_limits(self) -> None:
        """Apply the usable slices and the configuration that the log contains."""
        fleet = self.context.tail.fleet
        self.limits.on_log_read(fleet)
        usable = self.limits.usable_by_team()
        if (usable, fleet.generation) == (self._usable, self.config_generation):
            return
        self._usable = usable
        self.ledger.set_slices(usable)
        self.slots.set_slices(usable)
        if fleet.generation != self.config_generation:
            self.config_generation = fleet.generation
            self._apply_config(fleet.config)
        self.feed.set_teams(fleet.config, usable)

    def _apply_config(self, config: FleetConfig) -> None:
        self.queue.set_weights(
            {team_id: team.weight for team_id, team in config.teams_by_id.items()}
        )
        try:
            self.scheduler.set_policies(config)
        except ValueError as error:
            _LOG.error(
                "scheduling policy is invalid and was not applied", detail=str(error)
            )

    def usage_by_team(self) -> dict[str, Resources]:
        """Return the resources that tasks and slot grants use, by team."""
        usage = self.ledger.usage_by_team()
        for team, slots in self.slots.used_by_team().items():
            usage[team] = usage.get(team, NOTHING) + Resources(slots=slots)
        return usage

    def demand_by_team(self) -> dict[str, Resources]:
        """Return the resources that waiting work of this domain needs, by team."""
        return self._with_waiting_calls(self.feed.demand_by_team())

    def retained_demand_by_team(self) -> dict[str, Resources]:
        """Return the waiting demand for which this domain retains its slices, by team.

        If several domains retained their slices for gangs that exceed the team's free
        resources in each of them, none of these gangs could ever start. A domain
        retains its slices for such gangs only during its turn; the turns rotate by
        wall-clock time.
        """
        domains = self.context.directory.domains()
        turn = domains[int(self.wall() // GANG_TURN_S) % len(domains)]
        if turn == self.domain:
            return self.demand_by_team()
        usage = self.usage_by_team()
        free_by_team = {
            team: usable - usage.get(team, NOTHING)
            for team, usable in self.limits.usable_by_team().items()
        }
        return self._with_waiting_calls(self.feed.demand_by_team(free_by_team))

    def _with_waiting_calls(self, wanted: dict[str, Resources]) -> dict[str, Resources]:
        for team, slots in self.queue.waiting_by_team().items():
            wanted[team] = wanted.get(team, NOTHING) + Resources(slots=slots)
        return wanted

    def expected_wait_s(self) -> dict[str, float]:
        """Return the expected wait for a slot in seconds, by urgency."""
        now = self.wall()
        return {u.value: self.queue.expected_wait_s(u, now) for u in Urgency}

    async def close(self) -> None:
        """Cancel the epoch's background tasks."""
        self.closed = True
        await self.tasks.close()


def slot_settings(context: Context) -> SlotSettings:
    """Derive the settings of slots from the daemon's settings."""
    timing, limits = context.settings.timing, context.settings.limits
    return SlotSettings(
        skew_bound_s=timing.skew_bound_s,
        start_within_s=timing.authority_term_s,
        max_grant_s=timing.max_deadline_s,
        max_waiting=limits.max_waiting_urgent
        + limits.max_waiting_normal
        + limits.max_waiting_low,
    )


def merge_logged_request(
    records: RequestRecords, request_id: str, outcome: str, now_wall: float
) -> None:
    """Add a request that is known only from the log.

    Without an outcome in the log its record stays in the state ``sent``.
    """
    if records.get(request_id, now_wall) is not None:
        return
    begun = records.begin(request_id, now_wall)
    if begun.is_ok() and outcome in RequestState.__members__.values():
        records.finish(request_id, begun.ok.attempt, RequestState(outcome))


def _make_scheduler(config: FleetConfig) -> Scheduler:
    try:
        return Scheduler.from_config(config)
    except ValueError as error:
        _LOG.error(
            "scheduling policy is invalid and was not applied", detail=str(error)
        )
        return Scheduler.from_config(FleetConfig())
