"""Commands about declarations, the configuration in force and keys."""

from __future__ import annotations

import asyncio
import dataclasses
from pathlib import Path
from typing import Any

import msgspec
import typer

from briarrun_cli.declarations import Declarations, from_config, load, load_valid, save
from briarrun_cli.documents import BaseDocument
from briarrun_cli.exits import CommandError, ExitStatus
from briarrun_cli.fleet_log import VersionChanges, open_log
from briarrun_cli.key_changes import grant_key, withdraw_key
from briarrun_cli.options import (
    DEFAULT_FOLDER,
    DEFAULT_TIMEOUT_S,
    AuthorOption,
    BaseOption,
    FolderOption,
    JsonOption,
    LogOption,
    TimeoutOption,
)
from briarrun_cli.output import fields_of, show
from briarrun_cli.patches import describe_patch
from briarrun_core.configuration import ConfigVersion, parse_document

config_app = typer.Typer(help="Check, compare and publish the configuration.")
key_app = typer.Typer(help="Grant and withdraw keys.")
team_app = typer.Typer(help="Show the teams of the configuration in force.")


@config_app.command("check")
def check(folder: FolderOption = DEFAULT_FOLDER, as_json: JsonOption = False) -> None:
    """Check the declarations as a whole. Example: briarrun config check -f fleet."""
    findings = load(folder).findings
    data = [{"place": item.place, "message": item.message} for item in findings]
    lines = [str(item) for item in findings] or ["the declarations are valid"]
    show(data, lines, as_json)
    if findings:
        raise typer.Exit(ExitStatus.INVALID)


