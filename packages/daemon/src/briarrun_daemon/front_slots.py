"""Acquisition of an upstream slot for a request."""

from __future__ import annotations

import asyncio

from expression import Error, Ok, Result

from briarrun_core.errors import RefusalReason, Refused
from briarrun_daemon.clock import Clock
from briarrun_daemon.directory import Directory
from briarrun_daemon.frontend_http import RequestCall
from briarrun_daemon.holder_client import HolderClient
from briarrun_wire.messages import SlotGrant, SlotGrantInfo, SlotRefusal, SlotRequest

TAKEOVER_WAIT_S = 1.5
"""Time that a request waits for its own domain to get a new holder. A takeover takes less
than 1 s."""
RETRY_INTERVAL_S = 0.05
REPLY_MARGIN_S = 1.0
"""Additional time for the reply to arrive. If a grant arrives later, it is lost and its
slot stays charged until the grant's deadline."""


class SlotFinder:
    """Requests slots from the holders of the nearest domains."""

    def __init__(self, calls: HolderClient, directory: Directory, clock: Clock) -> None:
        self._calls = calls
        self._directory = directory
        self._clock = clock

    async def find(
        self, call: RequestCall, excluded: tuple[str, ...]
    ) -> Result[tuple[str, SlotGrantInfo], Refused]:
        """Return the granting domain and the grant, or the last refusal.

        The request has not been sent to an upstream yet, so every refusal means "not
        run".
        """
        refused = Refused(RefusalReason.NO_CAPACITY, "no domain is known")
        domains = self._directory.nearest_domains()
        for index, domain in enumerate(domains):
            remaining_s = call.deadline - self._clock.now()
            if remaining_s <= 0:
                return Error(Refused(RefusalReason.DEADLINE_PASSED, call.request_id))
            # Half of the remaining time is reserved for domains that are farther away.
            wait_s = remaining_s / 2 if index + 1 < len(domains) else remaining_s
            takeover_wait_s = TAKEOVER_WAIT_S if index == 0 else 0.0
            result = await self._request_slot(
                domain, call, excluded, wait_s, takeover_wait_s
            )
            if result.is_ok():
                return Ok((domain, result.ok))
            refused = result.error
        return Error(refused)

    async def _request_slot(
        self,
        domain: str,
        call: RequestCall,
        excluded: tuple[str, ...],
        wait_s: float,
        takeover_wait_s: float,
    ) -> Result[SlotGrantInfo, Refused]:
        retry_until = self._clock.now() + min(wait_s, takeover_wait_s)
        while True:
            remaining_s = call.deadline - self._clock.now()
            if remaining_s <= 0:
                return Error(Refused(RefusalReason.DEADLINE_PASSED, call.request_id))
            result = await self._request_slot_once(
                domain, call, excluded, min(wait_s, remaining_s), remaining_s
            )
            if result.is_ok() or result.error.reason != RefusalReason.NO_AUTHORITY:
                return result
            if self._clock.now() >= retry_until:
                return result
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _request_slot_once(
        self,
        domain: str,
        call: RequestCall,
        excluded: tuple[str, ...],
        wait_s: float,
        remaining_s: float,
    ) -> Result[SlotGrantInfo, Refused]:
        message = SlotRequest(
            team=call.team,
            queue=call.queue,
            urgency=call.urgency,
            request_id=call.request_id,
            idempotent=call.idempotent,
            deadline=remaining_s,
            front=self._calls.instance,
            excluded=excluded,
            wait_s=wait_s,
        )
        reply = await self._calls.call(domain, message, wait_s + REPLY_MARGIN_S)
        match reply:
            case Result(tag="ok", ok=SlotGrant(grant=grant)):
                return Ok(grant)
            case Result(tag="ok", ok=SlotRefusal(reason=reason, detail=detail)):
                return Error(Refused(RefusalReason(reason), detail))
            case Result(tag="error", error=failure):
                return Error(Refused(RefusalReason.NO_AUTHORITY, failure.detail))
            case _:
                detail = f"the holder of {domain} gave another reply"
                return Error(Refused(RefusalReason.NO_AUTHORITY, detail))
