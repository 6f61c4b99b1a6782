"""Authority of one instance over its failure domain.

The instance learns claims by reading the log only. Times are seconds of the instance's
own monotonic clock; clocks of different instances may run at slightly different rates,
which ``claim_margin_s`` covers.
"""

from __future__ import annotations

from briarrun_core.absence import AbsenceTracker
from briarrun_core.authority_actions import (
    AppendClaim,
    AuthorityAction,
    AuthoritySettings,
    AuthorityState,
    Resumed,
    StartRecovery,
    SteppedDown,
    Suspended,
)
from briarrun_core.chart import Chart
from briarrun_core.claims import ClaimState, build_claim_record
from briarrun_core.confirmation import NEVER, Confirmation
from briarrun_core.records import ClaimKind, ClaimRecord

__all__ = [
    "AppendClaim",
    "Authority",
    "AuthorityAction",
    "AuthoritySettings",
    "AuthorityState",
    "Resumed",
    "StartRecovery",
    "SteppedDown",
    "Suspended",
]


class Authority:
    """Decide when this instance may act for its failure domain.

    Call ``tick`` at least every 50 ms and carry out what it returns in order.
    """

    def __init__(self, settings: AuthoritySettings, domain: str, instance: str) -> None:
        self._settings = settings
        self._domain = domain
        self._instance = instance
        self._chart = Chart.from_file("authority")
        self._state = AuthorityState(self._chart.initial)
        self._claim: ClaimState | None = None
        self._absence = AbsenceTracker(
            instance, settings.vm_list_lag_s, settings.vm_list_gap_s
        )
        self._pending: ClaimRecord | None = None
        self._pending_sent_at = NEVER
        self._claims_written = 0
        self._is_draining = False
        self._log_read_started_at = NEVER
        self._claim_read_at = NEVER
        self._epoch_read_at = NEVER
        self._ticked_at = NEVER
        self._answers_due_from = NEVER
        self._holder_heard_at = NEVER
        self._promised_until = NEVER
        self._confirmation = Confirmation(settings.authority_term_s)
        self._answered_by_peer: dict[str, float] = {}
        self._replicated: set[str] = set()
        self._wait_until = NEVER
        self._handover_from = NEVER
        self._actions: list[AuthorityAction] = []

    @classmethod
    def from_config(
        cls, settings: AuthoritySettings, domain: str, instance: str
    ) -> Authority:
        """Return a follower; ``instance`` is new at every process start."""
        return cls(settings, domain, instance)

    # What is in force

    @property
    def state(self) -> AuthorityState:
        """Return the state in the ``authority`` chart."""
        return self._state

    @property
    def claim(self) -> ClaimState | None:
        """Return the newest claim read, or None if the domain's section is unknown."""
        return self._claim

    @property
    def epoch(self) -> int:
        """Return the newest epoch read; 0 if there is none."""
        return self._claim.epoch if self._claim else 0

    @property
    def holder(self) -> str:
        """Return the instance that the newest claim names; may be empty."""
        return self._claim.holder if self._claim else ""

    @property
    def is_elector(self) -> bool:
        """Tell whether this instance may claim the next epoch."""
        return self._claim is not None and self._instance in self._claim.electors

    @property
    def required_peers(self) -> frozenset[str]:
        """Return the electors that must promise, and acknowledge what is durable.

        While an ``electors`` claim is in doubt these are the old and the new ones.
        """
        if self._claim is None:
            return frozenset()
        electors = set(self._claim.electors)
        if self._pending is not None and self._pending.kind is ClaimKind.ELECTORS:
            electors |= set(self._pending.electors)
        return frozenset(electors - {self._instance})

    @property
    def handover_target(self) -> str | None:
        """Return the elector to hand over to: a full replica, heard from last."""
        if self._claim is None:
            return None
        others = [
            (peer in self._replicated, self._answered_by_peer[peer], peer)
            for peer in self._claim.electors
            if peer != self._instance and peer in self._answered_by_peer
        ]
        return max(others)[-1] if others else None

    def authority_until(self, now: float) -> float:
        """Return when authority ends unless confirmed again; ``-inf`` without any.

        Every action must carry this end, since the process may be frozen between the
        check and the action.
        """
        if self._state is not AuthorityState.HOLDING:
            return NEVER
        return self._confirmed_until()

    def may_act(self, now: float) -> bool:
        """Tell whether the instance may act as holder at this moment."""
        return now < self.authority_until(now)

    # What is observed

    def on_log_read(
        self, started_at: float, finished_at: float, claim: ClaimState | None
    ) -> None:
        """Note a read that reached the log's end and the domain's claim at that end.

        ``claim`` is None only while the section is unknown; a domain that was never
        claimed has a claim with epoch 0.
        """
        self._log_read_started_at = max(self._log_read_started_at, started_at)
        if claim is None:
            return
        if self._claim is None or claim.base > self._claim.base:
            self._on_new_claim(claim, finished_at)
        if claim.base == self._claim_base() and claim.holder == self._instance:
            self._confirmation.on_log_read(started_at, finished_at)

    def on_log_failed(self, now: float) -> None:
        """Note that a read failed; nothing is claimed until one succeeds again."""
        self._log_read_started_at = NEVER

    def on_heartbeat(self, sender: str, now: float) -> bool:
        """Note a member's heartbeat; True promises to write no claim for a term."""
        if self._claim is None or sender != self._claim.holder:
            return False
        self._holder_heard_at = max(self._holder_heard_at, now)
        if self._pending is not None or self._state is not AuthorityState.FOLLOWER:
            return False
        self._promised_until = max(
            self._promised_until, now + self._settings.authority_term_s
        )
        return True

    def on_heartbeat_ack(self, peer: str, sent_at: float, promise: bool = True) -> None:
        """Note an answer to this instance's heartbeat of ``sent_at``."""
        self._answered_by_peer[peer] = max(
            self._answered_by_peer.get(peer, NEVER), sent_at
        )
        if sent_at >= self._claim_read_at:
            self._absence.on_peer_running(peer)
        if promise and sent_at >= self._epoch_read_at:
            self._confirmation.on_promise(peer, sent_at)

    def on_replica(self, peer: str, is_complete: bool) -> None:
        """Note whether a peer has acknowledged every event of the ledger so far.

        Call it before ``tick`` with the state at that moment: an event that the peer has
        not acknowledged would be missing if it took over as a new elector.
        """
        if is_complete:
            self._replicated.add(peer)
        else:
            self._replicated.discard(peer)

    def on_vm_list(self, live_vm_ids: frozenset[str], now: float) -> None:
        """Note a VM list that was read successfully."""
        self._absence.on_vm_list(live_vm_ids, now)

    def on_recovered(self, now: float) -> None:
        """Note that the ledger was recovered after ``StartRecovery``."""
        if self._state is AuthorityState.RECOVERING:
            self._step("recovered")

    def begin_handover(self, now: float) -> None:
        """Stop acting for good and pass authority on; claim nothing any more.

        The claim is written once every end that an action may carry has passed, because
        the next holder does not wait. An instance that is still recovering finishes
        first, since it has no ledger to pass on.
        """
        self._is_draining = True
        self._drain(now)

    def tick(self, now: float) -> list[AuthorityAction]:
        """Return what is to be done at this time."""
        if now - self._ticked_at > self._settings.authority_term_s:
            # This instance was frozen and sent no heartbeats that peers could answer.
            self._answers_due_from = now
        self._ticked_at = now
        match self._state:
            case AuthorityState.FOLLOWER:
                self._claim_if_due(now)
            case AuthorityState.WAITING:
                self._recover_if_due(now)
            case AuthorityState.HOLDING | AuthorityState.SUSPENDED:
                self._check_confirmation(now)
                self._renew_electors(now)
            case AuthorityState.HANDING_OVER:
                self._hand_over(now)
        if self._is_draining:
            self._drain(now)
        self._repeat_pending(now)
        actions, self._actions = self._actions, []
        return actions

    # Claims read from the log

    def _on_new_claim(self, claim: ClaimState, read_at: float) -> None:
        before = self._claim
        self._claim = claim
        self._absence.watch({*claim.electors, claim.holder} - {""})
        self._claim_read_at = read_at
        # Whatever is in flight names an older base and can have no effect any more.
        self._pending = None
        # The holder gets a full term to be heard before anyone claims after it.
        self._holder_heard_at = read_at
        if before is not None and claim.epoch == before.epoch:
            if self._state is AuthorityState.CLAIMING:
                self._step("lost")
            return
        self._epoch_read_at = self._answers_due_from = read_at
        self._confirmation.clear()
        self._replicated.clear()
        self._follow(before, claim, read_at)

    def _follow(
        self, before: ClaimState | None, claim: ClaimState, read_at: float
    ) -> None:
        if self._chart.allows(self._state, "superseded"):
            self._step("superseded")
            self._actions.append(SteppedDown(before.epoch if before else 0))
        is_mine = claim.holder == self._instance
        if is_mine and claim.kind is ClaimKind.HANDOVER:
            self._step("named")
            self._wait_until = read_at
        elif is_mine and self._state is AuthorityState.CLAIMING:
            self._step("won")
            self._wait_until = (
                read_at
                + self._settings.authority_term_s
                + self._settings.claim_margin_s
            )
        elif self._state is AuthorityState.CLAIMING:
            self._step("lost")

    def _recover_if_due(self, now: float) -> None:
        # An instance that was frozen while waiting may have been replaced meanwhile.
        if self._claim is None or not self._wait_until <= now < self._confirmed_until():
            return
        self._step("wait_over")
        is_ledger_lost = self._claim.kind is ClaimKind.ORPHAN and self._claim.epoch > 1
        self._actions.append(
            StartRecovery(self._wait_until, self._claim.epoch, is_ledger_lost)
        )

    # Claims written

    def _claim_if_due(self, now: float) -> None:
        claim = self._claim
        if claim is None or self._pending is not None or self._is_draining:
            return
        if not self._log_is_fresh(now) or now < self._promised_until:
            return
        if self._instance in claim.electors:
            if self._holder_is_silent(claim, now):
                electors = set(claim.electors) - {claim.holder}
                self._write(ClaimKind.TAKEOVER, self._instance, electors, now)
                self._step("claim")
        elif not claim.holder or self._absence.all_terminated(now):
            self._write(ClaimKind.ORPHAN, self._instance, {self._instance}, now)
            self._step("claim")

    def _holder_is_silent(self, claim: ClaimState, now: float) -> bool:
        if claim.holder == self._instance:
            return False
        others = sorted(set(claim.electors) - {claim.holder})
        stagger = others.index(self._instance) * self._settings.rank_stagger_s
        return now - self._holder_heard_at >= self._settings.authority_term_s + stagger

    def _renew_electors(self, now: float) -> None:
        claim = self._claim
        if claim is None or self._pending is not None or not self._log_is_fresh(now):
            return
        electors = {self._instance}
        electors |= {peer for peer in claim.electors if self._answers(peer, now)}
        electors |= {peer for peer in self._replicated if self._answers(peer, now)}
        if electors != set(claim.electors):
            self._write(ClaimKind.ELECTORS, self._instance, electors, now)

    def _answers(self, peer: str, now: float) -> bool:
        """Tell whether a peer answered recently or had no chance to yet."""
        answered_at = max(
            self._answered_by_peer.get(peer, NEVER), self._answers_due_from
        )
        return now - answered_at < self._settings.elector_silence_s

    def _hand_over(self, now: float) -> None:
        target = self.handover_target
        if now < self._handover_from or self._claim is None:
            return
        if target is None or not self._answers(target, now):
            # A standby with a full replica can still become the elector to name.
            self._renew_electors(now)
            return
        if self._pending is None or self._pending.kind is not ClaimKind.HANDOVER:
            electors = set(self._claim.electors) - {self._instance}
            self._write(ClaimKind.HANDOVER, target, electors, now)

    def _write(
        self, kind: ClaimKind, holder: str, electors: set[str], now: float
    ) -> None:
        assert self._claim is not None
        self._claims_written += 1
        record_id = f"{self._instance}:claim:{self._claims_written}"
        self._pending = build_claim_record(
            self._claim, kind, holder, self._instance, electors, record_id
        )
        self._pending_sent_at = NEVER

    def _repeat_pending(self, now: float) -> None:
        """Append the claim in flight, and again if the log was read without it."""
        if self._pending is None:
            return
        is_unread = self._log_read_started_at <= self._pending_sent_at
        if self._pending_sent_at != NEVER and is_unread:
            return
        if now - self._pending_sent_at >= self._settings.append_retry_s:
            self._pending_sent_at = now
            self._actions.append(AppendClaim(self._pending))

    # Authority held

    def _confirmed_until(self) -> float:
        return self._confirmation.until(self.required_peers)

    def _check_confirmation(self, now: float) -> None:
        is_confirmed = now < self._confirmed_until()
        if self._state is AuthorityState.HOLDING and not is_confirmed:
            self._step("expired")
            self._actions.append(Suspended(self.epoch))
        elif self._state is AuthorityState.SUSPENDED and is_confirmed:
            self._step("confirmed")
            self._actions.append(Resumed(self.epoch))

    def _drain(self, now: float) -> None:
        if self._chart.allows(self._state, "drain"):
            # No action carries a later end than a term from now.
            self._handover_from = now + self._settings.authority_term_s
            self._step("drain")

    # Helpers

    def _step(self, event: str) -> None:
        self._state = AuthorityState(self._chart.step(self._state, event))

    def _log_is_fresh(self, now: float) -> bool:
        """Tell whether a recent read reached the log's end.

        Claiming without one would name an outdated base, and during an outage it would
        keep this elector from promising until the log is back.
        """
        return now - self._log_read_started_at < self._settings.authority_term_s

    def _claim_base(self) -> tuple[int, int]:
        return self._claim.base if self._claim else (0, 0)
