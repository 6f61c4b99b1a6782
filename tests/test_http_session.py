"""Tests of requests over one connection, which one process answers."""

from __future__ import annotations

import asyncio

import pytest

from briarrun_cell.model import TaskId, WorkerEntry
from briarrun_cell.ports import OrderOutcome
from briarrun_core.resources import NOTHING
from briarrun_platform.client import PlatformClient
from briarrun_platform.workers import PlatformWorkers
from briarrun_wire.http_client import PoolLimits
from briarrun_wire.http_session import HttpSession
from tests.test_http_client import OK, ScriptedServer

INVENTORY = b'{"clockMs":5,"born":1,"running":[],"finished":[]}'
LISTED = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
    len(INVENTORY),
    INVENTORY,
)


def _entry(address: str) -> WorkerEntry:
    return WorkerEntry("w", 1, address, "p", "fd", NOTHING, (), "r", False)


@pytest.mark.parametrize("connect", [False, True])
async def test_request_is_sent_on_the_open_connection(connect: bool) -> None:
    """Guards against a second connection, which may lead to another process."""
    served = ScriptedServer(lambda *_: OK)
    session = HttpSession(await served.start(), PoolLimits())
    for each in (True, connect, connect):
        result = await session.request("POST", "/", timeout_s=1.0, connect=each)
        assert result.is_ok()
    assert (served.connections, served.requests) == (1, [0, 0, 0])
    session.close()


@pytest.mark.parametrize("connect", [False, True])
async def test_request_that_continues_is_not_sent_on_another_connection(
    connect: bool,
) -> None:
    """Guards against a request that a restarted process takes for its own."""
    served = ScriptedServer(lambda *_: OK, close_after=True)
    session = HttpSession(await served.start(), PoolLimits())
    await session.request("POST", "/", timeout_s=1.0, connect=True)
    while session.connected:
        await asyncio.sleep(0.01)
    assert session.unused
    result = await session.request("POST", "/", timeout_s=1.0, connect=connect)
    assert result.is_ok() is connect
    assert connect or not result.error.sent
    assert len(served.requests) == (2 if connect else 1)
    session.close()


async def test_idle_session_closes_its_connection() -> None:
    """Guards against connections to workers that a former holder keeps for ever."""
    served = ScriptedServer(lambda *_: OK)
    session = HttpSession(await served.start(), PoolLimits(idle_timeout_s=0.05))
    await session.request("POST", "/", timeout_s=1.0, connect=True)
    assert session.connected
    async with asyncio.timeout(2.0):
        while not session.unused:
            await asyncio.sleep(0.01)


async def test_second_request_does_not_break_the_session() -> None:
    """Guards against a request of an earlier term that closes its successor's connection."""
    served = ScriptedServer(lambda number, _: OK if number else None)
    session = HttpSession(await served.start(), PoolLimits())
    hanging = asyncio.create_task(
        session.request("POST", "/", timeout_s=5.0, connect=True)
    )
    while not served.requests:
        await asyncio.sleep(0.01)
    assert (await session.request("POST", "/", timeout_s=5.0, connect=True)).is_ok()
    assert (await hanging).is_error()
    assert (await session.request("POST", "/", timeout_s=5.0, connect=False)).is_ok()
    session.close()


@pytest.mark.parametrize(
    ("acknowledged", "outcome", "requests"),
    [
        (0, OrderOutcome.CONNECTION_CLOSED, 1),
        (7, OrderOutcome.CONNECTION_CLOSED, 1),
        (None, OrderOutcome.DONE, 2),
    ],
)
async def test_poll_of_a_worker_that_closed_the_connection_begins_anew(
    acknowledged: int | None, outcome: OrderOutcome, requests: int
) -> None:
    """Guards against ends that a restarted worker forgets unread."""
    served = ScriptedServer(lambda *_: LISTED, close_after=True)
    entry = _entry(await served.start())
    workers = PlatformWorkers(PlatformClient())
    first = await workers.poll(entry, 1, None, None, 0.0, 1.0)
    assert first.outcome is OrderOutcome.DONE
    await asyncio.sleep(0.05)
    answer = await workers.poll(entry, 1, acknowledged, None, 0.0, 1.0)
    assert answer.outcome is outcome
    assert len(served.requests) == requests


async def test_worker_without_a_process_refuses_connections() -> None:
    """Guards against a process that is gone and looks like one that is cut off."""
    server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    server.close()
    await server.wait_closed()
    workers, entry = PlatformWorkers(PlatformClient()), _entry(f"{host}:{port}")
    polled = await workers.poll(entry, 1, None, None, 0.0, 1.0)
    stopped = await workers.stop(entry, TaskId("j", 0, 0, 0), 1, 1, 1.0)
    assert polled.outcome is OrderOutcome.CONNECTION_REFUSED
    assert stopped.outcome is OrderOutcome.CONNECTION_REFUSED
