"""Folder of declaration files that governs a fleet."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

from pydantic import ValidationError

from briarrun_cli.documents import (
    NAME_PATTERN,
    BaseDocument,
    Document,
    DomainDocument,
    FleetDocument,
    PolicyDocument,
    QueueDocument,
    TeamDocument,
)
from briarrun_cli.findings import Finding, findings_of
from briarrun_core.model import OPEN_TEAM, FleetConfig, Key

FLEET_FILE = "fleet.json"
BASE_FILE = "generation.json"
TEAMS_FOLDER = "teams"
QUEUES_FOLDER = "queues"
DEFAULT_POLICY = "default"
"""Policy that exists without a declaration."""

D = TypeVar("D", bound=Document)


@dataclass(frozen=True, slots=True)
class Declarations:
    """Hold all documents of a folder."""

    fleet: FleetDocument
    teams_by_id: dict[str, TeamDocument] = field(default_factory=dict)
    queues_by_name: dict[str, QueueDocument] = field(default_factory=dict)
    base: BaseDocument = BaseDocument()

    def config(self) -> FleetConfig:
        """Return the configuration document that the declarations yield."""
        keys_by_id: dict[str, Key] = {}
        for team_id, team in self.teams_by_id.items():
            keys_by_id.update(team.to_keys(team_id))
        return FleetConfig(
            domains_by_name=self.fleet.to_domains(),
            teams_by_id={
                team_id: team.team(team_id)
                for team_id, team in self.teams_by_id.items()
            },
            queues_by_name={
                name: queue.queue(name) for name, queue in self.queues_by_name.items()
            },
            keys_by_id=keys_by_id,
            policies_by_name=self.fleet.to_policies(),
        )


@dataclass(frozen=True, slots=True)
class Loaded:
    """Hold what a folder yields; ``declarations`` is missing if a file is invalid."""

    declarations: Declarations | None
    findings: tuple[Finding, ...]


class InvalidDeclarationsError(Exception):
    """Report every finding of a folder that can't be used."""

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


def load(folder: Path) -> Loaded:
    """Load and check a folder as a whole.

    Findings of all files are collected, and references between files are checked as far
    as the files themselves are valid.
    """
    findings: list[Finding] = []
    fleet = _load_file(folder / FLEET_FILE, FLEET_FILE, FleetDocument, findings)
    teams = _load_folder(folder, TEAMS_FOLDER, TeamDocument, findings)
    queues = _load_folder(folder, QUEUES_FOLDER, QueueDocument, findings)
    base = _load_base(folder, findings)
    if fleet is None or findings:
        return Loaded(None, tuple(sorted(findings)))
    declarations = Declarations(fleet, teams, queues, base)
    findings.extend(check_references(declarations))
    return Loaded(declarations, tuple(sorted(findings)))


def load_valid(folder: Path) -> Declarations:
    """Load a folder or raise ``InvalidDeclarationsError`` with every finding."""
    loaded = load(folder)
    if loaded.declarations is None or loaded.findings:
        raise InvalidDeclarationsError(loaded.findings)
    return loaded.declarations


def save(folder: Path, declarations: Declarations) -> None:
    """Write all documents in one canonical form and remove files of removed ones."""
    folder.mkdir(parents=True, exist_ok=True)
    _write(folder / FLEET_FILE, declarations.fleet)
    _write(folder / BASE_FILE, declarations.base)
    _save_folder(folder / TEAMS_FOLDER, declarations.teams_by_id)
    _save_folder(folder / QUEUES_FOLDER, declarations.queues_by_name)


