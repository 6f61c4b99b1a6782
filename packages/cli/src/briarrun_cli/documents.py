"""Validated models of the declaration files."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from briarrun_core.model import Domain, Key, Policy, Queue, Team, Urgency
from briarrun_core.resources import Resources

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
SHA256_PATTERN = r"^[0-9a-f]{64}$"

MAX_MILLICORES = 100_000_000
MAX_MEMORY_MIB = 1_000_000_000
MAX_ACCELERATORS = 100_000
MAX_SLOTS = 1_000_000
MAX_WEIGHT = 1000.0
MAX_WAITING = 1_000_000

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class Document(BaseModel):
    """Refuse unknown fields and silent conversions in every declaration."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class LimitDocument(Document):
    """Declare an upper limit; ``cores`` counts thousandths of a core."""

    cores: int = Field(default=0, ge=0, le=MAX_MILLICORES)
    memory_mib: int = Field(default=0, ge=0, le=MAX_MEMORY_MIB)
    accelerators: int = Field(default=0, ge=0, le=MAX_ACCELERATORS)
    slots: int = Field(default=0, ge=0, le=MAX_SLOTS)

    def resources(self) -> Resources:
        """Return the limit as a resource vector."""
        return Resources(self.cores, self.memory_mib, self.accelerators, self.slots)


class KeyDocument(Document):
    """Declare a key by the SHA-256 of its secret."""

    secret_sha256: str = Field(pattern=SHA256_PATTERN)
    operator: bool = False


class TeamDocument(Document):
    """Declare a team: ``teams/<team>.json``."""

    weight: float = Field(default=1.0, gt=0.0, le=MAX_WEIGHT)
    limit: LimitDocument
    keys: dict[Name, KeyDocument] = {}

    @classmethod
    def of(cls, team: Team, keys: Iterable[Key]) -> TeamDocument:
        """Return the document of a team with those of the keys that are its own."""
        limit = team.limit
        return cls(
            weight=team.weight,
            limit=LimitDocument(
                cores=limit.cores,
                memory_mib=limit.memory_mib,
                accelerators=limit.accelerators,
                slots=limit.slots,
            ),
            keys={
                key.key_id: KeyDocument(
                    secret_sha256=key.secret_sha256,
                    operator=key.operator,
                )
                for key in keys
                if key.team == team.team_id
            },
        )

    def team(self, team_id: str) -> Team:
        """Return the team of the model."""
        return Team(team_id=team_id, weight=self.weight, limit=self.limit.resources())

    def to_keys(self, team_id: str) -> dict[str, Key]:
        """Return the team's keys of the model by key id."""
        return {
            key_id: Key(
                key_id=key_id,
                team=team_id,
                secret_sha256=key.secret_sha256,
                operator=key.operator,
            )
            for key_id, key in self.keys.items()
        }


class QueueDocument(Document):
    """Declare a queue: ``queues/<queue>.json``."""

    open_to_all: bool = False
    teams: list[Name] = []
    policy: Name = "default"
    default_urgency: Annotated[Urgency, Field(strict=False)] = Urgency.NORMAL
    max_waiting: int = Field(default=1000, ge=1, le=MAX_WAITING)

    @classmethod
    def of(cls, queue: Queue) -> QueueDocument:
        """Return the document of a queue."""
        return cls(
            open_to_all=queue.open_to_all,
            teams=list(queue.teams),
            policy=queue.policy,
            default_urgency=queue.default_urgency,
            max_waiting=queue.max_waiting,
        )

    def queue(self, name: str) -> Queue:
        """Return the queue of the model."""
        return Queue(
            name=name,
            open_to_all=self.open_to_all,
            teams=tuple(self.teams),
            policy=self.policy,
            default_urgency=self.default_urgency,
            max_waiting=self.max_waiting,
        )


class DomainDocument(Document):
    """Declare a failure domain's region."""

    region: Name


class PolicyDocument(Document):
    """Declare a scheduling policy and its parameters."""

    kind: Name = "weighted-share"
    parameters: dict[str, float] = {}


class FleetDocument(Document):
    """Declare failure domains and policies: ``fleet.json``."""

    domains: dict[Name, DomainDocument] = Field(min_length=1)
    policies: dict[Name, PolicyDocument] = {"default": PolicyDocument()}

    def to_domains(self) -> dict[str, Domain]:
        """Return the failure domains of the model by name."""
        return {
            name: Domain(name=name, region=domain.region)
            for name, domain in self.domains.items()
        }

    def to_policies(self) -> dict[str, Policy]:
        """Return the policies of the model by name."""
        return {
            name: Policy(name=name, kind=item.kind, parameters=item.parameters)
            for name, item in self.policies.items()
        }


class BaseDocument(Document):
    """Hold the generation that a folder was made from: ``generation.json``."""

    generation: int = Field(default=0, ge=0)
