"""Carrying out what the authority state machine asks for."""

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

TICK_S = 0.025
BOUND_AGE_S = 0.005
_LOG = ComponentLog("authority")


class HolderRole(ABC):
    """Act for the failure domain while authority lasts."""

    @abstractmethod
    def begin_epoch(self, epoch: int, old_end: float, amnesiac: bool) -> None:
        """Recover the ledger; ``old_end`` is a moment of the event loop."""

    @abstractmethod
    def end_epoch(self, epoch: int) -> None:
        """Drop the epoch's state and follow."""


def authority_settings(timing: TimingSettings) -> AuthoritySettings:
    """Return the core's timing from the daemon's settings."""
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
    """Tick the authority and carry out its actions."""

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
        self._holder: HolderRole | None = None
        self.changed = asyncio.Event()
        self._bound = float("-inf")
        self._bound_until = float("-inf")

    def set_holder(self, holder: HolderRole) -> None:
        """Name the part that acts while authority lasts."""
        self._holder = holder

    @property
    def acts_until(self) -> float:
        """Return when authority ends, as a moment of the event loop.

        The bound is kept for ``BOUND_AGE_S``. That is safe, since what happens later can
        only make a newer bound later, or end the epoch, whose state is then closed.
        """
        now = self._clock.now()
        if now >= self._bound_until:
            self._bound_until = now + BOUND_AGE_S
            self._bound = self.authority.acts_until(now)
        return self._bound

    @property
    def acts_until_wall(self) -> float:
        """Return when authority ends in wall-clock seconds."""
        return self._clock.to_wall(self.acts_until)

    def may_act(self) -> bool:
        """Tell whether this instance may act for its domain now."""
        return self._clock.now() < self.acts_until

    def on_log_end(self, started_at: float, finished_at: float) -> None:
        """Pass on the domain's claim at the log's end."""
        claim = self._tail.fleet.claim_of(self._domain)
        self.authority.on_log_read(started_at, finished_at, claim)
        self.tick()

    def on_log_failed(self, now: float) -> None:
        """Pass on that the log cannot be read."""
        self.authority.on_log_failed(now)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Carry out what is due now."""
        before = self.authority.state
        self._bound_until = float("-inf")
        for action in self.authority.tick(self._clock.now()):
            self._carry_out(action)
        self._metrics.holding.set(1 if self.may_act() else 0)
        self._metrics.epoch.set(self.authority.epoch)
        if self.authority.state is not before:
            _LOG.info(
                f"the state is now {self.authority.state.value}",
                epoch=self.authority.epoch,
                holder=self.authority.holder,
            )
            self.changed.set()

    def _carry_out(self, action: AuthorityAction) -> None:
        match action:
            case AppendClaim(record=record):
                self._tasks.start(self._append(record))
            case StartRecovery():
                if self._holder is not None:
                    self._holder.begin_epoch(
                        action.epoch, action.old_end, action.is_amnesiac
                    )
                self.authority.on_recovered(self._clock.now())
            case SteppedDown(epoch=epoch):
                _LOG.warning("another epoch has begun", epoch=epoch)
                if self._holder is not None:
                    self._holder.end_epoch(epoch)
            case Suspended(epoch=epoch):
                _LOG.warning("authority is not confirmed", epoch=epoch)
            case Resumed(epoch=epoch):
                _LOG.info("authority is confirmed again", epoch=epoch)

    async def _append(self, record: ClaimRecord) -> None:
        _LOG.info(
            f"a {record.kind.value} claim is appended",
            epoch=record.epoch,
            record=record.record_id,
            holder=record.holder,
            electors=list(record.electors),
        )
        await self._tail.append([record])
