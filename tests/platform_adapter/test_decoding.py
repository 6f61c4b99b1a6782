"""Tests of the decoding of configurations, workers, jobs and inventories."""

from __future__ import annotations

import json
from typing import Any

import pytest

from briarrun_cell.config_view import EvacuationRecord
from briarrun_cell.model import EndKind, Queue, TaskId
from briarrun_cell.ports import Record
from briarrun_core.resources import Resources
from briarrun_platform.decoding import PlatformDecoder, decode_job
from briarrun_platform.workers import decode_inventory
from briarrun_wire.decode import MAX_DURATION_S, DecodeError

QUEUE = Queue(name="q", host="h.example", path_prefix="/q/", pool="planner")
JOB_ID = "5c0e7a21d94b36f8"


def test_all_configuration_fields_are_decoded() -> None:
    """Guards against configuration fields that are lost or mixed up."""
    document = {
        "version": 7,
        "routes": [
            {
                "name": "q",
                "hostname": "h.example",
                "pathPrefix": "/q/",
                "service": "planner",
                "targetLatencyMs": 1200,
                "timeoutMs": 3000,
                "priority": 1,
                "maxAttempts": 3,
                "stretch": 2.2,
                "public": False,
                "advice": {"decisionMs": 800, "perWorkerMs": 7, "validityMs": 2000},
                "fieldOfTheFuture": [1],
            }
        ],
        "services": [{"name": "planner", "admissionCheck": True}],
        "tenants": [
            {
                "name": "roster",
                "apiKeys": ["k1", "k2"],
                "weight": 19,
                "upperBound": {"cpu": 5, "requestedMemoryMb": 6, "gpus": 0},
            }
        ],
    }
    config = PlatformDecoder().decode_config(
        Record("config", json.dumps(document).encode())
    )
    assert config is not None and config.version == 7
    queue = config.queues_by_name["q"]
    assert (queue.host, queue.path_prefix, queue.pool) == (
        "h.example",
        "/q/",
        "planner",
    )
    assert (queue.priority, queue.max_attempts, queue.stretch) == (1, 3, 2.2)
    assert queue.latency_target_s == 1.2
    assert queue.advice is not None
    assert queue.advice.call_s(10) == pytest.approx(0.87)
    assert queue.advice.validity_s == 2.0
    assert config.customer_by_key == {"k1": "roster", "k2": "roster"}
    assert config.customers_by_name["roster"].limit == Resources(5, 6, 0)
    assert config.guarded_pools == {"planner"}


@pytest.mark.parametrize(
    ("key", "value", "expected"),
    [
        ("evacuate/z-b", b"{}", EvacuationRecord("z-b", requested=True)),
        ("evacuate/z/b", b'{"a": 1}', EvacuationRecord("z/b", requested=True)),
        ("evacuate/z-b", None, EvacuationRecord("z-b", requested=False)),
        ("config", b"{}", None),
        ("evacuated/z-b", b"{}", None),
    ],
)
def test_evacuation_is_decoded(
    key: str, value: bytes | None, expected: EvacuationRecord | None
) -> None:
    """Guards against a request of an evacuation that is not seen as one."""
    assert PlatformDecoder().decode_evacuation(Record(key, value)) == expected


def test_evacuation_with_an_odd_value_is_a_request() -> None:
    """Guards against a failure domain in use although its key asks to evacuate it."""
    decoded = PlatformDecoder().decode_evacuation(Record("evacuate/z", b"[" * 99))
    assert decoded is not None and decoded.requested and decoded.defect
    with pytest.raises(DecodeError, match="no failure domain"):
        PlatformDecoder().decode_evacuation(Record("evacuate/", b"{}"))


def test_records_with_other_keys_are_no_configuration() -> None:
    """Guards against a record with another key being used as the configuration."""
    decoder = PlatformDecoder()
    assert decoder.decode_config(Record("wave/1", b'{"version": 99}')) is None
    with pytest.raises(ValueError, match="version"):
        decoder.decode_config(Record("config", b'{"version": "x"}'))


GOOD_WORKER: dict[str, Any] = {
    "service": "planner",
    "address": "10.0.0.9:80",
    "zone": "fd1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "capacity": {"cpu": 16000, "requestedMemoryMb": 32768},
    "labels": ["a", "r1-3"],
    "sequence": 4,
    "born": 17,
}


def test_worker_entry_is_decoded() -> None:
    """Guards against a worker's capacity, rack or start time being mixed up."""
    entry = PlatformDecoder().decode_worker("i-1", json.dumps(GOOD_WORKER).encode())
    assert entry.capacity == Resources(16000, 32768)
    assert (entry.rack, entry.born_ms, entry.draining) == ("r1-3", 17, False)


