"""Settings of one daemon, validated when they are loaded."""

from __future__ import annotations

import ipaddress
import json
from pathlib import Path
from typing import Annotated, Any

from expression import Error, Ok, Result
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator:
        raise ValueError("must have the form <IP address>:<port>")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("must start with an IP address, not a host name") from None
    if not port.isdigit() or int(port) > 65535:
        raise ValueError("must end with a port from 0 to 65535")
    return value


Address = Annotated[
    str,
    AfterValidator(_check_address),
    Field(description="<IP address>:<port>", examples=["127.0.0.1:7000"]),
]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Seconds = Annotated[float, Field(gt=0, le=86_400)]
Count = Annotated[int, Field(ge=1, le=10_000_000)]
CurveKey = Annotated[str, Field(min_length=40, max_length=40)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class PeerSettings(_Model):
    """Identity of another daemon and the address at which it accepts peers."""

    vm_id: Name
    domain: Name
    region: Name
    address: Address


class CurveSettings(_Model):
    """CURVE key pair shared by all daemons of the fleet, encoded as Z85 text."""

    public: CurveKey
    secret: CurveKey


class EndpointSettings(_Model):
    """Worker or upstream of this failure domain."""

    id: Annotated[str, Field(min_length=1, max_length=128)]
    address: Address


class TimingSettings(_Model):
    """Intervals and time limits; the defaults are those of the design page."""

    authority_term_s: Seconds = 0.3
    heartbeat_interval_s: Seconds = 0.1
    remote_heartbeat_interval_s: Seconds = 1.0
    log_read_interval_s: Seconds = 0.1
    log_call_timeout_s: Seconds = 1.0
    skew_bound_s: Seconds = 0.05
    claim_margin_s: Seconds = 0.1
    elector_silence_s: Seconds = 1.0
    vm_list_interval_s: Seconds = 1.0
    vm_list_lag_s: Seconds = 30.0
    peer_silence_s: Seconds = 0.25
    task_lease_s: Seconds = 15.0
    renew_interval_s: Seconds = 5.0
    renew_tick_s: Seconds = 0.5
    worker_call_timeout_s: Seconds = 1.0
    inventory_interval_s: Seconds = 2.0
    status_interval_s: Seconds = 1.0
    upstream_connect_timeout_s: Seconds = 1.0
    decide_interval_s: Seconds = 0.02
    jobs_flush_interval_s: Seconds = 0.25
    transfer_interval_s: Seconds = 1.0
    log_retention_s: Annotated[float, Field(gt=0)] = 86_400.0
    snapshot_check_interval_s: Seconds = 10.0
    cut_off_serve_s: Seconds = 300.0
    request_record_s: Seconds = 600.0
    default_deadline_s: Seconds = 30.0
    max_deadline_s: Seconds = 300.0
    peer_call_timeout_s: Seconds = 2.0
    durability_timeout_s: Seconds = 2.0
    retry_base_s: Seconds = 0.02
    retry_max_s: Seconds = 1.0
    drain_timeout_s: Seconds = 60.0


class LimitSettings(_Model):
    """Limits on memory and on work in progress."""

    max_body_bytes: Count = 1_048_576
    max_header_bytes: Count = 16_384
    max_connections: Count = 2_000
    max_waiting_urgent: Count = 1_000
    max_waiting_normal: Count = 500
    max_waiting_low: Count = 250
    max_attempts: Count = 4
    retry_budget_ratio: Annotated[float, Field(ge=0, le=1)] = 0.2
    retry_budget_minimum: Count = 10
    max_record_answer_bytes: Count = 4_096
    decisions_per_round: Count = 64
    log_read_records: Count = 1_000
    log_append_records: Count = 200
    worker_calls_at_once: Count = 256


class Settings(_Model):
    """Settings of one daemon."""

    vm_id: Name
    failure_domain: Name
    region: Name
    http_listen: Address
    peer_listen: Address
    fleet_key: CurveSettings
    log_service: Address
    vm_list: Address | None = None
    peers: list[PeerSettings] = []
    workers: list[EndpointSettings] = []
    upstreams: list[EndpointSettings] = []
    timing: TimingSettings = TimingSettings()
    limits: LimitSettings = LimitSettings()

    @model_validator(mode="after")
    def _check_unique(self) -> Settings:
        for label, names in (
            ("peers", [peer.vm_id for peer in self.peers]),
            ("workers", [worker.id for worker in self.workers]),
            ("upstreams", [upstream.id for upstream in self.upstreams]),
        ):
            repeated = sorted({name for name in names if names.count(name) > 1})
            if repeated:
                raise ValueError(f"{label}: repeated {', '.join(repeated)}")
        return self

    @model_validator(mode="after")
    def _check_times(self) -> Settings:
        timing = self.timing
        if timing.heartbeat_interval_s * 2 > timing.authority_term_s:
            raise ValueError(
                "timing: heartbeat_interval_s must be at most half of authority_term_s"
            )
        if timing.renew_interval_s * 2 > timing.task_lease_s:
            raise ValueError(
                "timing: renew_interval_s must be at most half of task_lease_s"
            )
        return self


def split_address(address: str) -> tuple[str, int]:
    """Split ``<IP address>:<port>`` into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def schema_text() -> str:
    """Return the JSON schema of the settings file."""
    return json.dumps(Settings.model_json_schema(), indent=2, sort_keys=True) + "\n"


def parse_settings(data: Any) -> Result[Settings, list[str]]:
    """Validate the settings; return one ``<JSON pointer>: <message>`` per error."""
    try:
        return Ok(Settings.model_validate(data))
    except ValidationError as error:
        return Error(
            [
                f"{_pointer(item['loc'])}: {item['msg']}"
                for item in error.errors(include_url=False, include_context=False)
            ]
        )


def read_settings(path: Path) -> Result[Settings, list[str]]:
    """Read and validate a settings file; return its errors if it is invalid."""
    try:
        data = json.loads(path.read_bytes())
    except OSError as error:
        return Error([f"{path}: {error.strerror}"])
    except ValueError as error:
        return Error([f"{path}: is not JSON: {error}"])
    return parse_settings(data)


def _pointer(location: tuple[int | str, ...]) -> str:
    parts = (str(part).replace("~", "~0").replace("/", "~1") for part in location)
    return "/" + "/".join(parts) if location else "/"
