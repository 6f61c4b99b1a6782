"""Tests of records, bodies and answers that the platform or a caller should not send."""

from __future__ import annotations

import base64
import json
import struct
from typing import Any

import pytest

from briarrun_cell.model import Queue, StepId
from briarrun_cell.ports import (
    AdviceUnavailable,
    AppendOutcome,
    Record,
    StoreUnavailable,
    Topic,
)
from briarrun_platform.advice import PlatformAdvisor
from briarrun_platform.client import PlatformClient
from briarrun_platform.decoding import PlatformDecoder, decode_job
from briarrun_platform.store import PlatformStore, decode_read
from briarrun_platform.workers import decode_inventory
from briarrun_wire.http_server import HttpHandler, HttpServer
from briarrun_wire.http_types import HttpRequest, HttpResponse
from tests.platform_adapter.test_decoding import GOOD_WORKER

DEEP = b'{"a":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
HUGE = int("9" * 400)
JOB_ID = "5c0e7a21d94b36f8"
QUEUE = Queue(name="q", host="h.example", path_prefix="/q/", pool="planner")
TASK = f"{JOB_ID}.0.1.17"


def _worker(**changes: Any) -> bytes:
    return json.dumps({**GOOD_WORKER, **changes}).encode()


def _nested(document: dict[str, Any], depth: int = 100_000) -> bytes:
    """Return the document with a further field that is nested deeply."""
    return json.dumps(document).encode()[:-1] + (
        b',"further":' + b"[" * depth + b"]" * depth + b"}"
    )


ODD_WORKERS: dict[str, tuple[bytes, str]] = {
    "nested": (DEEP, "nested"),
    "nested in an unknown field": (_nested(GOOD_WORKER), "nested"),
    "nested behind brackets in a string": (
        b'{"a":"' + b"]" * 100_000 + b'","b":' + b"[" * 100_000,
        "nested",
    ),
    "not closed": (b"[" * 100_000, "nested"),
    "long": (_worker(version="v" * 1_000_000), "bytes"),
    "cores of 400 digits": (_worker(capacity={"cpu": HUGE}), "cpu"),
    "cores negative": (_worker(capacity={"cpu": -1}), "cpu"),
    "cores above the bound": (_worker(capacity={"cpu": 2**62}), "cpu"),
    "memory negative": (_worker(capacity={"requestedMemoryMb": -1}), "requestedMemory"),
    "capacity null": (_worker(capacity=None), "capacity"),
    "port above the range": (_worker(address="10.0.0.9:99999"), "port 99999"),
    "port 0": (_worker(address="10.0.0.9:0"), "port 0"),
    "port negative": (_worker(address="10.0.0.9:-1"), "port"),
    "port of 400 digits": (_worker(address=f"10.0.0.9:{HUGE}"), "port"),
    "port of other digits": (_worker(address="10.0.0.9:٨٠"), "port"),
    "no port": (_worker(address="10.0.0.9"), "has no port"),
    "no host": (_worker(address=":80"), "host"),
    "address empty": (_worker(address=""), "has no port"),
    "address with NUL": (_worker(address="10.0.0.9\0:80"), "host"),
    "address with a line break": (_worker(address="10.0.0.9\r\n:80"), "host"),
    "number outside of IPv4": (_worker(address="10.0.0.999:80"), "host"),
    "born of 400 digits": (_worker(born=HUGE), "born"),
    "born negative": (_worker(born=-5), "born"),
    "born a fraction": (_worker(born=1.5), "born"),
    "bytes": (b"\xff\x00\x80", "malformed"),
    "empty": (b"", "truncated"),
    "NaN": (b'{"born":NaN}', "malformed"),
    "label null": (_worker(labels=[None]), "labels"),
    "half of a surrogate pair": (b'{"service":"\\ud800"}', "truncated"),
}


@pytest.mark.parametrize("name", ODD_WORKERS)
def test_odd_worker_entry_is_a_value_error(name: str) -> None:
    """Guards against an entry that names no worker to use, or that ends its reader."""
    value, message = ODD_WORKERS[name]
    with pytest.raises(ValueError, match=message) as raised:
        PlatformDecoder().decode_worker("i-1", value)
    assert len(str(raised.value)) <= 250


