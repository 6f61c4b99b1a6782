"""Output of results as text or JSON."""

from __future__ import annotations

import json
from typing import Any

import typer


def show(data: Any, lines: list[str], as_json: bool) -> None:
    """Print ``data`` as JSON, or else the lines of readable text."""
    if as_json:
        typer.echo(json.dumps(data, indent=2, sort_keys=True))
        return
    for line in lines:
        typer.echo(line)


def fields_of(data: dict[str, Any]) -> list[str]:
    """Return one line for each field, with nested values as compact JSON."""
    return [f"{name}: {_text(value)}" for name, value in data.items()]


def _text(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value, sort_keys=True)
