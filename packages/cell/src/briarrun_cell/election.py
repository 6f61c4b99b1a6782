"""Elect one holder for the cell by conditional appends to the store."""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import msgspec

from briarrun_cell.clock import Clock
from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import AppendOutcome, Record, Store, Topic
from briarrun_cell.tail import TopicListener

MAX_TERM_S = 0.9
"""Longest time for which a claim is good, counted from when it was sent."""

MIN_TERM_S = 0.45
"""Shortest such time; the shorter it is, the sooner a lost holder is replaced."""

TERM_ROUND_TRIPS = 4.0
"""Round trips to the store by which a term is longer than its base."""

TERM_BASE_S = 0.35
"""Term of a claim if the store answered at once."""

RENEWAL_S = 0.1
"""Pause between renewals of a claim; within the shortest term it leaves a renewal
0.25 s for its answer, as long as a slow store takes."""

MARGIN_S = 0.08
"""A holder stops this long before its term ends, for orders on their way."""

APPEND_TIMEOUT_S = 0.5
"""Time after which a claim counts as unanswered."""

CLAIM_SPREAD_S = 0.06
"""Candidates wait up to this long beyond the term, so that rarely two claim at once."""

POLL_S = 0.03
"""Pause between looks at whether the term of the holder has ended, and between tries
after a renewal that was not confirmed."""

HOLDER_KEY = "holder"

_LOG = ComponentLog("holder")