@pytest.mark.parametrize("worker_id", ["", "i\n1", "i\0", "ï", "x" * 300])
def test_worker_id_that_no_header_can_carry_is_a_value_error(worker_id: str) -> None:
    """Guards against a worker to which no order can be sent."""
    with pytest.raises(ValueError, match="worker id"):
        PlatformDecoder().decode_worker(worker_id, _worker())


@pytest.mark.parametrize("address", ["10.0.0.9:1", "a-b.example:65535", "vm0:8080"])
def test_addresses_of_all_kinds_are_read(address: str) -> None:
    """Guards against a check of addresses that refuses good ones."""
    entry = PlatformDecoder().decode_worker("i-1", _worker(address=address))
    assert entry.address == address


def test_brackets_and_escapes_in_strings_are_no_nesting() -> None:
    """Guards against a good entry that is refused for the text of a field."""
    version = '[{"\\' * 500
    assert PlatformDecoder().decode_worker("i-1", _worker(version=version))


ODD_CONFIGS: dict[str, bytes] = {
    "nested": DEEP,
    "nested in an unknown field": _nested({"version": 1}),
    "version of 400 digits": json.dumps({"version": HUGE}).encode(),
    "weight of 400 digits": json.dumps(
        {"version": 1, "tenants": [{"name": "t", "weight": HUGE}]}
    ).encode(),
    "limit negative": json.dumps(
        {"version": 1, "tenants": [{"name": "t", "upperBound": {"cpu": -1}}]}
    ).encode(),
    "attempts of 400 digits": json.dumps(
        {
            "version": 1,
            "routes": [
                {
                    "name": "q",
                    "hostname": "h",
                    "pathPrefix": "/",
                    "service": "s",
                    "maxAttempts": HUGE,
                }
            ],
        }
    ).encode(),
}


@pytest.mark.parametrize("name", ODD_CONFIGS)
def test_odd_configuration_is_a_value_error(name: str) -> None:
    """Guards against a configuration that ends its reader or comes into force."""
    with pytest.raises(ValueError):
        PlatformDecoder().decode_config(Record("config", ODD_CONFIGS[name]))


def _inventory(**changes: Any) -> bytes:
    good = {"clockMs": 1, "born": 5, "running": [], "finished": []}
    return json.dumps({**good, **changes}).encode()


ODD_INVENTORIES: dict[str, bytes] = {
    "nested": DEEP,
    "nested in a row": b'{"clockMs":1,"running":[[' + b"[" * 100_000,
    "nested in an unknown field": _nested({"clockMs": 1}),
    "task null": _inventory(running=[[None, 1, "", 1]]),
    "task a number": _inventory(running=[[7, 1, "", 1]]),
    "task with a number of 400 digits": _inventory(
        running=[[f"{JOB_ID}.0.0.{HUGE}", 1, "", 1]]
    ),
    "task with other digits": _inventory(running=[[f"{JOB_ID}.0.0.٣", 1, "", 1]]),
    "task with an underscore": _inventory(running=[[f"{JOB_ID}.0.0.1_0", 1, "", 1]]),
    "run a text": _inventory(running=[[TASK, "1", "", 1]]),
    "run of 400 digits": _inventory(running=[[TASK, HUGE, "", 1]]),
    "run negative": _inventory(running=[[TASK, -1, "", 1]]),
    "checkpoint null": _inventory(running=[[TASK, 1, None, 1]]),
    "percent null": _inventory(running=[[TASK, 1, "", None]]),
    "gauge null": _inventory(running=[[TASK, 1, "", 1, None]]),
    "gauge a list": _inventory(running=[[TASK, 1, "", 1, []]]),
    "gauge of 400 digits": _inventory(running=[[TASK, 1, "", 1, HUGE]]),
    "row empty": _inventory(running=[[]]),
    "row an object": _inventory(running=[{"task": TASK}]),
    "row null": _inventory(running=[None]),
    "end without fields": _inventory(finished=[[1]]),
    "end with a null number": _inventory(finished=[[None, TASK, 1, "done", ""]]),
    "end of an unknown kind": _inventory(finished=[[1, TASK, 1, ["done"], ""]]),
    "ends with numbers and texts": _inventory(
        finished=[[1, TASK, 1, "done", ""], ["2", TASK, 1, "done", ""]]
    ),
    "clock of 400 digits": _inventory(clockMs=HUGE),
    "clock negative": _inventory(clockMs=-1),
    "born of 400 digits": _inventory(born=HUGE),
}


