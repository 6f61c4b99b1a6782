"""API keys of the form ``brk_<key id>_<secret>``; only the secret's hash is stored."""

from __future__ import annotations

import hashlib
import hmac
import re
import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.model import Key, Team

KEY_PREFIX = "brk"
SECRET_BYTES = 32
_FORM = re.compile(
    rf"{KEY_PREFIX}_(?P<key_id>[A-Za-z0-9._-]{{1,64}})_(?P<secret>[0-9a-f]{{64}})"
)
# An unknown key id is compared with this hash, so that it takes as long to reject as a
# wrong secret.
_NO_SECRET_SHA256 = hashlib.sha256(b"").hexdigest()
_INVALID = Refused(RefusalReason.INVALID_KEY, "the key is unknown or withdrawn")


@dataclass(frozen=True, slots=True)
class NewKey:
    """A generated key; ``token`` is shown once and never stored."""

    key: Key
    token: str = field(repr=False)


def generate_key(
    key_id: str, team: str, operator: bool = False, secret: bytes | None = None
) -> NewKey:
    """Return a new key for a team; raises ``ValueError`` if the key id is malformed.

    ``secret`` is 32 bytes; by default they come from the system's random source.
    """
    raw = secrets.token_bytes(SECRET_BYTES) if secret is None else secret
    token = f"{KEY_PREFIX}_{key_id}_{raw.hex()}"
    if _FORM.fullmatch(token) is None:
        raise ValueError(
            f"key id {key_id!r}: must be 1 to 64 characters of A-Z a-z 0-9 . _ -"
        )
    key = Key(
        key_id=key_id,
        team=team,
        secret_sha256=hash_secret(raw.hex()),
        operator=operator,
    )
    return NewKey(key, token)


def hash_secret(secret: str) -> str:
    """Return the hexadecimal SHA-256 of a secret."""
    return hashlib.sha256(secret.encode()).hexdigest()


def parse_token(token: str) -> tuple[str, str] | None:
    """Return the key id and secret of a token, or None if it is malformed."""
    match = _FORM.fullmatch(token)
    return (match["key_id"], match["secret"]) if match else None


def verify_token(token: str, keys_by_id: Mapping[str, Key]) -> Result[Key, Refused]:
    """Return the key that a token authenticates; compares hashes in constant time."""
    parsed = parse_token(token)
    if parsed is None:
        return Error(_INVALID)
    key_id, secret = parsed
    key = keys_by_id.get(key_id)
    expected = key.secret_sha256 if key else _NO_SECRET_SHA256
    matches = hmac.compare_digest(hash_secret(secret), expected.lower())
    if key is None or not matches:
        return Error(_INVALID)
    return Ok(key)


def team_of_token(
    token: str, keys_by_id: Mapping[str, Key], teams_by_id: Mapping[str, Team]
) -> Result[str, Refused]:
    """Return the team that a token may act for."""
    verified = verify_token(token, keys_by_id)
    match verified:
        case Result(tag="ok", ok=key):
            if key.team in teams_by_id:
                return Ok(key.team)
            return Error(
                Refused(RefusalReason.UNKNOWN_TEAM, f"team {key.team} does not exist")
            )
        case Result(error=refused):
            return Error(refused)