class Claim(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Claim the cell; ``epoch`` of 0 stands for the record's own offset plus one.

    ``term_s`` is for how long the claim is good.
    """

    vm: str
    address: str
    incarnation: str
    epoch: int = 0
    released: bool = False
    term_s: float = MAX_TERM_S


@dataclass(slots=True)
class HolderTerm:
    """Hold the term of this process as holder."""

    epoch: int
    valid_until: float


class HolderRole(ABC):
    """Act for the cell while this process holds it."""

    @abstractmethod
    async def begin(self, holder_term: HolderTerm) -> None:
        """Take over."""

    @abstractmethod
    async def end(self, superseded: bool) -> None:
        """Stop deciding at once; ``superseded`` if another holder is known."""


class Election(TopicListener):
    """Claim the cell when nobody holds it, and keep the claim.

    A candidate counts the term from when it saw the last claim, which is later than the
    holder's own count from the time of sending. So two holders never overlap. ``confirm``
    reads the claims that may have been written since; it spares a candidate that reads
    them rarely a claim that would be refused. ``eligible`` tells whether this process
    could act for the cell at once.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        vm: str,
        address: str,
        incarnation: str,
        role: HolderRole,
        *,
        claim_delay_s: float = 0.0,
        rng: random.Random | None = None,
        confirm: Callable[[], Awaitable[None]] | None = None,
        eligible: Callable[[], bool] | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._vm = vm
        self._address = address
        self._incarnation = incarnation
        self._role = role
        self._rng = rng or random.Random()
        self._confirm = confirm
        self._eligible = eligible
        self.claim_delay_s = claim_delay_s
        self.candidate = True
        self.holder_term: HolderTerm | None = None
        self._last: Claim | None = None
        self._end: int | None = None
        self._seen_at = 0.0
        self._spread_s = 0.0
        self._renewal_pause_s = RENEWAL_S
        self._round_trip_s = MAX_TERM_S

    @property
    def is_holder(self) -> bool:
        """Tell whether this process may act now."""
        holder_term = self.holder_term
        return holder_term is not None and self._clock.now() < holder_term.valid_until

    def on_snapshot(self, records: Sequence[Record], asked_at: float) -> None:
        """Take the newest claim; its age is unknown, so it counts as new."""
        if not records:
            self._see(None, 0)
        for record in records:
            self._see(record, record.offset + 1)

    def on_records(self, records: Sequence[Record], asked_at: float) -> None:
        """Take newer claims."""
        for record in records:
            self._see(record, record.offset + 1)

    def _see(self, record: Record | None, end: int) -> None:
        if self._end is not None and end <= self._end:
            return
        self._end = end
        self._seen_at = self._clock.now()
        self._spread_s = self._rng.uniform(0, CLAIM_SPREAD_S)
        self._last = None
        if record is None or record.value is None:
            return
        try:
            self._last = msgspec.json.decode(record.value, type=Claim)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            _LOG.warning("ignored an unreadable claim", detail=str(error))

    def _vacant(self) -> bool:
        if self._end is None:
            return False
        waited_s = self._clock.now() - self._seen_at
        wait_s = self.claim_delay_s + self._spread_s
        if self._last is None or self._last.released:
            return waited_s >= wait_s
        if (self._last.vm, self._last.address) == (self._vm, self._address):
            # An earlier process of this VM is dead, and an own claim whose answer
            # was lost may be claimed again.
            return True
        return waited_s >= self._last.term_s + wait_s

    async def run(self) -> None:
        """Claim, renew and give up until cancelled."""
        while True:
            if self.holder_term is None:
                if self._may_claim() and await self._still_vacant():
                    await self._claim()
                else:
                    await asyncio.sleep(POLL_S)
            else:
                await self._renew(self.holder_term)

    def _may_claim(self) -> bool:
        ready = self._eligible is None or self._eligible()
        return self.candidate and ready and self._vacant()

    async def _still_vacant(self) -> bool:
        if self._confirm is not None:
            await self._confirm()
        return self._may_claim()

    async def release(self) -> None:
        """Give the cell up, so that the next holder need not wait."""
        self.candidate = False
        holder_term = self.holder_term
        if holder_term is None:
            return
        await self._lose("released", superseded=True)
        await self._append(self._own(holder_term.epoch, released=True))

    def _own(self, epoch: int, released: bool = False) -> Claim:
        return Claim(
            vm=self._vm,
            address=self._address,
            incarnation=self._incarnation,
            epoch=epoch,
            released=released,
            term_s=min(
                MAX_TERM_S,
                max(MIN_TERM_S, TERM_BASE_S + TERM_ROUND_TRIPS * self._round_trip_s),
            ),
        )

    async def _append(self, claim: Claim) -> tuple[AppendOutcome, int, float]:
        sent_at = self._clock.now()
        at = self._end or 0
        result = await self._store.append(
            Topic.HOLDER,
            [Record(HOLDER_KEY, msgspec.json.encode(claim))],
            timeout_s=APPEND_TIMEOUT_S,
            at=at,
        )
        self._round_trip_s = self._clock.now() - sent_at
        if result.outcome is AppendOutcome.DONE:
            self._end = max(self._end or 0, result.offset + 1)
            self._last = claim
            self._seen_at = self._clock.now()
        return result.outcome, result.offset, sent_at

    async def _claim(self) -> None:
        claim = self._own(epoch=0)
        outcome, offset, sent_at = await self._append(claim)
        if outcome is not AppendOutcome.DONE:
            await asyncio.sleep(POLL_S)
            return
        holder_term = HolderTerm(offset + 1, sent_at + claim.term_s - MARGIN_S)
        if self._clock.now() >= holder_term.valid_until or not self.candidate:
            return
        self.holder_term = holder_term
        _LOG.info("took over the cell", epoch=holder_term.epoch)
        await self._role.begin(holder_term)

    async def _renew(self, holder_term: HolderTerm) -> None:
        await asyncio.sleep(self._renewal_pause_s)
        if self.holder_term is not holder_term:
            return
        if self._last is not None and self._last.incarnation != self._incarnation:
            await self._lose(f"{self._last.vm} took over", superseded=True)
            return
        claim = self._own(holder_term.epoch)
        # Candidates may read the claim before its answer comes, and count its term.
        claimed_until = self._clock.now() + claim.term_s - MARGIN_S
        holder_term.valid_until = min(holder_term.valid_until, claimed_until)
        outcome = (await self._append(claim))[0]
        if self.holder_term is not holder_term:
            return
        done = outcome is AppendOutcome.DONE
        self._renewal_pause_s = RENEWAL_S if done else POLL_S
        if done:
            holder_term.valid_until = claimed_until
        if self._clock.now() >= holder_term.valid_until:
            await self._lose(f"the term ended; last renewal: {outcome}")

    async def _lose(self, reason: str, superseded: bool = False) -> None:
        holder_term, self.holder_term = self.holder_term, None
        if holder_term is not None:
            _LOG.warning("gave up the cell", epoch=holder_term.epoch, reason=reason)
            await self._role.end(superseded)
