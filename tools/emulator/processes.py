"""Child processes of tests: started, told to stop and killed by their own id."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
from pathlib import Path
from typing import Any

DAEMON_PORTS = range(15_000, 30_000)
"""Below the range from which systems serve port 0 and outgoing connections. A port of
that range is often taken again before the daemon binds it."""


class PortReservations:
    """Ports reserved for daemons until ``close``, also while a daemon restarts.

    Each port is bound by a socket that never listens. Binding without SO_REUSEADDR keeps
    two reservations apart; setting the option afterwards lets a daemon, which sets it too,
    bind and listen.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a random port that no socket of this machine has bound."""
        for port in random.SystemRandom().sample(
            DAEMON_PORTS, min(100, len(DAEMON_PORTS))
        ):
            reserved = socket.socket()
            try:
                reserved.bind(("", port))
            except OSError:
                reserved.close()
                continue
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sockets.append(reserved)
            return port
        raise RuntimeError("no port is free")

    def close(self) -> None:
        """Release all reserved ports."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()


class Child:
    """Own one child process, whose log goes to a file."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.process = process

    @classmethod
    async def start(cls, name: str, log: Path, *command: str) -> Child:
        """Start a command with its standard input kept open."""
        with log.open("ab") as stream:
            process = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=stream,
                env=dict(os.environ),
            )
        return cls(name, process)

    async def first_line(self, within_s: float = 10.0) -> dict[str, Any]:
        """Return the JSON line that a stand-in prints when it listens."""
        assert self.process.stdout is not None
        async with asyncio.timeout(within_s):
            line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name} ended before it listened")
        bound: dict[str, Any] = json.loads(line)
        return bound

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.process.returncode is None

    def resident_mib(self) -> float:
        """Return the resident memory of the running process."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        kib = next(int(row.split()[1]) for row in status.splitlines() if "VmRSS" in row)
        return kib / 1024

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            self.process.send_signal(number)

    async def stop(self, within_s: float) -> int:
        """Return the exit status after SIGTERM, or after SIGKILL if that takes long."""
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(within_s):
                return await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            return await self.process.wait()


def binary(name: str) -> str:
    """Return the path of a command in the environment's bin directory."""
    return str(Path(sys.executable).parent / name)
