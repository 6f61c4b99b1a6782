"""The system's own process with low limits, and crowds of clients on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

from briarrun_wire.http_client import HttpPool
from tests.soak.world import SoakPlan, SoakVm, World

MEMORY_MB = 100
"""``limits.memoryMb`` of the process; an idle one uses 34 MB."""

FILE_DESCRIPTORS = 400
"""``limits.fileDescriptors`` of the process, of which 200 are for files."""

OPERATIONS_PORT = 9464

SEND_S = 8.0
"""Time after which a client that is still sending stops."""

HOLD_S = 1.0
"""Time for which the clients stay connected after they have sent."""

SAMPLE_S = 0.05
CONNECTING = 50
"""Connections that are opened at once, so that a backlog of the listener suffices."""

ANSWER_S = 60.0
"""Time within which an ordinary request must be answered. It only ends a test of a
process that hangs; the tests make no statement on times."""


class _LowWorld(World):
    """A cell of one VM with low limits."""

    async def _add_vm(self, number: int) -> None:
        await super()._add_vm(number)
        for vm in self.vms_by_name.values():
            # The limits are the last section of the settings.
            with vm.settings.open("a") as stream:
                stream.write(f"memoryMb = {MEMORY_MB}\n")
                stream.write(f"fileDescriptors = {FILE_DESCRIPTORS}\n")


@dataclass(frozen=True, slots=True)
class Crowd:
    """Clients of one kind; each sends its part in pieces, reads nothing and stops.

    A piece of ``pause_s`` 0 follows the one before it as fast as it can be sent.
    """

    clients: int
    head: bytes = b""
    piece: bytes = b""
    pieces: int = 0
    pause_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Peak:
    """Highest use of a process: memory in MB (10^6 bytes) and open descriptors."""

    memory_mb: float
    descriptors: int


class CrowdCell:
    """One process of a cell, and what is asked of it."""

    def __init__(self, world: World, vm: SoakVm) -> None:
        self._world = world
        self._vm = vm
        self._descriptors = 0
        _, _, peer = vm.settings.read_text().partition("internalPortRange = [")
        host = vm.host
        self.address_by_listener = {
            "callers": vm.callers_address,
            "readiness": vm.ready_address,
            "peers": f"{host}:{peer.partition(',')[0]}",
            "operations": f"{host}:{OPERATIONS_PORT}",
        }

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._vm.child is not None and self._vm.child.is_running

    async def run_crowd(self, listener: str, crowd: Crowd) -> None:
        """Run a crowd at a listener until each of its clients has stopped."""
        address = self.address_by_listener[listener]
        sampling = asyncio.create_task(self._sample())
        gate = asyncio.Semaphore(CONNECTING)
        try:
            await asyncio.gather(
                *(_run_client(address, crowd, gate) for _ in range(crowd.clients))
            )
        finally:
            sampling.cancel()

    async def answers(self) -> bool:
        """Tell whether the process answers an ordinary request of a caller."""
        headers = (
            ("Authorization", f"Bearer {self._world.key_by_customer['roster']}"),
        )
        until = asyncio.get_running_loop().time() + ANSWER_S
        while asyncio.get_running_loop().time() < until and self.is_running:
            answer = await HttpPool().request(
                self._vm.callers_address,
                "GET",
                "/urgent/",
                headers=headers,
                body=b"",
                idempotent=True,
                timeout_s=10.0,
            )
            if answer.is_ok() and answer.ok.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def _sample(self) -> None:
        while self.is_running:
            self._count_descriptors()
            await asyncio.sleep(SAMPLE_S)

    def _count_descriptors(self) -> None:
        assert self._vm.child is not None
        entries = Path(f"/proc/{self._vm.child.process.pid}/fd")
        with contextlib.suppress(FileNotFoundError):
            count = sum(1 for _ in entries.iterdir())
            self._descriptors = max(self._descriptors, count)

    def peak(self) -> Peak:
        """Return the highest use so far; descriptors count while a crowd is there."""
        assert self._vm.child is not None
        status = Path(f"/proc/{self._vm.child.process.pid}/status")
        rows = status.read_text().splitlines()
        kib = next((int(row.split()[1]) for row in rows if row.startswith("VmHWM")), 0)
        return Peak(kib * 1024 / 1e6, self._descriptors)


@contextlib.asynccontextmanager
async def running_cell(directory: Path) -> AsyncIterator[CrowdCell]:
    """Start a cell of one VM with low limits, and end it."""
    world = _LowWorld(SoakPlan(vms=1, workers=1), directory)
    try:
        await world.start()
        cell = CrowdCell(world, world.vms_by_name["vm0"])
        if not await cell.answers():
            raise RuntimeError("the process did not start")
        yield cell
    finally:
        await world.stop()


async def _run_client(address: str, crowd: Crowd, gate: asyncio.Semaphore) -> None:
    """Act as one client: connect, send, wait, close."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    client = socket.socket()
    client.setblocking(False)
    try:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_S), gate:
                await loop.sock_connect(client, (host, int(port)))
            async with asyncio.timeout(SEND_S):
                await loop.sock_sendall(client, crowd.head)
                for _ in range(crowd.pieces):
                    await loop.sock_sendall(client, crowd.piece)
                    await asyncio.sleep(crowd.pause_s)
        await asyncio.sleep(HOLD_S)
    finally:
        client.close()
