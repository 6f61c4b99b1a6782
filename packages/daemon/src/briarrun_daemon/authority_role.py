"""Execution of the actions that the authority state machine returns."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

from briarrun_core.authority import (
    AppendClaim,
    Authority,
    AuthorityAction,
    AuthoritySettings,
    Resumed,
    StartRecovery,
    SteppedDown,
    Suspended,
)
from briarrun_core.records import ClaimRecord
from briarrun_daemon.clock import Clock
from briarrun_daemon.log_tail import LogListener, LogTail
from briarrun_daemon.logs import ComponentLog
from briarrun_daemon.metrics import Metrics
from briarrun_daemon.settings import TimingSettings
from briarrun_daemon.tasks import TaskGroup

TICK_INTERVAL_S = 0.025
AUTHORITY_UNTIL_MAX_AGE_S = 0.005
_LOG = ComponentLog("authority")


class EpochHandler(ABC):
    """Receiver of the beginning and the end of epochs held by this instance."""

    @abstractmethod
    def begin_epoch(
        self, epoch: int, previous_term_end: float, state_lost: bool
    ) -> None:
        """Recover the ledger and start to act for the domain.

        ``previous_term_end`` is the end of the previous authority in event loop time.
        """

    @abstractmethod
    def end_epoch(self, epoch: int) -> None:
        """Discard the epoch's state and become a follower."""


def authority_settings(timing: TimingSettings) -> AuthoritySettings:
    """Derive the settings of the authority from the daemon's settings."""
    return AuthoritySettings(
        authority_term_s=timing.authority_term_s,
        claim_margin_s=timing.claim_margin_s,
        heartbeat_interval_s=timing.heartbeat_interval_s,
        log_read_interval_s=timing.log_read_interval_s,
        elector_silence_s=timing.elector_silence_s,
        vm_list_lag_s=timing.vm_list_lag_s,
        vm_list_gap_s=max(10.0, 3 * timing.vm_list_interval_s),
    )


class AuthorityRole(LogListener):
    """Role of this instance in the leader election of its failure domain.

    Ticks the authority state machine and executes its actions.
    """

    def __init__(
        self,
        authority: Authority,
        instance: str,
        domain: str,
        tail: LogTail,
        clock: Clock,
        metrics: Metrics,
        tasks: TaskGroup,
    ) -> None:
        self.authority = authority
        self.instance = instance
        self._domain = domain
        self._tail = tail
        self._clock = clock
        self._metrics = metrics
        self._tasks = tasks
        self._holder: EpochHandler | None = None
        self.changed = asyncio.Event()
        self._authority_until = float("-inf")
        self._authority_until_expires_at = float("-inf")

    def set_epoch_handler(self, holder: EpochHandler) -> None:
        """Set the component that acts while authority lasts."""
        self._holder = holder

    @property
    def authority_until(self) -> float:
        """The end of authority in event loop time.

        The value is cached for ``AUTHORITY_UNTIL_MAX_AGE_S``. That is safe because later
        events can only extend authority or end the epoch, whose state is then closed.
        """
        now = self._clock.now()
        if now >= self._authority_until_expires_at:
            self._authority_until_expires_at = now + AUTHORITY_UNTIL_MAX_AGE_S
            self._authority_until = self.authority.authority_until(now)
        return self._authority_until

    @property
    def authority_until_wall(self) -> float:
        """The end of authority in wall-clock seconds."""
        return self._clock.to_wall(self.authority_until)

    def may_act(self) -> bool:
        """Return whether this instance may currently act for its domain."""
        return self._clock.now() < self.authority_until

    def on_log_caught_up(self, started_at: float, finished_at: float) -> None:
        """Pass the domain's newest claim in the log to the authority."""
        claim = self._tail.fleet.claim_of(self._domain)
        self.authority.on_log_read(started_at, finished_at, claim)
        self.tick()

    def on_log_failed(self, now: float) -> None:
        """Report a failed read of the log to the authority."""
        self.authority.on_log_failed(now)

    async def run(self) -> None:
        """Tick the authority until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def tick(self) -> None:
        """Execute the actions that are due and update the metrics."""
        before = self.authority.state
        self._authority_until_expires_at = float("-inf")
        for action in self.authority.tick(self._clock.now()):
            self._execute(action)
        self._metrics.holding.set(1 if self.may_act() else 0)
        self._metrics.epoch.set(self.authority.epoch)
        if self.authority.state is not before:
            _LOG.info(
                f"authority state changed to {self.authority.state.value}",
                epoch=self.authority.epoch,
                holder=self.authority.holder,
            )
            self.changed.set()

    def _execute(self, action: AuthorityAction) -> None:
        match action:
            case AppendClaim(record=record):
                self._tasks.start(self._append(record))
            case StartRecovery():
                if self._holder is not None:
                    self._holder.begin_epoch(
                        action.epoch, action.previous_term_end, action.is_ledger_lost
                    )
                self.authority.on_recovered(self._clock.now())
            case SteppedDown(epoch=epoch):
                _LOG.warning("authority ended: another epoch has begun", epoch=epoch)
                if self._holder is not None:
                    self._holder.end_epoch(epoch)
            case Suspended(epoch=epoch):
                _LOG.warning("authority suspended: not confirmed in time", epoch=epoch)
            case Resumed(epoch=epoch):
                _LOG.info("authority resumed: confirmed again", epoch=epoch)

    async def _append(self, record: ClaimRecord) -> None:
        _LOG.info(
            f"appending a {record.kind.value} claim to the log",
            epoch=record.epoch,
            record=record.record_id,
            holder=record.holder,
            electors=list(record.electors),
        )
        await self._tail.append([record])
