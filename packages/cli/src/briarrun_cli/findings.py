"""Findings of a check, each with its location."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pydantic import ValidationError


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """Defect at a location.

    ``place`` is a file name followed by a JSON pointer, such as
    ``teams/planner.json#/limit/cores``.
    """

    place: str
    message: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return f"{self.place}: {self.message}"


def pointer(parts: Iterable[str | int]) -> str:
    """Return the JSON pointer for a path of keys and indexes."""
    escaped = (str(part).replace("~", "~0").replace("/", "~1") for part in parts)
    return "".join(f"/{part}" for part in escaped)


def findings_of(file_name: str, error: ValidationError) -> list[Finding]:
    """Return all findings of a failed validation of one file."""
    return [
        Finding(f"{file_name}#{pointer(item['loc'])}", _message(item["msg"]))
        for item in error.errors(include_url=False)
    ]


def _message(text: str) -> str:
    """Return a pydantic message in the style of the other findings."""
    plain = text.removeprefix("Value error, ").replace(
        "Extra inputs are not permitted",
        "unknown field",
    )
    return plain[:1].lower() + plain[1:]