def from_config(config: FleetConfig, generation: int) -> Declarations:
    """Return the declarations that yield a configuration in force.

    Raises ``pydantic.ValidationError`` if the configuration breaks a rule of the files.
    """
    return Declarations(
        FleetDocument(
            domains={
                name: DomainDocument(region=domain.region)
                for name, domain in config.domains_by_name.items()
            },
            policies={
                name: PolicyDocument(kind=item.kind, parameters=dict(item.parameters))
                for name, item in config.policies_by_name.items()
            },
        ),
        {
            team_id: TeamDocument.of(team, config.keys_by_id.values())
            for team_id, team in config.teams_by_id.items()
        },
        {name: QueueDocument.of(q) for name, q in config.queues_by_name.items()},
        BaseDocument(generation=generation),
    )


def check_references(declarations: Declarations) -> list[Finding]:
    """Return findings about names that no other declaration explains."""
    return [
        *_check_queues(declarations),
        *_check_keys(declarations),
    ]


def _check_queues(declarations: Declarations) -> list[Finding]:
    findings = []
    for name, queue in declarations.queues_by_name.items():
        place = f"{QUEUES_FOLDER}/{name}.json#"
        if queue.policy not in {DEFAULT_POLICY, *declarations.fleet.policies}:
            findings.append(
                Finding(f"{place}/policy", f"no policy {queue.policy!r} is declared"),
            )
        for index, team in enumerate(queue.teams):
            if team not in declarations.teams_by_id:
                findings.append(
                    Finding(f"{place}/teams/{index}", f"no team {team!r} is declared"),
                )
        if queue.open_to_all and OPEN_TEAM not in declarations.teams_by_id:
            message = f"an open queue needs a team {OPEN_TEAM!r} with its limit"
            findings.append(Finding(f"{place}/open_to_all", message))
    return findings


def _check_keys(declarations: Declarations) -> list[Finding]:
    findings = []
    owner_by_key: dict[str, str] = {}
    for team_id, team in sorted(declarations.teams_by_id.items()):
        for key_id in team.keys:
            owner = owner_by_key.setdefault(key_id, team_id)
            if owner != team_id:
                findings.append(
                    Finding(
                        f"{TEAMS_FOLDER}/{team_id}.json#/keys/{key_id}",
                        f"team {owner!r} already has a key with this id",
                    ),
                )
    return findings


def _load_base(folder: Path, findings: list[Finding]) -> BaseDocument:
    """Return the folder's generation; a folder that was never published has 0."""
    path = folder / BASE_FILE
    if not path.exists():
        return BaseDocument()
    return _load_file(path, BASE_FILE, BaseDocument, findings) or BaseDocument()


def _load_folder(
    folder: Path,
    name: str,
    model: type[D],
    findings: list[Finding],
) -> dict[str, D]:
    documents = {}
    for path in sorted((folder / name).glob("*.json")):
        document = _load_file(path, f"{name}/{path.name}", model, findings)
        if document is not None:
            documents[path.stem] = document
    return documents


def _load_file(
    path: Path,
    shown: str,
    model: type[D],
    findings: list[Finding],
) -> D | None:
    try:
        data = json.loads(path.read_bytes())
    except FileNotFoundError:
        findings.append(Finding(shown, "file is missing"))
        return None
    except (OSError, ValueError, RecursionError) as error:
        findings.append(Finding(shown, f"can't be read as JSON: {error}"))
        return None
    findings.extend(_check_file_name(path, shown))
    try:
        return model.model_validate(data)
    except ValidationError as error:
        findings.extend(findings_of(shown, error))
        return None


def _check_file_name(path: Path, shown: str) -> list[Finding]:
    if re.match(NAME_PATTERN, path.stem):
        return []
    return [Finding(shown, f"file name must match {NAME_PATTERN}")]


def _save_folder(folder: Path, documents: dict[str, D]) -> None:
    folder.mkdir(exist_ok=True)
    for path in folder.glob("*.json"):
        if path.stem not in documents:
            path.unlink()
    for name, document in documents.items():
        _write(folder / f"{name}.json", document)


def _write(path: Path, document: Document) -> None:
    text = json.dumps(document.model_dump(mode="json"), indent=2, sort_keys=True)
    path.write_text(text + "\n")