@pytest.mark.parametrize(
    ("value", "cold_s", "remaining_s"),
    [
        (None, 0.0, None),
        (2500, 2.5, 2.5),
        (0.5, 0.0005, 0.0005),
        (-3, 0.0, 0.0),
        (1e300, MAX_DURATION_S, MAX_DURATION_S),
    ],
)
def test_times_of_a_worker_entry_are_decoded(
    value: float | None, cold_s: float, remaining_s: float | None
) -> None:
    """Guards against a hint that is lost, or that makes an entry unreadable."""
    times = {"coldRemainingMs": value, "remainingMs": value}
    document = json.dumps({**GOOD_WORKER, **times}).encode()
    entry = PlatformDecoder().decode_worker("i-1", document)
    assert (entry.cold_s, entry.remaining_s) == (cold_s, remaining_s)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"address": None},
        {"capacity": "large"},
        {"labels": "a"},
        {"service": 3},
    ],
)
def test_invalid_worker_entry_is_rejected(change: dict[str, Any]) -> None:
    """Guards against tasks being sent to a worker whose entry is invalid."""
    value = json.dumps({**GOOD_WORKER, **change}).encode()
    with pytest.raises(ValueError):
        PlatformDecoder().decode_worker("i-1", value)


def test_worker_entry_that_is_not_json_is_rejected() -> None:
    """Guards against a crash on an entry that is not JSON."""
    with pytest.raises(ValueError):
        PlatformDecoder().decode_worker("i-1", b"\xff\x00")


def test_job_is_decoded() -> None:
    """Guards against step properties that are lost or mixed up."""
    body = {
        "specification": "text",
        "steps": [
            {"count": 4, "cpu": 500, "requestedMemoryMb": 256, "estimatedMs": 900},
            {
                "count": 2,
                "cpu": 1,
                "after": [0],
                "gangScheduled": True,
                "sameRack": True,
                "requirements": "a",
                "dataRack": "r1",
                "antiAffinity": 1,
                "allowDuplicates": True,
                "longRunning": True,
                "fills": True,
                "savesProgress": True,
                "image": "i",
                "targetMs": 40,
                "maxUnavailable": 0,
            },
        ],
        "repetitions": 3,
        "firstRunMs": 10,
        "intervalMs": 20,
    }
    spec = decode_job(JOB_ID, QUEUE, json.dumps(body).encode())
    first, second = spec.steps
    assert (first.count, first.need, first.estimated_ms) == (
        4,
        Resources(500, 256),
        900,
    )
    assert second.after == (0,)
    assert second.gang and second.same_rack and second.duplicates_allowed
    assert second.service and second.filler and second.checkpoints
    assert (second.required_label, second.data_rack) == ("a", "r1")
    assert (second.max_per_worker, second.max_unavailable) == (1, 0)
    assert (second.image, second.tail_target_ms) == ("i", 40)
    assert (spec.occurrences, spec.due_ms(2)) == (3, 50)


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (b"", "truncated|malformed"),
        (b"[]", "object"),
        (b'{"steps": []}', "at least one step"),
        (b'{"steps": [{"count": 0}]}', "count"),
        (b'{"steps": [{"count": -1}]}', "count"),
        (b'{"steps": [{"cpu": -1}]}', "negative"),
        (b'{"steps": [{"after": [0]}]}', "after"),
        (b'{"steps": [{"count": "x"}]}', "count"),
        (
            json.dumps({"steps": [{}], "specification": "x" * 4001}).encode(),
            "specification",
        ),
    ],
)
def test_malformed_job_is_rejected_with_its_defect(body: bytes, message: str) -> None:
    """Guards against accepting a malformed job, or crashing on it."""
    with pytest.raises(ValueError, match=f"(?i){message}"):
        decode_job(JOB_ID, QUEUE, body)


def test_inventory_is_decoded_in_order() -> None:
    """Guards against ended tasks out of order or with the wrong kind of end."""
    task = f"{JOB_ID}.0.1.17"
    body = {
        "clockMs": 482113,
        "born": 5,
        "running": [[task, 2, "saved", 41, 7]],
        "finished": [[59, task, 1, "broken", ""], [58, task, 1, "lapsed", "c"]],
    }
    inventory = decode_inventory(json.dumps(body).encode())
    assert (inventory.clock_ms, inventory.born_ms) == (482113, 5)
    (run,) = inventory.running
    assert (run.task, run.run) == (TaskId(JOB_ID, 0, 1, 17), 2)
    assert (run.checkpoint, run.percent, run.gauge) == ("saved", 41, 7.0)
    kinds = [(end.number, end.kind) for end in inventory.ended]
    assert kinds == [(58, EndKind.LEASE_LAPSED), (59, EndKind.GANG_BROKEN)]


@pytest.mark.parametrize(("ends", "lists_all"), [(0, True), (499, True), (500, False)])
def test_full_page_of_ends_may_not_be_the_last(ends: int, lists_all: bool) -> None:
    """Guards against a run that counts as missing since its end is on the next page."""
    rows = [
        [number, f"{JOB_ID}.0.0.{number}", 1, "done", ""]
        for number in range(1, ends + 1)
    ]
    body = {"clockMs": 1, "born": 5, "running": [], "finished": rows}
    inventory = decode_inventory(json.dumps(body).encode())
    assert inventory.lists_all_ends is lists_all


@pytest.mark.parametrize(
    "body",
    [
        {"clockMs": 1, "finished": [[1, "j.0.0.0", 1, "vanished", ""]]},
        {"clockMs": 1, "running": [["j.0.0", 1, "", 1]]},
        {"running": []},
    ],
)
def test_invalid_inventory_is_an_error(body: dict[str, Any]) -> None:
    """Guards against an invalid inventory being treated as an empty one."""
    with pytest.raises(ValueError):
        decode_inventory(json.dumps(body).encode())
