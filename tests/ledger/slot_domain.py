"""Holders that grant slots, fronts that use them and upstreams that count the truth."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from briarrun_core.model import Urgency
from briarrun_core.request_records import (
    RequestRecords,
    RequestSettings,
    RequestState,
)
from briarrun_core.resources import Resources
from briarrun_core.slot_orders import (
    Grant,
    SlotCall,
    SlotSettings,
    UpstreamInfo,
    UpstreamStatus,
)
from briarrun_core.slot_queue import SlotAnswer, SlotQueue
from briarrun_core.slots import SlotTable
from tests.ledger.domain import CheckError
from tests.ledger.fleet import Network

TERM_S = 0.3
LEAVING_S = 3.0
SLOTS = SlotSettings(max_grant_s=3.0, max_waiting=12)
RECORDS = RequestSettings(request_record_s=60.0)
SLICES = {"a": Resources(slots=4), "b": Resources(slots=5)}


@dataclass
class FakeUpstream:
    """Run what it is sent; ``active`` holds grants by id."""

    upstream_id: str
    offset: float
    active: dict[str, Grant] = field(default_factory=dict)
    leaving_at: float | None = None
    reachable: bool = True

    def status(self, now: float) -> UpstreamStatus:
        return UpstreamStatus(
            slots=3,
            connections=8,
            active=len(self.active),
            draining=self.leaving_at is not None,
            taken_at=now + self.offset,
        )


@dataclass
class Holder:
    """Hold what a holder owns for requests, and its authority."""

    name: str
    offset: float
    table: SlotTable
    queue: SlotQueue
    records: RequestRecords
    confirmed_at: float
    attempts: dict[str, int] = field(default_factory=dict)


class SlotDomain:
    """One failure domain's requests in virtual time."""

    def __init__(self, seed: int, skew_s: float = 0.05) -> None:
        self.source = random.Random(seed)
        self.network = Network(self.source)
        self.half = skew_s / 2
        self.upstreams = {
            f"u{n}": FakeUpstream(f"u{n}", self.half * (-1) ** n) for n in range(3)
        }
        self.runs: Counter[str] = Counter()
        self.not_run: Counter[str] = Counter()
        self.idempotent: dict[str, bool] = {}
        self.requests = 0
        self.holders = 0
        self.replica = RequestRecords.from_config(RECORDS)
        self.holder = self._new_holder()

    def _new_holder(self) -> Holder:
        self.holders += 1
        table = SlotTable.from_config(SLOTS, f"h{self.holders}")
        for upstream in self.upstreams.values():
            info = UpstreamInfo(upstream_id=upstream.upstream_id, address="")
            table.set_upstream(info)
        table.set_slices(SLICES)
        offset = self.source.choice((-1, 0, 1)) * self.half
        records = RequestRecords.from_config(RECORDS)
        records.restore(self.replica.snapshot())
        queue = SlotQueue(SLOTS, table)
        queue.set_weights({"a": 1.0, "b": 2.0})
        now = self.network.now
        return Holder(f"h{self.holders}", offset, table, queue, records, now)

    def clock(self, holder: Holder) -> float:
        return self.network.now + holder.offset

    def authority_until(self, holder: Holder) -> float:
        return holder.confirmed_at + holder.offset + TERM_S

    def advance(self, seconds: float) -> None:
        self.network.run_until(self.network.now + seconds, self.check)

    def act_advance(self) -> None:
        for _ in range(self.source.choice((1, 4, 10))):
            self.act_tick()
            self.act_poll()
            self.advance(self.source.choice((0.002, 0.02, 0.1)))

    def act_tick(self) -> None:
        holder = self.holder
        if self.source.random() < 0.95:
            holder.confirmed_at = self.network.now
        holder.table.expire(self.clock(holder))
        holder.records.expire(self.clock(holder))
        self._answer(
            holder,
            holder.queue.grant_waiting(
                self.clock(holder), self.authority_until(holder)
            ),
        )

    def act_poll(self) -> None:
        holder = self.holder
        for upstream in self.upstreams.values():
            if upstream.reachable and not self.network.lost():
                status = upstream.status(self.network.now)

                def deliver(
                    upstream: FakeUpstream = upstream, status: UpstreamStatus = status
                ) -> None:
                    holder.table.on_status(upstream.upstream_id, status)

                self.network.send(deliver)

    # Requests

    def act_request(self) -> None:
        """Submit requests, some of them retries of earlier ids."""
        for _ in range(self.source.choice((1, 3, 8))):
            self.requests += 1
            request_id = f"r{self.requests}"
            if self.idempotent and self.source.random() < 0.3:
                request_id = self.source.choice(sorted(self.idempotent))
            idempotent = self.idempotent.setdefault(
                request_id, self.source.random() < 0.4
            )
            self._submit(request_id, idempotent)

    def _submit(self, request_id: str, idempotent: bool) -> None:
        holder = self.holder
        now = self.clock(holder)
        attempt = 0
        if not idempotent:
            begun = holder.records.begin(request_id, now)
            if begun.is_error():
                return
            attempt = begun.ok.attempt
            if self.network.lost():
                # The record is not durable, so the request is not sent.
                holder.records.finish(request_id, attempt, RequestState.NOT_RUN)
                return
            self.replicate(holder)
        call = SlotCall(
            call_id=f"{request_id}/{attempt}/{self.requests}/{self.source.random()}",
            team=self.source.choice("ab"),
            urgency=self.source.choice(list(Urgency)),
            deadline=now + self.source.choice((0.05, 0.5, 2.0, 5.0)),
            request_id=request_id,
            idempotent=idempotent,
        )
        holder.attempts[call.call_id] = attempt
        self._answer(
            holder, holder.queue.submit(call, now, self.authority_until(holder))
        )

    def replicate(self, holder: Holder) -> None:
        """Make the records durable; events of a former holder are refused."""
        for event in holder.records.take_events():
            if holder is self.holder:
                self.replica.apply(event)

    def _answer(self, holder: Holder, answers: list[SlotAnswer]) -> None:
        for answer in answers:
            call = answer.call
            if answer.result.is_error():
                self._say_not_run(holder, call)
            else:
                self._send(holder, call, answer.result.ok)

    def _say_not_run(self, holder: Holder, call: SlotCall) -> None:
        self.not_run[call.call_id] += 1
        if not call.idempotent:
            attempt = holder.attempts[call.call_id]
            holder.records.finish(call.request_id, attempt, RequestState.NOT_RUN)

    def _send(self, holder: Holder, call: SlotCall, grant: Grant) -> None:
        """Let a front send the body, unless it was too late by its own clock."""
        offset = self.source.choice((-1, 0, 1)) * self.half
        upstream = self.upstreams[grant.upstream_id]

        def front_sends() -> None:
            sent_at = self.network.now + offset
            if sent_at >= grant.start_by:
                self._say_not_run(holder, call)
                holder.table.release(grant.grant_id)
                return
            self.network.send(lambda: upstream_gets(sent_at), 0.001)

        def upstream_gets(sent_at: float) -> None:
            self.runs[call.request_id] += 1
            upstream.active[grant.grant_id] = grant
            left = upstream.leaving_at
            if left is not None and self.network.now > left + LEAVING_S:
                raise CheckError(
                    f"leaving: {grant.grant_id} sent to {grant.upstream_id}"
                )
            if self.not_run[call.call_id]:
                raise CheckError(f"not run: {call.call_id} ran")
            wait = self.source.choice((0.01, 0.2, 1.0, 6.0))
            closes = grant.deadline - offset - self.network.now
            self.network.send(lambda: ends(sent_at, wait < closes), min(wait, closes))

        def ends(sent_at: float, answered: bool) -> None:
            upstream.active.pop(grant.grant_id, None)
            ended_at = self.network.now + offset
            if not self.network.lost():
                self.network.send(lambda: released(sent_at, ended_at, answered))

        def released(sent_at: float, ended_at: float, answered: bool) -> None:
            holder.table.release(grant.grant_id, sent_at, ended_at)
            holder.queue.note_release(self.clock(holder))
            if not call.idempotent:
                state = RequestState.DONE if answered else RequestState.UNKNOWN
                attempt = holder.attempts[call.call_id]
                holder.records.finish(call.request_id, attempt, state)
                self.replicate(holder)

        self.network.send(front_sends)

    # Faults

    def act_takeover(self) -> None:
        """Replace the holder, whose grants may be on their way to fronts."""
        previous_term_end = self.network.now + TERM_S
        self.holder = self._new_holder()
        if self.source.random() < 0.5:
            self.advance(0.4)
        self.holder.table.begin_recovery(previous_term_end + self.holder.offset)
        self.holder.confirmed_at = self.network.now
        for _ in range(10):
            self.act_poll()
            self.act_tick()
            self.act_request()
            self.advance(self.source.choice((0.01, 0.1)))

    def act_upstream(self) -> None:
        upstream = self.upstreams[self.source.choice(sorted(self.upstreams))]
        if self.source.random() < 0.5:
            upstream.reachable = not upstream.reachable
        elif upstream.leaving_at is None:
            upstream.leaving_at = self.network.now
            upstream.reachable = self.source.random() < 0.5
        elif not upstream.active:
            upstream.leaving_at, upstream.reachable = None, True

    def check(self) -> None:
        """Check the upstreams' own state."""
        by_team: Counter[str] = Counter()
        for upstream in self.upstreams.values():
            if len(upstream.active) > 3:
                raise CheckError(f"slots: {upstream.upstream_id} runs too many")
            by_team.update(grant.team for grant in upstream.active.values())
        for team, used in by_team.items():
            if used > SLICES[team].slots:
                raise CheckError(f"team: {team} uses {used} slots")
        for request_id, runs in self.runs.items():
            if runs > 1 and not self.idempotent[request_id]:
                raise CheckError(f"run twice: {request_id}")
        if self.holder.queue.waiting > SLOTS.max_waiting:
            raise CheckError("queue: above its bound")


SLOT_ACTIONS = {"advance": 5, "request": 6, "takeover": 0.5, "upstream": 1}


def run_slot_walk(seed: int, steps: int, skew_s: float = 0.05) -> None:
    """Take random steps and check after each; raises ``CheckError``."""
    domain = SlotDomain(seed, skew_s)
    names, weights = list(SLOT_ACTIONS), list(SLOT_ACTIONS.values())
    for name in domain.source.choices(names, weights, k=steps):
        getattr(domain, f"act_{name}")()
        domain.check()
