"""Tests of what the decisions of the scheduler may depend on."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

import briarrun_cell.decisions

FOLDER = Path(briarrun_cell.decisions.__file__).parent
MODULES = sorted(FOLDER.glob("*.py"))

FORBIDDEN = (
    "asyncio",
    "socket",
    "ssl",
    "select",
    "selectors",
    "http",
    "urllib",
    "h11",
    "uvloop",
    "zmq",
    "threading",
    "subprocess",
    "briarrun_adapters",
    "briarrun_platform",
    "briarrun_wire.http",
    "briarrun_wire.peer",
    "briarrun_cell.ports",
    "briarrun_cell.fenced",
    "briarrun_cell.journal",
    "briarrun_cell.record_writer",
    "briarrun_cell.tail",
)
"""Modules for concurrency, sockets, HTTP and the store, by prefix of their names."""


def _imports(tree: ast.Module) -> Iterator[str]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert not node.level, "relative imports hide what is imported"
            assert node.module is not None
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def _is_forbidden(name: str) -> bool:
    return any(
        name == prefix or name.startswith((f"{prefix}.", f"{prefix}_"))
        for prefix in FORBIDDEN
    )


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_decisions_import_no_io(path: Path) -> None:
    """Guards against decisions that cannot run in a test without a network."""
    found = [
        name for name in _imports(ast.parse(path.read_text())) if _is_forbidden(name)
    ]
    assert found == []


@pytest.mark.parametrize(
    ("line", "forbidden"),
    [
        ("import asyncio", True),
        ("from socket import create_server", True),
        ("from briarrun_wire.http_client import HttpPool", True),
        ("from briarrun_cell import ports", True),
        ("from briarrun_cell.ledger import Ledger", False),
    ],
)
def test_forbidden_imports_are_found(line: str, forbidden: bool) -> None:
    """Guards against a check that no import can fail."""
    assert any(map(_is_forbidden, _imports(ast.parse(line)))) is forbidden
