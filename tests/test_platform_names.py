"""Guard the boundary of ``platform/``: names of the platform stay inside."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
OUTSIDE = ("packages", "tools")
NAMES = (
    "ackCursor",
    "antiAffinity",
    "dataRack",
    "fencingToken",
    "gangScheduled",
    "log-append",
    "log-newest",
    "log-read",
    "machine-move",
    "machine-upkeep",
    "Expected-Instance",
    "pathPrefix",
    "requestedMemoryMb",
    "run-start",
    "run-stop",
    "savesProgress",
    "seedNodes",
    "untilMs",
)


def _sources(*folders: str) -> list[Path]:
    return [path for each in folders for path in sorted((ROOT / each).rglob("*.py"))]


@pytest.mark.parametrize("name", NAMES)
def test_wire_names_stay_inside(name: str) -> None:
    """Guards against a wire name that spreads into the product."""
    found = [str(path) for path in _sources(*OUTSIDE) if name in path.read_text()]
    assert found == []


def test_only_the_entry_point_imports_the_adapter() -> None:
    """Guards against a package that depends on the platform."""
    importing = []
    for path in _sources(*OUTSIDE):
        for node in ast.walk(ast.parse(path.read_text())):
            modules = []
            if isinstance(node, ast.Import):
                modules = [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom):
                modules = [node.module or ""]
            if any(module.startswith("briarrun_platform") for module in modules):
                importing.append(str(path))
    assert importing == []


def test_the_adapter_imports_no_decision() -> None:
    """Guards against decisions that move into the adapter."""
    deciding = {
        "planner",
        "ranking",
        "ledger",
        "holder",
        "election",
        "orders",
        "advice",
    }
    for path in _sources("platform"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                package, _, module = node.module.partition(".")
                assert package != "briarrun_cell" or module not in deciding, path
