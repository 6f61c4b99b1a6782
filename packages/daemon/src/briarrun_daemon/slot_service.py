"""Upstream polling and slot grants during one held epoch."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterable

import msgspec
from expression import Result

from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.slot_orders import Grant, SlotCall, UpstreamInfo, UpstreamStatus
from briarrun_core.slot_queue import SlotAnswer
from briarrun_daemon.epoch_state import EpochState
from briarrun_daemon.logs import ComponentLog
from briarrun_wire.messages import (
    PeerMessage,
    SlotGrant,
    SlotGrantInfo,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)

_LOG = ComponentLog("upstream")
GRANT_INTERVAL_S = 0.05
RECOVERY_STATUS_INTERVAL_S = 0.02

SlotReply = SlotGrant | SlotRefusal


class SlotService:
    """Grants slots of the domain's upstreams to front ends."""

    def __init__(self, epoch: EpochState) -> None:
        self._epoch = epoch
        self._context = epoch.context
        self._timing = epoch.context.settings.timing
        self._waiting: dict[str, asyncio.Future[SlotReply]] = {}
        self._pollers: dict[str, asyncio.Task[None]] = {}
        self._known: set[str] = set()
        self._call_numbers = itertools.count(1)

    def begin(self) -> None:
        """Start the background loops."""
        self._epoch.tasks.supervise("slots", self._run_grants)

    def set_upstreams(self, upstreams: Iterable[tuple[str, str, bool]]) -> None:
        """Set the upstreams, given as (id, address, leaving)."""
        removed = set(self._known)
        added = []
        for upstream_id, address, leaving in upstreams:
            removed.discard(upstream_id)
            self._epoch.slots.set_upstream(
                UpstreamInfo(upstream_id=upstream_id, address=address, leaving=leaving)
            )
            if upstream_id not in self._pollers:
                added.append(upstream_id)
        for upstream_id in removed:
            self._epoch.slots.remove_upstream(upstream_id)
            self._known.discard(upstream_id)
            self._pollers.pop(upstream_id).cancel()
        if not self._known:
            # Upstreams have to be declared before the recovery, which marks their state
            # as unknown.
            self._epoch.slots.begin_recovery(self._epoch.previous_term_end_wall)
        for upstream_id in added:
            self._known.add(upstream_id)
            self._pollers[upstream_id] = self._epoch.tasks.start(
                self._poll(upstream_id)
            )

    # Statuses

    async def _poll(self, upstream_id: str) -> None:
        while True:
            upstream = self._epoch.slots.upstreams_by_id.get(upstream_id)
            if upstream is None:
                return
            result = await self._context.upstreams.status(
                upstream.address, self._timing.worker_call_timeout_s
            )
            wait_s = self._timing.status_interval_s
            if result.is_error():
                wait_s /= 4
            else:
                status = msgspec.convert(
                    result.ok, UpstreamStatus, from_attributes=True
                )
                self._epoch.slots.on_status(upstream_id, status)
                if not upstream.is_known:
                    wait_s = RECOVERY_STATUS_INTERVAL_S
                self.answer_waiting()
            await asyncio.sleep(wait_s)

    # Calls

    async def request(self, message: SlotRequest) -> PeerMessage:
        """Wait for a slot for at most ``wait_s``; return a grant or a refusal."""
        epoch = self._epoch
        if not epoch.may_act():
            return refuse_slot(Refused(RefusalReason.NO_AUTHORITY, epoch.domain))
        call_id = f"{message.front}-{next(self._call_numbers)}"
        call = SlotCall(
            call_id=call_id,
            team=message.team,
            urgency=message.urgency,
            deadline=epoch.wall() + message.deadline,
            request_id=message.request_id,
            idempotent=message.idempotent,
            avoid=frozenset(message.excluded),
        )
        future: asyncio.Future[SlotReply] = asyncio.get_running_loop().create_future()
        self._waiting[call_id] = future
        try:
            self._answer(
                epoch.queue.submit(call, epoch.wall(), epoch.authority_until_wall())
            )
            if future.done():
                return future.result()
            async with asyncio.timeout(message.wait_s):
                return await future
        except TimeoutError:
            detail = f"no slot in {message.wait_s:.3f} s"
            return refuse_slot(Refused(RefusalReason.OVERLOADED, detail))
        finally:
            self._waiting.pop(call_id, None)
            if not future.done() or future.cancelled():
                epoch.queue.withdraw(call_id)

    def release(self, message: SlotRelease) -> None:
        """Release a granted slot and answer the calls that wait for one."""
        epoch = self._epoch
        if epoch.slots.release(
            message.grant_id, message.sent_at_wall, message.ended_at_wall
        ):
            epoch.queue.note_release(epoch.wall())
            self.answer_waiting()

    def answer_waiting(self) -> None:
        """Answer the waiting calls that can be granted or refused now."""
        epoch = self._epoch
        self._answer(
            epoch.queue.grant_waiting(epoch.wall(), epoch.authority_until_wall())
        )

    def refuse_all(self, reason: RefusalReason) -> None:
        """Refuse all waiting calls."""
        self._answer(self._epoch.queue.refuse_all(reason))

    async def _run_grants(self) -> None:
        while True:
            for grant_id in self._epoch.slots.expire(self._epoch.wall()):
                _LOG.warning("slot grant expired without a release", grant=grant_id)
            self.answer_waiting()
            await asyncio.sleep(GRANT_INTERVAL_S)

    def _answer(self, answers: list[SlotAnswer]) -> None:
        for answer in answers:
            future = self._waiting.get(answer.call.call_id)
            match answer.result:
                case Result(tag="ok", ok=grant):
                    if future is None or future.done():
                        self._epoch.slots.release(grant.grant_id)
                        continue
                    future.set_result(_grant_of(grant))
                case Result(error=refused):
                    if future is not None and not future.done():
                        future.set_result(refuse_slot(refused))


def refuse_slot(refused: Refused) -> SlotRefusal:
    """Return the reply for a refused slot request."""
    return SlotRefusal(reason=refused.reason.value, detail=refused.detail)


def _grant_of(grant: Grant) -> SlotGrant:
    return SlotGrant(
        grant=SlotGrantInfo(
            grant_id=grant.grant_id,
            upstream_id=grant.upstream_id,
            address=grant.address,
            start_by_wall=grant.start_by,
            deadline_wall=grant.deadline,
        )
    )