@config_app.command("diff")
def diff(
    log: LogOption,
    folder: FolderOption = DEFAULT_FOLDER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Compare the declarations with what is in force. Example: briarrun config diff."""
    target = document_of(load_valid(folder))
    published = asyncio.run(_compare(log, timeout, target))
    lines = [f"generation {published.version.generation} is in force"]
    lines += describe_patch(published.version.document, published.changes)
    data = {
        "generation": published.version.generation,
        "changes": published.changes,
    }
    show(data, lines, as_json)


@config_app.command("publish")
def publish(
    log: LogOption,
    folder: FolderOption = DEFAULT_FOLDER,
    base: BaseOption = None,
    author: AuthorOption = "",
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Publish the declarations. Example: briarrun config publish -f fleet.

    The folder remembers the generation it was made from in generation.json. Exit status 4 means that another publication came first and nothing changed.
    """
    declarations = load_valid(folder)
    if base is not None:
        declarations = with_base(declarations, base)
    published = _publish_and_save(folder, declarations, log, author, timeout)
    _show_published(published, as_json)


@config_app.command("show")
def show_config(
    log: LogOption,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Show the configuration in force. Example: briarrun config show --json."""
    version = asyncio.run(_current(log, timeout))
    data = {"generation": version.generation, "document": version.document}
    lines = [f"generation {version.generation}"]
    lines += [
        f"{section}: {', '.join(sorted(entries)) or '-'}"
        for section, entries in sorted(version.document.items())
    ]
    show(data, lines, as_json)


@config_app.command("pull")
def pull(
    log: LogOption,
    folder: FolderOption = DEFAULT_FOLDER,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Write what is in force into the folder. Example: briarrun config pull -f fleet.

    Review the difference with the version control of the folder before publishing.
    """
    version = asyncio.run(_current(log, timeout))
    save(folder, from_config(parse_document(version.document), version.generation))
    data = {"generation": version.generation}
    show(data, [f"the folder holds generation {version.generation}"], as_json)


@key_app.command("grant")
def grant(
    team: str,
    key_id: str,
    log: LogOption,
    folder: FolderOption = DEFAULT_FOLDER,
    operator: bool = typer.Option(False, help="Allow operators' calls."),
    author: AuthorOption = "",
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Grant a key and publish it. Example: briarrun key grant planner tablets-1.

    The key is printed once; only its hash is kept.
    """
    changed, new = grant_key(load_valid(folder), team, key_id, operator)
    try:
        published = _publish_and_save(folder, changed, log, author, timeout)
    except CommandError as error:
        if error.status is ExitStatus.UNKNOWN:
            typer.echo(f"the key may come into force: {new.token}", err=True)
        raise
    data = {"key": new.token, "generation": published.version.generation}
    show(data, [new.token], as_json)


@key_app.command("withdraw")
def withdraw(
    key_id: str,
    log: LogOption,
    folder: FolderOption = DEFAULT_FOLDER,
    author: AuthorOption = "",
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Withdraw a key and publish it. Example: briarrun key withdraw tablets-1."""
    changed = withdraw_key(load_valid(folder), key_id)
    published = _publish_and_save(folder, changed, log, author, timeout)
    _show_published(published, as_json)


@team_app.command("list")
def list_teams(
    log: LogOption,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """List the teams in force. Example: briarrun team list."""
    teams = asyncio.run(_current(log, timeout)).document.get("teams_by_id", {})
    show(teams, sorted(teams) or ["no teams"], as_json)


@team_app.command("show")
def show_team(
    team: str,
    log: LogOption,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Show one team with its queues and key ids. Example: briarrun team show planner."""
    document = asyncio.run(_current(log, timeout)).document
    found = document.get("teams_by_id", {}).get(team)
    if found is None:
        typer.echo(f"no team {team!r} is in force", err=True)
        raise typer.Exit(ExitStatus.FAILED)
    data = found | {
        "queues": sorted(_queues_of(document, team)),
        "keys": sorted(
            key_id
            for key_id, key in document.get("keys_by_id", {}).items()
            if key["team"] == team
        ),
    }
    show(data, fields_of(data), as_json)


def document_of(declarations: Declarations) -> dict[str, Any]:
    """Return the JSON document that the declarations yield."""
    # Through JSON, as the log returns it: a tuple would differ from the list in force.
    encoded = msgspec.json.encode(declarations.config())
    document: dict[str, Any] = msgspec.json.decode(encoded)
    return document


def _queues_of(document: dict[str, Any], team: str) -> list[str]:
    return [
        name
        for name, queue in document.get("queues_by_name", {}).items()
        if queue["open_to_all"] or not queue["teams"] or team in queue["teams"]
    ]


def with_base(declarations: Declarations, generation: int) -> Declarations:
    """Return the declarations as made from another generation."""
    return dataclasses.replace(declarations, base=BaseDocument(generation=generation))


def _publish_and_save(
    folder: Path,
    declarations: Declarations,
    log: str,
    author: str,
    timeout: float,
) -> VersionChanges:
    """Publish first, so that the folder never holds a change that was refused."""
    published = asyncio.run(_publish(log, timeout, declarations, author))
    save(folder, with_base(declarations, published.version.generation))
    return published


async def _publish(
    log: str,
    timeout_s: float,
    declarations: Declarations,
    author: str,
) -> VersionChanges:
    target = document_of(declarations)
    async with open_log(log, timeout_s) as fleet_log:
        return await fleet_log.publish(target, author, declarations.base.generation)


async def _current(log: str, timeout_s: float) -> ConfigVersion:
    async with open_log(log, timeout_s) as fleet_log:
        return await fleet_log.current()


async def _compare(
    log: str, timeout_s: float, target: dict[str, Any]
) -> VersionChanges:
    async with open_log(log, timeout_s) as fleet_log:
        return await fleet_log.compare(target)


def _show_published(published: VersionChanges, as_json: bool) -> None:
    generation = published.version.generation
    if published.changes:
        line = f"generation {generation} is in force"
    else:
        line = f"nothing to change; generation {generation} is in force"
    data = {"generation": generation, "changed": bool(published.changes)}
    show(data, [line], as_json)