@pytest.mark.parametrize("name", ODD_INVENTORIES)
def test_odd_inventory_is_a_value_error(name: str) -> None:
    """Guards against an inventory that ends the polls of its worker."""
    with pytest.raises(ValueError):
        decode_inventory(ODD_INVENTORIES[name])


def _job(*steps: dict[str, Any], **changes: Any) -> bytes:
    return json.dumps({"steps": steps or [{}], **changes}).encode()


ODD_JOBS: dict[str, tuple[bytes, str]] = {
    "nested": (DEEP, "nested"),
    "nested in an unknown field": (_nested({"steps": [{}]}), "nested"),
    "millions of tasks": (_job({"count": 5_000_000}), "tasks"),
    "millions of repetitions": (_job(repetitions=5_000_000), "tasks"),
    "thousands of steps": (_job(*[{}] * 3_000), "steps"),
    "count of 400 digits": (_job({"count": HUGE}), "count"),
    "cores of 400 digits": (_job({"cpu": HUGE}), "cpu"),
    "estimate of 400 digits": (_job({"estimatedMs": HUGE}), "estimatedMs"),
    "estimate negative": (_job({"estimatedMs": -1}), "estimatedMs"),
    "tail negative": (_job({"targetMs": -1}), "targetMs"),
    "repetitions negative": (_job(repetitions=-1), "repetitions"),
    "interval negative": (_job(intervalMs=-1), "intervalMs"),
    "first run of 400 digits": (_job(firstRunMs=HUGE), "firstRunMs"),
    "limit per worker negative": (_job({"antiAffinity": -1}), "antiAffinity"),
    "unavailable negative": (_job({"maxUnavailable": -1}), "maxUnavailable"),
    "text that is half of a surrogate pair": (
        b'{"specification":"\\ud800"}',
        "truncated",
    ),
}


@pytest.mark.parametrize("name", ODD_JOBS)
def test_odd_job_is_a_value_error(name: str) -> None:
    """Guards against a job that ends its request, or that no holder can keep."""
    body, message = ODD_JOBS[name]
    with pytest.raises(ValueError, match=message):
        decode_job(JOB_ID, QUEUE, body)


def test_largest_jobs_are_read() -> None:
    """Guards against bounds that refuse a job that callers may send."""
    job = decode_job(JOB_ID, QUEUE, _job(*[{"count": 1_000}] * 50))
    assert len(job.steps) == 50
    job = decode_job(JOB_ID, QUEUE, _job({"count": 4}, repetitions=10_000))
    assert job.occurrences == 10_000


class _FixedHandler(HttpHandler):
    """Answers the first requests with the given bodies, and all others with the last."""

    def __init__(self, *bodies: bytes, status: int = 200) -> None:
        self._bodies = list(bodies)
        self._status = status

    async def handle(self, request: HttpRequest) -> HttpResponse:
        body = self._bodies.pop(0) if len(self._bodies) > 1 else self._bodies[0]
        return HttpResponse(self._status, body)


ODD_ADVICE: dict[str, bytes] = {
    "nested": DEEP,
    "not JSON": b"\xff",
    "row of one": b'{"approved":[["a"]]}',
    "row of three": b'{"approved":[["a","b","c"]]}',
    "row null": b'{"approved":[null]}',
    "validity negative": b'{"approved":[["a","b"]],"validityMs":-1}',
    "validity of 400 digits": b'{"approved":[],"validityMs":' + b"9" * 400 + b"}",
    "validity of years": b'{"approved":[],"validityMs":1e300}',
    "validity NaN": b'{"approved":[],"validityMs":NaN}',
}


