"""Tests of the check of the settings file."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from briarrun_cell.settings import SettingsInvalid
from briarrun_platform.settings import decode_settings, load_settings

GOOD: dict[str, Any] = {
    "nodeName": "n1",
    "ipAddress": "10.0.0.1",
    "zone": "fd1",
    "region": "r",
    "internalPortRange": [7420, 7435],
    "listenAddresses": {
        "frontendAddr": "10.0.0.1:8183",
        "readinessAddr": "10.0.0.1:8184",
    },
    "platform": {"address": "10.0.0.2:1"},
    "advice": "10.0.0.3:1",
    "bounds": {"revocationMs": 5000, "maxHoldMs": 10000},
    "aFieldOfTheFuture": {"x": 1},
}


def test_settings_are_decoded() -> None:
    """Guards against wrong units and mixed-up addresses."""
    settings = decode_settings(GOOD)
    assert settings.peer_address == "10.0.0.1:7420"
    assert settings.max_lease_s == 10.0
    assert settings.max_config_age_s == pytest.approx(4.4)
    assert settings.advice_address == "10.0.0.3:1"
    assert (settings.memory_mb, settings.file_descriptors) == (200, 4096)


def test_limits_of_the_vm_are_decoded() -> None:
    """Guards against clients that are bounded by defaults where limits are set."""
    limits = {"memoryMb": 300, "fileDescriptors": 4100}
    settings = decode_settings({**GOOD, "limits": limits})
    assert (settings.memory_mb, settings.file_descriptors) == (300, 4100)


def test_all_findings_are_reported_together_with_their_places() -> None:
    """Guards against a check that reports only the first defect."""
    document = {**GOOD, "zone": 3, "platform": {}, "internalPortRange": []}
    with pytest.raises(SettingsInvalid) as caught:
        decode_settings(document)
    places = {finding.place for finding in caught.value.findings}
    assert places == {"zone", "platform.address", "internalPortRange"}


def test_unreadable_file_is_a_finding(tmp_path: Path) -> None:
    """Guards against a traceback instead of a clear error message."""
    broken = tmp_path / "boot.toml"
    broken.write_text("zone = ")
    for path in (broken, tmp_path / "missing.toml"):
        with pytest.raises(SettingsInvalid):
            load_settings(path)
