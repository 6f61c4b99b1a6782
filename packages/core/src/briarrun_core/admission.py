"""Admission of callers to queues under the active configuration."""

from __future__ import annotations

from dataclasses import dataclass

from expression import Error, Ok, Result

from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.keys import team_of_token, verify_token
from briarrun_core.model import OPEN_TEAM, FleetConfig, Queue


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits on the use of a configuration that an instance cannot confirm.

    ``cut_off_serve_s`` is how long keys are accepted after the last contact. A newly
    started instance that cannot read the log collects generations from its peers for
    ``peer_settle_s``, which spans several heartbeats, before it accepts the newest one.
    """

    cut_off_serve_s: float = 300.0
    peer_settle_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """The queue of admitted work and the team that it is accounted to."""

    team: str
    queue: Queue


class Admission:
    """Admission control that depends on how fresh the configuration is.

    A contact is a completed log read or a message from another failure domain. A message
    from a peer of the same domain is not a contact, but may report the age of that
    peer's last contact.
    """

    def __init__(self, settings: AdmissionSettings, domain: str) -> None:
        self._settings = settings
        self._domain = domain
        self._config = FleetConfig()
        self._generation = 0
        self._newest_seen = 0
        self._is_confirmed = False
        self._contact_at: float | None = None
        self._first_peer_at: float | None = None
        self._needs_log = False

    @classmethod
    def from_config(cls, settings: AdmissionSettings, domain: str) -> Admission:
        """Return the admission control of an instance in ``domain``."""
        return cls(settings, domain)

    @property
    def contact_at(self) -> float | None:
        """Return the time of the last contact, or None before the first one."""
        return self._contact_at

    def on_config(self, config: FleetConfig, generation: int) -> None:
        """Activate a configuration; ignore an older generation."""
        if generation >= self._generation:
            self._config, self._generation = config, generation
            self._newest_seen = max(self._newest_seen, generation)

    def on_log_read(self, now: float, is_config_known: bool) -> None:
        """Handle a read up to the end of the log, after ``on_config`` for its records.

        If ``is_config_known`` is false, the log may have accepted a newer generation than
        any peer has, so neither an earlier read nor a peer confirms the active one.
        """
        self._is_confirmed = is_config_known
        self._needs_log = not is_config_known
        self._note_contact(now)

    def on_peer(
        self,
        domain: str,
        generation: int,
        now: float,
        contact_age_s: float | None = None,
    ) -> None:
        """Handle the generation that a peer in ``domain`` reported.

        ``contact_age_s`` is the age of the last contact of a peer in the same domain.
        """
        self._newest_seen = max(self._newest_seen, generation)
        if self._first_peer_at is None:
            self._first_peer_at = now
        settled = now - self._first_peer_at >= self._settings.peer_settle_s
        if settled and not self._needs_log:
            self._is_confirmed = True
        if domain != self._domain:
            self._note_contact(now)
        elif contact_age_s is not None:
            self._note_contact(now - contact_age_s)

    def is_behind(self) -> bool:
        """Return whether a newer generation than the active one is known to exist."""
        return self._newest_seen > self._generation

    def is_ready(self) -> bool:
        """Return whether the newest known generation is active and confirmed.

        A newly started instance is confirmed by a read up to the end of the log or, if
        it cannot read the log, by the reports of reachable peers.
        """
        return self._is_confirmed and self._generation > 0 and not self.is_behind()

    def is_cut_off(self, now: float) -> bool:
        """Return whether the last contact is more than ``cut_off_serve_s`` ago."""
        if self._contact_at is None:
            return True
        return now - self._contact_at > self._settings.cut_off_serve_s

    def admit(
        self, queue_name: str, token: str | None, now: float
    ) -> Result[Admitted, Refused]:
        """Return the queue and the team that a caller's work is accounted to."""
        if not self.is_ready():
            return Error(self._not_ready())
        queue = self._config.queues_by_name.get(queue_name)
        if queue is None:
            return Error(Refused(RefusalReason.UNKNOWN_QUEUE, queue_name))
        if self.is_cut_off(now):
            # A domain without contact does not learn of withdrawn keys, so it accepts none.
            if queue.open_to_all:
                return Ok(Admitted(OPEN_TEAM, queue))
            return Error(self._stale())
        if token is None:
            if queue.open_to_all:
                return Ok(Admitted(OPEN_TEAM, queue))
            return Error(Refused(RefusalReason.KEY_REQUIRED, queue_name))
        config = self._config
        return team_of_token(token, config.keys_by_id, config.teams_by_id).bind(
            lambda team: _admit_team(queue, team)
        )

    def authorize_operator(self, token: str | None, now: float) -> Result[str, Refused]:
        """Return the id of the operator key that a token authenticates."""
        if not self.is_ready():
            return Error(self._not_ready())
        if token is None:
            return Error(
                Refused(RefusalReason.KEY_REQUIRED, "an operator key is needed")
            )
        if self.is_cut_off(now):
            return Error(self._stale())
        verified = verify_token(token, self._config.keys_by_id)
        return verified.bind(
            lambda key: (
                Ok(key.key_id)
                if key.operator
                else Error(
                    Refused(RefusalReason.INVALID_KEY, "the key is no operator key")
                )
            )
        )

    def _note_contact(self, at: float) -> None:
        if self._contact_at is None or at > self._contact_at:
            self._contact_at = at

    def _not_ready(self) -> Refused:
        if self._generation == 0:
            return Refused(RefusalReason.NO_CONFIGURATION, "no configuration read yet")
        if self.is_behind():
            return Refused(
                RefusalReason.CONFIGURATION_STALE,
                f"generation {self._generation} is in force, a newer one was seen",
            )
        return Refused(
            RefusalReason.NO_CONFIGURATION,
            "the newest generation is not known yet",
        )

    def _stale(self) -> Refused:
        return Refused(
            RefusalReason.CONFIGURATION_STALE,
            f"no contact for {self._settings.cut_off_serve_s:g} s",
        )


def _admit_team(queue: Queue, team: str) -> Result[Admitted, Refused]:
    if queue.teams and team not in queue.teams and not queue.open_to_all:
        return Error(
            Refused(RefusalReason.QUEUE_NOT_ALLOWED, f"team {team} on {queue.name}")
        )
    return Ok(Admitted(team, queue))
