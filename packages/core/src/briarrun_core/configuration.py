"""Configuration generations, JSON merge patches and digests."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec

from briarrun_core.model import FleetConfig
from briarrun_core.records import ConfigRecord
from briarrun_core.resources import NOTHING


class ConfigVersion(msgspec.Struct, frozen=True, kw_only=True):
    """One generation of the configuration, as relayed between peers.

    ``offset`` is the offset after the log record that created the generation.
    """

    generation: int = 0
    offset: int = 0
    document: dict[str, Any] = {}


class ConfigError(Exception):
    """Raised for an invalid configuration or a change that cannot be applied."""


def merge_patch(document: Any, changes: Any) -> Any:
    """Return ``document`` with a JSON merge patch (RFC 7396) applied."""
    if not isinstance(changes, dict):
        return changes
    merged = dict(document) if isinstance(document, dict) else {}
    for name, value in changes.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), value)
    return merged


def diff_documents(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Return the merge patch that turns ``old`` into ``new``."""
    changes: dict[str, Any] = {name: None for name in old.keys() - new.keys()}
    for name, value in new.items():
        before = old.get(name)
        if isinstance(before, dict) and isinstance(value, dict):
            inner = diff_documents(before, value)
            if inner:
                changes[name] = inner
        elif name not in old or before != value:
            changes[name] = value
    return changes


def canonical_json(document: Any) -> bytes:
    """Return JSON with sorted keys and no spaces, over which digests are computed."""
    return msgspec.json.encode(document, order="sorted")


def digest_of(document: Any) -> str:
    """Return the hexadecimal SHA-256 of a document's canonical JSON."""
    return hashlib.sha256(canonical_json(document)).hexdigest()


def parse_document(document: dict[str, Any]) -> FleetConfig:
    """Return the typed configuration; raises ``ConfigError`` if it is invalid."""
    try:
        config = msgspec.convert(document, FleetConfig)
    except msgspec.ValidationError as error:
        raise ConfigError(str(error)) from error
    findings = [
        f"/teams_by_id/{team_id}/limit: must not be negative"
        for team_id, team in sorted(config.teams_by_id.items())
        if not NOTHING.fits_in(team.limit)
    ]
    findings += [
        f"/{section}/{name}: names {own!r}"
        for section, names in (
            ("domains_by_name", {k: v.name for k, v in config.domains_by_name.items()}),
            ("teams_by_id", {k: v.team_id for k, v in config.teams_by_id.items()}),
            ("queues_by_name", {k: v.name for k, v in config.queues_by_name.items()}),
            ("keys_by_id", {k: v.key_id for k, v in config.keys_by_id.items()}),
        )
        for name, own in sorted(names.items())
        if name != own
    ]
    if findings:
        raise ConfigError("; ".join(findings))
    return config


def next_version(
    current: ConfigVersion, record: ConfigRecord, offset: int
) -> tuple[ConfigVersion, FleetConfig]:
    """Return the generation that results from applying ``record`` to ``current``.

    Raises ``ConfigError`` if the base is not current, the digest does not match or the
    result is invalid. Every reader of the log then rejects the record in the same way.
    """
    if record.base_generation != current.generation:
        raise ConfigError(
            f"based on generation {record.base_generation},"
            f" but {current.generation} is active"
        )
    document = merge_patch(current.document, record.changes)
    digest = digest_of(document)
    if digest != record.digest:
        raise ConfigError(f"the result has digest {digest}, not {record.digest}")
    config = parse_document(document)
    version = ConfigVersion(
        generation=current.generation + 1, offset=offset + 1, document=document
    )
    return version, config
