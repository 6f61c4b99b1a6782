"""Measure a front's request rate against a bare h11 echo server in the same run.

Both run under uvloop in a process of their own and are driven over keep-alive
connections by the same generator. The front's requests carry a key, are idempotent and
are answered by stand-in upstreams with slots to spare.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import h11
import uvloop

from briarrun_core.keys import generate_key
from tools.emulator.fleet import FleetPlan, ProcessFleet
from tools.emulator.processes import Child

ROUNDS = 5
ROUND_S = 2.0
CONNECTIONS = 32
BODY = b"x" * 100
DOMAIN = "zagreb"
KEY = generate_key("rate-key", "rate")


class EchoProtocol(asyncio.Protocol):
    """Answer each request with its body, using nothing but h11."""

    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.SERVER)
        self._body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse and answer."""
        self._h11.receive_data(data)
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Data):
                self._body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._answer()
            elif not isinstance(event, h11.Request):
                return

    def _answer(self) -> None:
        headers = [(b"Content-Length", b"%d" % len(self._body))]
        response = h11.Response(status_code=200, headers=headers, reason=b"OK")
        parts = [
            self._h11.send(response),
            self._h11.send(h11.Data(data=self._body)),
            self._h11.send(h11.EndOfMessage()),
        ]
        self._transport.write(b"".join(part or b"" for part in parts))
        self._body = b""
        self._h11.start_next_cycle()


class _Client(asyncio.Protocol):
    """Send one request after another and count the answers.

    The answers are framed by Content-Length alone, so that the generator costs less than
    the servers that it measures.
    """

    def __init__(self, request: bytes) -> None:
        self._request = request
        self._received = b""
        self.answers_by_status: dict[bytes, int] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count a complete answer and send the next request."""
        self._received += data
        head, found, body = self._received.partition(b"\r\n\r\n")
        if not found:
            return
        length = head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]
        if len(body) < int(length):
            return
        status = head[9:12]
        self.answers_by_status[status] = self.answers_by_status.get(status, 0) + 1
        self._received = b""
        self.transport.write(self._request)


@dataclass(frozen=True, slots=True)
class Rate:
    """Hold the requests per second of one round and how many were not answered 200."""

    per_s: float
    others: int


async def measure(address: str, request: bytes) -> Rate:
    """Return the rate of one round."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    clients: list[_Client] = []
    began = loop.time()
    for _ in range(CONNECTIONS):
        _, client = await loop.create_connection(
            lambda: _Client(request), host, int(port)
        )
        clients.append(client)
    await asyncio.sleep(ROUND_S)
    took_s = loop.time() - began
    for client in clients:
        client.transport.abort()
    good = sum(client.answers_by_status.get(b"200", 0) for client in clients)
    total = sum(sum(client.answers_by_status.values()) for client in clients)
    return Rate(good / took_s, total - good)


def _request(path: str, headers: dict[str, str]) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: a", f"Content-Length: {len(BODY)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + BODY


def _document() -> dict[str, Any]:
    limit = {"cores": 64_000, "memory_mib": 64_000, "accelerators": 0, "slots": 10_000}
    key = KEY.key
    return {
        "domains_by_name": {DOMAIN: {"name": DOMAIN, "region": "eu"}},
        "teams_by_id": {"rate": {"team_id": "rate", "limit": limit}},
        "queues_by_name": {"rate": {"name": "rate", "teams": ["rate"]}},
        "keys_by_id": {
            key.key_id: {
                "key_id": key.key_id,
                "team": key.team,
                "secret_sha256": key.secret_sha256,
            }
        },
    }


async def run(directory: Path) -> dict[str, float]:
    """Return the median rates and their ratio."""
    plan = FleetPlan(
        domains=(DOMAIN,),
        daemons_per_domain=1,
        workers=1,
        upstreams=3,
        upstream_slots=256,
        upstream_connections=1024,
    )
    fleet = ProcessFleet(plan, directory)
    echo = await Child.start(
        "echo", directory / "echo.log", sys.executable, "-m", __spec__.name, "echo"
    )
    try:
        echo_address = (await echo.first_line())["address"]
        await fleet.start(_document())
        headers = {
            "Authorization": f"Bearer {KEY.token}",
            "Briarrun-Idempotent": "true",
        }
        request = _request("/v1/queues/rate/requests", headers)
        front_address = fleet.entry_vms[0].http_address
        echoes, fronts = [], []
        for _ in range(ROUNDS):
            echoes.append(await measure(echo_address, _request("/", {})))
            fronts.append(await measure(front_address, request))
    finally:
        echo.process.kill()
        await echo.process.wait()
        await fleet.stop()
    echo_rate = statistics.median(rate.per_s for rate in echoes)
    front_rate = statistics.median(rate.per_s for rate in fronts)
    return {
        "echo_per_s": echo_rate,
        "front_per_s": front_rate,
        "front_not_200": sum(rate.others for rate in fronts),
        "ratio": front_rate / echo_rate,
    }


async def serve_echo() -> None:
    """Serve the bare echo until killed; print its address."""
    server = await asyncio.get_running_loop().create_server(
        EchoProtocol, "127.0.0.1", 0
    )
    host, port = server.sockets[0].getsockname()
    print(f'{{"address": "{host}:{port}"}}', flush=True)
    await server.serve_forever()


def main() -> int:
    """Print the figures, or serve the echo when called by itself."""
    if sys.argv[1:] == ["echo"]:
        uvloop.run(serve_echo())
        return 0
    with tempfile.TemporaryDirectory(prefix="briarrun-rate-") as directory:
        figures = uvloop.run(run(Path(directory)))
    for name, value in figures.items():
        print(f"front_rate: {name} {value:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
