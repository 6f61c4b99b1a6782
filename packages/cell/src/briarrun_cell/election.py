"""Leader election by conditional appends to the store."""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Annotated

import msgspec

from briarrun_cell.clock import Clock
from briarrun_cell.logs import ComponentLog
from briarrun_cell.ports import AppendOutcome, Record, Store, Topic
from briarrun_cell.tail import TopicListener
from briarrun_cell.unreadable import UnreadableRecords
from briarrun_wire.decode import DecodeError, Unsigned, check_address, decode_json

MAX_TERM_S = 0.9
"""Maximum term of a claim, counted from the time of sending."""

MIN_TERM_S = 0.45
"""Minimum term of a claim. The shorter the term, the sooner a lost holder is replaced."""

TERM_ROUND_TRIPS = 4.0
"""Number of round trips to the store that are added to ``TERM_BASE_S``."""

TERM_BASE_S = 0.35
"""Term of a claim for a round trip of zero."""

RENEWAL_INTERVAL_S = 0.1
"""Pause between renewals of a claim. Within the minimum term it leaves 0.25 s for the
answer to a renewal, which is what a slow store takes."""

EXPIRY_MARGIN_S = 0.08
"""Time before the end of its term at which a holder stops, since orders may still be in
flight."""

APPEND_TIMEOUT_S = 0.5
"""Timeout of the append of a claim."""

CLAIM_JITTER_S = 0.06
"""Maximum random delay of a claim after the term, to avoid simultaneous claims."""

POLL_S = 0.03
"""Interval at which a candidate checks whether the term has ended, and pause before an
unconfirmed renewal is repeated."""

MAX_CLAIM_AGE_S = 2.0
"""Age of the last claim that was read above which its holder counts as lost. It covers
the pause between reads of the claims on a large cell, and a slow store."""

MAX_READABLE_TERM_S = 5.0
"""Term above which a claim counts as unreadable, so that no claim bars the cell."""

HOLDER_KEY = "holder"

_LOG = ComponentLog("holder")


