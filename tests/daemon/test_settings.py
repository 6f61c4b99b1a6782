"""Settings file, its error messages, and the command line of the daemon."""

from __future__ import annotations

import copy
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from briarrun_daemon.main import main
from briarrun_daemon.settings import parse_settings, schema_text

SCHEMA = Path(__file__).parents[2] / "docs" / "briarrund.schema.json"
VALID: dict[str, Any] = {
    "vm_id": "z1",
    "failure_domain": "zagreb",
    "region": "hr",
    "http_listen": "127.0.0.1:8080",
    "peer_listen": "[::1]:7000",
    "fleet_key": {"public": "p" * 40, "secret": "s" * 40},
    "log_service": "127.0.0.1:9000",
    "peers": [
        {"vm_id": f"z{n}", "domain": "zagreb", "region": "hr", "address": "10.0.0.1:1"}
        for n in (2, 3)
    ],
}
FAULTS: list[tuple[list[tuple[list[Any], Any]], list[str]]] = [
    ([(["vm_id"], "Z 1")], ["/vm_id: "]),
    ([(["colour"], "red")], ["/colour: Extra inputs are not permitted"]),
    ([(["peers", 1, "address"], "host:1")], ["/peers/1/address: "]),
    ([(["peers", 0, "address"], "10.0.0.1:70000")], ["/peers/0/address: "]),
    ([(["http_listen"], "127.0.0.1")], ["/http_listen: "]),
    ([(["timing"], {"renew_interval_s": 0})], ["/timing/renew_interval_s: "]),
    ([(["timing"], {"heartbeat_interval_s": 0.2})], ["/: "]),
    ([(["timing"], {"a/b": 1})], ["/timing/a~1b: "]),
    ([(["peers", 1, "vm_id"], "z2")], ["/: "]),
    ([(["fleet_key", "public"], "short")], ["/fleet_key/public: "]),
    ([(["vm_id"], 5), (["region"], None)], ["/vm_id: ", "/region: "]),
]


@pytest.mark.parametrize(("changes", "pointers"), FAULTS)
def test_findings_are_collected(
    changes: list[tuple[list[Any], Any]], pointers: list[str]
) -> None:
    """Every error must be reported with the location of the invalid setting."""
    data = copy.deepcopy(VALID)
    for path, value in changes:
        target: Any = data
        for part in path[:-1]:
            target = target[part]
        target[path[-1]] = value
    findings = parse_settings(data).error
    assert len(findings) == len(pointers)
    for finding, pointer in zip(findings, pointers, strict=True):
        assert finding.startswith(pointer)


def test_schema_is_current() -> None:
    """The committed JSON schema must match the settings classes."""
    assert SCHEMA.read_text() == schema_text()


@pytest.mark.parametrize(
    ("content", "status", "message"),
    [
        (json.dumps(VALID), 0, ""),
        (json.dumps({**VALID, "colour": 1}), 2, "/colour: Extra"),
        ("{", 2, "is not JSON"),
        (None, 2, "No such file"),
    ],
)
def test_check(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    content: str | None,
    status: int,
    message: str,
) -> None:
    """``--check`` must accept valid settings and reject invalid ones."""
    path = tmp_path / "settings.json"
    if content is not None:
        path.write_text(content)
    assert main([str(path), "--check"]) == status
    assert message in capsys.readouterr().err


def test_daemon_imports_nothing_heavy() -> None:
    """Packages of the command line would put the daemon above its limit of 64 MB."""
    script = (
        "import sys, briarrun_daemon.main;"
        "print([n for n in ('typer', 'rich', 'briarrun_cli', 'matplotlib', 'numpy')"
        " if n in sys.modules])"
    )
    shown = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    assert shown.stdout.strip() == "[]"
