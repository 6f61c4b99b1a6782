"""Tests of the adapters against the emulated services and their faults."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest

from briarrun_adapters.log_service import HttpLogService
from briarrun_adapters.upstream import HttpUpstreamClient
from briarrun_adapters.vm_list import HttpVmList, VmState
from briarrun_adapters.worker import HttpWorkerClient, Lease, StartReply, TaskStart
from briarrun_core.resources import Resources
from briarrun_wire.http_client import HttpPool
from briarrun_wire.http_server import HttpHandler, HttpServer
from briarrun_wire.http_types import HttpRequest, HttpResponse
from tools.emulator.log_service import LogStandIn
from tools.emulator.upstream import UpstreamStandIn
from tools.emulator.vm_list import VmListStandIn
from tools.emulator.worker import WorkerStandIn


@pytest.fixture
async def pool() -> AsyncIterator[HttpPool]:
    opened = HttpPool()
    yield opened
    await opened.close()


APPENDS: list[tuple[dict[str, Any], bool | None, int]] = [
    ({}, None, 1),
    ({"refuse": True}, True, 0),
    ({"down": True}, False, 0),
    ({"silent": True}, False, 0),
    ({"slow_s": 0.5}, False, 0),
    ({"lose_responses": 1, "lose_path": "/v1/append"}, False, 1),
]


@pytest.mark.parametrize(("faults", "had_no_effect", "kept"), APPENDS, ids=str)
async def test_append_distinguishes_failure_from_unknown_outcome(
    pool: HttpPool, faults: dict[str, Any], had_no_effect: bool | None, kept: int
) -> None:
    """Treating a lost response as a failure would append a claim twice."""
    standin = LogStandIn()
    log = HttpLogService(await standin.start(), pool)
    await standin.set_faults(faults)
    result = await log.append([{"type": "x", "record_id": "1"}], timeout_s=0.2)
    assert (result.error.had_no_effect if result.is_error() else None) == had_no_effect
    assert len(standin.log) == kept
    await standin.set_faults({"refuse": False, "down": False, "silent": False})
    await standin.set_faults({"slow_s": 0.0})
    again = await log.append([{"type": "x", "record_id": "1"}], timeout_s=0.2)
    assert again.is_ok(), "the fault must end"
    await standin.close()


async def test_read_waits_and_shows_truncation(pool: HttpPool) -> None:
    """A reader must receive late records and notice that older ones were truncated."""
    standin = LogStandIn()
    log = HttpLogService(await standin.start(), pool)
    reading = asyncio.create_task(log.read(0, wait_s=2.0))
    await asyncio.sleep(0.05)
    standin.append([{"n": n} for n in range(5)])
    page = (await reading).ok
    assert [e.offset for e in page.records] == [0, 1, 2, 3, 4] and page.read_to == 5
    await standin.set_faults({"keep_records": 2})
    standin.append([{"n": 5}])
    page = (await log.read(0)).ok
    assert (page.first, page.next) == (4, 6)
    assert [e.record["n"] for e in page.records] == [4, 5]
    assert (await log.read(6)).ok.records == ()
    await standin.close()


async def test_worker_protocol_and_faults(pool: HttpPool) -> None:
    """The result of each call decides whether a task may run on another worker."""
    standin = WorkerStandIn("w1")
    address = await standin.start()
    client = HttpWorkerClient(pool)

    def order(task: str, command: str = "", lease_s: float = 5.0) -> TaskStart:
        return TaskStart(
            task_id=task,
            attempt=1,
            epoch=1,
            resources=Resources(cores=1000),
            lease_until=time.time() + lease_s,
            command=command,
        )

    assert (await client.start(address, order("d.j/0"))).ok is StartReply.RUNNING
    assert (await client.start(address, order("d.j/1", "sleep 0.05"))).is_ok()
    assert (await client.start(address, order("d.j/2", "fail 0.05"))).is_ok()
    assert (await client.start(address, order("d.j/3", lease_s=0.05))).is_ok()
    lapsed = await client.start(address, order("d.j/4", lease_s=-1))
    assert lapsed.ok is StartReply.LAPSED
    await standin.set_faults({"fail_starts": True})
    assert (await client.start(address, order("d.j/5"))).ok is StartReply.FAILED
    await asyncio.sleep(0.15)
    inventory = (await client.inventory(address)).ok
    states = {task.task_id: task.state for task in inventory.tasks}
    assert states == {
        "d.j/0": "running",
        "d.j/1": "done",
        "d.j/2": "failed",
        "d.j/3": "lapsed",
    }
    leases = [
        Lease(task_id=t, attempt=1, lease_until=time.time() + 9)
        for t in ("d.j/0", "d.j/1")
    ]
    assert (await client.renew(address, leases)).ok == ("d.j/1",)
    assert (await client.apply_action(address, "d.j/0", "stop")).ok == "stopped"
    assert (await client.apply_action(address, "d.x/0", "stop")).error.had_no_effect
    assert (await client.forget(address, ["d.j/0", "d.j/1"])).is_ok()
    inventory = (await client.inventory(address)).ok
    assert {task.task_id for task in inventory.tasks} == {"d.j/2", "d.j/3"}
    await standin.set_faults(
        {"fail_starts": False, "lose_responses": 1, "lose_path": "/v1/tasks"}
    )
    lost = await client.start(address, order("d.j/6"))
    assert not lost.error.had_no_effect
    assert standin.records[-1]["event"] == "start"
    await standin.set_faults({"die": True})
    assert (await client.start(address, order("d.j/7"))).error.had_no_effect
    await standin.set_faults({"die": False, "clock_offset_s": -60.0})
    back = (await client.inventory(address)).ok
    assert back.tasks == () and back.taken_at < time.time() - 50
    await standin.close()


async def test_upstream_and_vm_list(pool: HttpPool) -> None:
    """A lost response must not look like an unsent request; the VM list may lag."""
    upstream = UpstreamStandIn("u1", slots=1)
    address = await upstream.start()
    client = HttpUpstreamClient(pool)

    async def send(request_id: str, timeout_s: float = 1.0) -> Any:
        return await client.send(
            address,
            request_id,
            b'{"work_s": 0.1}',
            start_by_wall=time.time() + 1,
            send_within_s=1.0,
            idempotent=False,
            timeout_s=timeout_s,
        )

    first, second = await asyncio.gather(send("r1"), send("r2"))
    assert first.ok.json()["request_id"] == "r1"
    assert second.ok.json()["request_id"] == "r2"
    await upstream.set_faults({"lose_responses": 1, "draining": True})
    lost = await send("r3")
    assert lost.error.sent
    assert [r["request_id"] for r in upstream.records if r["event"] == "run"] == [
        "r1",
        "r2",
        "r3",
    ]
    assert (await client.status(address)).ok.draining
    await upstream.set_faults({"refuse": True})
    assert not (await send("r4")).error.sent
    standin = VmListStandIn()
    vms = HttpVmList(await standin.start(), pool)
    await standin.set_faults({"list_lag_s": 0.2})
    standin.set_vms(
        [
            {
                "vm_id": "u1",
                "address": address,
                "domain": "d",
                "role": "upstream",
                "state": "leaving",
            }
        ]
    )
    assert (await vms.fetch()).ok.vms == ()
    await asyncio.sleep(0.25)
    listing = (await vms.fetch()).ok
    assert [vm.state for vm in listing.vms] == [VmState.LEAVING]
    await standin.close()


class _FixedAnswer(HttpHandler):
    """Answers every call with the same status and body."""

    def __init__(self, status: int, body: bytes) -> None:
        self._response = HttpResponse(status, body)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        return self._response


@pytest.mark.parametrize("status", [200, 409, 503])
@pytest.mark.parametrize(
    "body", [b"", b"\xff", b"[" * 100_000, b'{"x":' + b"[" * 100_000]
)
async def test_odd_answer_is_a_failure(
    pool: HttpPool, status: int, body: bytes
) -> None:
    """Guards against an answer that ends the caller's task instead of its call."""
    server = HttpServer(_FixedAnswer(status, body))
    await server.start()
    result = await HttpLogService(server.address, pool).read(0)
    assert result.is_error()
    await server.close()
