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
POLL_INTERVAL_S = 0.02
HANDOVER_TIMEOUT_S = 5.0
"""Time that a drain waits for the log to name the next holder. If it does not, another
member takes over when the promises made to this VM expire."""


class ExitCode(IntEnum):
    """Exit statuses of the daemon."""

    DRAINED = 0
    INTERRUPTED = 1
    INVALID_SETTINGS = 2


class DrainableServer(ABC):
    """Interface of ``HttpServer`` that a drain uses."""

    @property
    @abstractmethod
    def active(self) -> int:
        """The number of requests in flight."""

    @abstractmethod
    async def drain(self) -> None:
        """Stop accepting requests and wait until those in flight are answered."""


class Drain:
    """Graceful shutdown that runs once; a second signal interrupts it."""

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
        """Whether the drain has begun."""
        return self._started.is_set()

    def on_signal(self) -> None:
        """Begin the drain; a second call interrupts it."""
        if self._started.is_set():
            self._forced.set()
        self._started.set()

    def begin(self) -> None:
        """Begin the drain unless it has already begun."""
        self._started.set()

    async def run(self) -> ExitCode:
        """Wait for the drain to begin, run it and return the exit status."""
        await self._started.wait()
        _LOG.info("drain started", in_flight=self._server.active)
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
            _LOG.info("drain completed")
            return ExitCode.DRAINED
        _LOG.error(
            "drain interrupted by a second signal",
            requests_cut_off=self._server.active,
            authority=self._role.authority.state.value,
        )
        draining.cancel()
        await asyncio.gather(draining, return_exceptions=True)
        return ExitCode.INTERRUPTED

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
            _LOG.warning(
                "no handover: there is no other elector that can take over",
                epoch=authority.epoch,
            )
            return
        deadline = self._clock.now() + HANDOVER_TIMEOUT_S
        while self._clock.now() < deadline:
            if authority.state is AuthorityState.FOLLOWER:
                _LOG.info("authority handed over", holder=authority.holder)
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        _LOG.warning("handover not confirmed by the log in time", epoch=authority.epoch)
