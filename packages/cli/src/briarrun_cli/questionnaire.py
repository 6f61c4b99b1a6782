"""Questionnaire for new teams, and the declarations created from its answers."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from pydantic import Field

from briarrun_cli.declarations import Declarations
from briarrun_cli.documents import (
    BaseDocument,
    Document,
    DomainDocument,
    FleetDocument,
    LimitDocument,
    Name,
    QueueDocument,
    TeamDocument,
)
from briarrun_core.model import Urgency

MILLICORES_PER_CORE = 1000
MIB_PER_GIB = 1024


class Workload(StrEnum):
    """Kind of work that a team runs; each kind gets its own queue."""

    REQUESTS = "requests"
    SERVICES = "services"
    BATCH = "batch"
    GANGS = "gangs"


class Importance(StrEnum):
    """Relative share of a full fleet to which a team is entitled."""

    SMALL = "small"
    MEDIUM = "medium"
    LARGE = "large"


WEIGHT_BY_IMPORTANCE = {
    Importance.SMALL: 1.0,
    Importance.MEDIUM: 2.0,
    Importance.LARGE: 4.0,
}


class TeamAnswers(Document):
    """Answers of a team; ``memory_gib`` is in GiB and ``cores`` in whole cores."""

    team: Name
    runs: dict[
        Annotated[Workload, Field(strict=False)],
        Annotated[Urgency, Field(strict=False)],
    ] = Field(min_length=1)
    share: Annotated[Importance, Field(strict=False)] = Importance.SMALL
    cores: int = Field(ge=0, le=100_000)
    memory_gib: int = Field(ge=0, le=900_000)
    accelerators: int = Field(default=0, ge=0, le=100_000)
    concurrent_requests: int = Field(default=0, ge=0, le=1_000_000)


class FleetAnswers(Document):
    """Answers about the fleet: the region of each failure domain by name."""

    domains: dict[Name, Name] = Field(min_length=1)


class Answers(Document):
    """Answers file; ``fleet`` is required for a new folder."""

    fleet: FleetAnswers | None = None
    teams: list[TeamAnswers] = []


def apply_answers(base: Declarations | None, answers: Answers) -> Declarations:
    """Return the declarations with the answers applied.

    An existing team keeps its keys, and its queues for workloads that it no longer runs
    are removed. Raises ``ValueError`` if the answers about the fleet are missing for a
    new folder.
    """
    fleet = _fleet(base, answers)
    teams = dict(base.teams_by_id) if base else {}
    queues = dict(base.queues_by_name) if base else {}
    for team in answers.teams:
        teams[team.team] = _team(teams.get(team.team), team)
        for workload in Workload:
            queues.pop(queue_name(team.team, workload), None)
        queues.update(_queues(team))
    generation = base.base if base else BaseDocument()
    return Declarations(fleet, teams, queues, generation)


def queue_name(team: str, workload: Workload) -> str:
    """Return the name of a team's queue for one workload."""
    return f"{team}-{workload.value}"


def _fleet(base: Declarations | None, answers: Answers) -> FleetDocument:
    if answers.fleet is None:
        if base is None:
            message = "a new folder needs the failure domains: answer 'fleet'"
            raise ValueError(message)
        return base.fleet
    domains = {
        name: DomainDocument(region=region)
        for name, region in answers.fleet.domains.items()
    }
    if base is None:
        return FleetDocument(domains=domains)
    return base.fleet.model_copy(update={"domains": domains})


def _team(existing: TeamDocument | None, answers: TeamAnswers) -> TeamDocument:
    return TeamDocument(
        weight=WEIGHT_BY_IMPORTANCE[answers.share],
        limit=LimitDocument(
            cores=answers.cores * MILLICORES_PER_CORE,
            memory_mib=answers.memory_gib * MIB_PER_GIB,
            accelerators=answers.accelerators,
            slots=answers.concurrent_requests,
        ),
        keys=existing.keys if existing else {},
    )


def _queues(answers: TeamAnswers) -> dict[str, QueueDocument]:
    return {
        queue_name(answers.team, workload): QueueDocument(
            teams=[answers.team],
            default_urgency=urgency,
        )
        for workload, urgency in answers.runs.items()
    }
