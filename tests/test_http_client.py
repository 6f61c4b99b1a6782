"""Tests of the HTTP client with broken, late, mismatched and missing responses."""

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from expression import Result

from briarrun_wire.http_client import HttpPool, PoolLimits
from briarrun_wire.http_exchange import ClientConnection
from briarrun_wire.http_types import (
    REQUEST_ID_HEADER,
    HttpFailure,
    HttpFailureKind,
    HttpResponse,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
KIND = HttpFailureKind
BROKEN: list[tuple[str, bytes, HttpFailureKind]] = [
    ("closed without answer", b"", KIND.CLOSED),
    ("cut in header", b"HTTP/1.1 200 OK\r\nConte", KIND.CLOSED),
    ("cut in body", OK[:-1], KIND.CLOSED),
    (
        "cut in chunks",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
        KIND.CLOSED,
    ),
    ("no stated length", b"HTTP/1.1 200 OK\r\n\r\nhi", KIND.MALFORMED),
    ("noise", b"\x16\x03\x01\x02\r\n\r\n", KIND.MALFORMED),
    ("too large", b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + b"a" * 99, KIND.TOO_LARGE),
    (
        "other request's answer",
        b"HTTP/1.1 200 OK\r\nBriarrun-Request-Id: r2\r\nContent-Length: 0\r\n\r\n",
        KIND.MISMATCHED,
    ),
]  # fmt: skip


@dataclass
class ScriptedServer:
    """Server whose raw responses are given by ``script(connection, request)``."""

    script: Callable[[int, int], bytes | None]
    close_after: bool = False
    connections: int = 0
    requests: list[int] = field(default_factory=list)
    open_now: int = 0
    most_open: int = 0
    closed: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self.connections
        self.connections += 1
        self.open_now += 1
        self.most_open = max(self.most_open, self.open_now)
        try:
            count = 0
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = [
                    h for h in head.split(b"\r\n") if b"content-length" in h.lower()
                ]
                if length:
                    await reader.readexactly(int(length[0].split(b":")[1]))
                self.requests.append(number)
                answer = self.script(number, count)
                count += 1
                if answer is None:
                    await reader.read()
                    return
                writer.write(answer)
                if self.close_after:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self.open_now -= 1
            self.closed += 1
            writer.close()

    async def start(self) -> str:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self._server = server
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"


async def post(
    pool: HttpPool,
    address: str,
    *,
    idempotent: bool = False,
    timeout_s: float = 1.0,
    send_within_s: float = math.inf,
) -> Result[HttpResponse, HttpFailure]:
    return await pool.request(
        address,
        "POST",
        "/",
        headers=[(REQUEST_ID_HEADER, "r1")],
        body=b"x",
        idempotent=idempotent,
        timeout_s=timeout_s,
        send_within_s=send_within_s,
    )


@pytest.mark.parametrize("case", BROKEN, ids=lambda case: case[0])
async def test_broken_response_is_a_failure_after_sending(
    case: tuple[str, bytes, HttpFailureKind],
) -> None:
    """A partial response, or one to another request, must not reach the caller."""
    _, answer, kind = case
    served = ScriptedServer(lambda *_: answer, close_after=True)
    address = await served.start()
    pool = HttpPool(PoolLimits(max_response_bytes=50))
    result = await post(pool, address)
    assert result.is_error() and result.error.kind == kind, result
    assert result.error.sent
    assert served.requests == [0]
    await pool.close()


async def test_request_is_not_sent_if_connecting_fails() -> None:
    """A refused connection must be distinguishable from a lost response."""
    server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    server.close()
    result = await post(HttpPool(), f"{host}:{port}")
    assert result.is_error() and not result.error.sent
    assert result.error.kind == KIND.CONNECT_FAILED


async def test_late_response_is_discarded() -> None:
    """A late response must not be returned for the next request."""

    def script(connection: int, count: int) -> bytes | None:
        return None if (connection, count) == (0, 1) else OK

    served = ScriptedServer(script)
    address = await served.start()
    pool = HttpPool()
    # The connection is open before the time of the late request starts.
    assert (await post(pool, address, idempotent=True)).is_ok()
    late = await post(pool, address, idempotent=True, timeout_s=0.1)
    assert late.is_error() and late.error.kind == KIND.TIMEOUT and late.error.sent
    second = await post(pool, address, idempotent=True)
    assert second.is_ok() and second.ok.body == b"hi"
    assert served.requests == [0, 0, 1]
    await asyncio.sleep(0.05)
    assert served.closed >= 1, "the silent connection must be closed"
    await pool.close()


async def test_bytes_after_a_response_make_the_connection_unusable() -> None:
    """An extra response must not be returned for the next request."""
    extra = OK + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
    served = ScriptedServer(lambda connection, _: extra if connection == 0 else OK)
    address = await served.start()
    pool = HttpPool()
    assert (await post(pool, address)).is_ok()
    second = await post(pool, address, idempotent=True)
    assert second.is_ok() and second.ok.body == b"hi"
    assert served.requests == [0, 1]
    await pool.close()


@pytest.mark.parametrize(
    ("idempotent", "pause_s", "connections"),
    [(True, 0.1, 1), (False, 0.1, 2), (False, 0.0, 1)],
)
async def test_idle_connection_carries_only_idempotent_requests(
    idempotent: bool, pause_s: float, connections: int
) -> None:
    """A server may close an idle connection just as a request is sent on it."""
    served = ScriptedServer(lambda *_: OK)
    address = await served.start()
    pool = HttpPool()
    assert (await post(pool, address)).is_ok()
    await asyncio.sleep(pause_s)
    assert (await post(pool, address, idempotent=idempotent)).is_ok()
    assert served.connections == connections
    await pool.close()


async def test_connections_to_one_address_are_limited() -> None:
    """An upstream accepts only 64 connections and refuses any more."""
    served = ScriptedServer(lambda *_: OK)
    address = await served.start()
    pool = HttpPool(PoolLimits(max_connections=3, max_idle_non_idempotent_s=0.0))
    results = await asyncio.gather(*(post(pool, address) for _ in range(30)))
    assert all(result.is_ok() for result in results)
    assert served.most_open <= 3 + 1  # the server may notice a close late
    silent = ScriptedServer(lambda *_: None)
    address = await silent.start()
    # The last two give up before the others make room.
    waiting = [
        post(pool, address, timeout_s=each) for each in (1.0, 1.0, 1.0, 0.5, 0.5)
    ]
    kinds = [result.error for result in await asyncio.gather(*waiting)]
    assert [k.sent for k in kinds].count(False) == 2
    assert {k.kind for k in kinds if not k.sent} == {KIND.CONNECTION_LIMIT}
    await pool.close()


async def test_slot_that_becomes_free_at_the_deadline_is_not_used() -> None:
    """A request whose time ran out in the queue must not count as a failed connect."""
    served = ScriptedServer(lambda *_: None)
    address = await served.start()
    pool = HttpPool(PoolLimits(max_connections=1))
    holding = asyncio.create_task(post(pool, address))
    await asyncio.sleep(0.05)
    waiting = asyncio.create_task(post(pool, address, timeout_s=0.1))
    await asyncio.sleep(0)
    holding.cancel()
    await asyncio.sleep(0)
    time.sleep(0.12)  # noqa: ASYNC251 - the loop is busy until after the deadline
    result = await waiting
    assert result.is_error() and result.error.kind == KIND.CONNECTION_LIMIT
    assert served.connections == 1
    await pool.close()


async def test_cancelled_request_closes_its_connection() -> None:
    """A cancelled request must not keep an upstream connection in use."""
    served = ScriptedServer(lambda *_: None)
    address = await served.start()
    pool = HttpPool(PoolLimits(max_connections=1))
    task = asyncio.create_task(post(pool, address))
    await asyncio.sleep(0.05)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0.05)
    assert served.closed == 1
    result = await post(pool, address, timeout_s=1.0)
    assert result.error.kind == KIND.TIMEOUT, "the place in the pool must be free again"
    await pool.close()