@pytest.mark.parametrize("name", ODD_ADVICE)
async def test_odd_advice_is_no_advice(name: str) -> None:
    """Guards against an answer that ends a request for advice with another error."""
    server = HttpServer(_FixedHandler(ODD_ADVICE[name]))
    await server.start()
    advisor = PlatformAdvisor(PlatformClient(), server.address)
    try:
        with pytest.raises(AdviceUnavailable):
            await advisor.advise(StepId(JOB_ID, 0, 0), ["a"], 2.0)
    finally:
        await server.close()


def _page(key: str = "k", value: str = "dg==", **changes: Any) -> bytes:
    items = [{"key": key, "value": value, "offset": 0}]
    return json.dumps({"items": items, "end": 1, **changes}).encode()


ODD_PAGES: dict[str, tuple[bytes, ...]] = {
    "nested": (DEEP,),
    "value that is not base64": (_page(value="!!!!"),),
    "value of other characters": (_page(value="dé=="),),
    "offset of 400 digits": (_page(items=[{"key": "k", "value": "", "offset": HUGE}]),),
    "offset negative": (_page(items=[{"key": "k", "value": "", "offset": -1}]),),
    "end negative": (_page(end=-1),),
    "end of 400 digits": (_page(end=HUGE),),
    "same page for ever": (_page(hasMore=True),),
    "pages in a circle": (
        _page(hasMore=True),
        _page(key="l", hasMore=True),
        _page(hasMore=True),
    ),
}


@pytest.mark.parametrize("name", ODD_PAGES)
async def test_odd_snapshot_is_unavailable(name: str) -> None:
    """Guards against a snapshot that ends its reader, or that never ends."""
    server = HttpServer(_FixedHandler(*ODD_PAGES[name]))
    await server.start()
    store = PlatformStore(PlatformClient(), server.address)
    try:
        with pytest.raises(StoreUnavailable):
            await store.newest(Topic.WORKERS, timeout_s=2.0)
    finally:
        await server.close()


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (200, DEEP),
        (200, b"{}"),
        (200, b'{"offset":-3,"end":1}'),
        (200, b'{"offset":' + b"9" * 400 + b"}"),
        (412, DEEP),
        (409, DEEP),
    ],
)
async def test_odd_answer_to_an_append_is_unknown(status: int, body: bytes) -> None:
    """Guards against an append whose offset is made up, which would be an epoch."""
    server = HttpServer(_FixedHandler(body, status=status))
    await server.start()
    store = PlatformStore(PlatformClient(), server.address)
    try:
        result = await store.append(Topic.JOBS, [Record("k", b"v")], timeout_s=2.0)
    finally:
        await server.close()
    assert result.outcome is AppendOutcome.UNKNOWN


@pytest.mark.parametrize(
    "body",
    [
        struct.pack(">QQ", 2**64 - 1, 0),
        struct.pack(">QQ", 2**63, 0),
        struct.pack(">QQI", 1, 0, 0xFFFFFFFF) + b"key",
    ],
)
def test_odd_read_is_unavailable(body: bytes) -> None:
    """Guards against an end of the topic that no reader ever reaches."""
    with pytest.raises(StoreUnavailable):
        decode_read(body, 0)


def test_records_without_key_or_value_are_read() -> None:
    """Guards against an odd record that hides the records behind it."""
    contents = (b"", b"\xff", b"\x05ab", b"\x02\xff\xfev", b"\x01kv")
    body = struct.pack(">QQ", len(contents), 0) + b"".join(
        struct.pack(">I", len(each)) + each for each in contents
    )
    records = decode_read(body, 0).records
    assert [each.offset for each in records] == [0, 1, 2, 3, 4]
    assert (records[-1].key, records[-1].value) == ("k", b"v")


async def test_good_pages_are_joined() -> None:
    """Guards against a check of pages that refuses good ones."""
    value = base64.b64encode(b"v").decode()
    server = HttpServer(
        _FixedHandler(_page(value=value, hasMore=True), _page(key="l", value=value))
    )
    await server.start()
    store = PlatformStore(PlatformClient(), server.address)
    result = await store.newest(Topic.WORKERS, timeout_s=2.0)
    await server.close()
    assert [(each.key, each.value) for each in result.records] == [
        ("k", b"v"),
        ("l", b"v"),
    ]
