"""Settings of a process of the cell."""

from __future__ import annotations

from dataclasses import dataclass

from briarrun_cell.ports import StoreLimits

DEFAULT_MEMORY_MB = 200
"""Memory of the smallest VM."""

DEFAULT_FILE_DESCRIPTORS = 4096
"""Descriptors that a VM has if the settings do not say it."""


@dataclass(frozen=True, slots=True)
class CellSettings:
    """Validated settings of one process; times are in seconds.

    ``max_config_age_s`` is the age of the configuration above which keys are not
    checked and requests are refused. ``max_lease_s`` is the longest lease that a worker
    grants. ``cores`` is the processor time available to the process, in cores.
    ``memory_mb`` (10^6 bytes) and ``file_descriptors`` are the bounds of the VM.
    """

    vm: str
    failure_domain: str
    region: str
    callers_address: str
    readiness_address: str
    peer_address: str
    store_address: str
    advice_address: str
    max_config_age_s: float
    max_lease_s: float
    grace_s: float
    keep_final_s: float
    cores: float
    store_limits: StoreLimits = StoreLimits()
    memory_mb: int = DEFAULT_MEMORY_MB
    file_descriptors: int = DEFAULT_FILE_DESCRIPTORS


@dataclass(frozen=True, slots=True)
class SettingsFinding:
    """Error in the settings and its location."""

    place: str
    defect: str


class SettingsInvalid(Exception):  # noqa: N818 - carries several findings
    """The settings are invalid."""

    def __init__(self, findings: list[SettingsFinding]) -> None:
        lines = "; ".join(f"{each.place}: {each.defect}" for each in findings)
        super().__init__(f"the settings are not valid: {lines}")
        self.findings = findings
