"""Three real daemons of one domain, idle, with a stand-in log on loopback.

Every byte between them and to the log goes through a relay that counts it.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import zmq

from briarrun_core.records import encode_record
from tools.capacity.states import ConfigLog
from tools.emulator.processes import PortReservations

SETTLE_S = 4.0
MEASURE_S = 10.0
MEMBERS = 3
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Usage:
    """Hold what one idle daemon uses; bytes are TCP payload in both directions."""

    role: str
    core_fraction: float
    resident_mib: float
    peer_bytes_s: float
    log_bytes_s: float


class Relay:
    """Pass TCP connections on and count the payload of both directions."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self.count = 0
        self.port = 0

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            inner, outer = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._pass_on(reader, outer), self._pass_on(inner, writer))

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(65_536):
                self.count += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


def _settings(
    index: int, ports: list[int], relays: dict[int, int], log_port: int, keys: Any
) -> dict[str, Any]:
    public, secret = keys
    return {
        "vm_id": f"vm-{index}",
        "failure_domain": "domain-00",
        "region": "region-0",
        "http_listen": "127.0.0.1:0",
        "peer_listen": f"127.0.0.1:{ports[index]}",
        "fleet_key": {"public": public, "secret": secret},
        "log_service": f"127.0.0.1:{log_port}",
        "peers": [
            {
                "vm_id": f"vm-{other}",
                "domain": "domain-00",
                "region": "region-0",
                "address": f"127.0.0.1:{port}",
            }
            for other, port in relays.items()
        ],
    }


def _read_usage(pid: int) -> tuple[float, float]:
    """Return processor seconds and resident MiB of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    seconds = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
    status = Path(f"/proc/{pid}/status").read_text()
    kib = next(int(row.split()[1]) for row in status.splitlines() if "VmRSS" in row)
    return seconds, kib / 1024


async def _start_log(teams: int) -> tuple[asyncio.subprocess.Process, int]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tools.emulator.log_service",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    if process.stdout is None:
        raise RuntimeError("the stand-in log has no output")
    line = json.loads(await process.stdout.readline())
    port = int(line["addresses_by_name"]["standin"].rpartition(":")[2])
    body = msgspec.json.encode({"records": [encode_record(ConfigLog(teams).first())]})
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = (
        "POST /v1/append HTTP/1.1\r\nhost: log\r\nconnection: close\r\n"
        f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    answer = await reader.read()
    writer.close()
    if b" 200 " not in answer.splitlines()[0]:
        raise RuntimeError(f"the stand-in log refused the configuration: {answer!r}")
    return process, port


async def _measure(teams: int) -> list[Usage]:
    log, log_port = await _start_log(teams)
    started = [log]
    relays: list[Relay] = []
    public, secret = zmq.curve_keypair()
    keys = (public.decode(), secret.decode())
    reservations = PortReservations()
    ports = [reservations.reserve() for _ in range(MEMBERS)]
    try:
        with tempfile.TemporaryDirectory() as folder:
            daemons, links = [], []
            for index in range(MEMBERS):
                own = {i: Relay(ports[i]) for i in range(MEMBERS) if i != index}
                to_log = Relay(log_port)
                for relay in (*own.values(), to_log):
                    await relay.start()
                    relays.append(relay)
                links.append((own, to_log))
                addresses = {i: relay.port for i, relay in own.items()}
                settings = _settings(index, ports, addresses, to_log.port, keys)
                path = Path(folder) / f"vm-{index}.json"
                path.write_text(json.dumps(settings), encoding="utf-8")
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "briarrun_daemon.main",
                    str(path),
                    stdout=asyncio.subprocess.DEVNULL,
                    stderr=asyncio.subprocess.DEVNULL,
                )
                started.append(process)
                daemons.append(process)
                await asyncio.sleep(0.7 if index == 0 else 0.0)
            await asyncio.sleep(SETTLE_S)
            return await _observe(daemons, links)
    finally:
        for process in started:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for relay in relays:
            relay.close()
        reservations.close()


async def _observe(
    daemons: list[asyncio.subprocess.Process],
    links: list[tuple[dict[int, Relay], Relay]],
) -> list[Usage]:
    def read() -> list[tuple[float, float, float, float]]:
        rows = []
        for index, daemon in enumerate(daemons):
            if daemon.returncode is not None:
                raise RuntimeError(f"daemon {index} ended with {daemon.returncode}")
            own, to_log = links[index]
            peers = sum(r.count for r in own.values())
            peers += sum(o[index].count for o, _ in links if index in o)
            rows.append((*_read_usage(daemon.pid), float(peers), float(to_log.count)))
        return rows

    begin, before = time.monotonic(), read()
    await asyncio.sleep(MEASURE_S)
    seconds, after = time.monotonic() - begin, read()
    usages = []
    for index, (old, new) in enumerate(zip(before, after, strict=True)):
        usages.append(
            Usage(
                "holder" if index == 0 else f"standby {index}",
                (new[0] - old[0]) / seconds,
                new[1],
                (new[2] - old[2]) / seconds,
                (new[3] - old[3]) / seconds,
            )
        )
    return usages


def measure_idle(teams: int) -> list[Usage]:
    """Return the use of a holder and its standbys without work."""
    return asyncio.run(_measure(teams))
