"""Readable description of configuration changes."""

from __future__ import annotations

from typing import Any


def describe_patch(
    base: dict[str, Any],
    patch: dict[str, Any],
    place: str = "",
) -> list[str]:
    """Return one line per change: ``+`` for added, ``-`` removed, ``~`` changed."""
    lines: list[str] = []
    for key in sorted(patch):
        location, value = f"{place}/{key}", patch[key]
        before = base.get(key)
        if value is None:
            lines.append(f"- {location}")
        elif isinstance(value, dict) and isinstance(before, dict):
            lines.extend(describe_patch(before, value, location))
        elif key in base:
            lines.append(f"~ {location}: {before!r} -> {value!r}")
        else:
            lines.append(f"+ {location}")
    return lines
