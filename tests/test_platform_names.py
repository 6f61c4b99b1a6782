"""Tests that names of the platform are used only inside ``platform/``."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
OTHER_FOLDERS = ("packages", "tools")
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
def test_wire_names_are_used_only_in_the_adapter(name: str) -> None:
    """Guards against wire names of the platform outside the adapter."""
    found = [str(path) for path in _sources(*OTHER_FOLDERS) if name in path.read_text()]
    assert found == []


def test_only_the_entry_point_imports_the_adapter() -> None:
    """Guards against a package that depends on the platform adapter."""
    importers = []
    for path in _sources(*OTHER_FOLDERS):
        for node in ast.walk(ast.parse(path.read_text())):
            modules = []
            if isinstance(node, ast.Import):
                modules = [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom):
                modules = [node.module or ""]
            if any(module.startswith("briarrun_platform") for module in modules):
                importers.append(str(path))
    assert importers == []


def test_adapter_imports_no_decision_modules() -> None:
    """Guards against decision logic inside the adapter."""
    decision_modules = {
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
                assert (
                    package != "briarrun_cell" or module not in decision_modules
                ), path