async def test_idle_connections_are_limited_and_closed() -> None:
    """Idle connections of many front ends would use up an upstream's 64 connections."""
    served = ScriptedServer(lambda *_: OK)
    address = await served.start()
    pool = HttpPool(
        PoolLimits(max_idle=2, idle_timeout_s=0.1, max_idle_non_idempotent_s=0.0)
    )
    await asyncio.gather(*(post(pool, address) for _ in range(10)))
    await asyncio.sleep(0.05)
    assert served.open_now <= 2
    await asyncio.sleep(0.25)
    assert served.open_now == 0
    await pool.close()


async def test_request_that_waits_for_a_connection_is_not_sent_late() -> None:
    """A request whose grant expired while it waited must not reach the upstream."""
    served = ScriptedServer(lambda *_: None)
    address = await served.start()
    pool = HttpPool(PoolLimits(max_connections=1))
    first = asyncio.create_task(post(pool, address, timeout_s=0.4))
    await asyncio.sleep(0.05)
    result = await post(pool, address, timeout_s=2.0, send_within_s=0.1)
    assert result.is_error() and not result.error.sent
    assert (await first).error.sent
    await asyncio.sleep(0.05)
    assert served.requests == [0]
    await pool.close()


async def test_request_of_a_suspended_process_is_not_sent_late() -> None:
    """A process suspended while connecting must check the time again before sending."""
    served = ScriptedServer(lambda *_: OK)
    address = await served.start()
    pool = HttpPool()
    loop = asyncio.get_running_loop()
    loop.call_soon(lambda: loop.call_soon(time.sleep, 0.3))
    result = await post(pool, address, timeout_s=2.0, send_within_s=0.1)
    assert result.is_error() and not result.error.sent
    await asyncio.sleep(0.05)
    assert served.requests == []
    await pool.close()


@pytest.mark.parametrize("name", ["no stated length", "other request's answer"])
async def test_foreign_and_cut_answers_pass_without_the_guard(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Verifies that the tests of broken responses cover the check of the header."""
    monkeypatch.setattr(ClientConnection, "_check_head", lambda *_: True)
    case = next(case for case in BROKEN if case[0] == name)
    with pytest.raises(AssertionError):
        await test_broken_response_is_a_failure_after_sending(case)
