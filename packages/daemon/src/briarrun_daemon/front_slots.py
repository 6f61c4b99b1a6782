"""Getting an upstream slot for a request."""

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
"""How long a request waits for its own domain to get a new holder; a takeover takes less
than 1 s."""
ASK_AGAIN_S = 0.05
REPLY_MARGIN_S = 1.0
"""A grant whose reply comes later than this is lost and its slot stays charged until the
grant's deadline."""


class SlotFinder:
    """Ask the holders of the nearest domains for a slot."""

    def __init__(self, calls: HolderClient, directory: Directory, clock: Clock) -> None:
        self._calls = calls
        self._directory = directory
        self._clock = clock

    async def find(
        self, call: RequestCall, excluded: tuple[str, ...]
    ) -> Result[tuple[str, SlotGrantInfo], Refused]:
        """Return the granting domain and the grant, or the last refusal.

        Nothing of the request has been sent, so every refusal means "not run".
        """
        refused = Refused(RefusalReason.NO_CAPACITY, "no domain is known")
        domains = self._directory.nearest_domains()
        for index, domain in enumerate(domains):
            left_s = call.deadline - self._clock.now()
            if left_s <= 0:
                return Error(Refused(RefusalReason.DEADLINE_PASSED, call.request_id))
            # Half of the time left is kept for domains that are farther away.
            wait_s = left_s / 2 if index + 1 < len(domains) else left_s
            patience_s = TAKEOVER_WAIT_S if index == 0 else 0.0
            result = await self._ask(domain, call, excluded, wait_s, patience_s)
            if result.is_ok():
                return Ok((domain, result.ok))
            refused = result.error
        return Error(refused)

    async def _ask(
        self,
        domain: str,
        call: RequestCall,
        excluded: tuple[str, ...],
        wait_s: float,
        patience_s: float,
    ) -> Result[SlotGrantInfo, Refused]:
        give_up_at = self._clock.now() + min(wait_s, patience_s)
        while True:
            left_s = call.deadline - self._clock.now()
            if left_s <= 0:
                return Error(Refused(RefusalReason.DEADLINE_PASSED, call.request_id))
            result = await self._ask_once(
                domain, call, excluded, min(wait_s, left_s), left_s
            )
            if result.is_ok() or result.error.reason != RefusalReason.NO_AUTHORITY:
                return result
            if self._clock.now() >= give_up_at:
                return result
            await asyncio.sleep(ASK_AGAIN_S)

    async def _ask_once(
        self,
        domain: str,
        call: RequestCall,
        excluded: tuple[str, ...],
        wait_s: float,
        left_s: float,
    ) -> Result[SlotGrantInfo, Refused]:
        message = SlotRequest(
            team=call.team,
            queue=call.queue,
            urgency=call.urgency,
            request_id=call.request_id,
            idempotent=call.idempotent,
            deadline=left_s,
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