class Claim(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Claim to be the holder of the cell, valid for ``term_s``.

    An ``epoch`` of 0 stands for the offset of the record plus one.
    """

    vm: str
    address: str
    incarnation: str
    epoch: Unsigned = 0
    released: bool = False
    term_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_READABLE_TERM_S)] = MAX_TERM_S


@dataclass(slots=True)
class HolderTerm:
    """Period in which this process is the holder; renewals extend ``valid_until``.

    ``fenced`` tells that a worker or the store has refused a call of the term for one of
    a later term.
    """

    epoch: int
    valid_until: float
    fenced: bool = False


class HolderRole(ABC):
    """Callbacks for the start and end of a term as holder."""

    @abstractmethod
    async def begin(self, holder_term: HolderTerm) -> None:
        """Start a term as holder."""

    @abstractmethod
    async def end(self, superseded: bool) -> None:
        """Stop all decisions immediately.

        ``superseded`` tells whether another process may take over at once.
        """


def _decode_claim(record: Record) -> Claim:
    if record.value is None:
        raise DecodeError("the claim was deleted")
    claim = decode_json(record.value, Claim)
    check_address(claim.address)
    return claim


class Election(TopicListener):
    """Claims the cell when it has no holder, and renews the claim.

    A candidate measures the term from when it read the last claim. The holder measures
    it from when it sent the claim, which is earlier, so two terms never overlap.

    A claim that cannot be read may be that of a successor of another version. A holder
    that reads one steps down, and a candidate waits for ``MAX_TERM_S`` after it, which
    also covers the term of the claim before it.

    ``confirm`` reads claims written in the meantime, so that a candidate that reads
    rarely does not send a claim that the store would refuse. ``eligible`` returns
    whether this process could make decisions immediately; ``claim_delay_s`` also counts
    from when it first could.
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
        self.is_candidate = True
        self.holder_term: HolderTerm | None = None
        self._unreadable = UnreadableRecords(Topic.HOLDER, _LOG)
        self._last_claim: Claim | None = None
        self._last_claim_is_unreadable = False
        self._topic_end: int | None = None
        self._last_claim_at = 0.0
        self._first_ready_at = float("inf")
        self._jitter_s = 0.0
        self._renewal_pause_s = RENEWAL_INTERVAL_S
        self._round_trip_s = MAX_TERM_S

    @property
    def is_holder(self) -> bool:
        """Whether this process is the holder now."""
        holder_term = self.holder_term
        return holder_term is not None and self._clock.now() < holder_term.valid_until

    def other_holder(self) -> Claim | None:
        """Return the claim of a holder on another VM, None if none is known."""
        claim = self._last_claim
        if claim is None or claim.released or claim.vm == self._vm:
            return None
        age_s = self._clock.now() - self._last_claim_at
        return claim if age_s <= MAX_CLAIM_AGE_S else None

    def other_holder_address(self) -> str | None:
        """Return the peer address of a holder on another VM, None if none is known."""
        claim = self.other_holder()
        return None if claim is None else claim.address

    def unheld_s(self) -> float:
        """Return for how long no claim has been read, 0 before the first read."""
        if self._topic_end is None:
            return 0.0
        return self._clock.now() - self._last_claim_at

    def on_snapshot(self, records: Sequence[Record], sent_at: float) -> None:
        """Apply the newest claim. Its age is unknown, so its term starts now."""
        if not records:
            self._observe(None, 0)
        for record in records:
            self._observe(record, record.offset + 1)

    def on_records(self, records: Sequence[Record], sent_at: float) -> None:
        """Apply further claims, which show that a holder lives."""
        for record in records:
            self._observe(record, record.offset + 1)

    def _observe(self, record: Record | None, end: int) -> None:
        if self._topic_end is not None and end <= self._topic_end:
            return
        self._topic_end = end
        self._last_claim_at = self._clock.now()
        self._jitter_s = self._rng.uniform(0, CLAIM_JITTER_S)
        self._last_claim = None
        self._last_claim_is_unreadable = False
        if record is None:
            return
        try:
            self._last_claim = _decode_claim(record)
        except DecodeError as error:
            self._last_claim_is_unreadable = True
            self._unreadable.add(record, error, "it counts as that of another holder")
            return
        self._unreadable.clear(record.key)

    @property
    def held_last(self) -> bool:
        """Whether the last claim is of this VM and was not released.

        It is then from an earlier process of this VM, which has ended, or from this
        process, and its answer was lost. Both can be replaced at once.
        """
        claim = self._last_claim
        return (
            claim is not None
            and not claim.released
            and (claim.vm, claim.address) == (self._vm, self._address)
        )

    def _claimable(self) -> bool:
        if self._topic_end is None:
            return False
        if self.held_last:
            return True
        claim = self._last_claim
        term_s = 0.0 if claim is None or claim.released else claim.term_s
        if self._last_claim_is_unreadable:
            term_s = MAX_TERM_S
        # Candidates of a new cell may be ready long after they read that no one claims.
        counted_from = max(self._last_claim_at + term_s, self._first_ready_at)
        return self._clock.now() >= counted_from + self.claim_delay_s + self._jitter_s

    async def run(self) -> None:
        """Claim the cell and renew the claim until cancelled."""
        while True:
            if self.holder_term is None:
                if self._may_claim() and await self._confirm_claimable():
                    await self._claim()
                else:
                    await asyncio.sleep(POLL_S)
            else:
                await self._renew(self.holder_term)

    def _may_claim(self) -> bool:
        ready = self._eligible is None or self._eligible()
        if ready:
            self._first_ready_at = min(self._first_ready_at, self._clock.now())
        return self.is_candidate and ready and self._claimable()

    async def _confirm_claimable(self) -> bool:
        if self._confirm is not None:
            await self._confirm()
        return self._may_claim()

    async def release(self) -> None:
        """End the term and release the claim, so that a successor need not wait."""
        self.is_candidate = False
        holder_term = self.holder_term
        if holder_term is None:
            return
        await self._step_down("released", superseded=True)
        await self._append(self._new_claim(holder_term.epoch, released=True))

    def _new_claim(self, epoch: int, released: bool = False) -> Claim:
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
        at = self._topic_end or 0
        result = await self._store.append(
            Topic.HOLDER,
            [Record(HOLDER_KEY, msgspec.json.encode(claim))],
            timeout_s=APPEND_TIMEOUT_S,
            at=at,
        )
        self._round_trip_s = self._clock.now() - sent_at
        end = result.offset + 1
        # A later claim may have been read before this answer arrived.
        if result.outcome is AppendOutcome.DONE and end >= (self._topic_end or 0):
            self._topic_end = end
            self._last_claim = claim
            self._last_claim_is_unreadable = False
            self._last_claim_at = self._clock.now()
        return result.outcome, result.offset, sent_at

    async def _claim(self) -> None:
        claim = self._new_claim(epoch=0)
        outcome, offset, sent_at = await self._append(claim)
        if outcome is not AppendOutcome.DONE:
            await asyncio.sleep(POLL_S)
            return
        holder_term = HolderTerm(offset + 1, sent_at + claim.term_s - EXPIRY_MARGIN_S)
        if self._clock.now() >= holder_term.valid_until or not self.is_candidate:
            return
        self.holder_term = holder_term
        _LOG.info("elected as holder", epoch=holder_term.epoch)
        await self._role.begin(holder_term)

    async def _renew(self, holder_term: HolderTerm) -> None:
        await asyncio.sleep(self._renewal_pause_s)
        if self.holder_term is not holder_term:
            return
        if holder_term.fenced:
            await self._step_down("fenced off by a later holder", superseded=True)
            return
        if (
            self._last_claim is not None
            and self._last_claim.incarnation != self._incarnation
        ):
            await self._step_down(f"{self._last_claim.vm} took over", superseded=True)
            return
        if self._last_claim_is_unreadable:
            await self._step_down("a claim could not be read", superseded=True)
            return
        claim = self._new_claim(holder_term.epoch)
        # Candidates may read this claim before its answer arrives, and then measure its
        # term, which may be shorter than that of the last claim.
        claimed_until = self._clock.now() + claim.term_s - EXPIRY_MARGIN_S
        holder_term.valid_until = min(holder_term.valid_until, claimed_until)
        outcome = (await self._append(claim))[0]
        if self.holder_term is not holder_term:
            return
        done = outcome is AppendOutcome.DONE
        self._renewal_pause_s = RENEWAL_INTERVAL_S if done else POLL_S
        if done:
            holder_term.valid_until = claimed_until
        if self._clock.now() >= holder_term.valid_until:
            await self._step_down(f"the term ended; last renewal: {outcome}")

    async def _step_down(self, reason: str, superseded: bool = False) -> None:
        holder_term, self.holder_term = self.holder_term, None
        if holder_term is not None:
            _LOG.warning("no longer holder", epoch=holder_term.epoch, reason=reason)
            await self._role.end(superseded)
