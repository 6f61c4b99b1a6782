"""Granting and withdrawal of keys in the declarations."""

from __future__ import annotations

import dataclasses
import re

from briarrun_cli.declarations import Declarations
from briarrun_cli.documents import NAME_PATTERN, KeyDocument, TeamDocument
from briarrun_cli.exits import CommandError, ExitStatus
from briarrun_core.keys import NewKey, generate_key


def grant_key(
    declarations: Declarations,
    team_id: str,
    key_id: str,
    operator: bool = False,
) -> tuple[Declarations, NewKey]:
    """Return the declarations with a new key for a team, and the key itself."""
    team = declarations.teams_by_id.get(team_id)
    if team is None:
        message = f"no team {team_id!r} is declared"
        raise CommandError(ExitStatus.INVALID, message)
    if re.fullmatch(NAME_PATTERN, key_id) is None:
        message = f"key id {key_id!r} must match {NAME_PATTERN}"
        raise CommandError(ExitStatus.INVALID, message)
    if find_owner(declarations, key_id) is not None:
        message = f"a key {key_id!r} is already declared"
        raise CommandError(ExitStatus.INVALID, message)
    new = generate_key(key_id, team_id, operator)
    document = KeyDocument(secret_sha256=new.key.secret_sha256, operator=operator)
    keys = team.keys | {key_id: document}
    return _with_keys(declarations, team_id, team, keys), new


def withdraw_key(declarations: Declarations, key_id: str) -> Declarations:
    """Return the declarations with a key removed."""
    owner = find_owner(declarations, key_id)
    if owner is None:
        message = f"no key {key_id!r} is declared"
        raise CommandError(ExitStatus.INVALID, message)
    team = declarations.teams_by_id[owner]
    keys = {name: key for name, key in team.keys.items() if name != key_id}
    return _with_keys(declarations, owner, team, keys)


def find_owner(declarations: Declarations, key_id: str) -> str | None:
    """Return the id of the team that owns a key, or None."""
    owners = (t for t, team in declarations.teams_by_id.items() if key_id in team.keys)
    return next(owners, None)


def _with_keys(
    declarations: Declarations,
    team_id: str,
    team: TeamDocument,
    keys: dict[str, KeyDocument],
) -> Declarations:
    changed = team.model_copy(update={"keys": keys})
    teams = declarations.teams_by_id | {team_id: changed}
    return dataclasses.replace(declarations, teams_by_id=teams)
