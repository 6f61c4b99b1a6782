"""Graceful shutdown."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from enum import IntEnum

from briarrun_core.authority import AuthorityState
from briarrun_daemon.authority_role import AuthorityRole
from briarrun_daemon.clock import Clock
from briarrun_daemon.logs import ComponentLog
from briarrun_daemon.settings import TimingSettings

_LOG = ComponentLog("drain")
POLL_S = 0.02
HANDOVER_TIMEOUT_S = 5.0
"""How long a drain waits for the log to name the next holder; without it the others take
over when this VM's promises end."""


class ExitCode(IntEnum):
    """Name the daemon's exit statuses."""

    DRAINED = 0
    CUT_OFF = 1
    INVALID_SETTINGS = 2


class DrainableServer(ABC):
    """Be the part of ``HttpServer`` that a drain uses."""

    @property
    @abstractmethod
    def active(self) -> int:
        """Return the number of requests in flight."""

    @abstractmethod
    async def drain(self) -> None:
        """Stop accepting and return when every request in flight is answered."""


class Drain:
    """Run a drain once; a second signal cuts it short."""

    def __init__(
        self,
        server: DrainableServer,
        role: AuthorityRole,
        clock: Clock,
        timing: TimingSettings,
    ) -> None:
        self._server = server
        self._role = role
        self._clock = clock
        self._timing = timing
        self._started = asyncio.Event()
        self._forced = asyncio.Event()

    @property
    def started(self) -> bool:
        """Tell whether a drain has begun."""
        return self._started.is_set()

    def on_signal(self) -> None:
        """Begin a drain; on the second call cut it short."""
        if self._started.is_set():
            self._forced.set()
        self._started.set()

    def begin(self) -> None:
        """Begin a drain unless one has begun."""
        self._started.set()

    async def run(self) -> ExitCode:
        """Wait for a drain to begin and return when it is over."""
        await self._started.wait()
        _LOG.info("the drain begins", in_flight=self._server.active)
        draining = asyncio.ensure_future(self._drain())
        forced = asyncio.ensure_future(self._forced.wait())
        try:
            done, _ = await asyncio.wait(
                [draining, forced], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            forced.cancel()
        if draining in done:
            draining.result()
            _LOG.info("the drain is complete")
            return ExitCode.DRAINED
        _LOG.error(
            "a second signal cuts the drain short",
            requests_cut_off=self._server.active,
            authority=self._role.authority.state.value,
        )
        draining.cancel()
        await asyncio.gather(draining, return_exceptions=True)
        return ExitCode.CUT_OFF

    async def _drain(self) -> None:
        await self._server.drain()
        await self._hand_over()

    async def _hand_over(self) -> None:
        authority = self._role.authority
        if authority.holder != self._role.instance:
            authority.begin_handover(self._clock.now())
            return
        authority.begin_handover(self._clock.now())
        if not authority.required_peers:
            _LOG.warning("no other elector can take over", epoch=authority.epoch)
            return
        give_up_at = self._clock.now() + HANDOVER_TIMEOUT_S
        while self._clock.now() < give_up_at:
            if authority.state is AuthorityState.FOLLOWER:
                _LOG.info("authority is handed over", holder=authority.holder)
                return
            await asyncio.sleep(POLL_S)
        _LOG.warning("the handover was not seen in the log", epoch=authority.epoch)
