"""Base of the stand-ins: faults, records, and processes that host several of them."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from abc import abstractmethod
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from briarrun_wire.http_server import CloseConnection, HttpHandler, HttpServer
from briarrun_wire.http_types import HttpLimits, HttpRequest, HttpResponse


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Switch faults of a stand-in; each kind ignores those that it does not have.

    ``refuse`` closes the listening socket and all connections; ``die`` does so too and
    forgets all running work; ``lose_responses`` is how many answers to requests on
    ``lose_path`` get lost after taking effect.
    """

    down: bool = False
    silent: bool = False
    refuse: bool = False
    die: bool = False
    slow_s: float = 0.0
    lose_responses: int = 0
    lose_path: str = "/"
    keep_records: int | None = None
    list_lag_s: float = 0.0
    usage_lag_s: float = 0.0
    fail_starts: bool = False
    draining: bool = False
    clock_offset_s: float = 0.0


class StandIn(HttpHandler):
    """Serve one outside part and record what happens, in true wall-clock seconds."""

    limits = HttpLimits(max_body_bytes=64 * 1024 * 1024)

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = Faults()
        self.records: list[dict[str, Any]] = []
        self.records_file: BinaryIO | None = None
        self.address = ""
        self._server: HttpServer | None = None

    async def start(self, port: int = 0) -> str:
        """Listen on loopback and return the address."""
        self._server = HttpServer(self, self.limits)
        await self._server.start("127.0.0.1", port)
        self.address = self._server.address
        return self.address

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            await self._server.close()
            self._server = None

    async def set_faults(self, changes: Mapping[str, Any]) -> None:
        """Change some faults and leave the others."""
        before = msgspec.to_builtins(self.faults)
        self.faults = msgspec.convert({**before, **changes}, Faults)
        if self.faults.die and not before["die"]:
            self.forget_work()
        unreachable = self.faults.refuse or self.faults.die
        if unreachable:
            await self.close()
        elif self._server is None:
            await self.start(int(self.address.rpartition(":")[2]))

    def forget_work(self) -> None:
        """End all running work, as the loss of the VM does."""

    def record(self, event: str, **fields: Any) -> None:
        """Add to the stand-in's own record."""
        entry = {"event": event, "by": self.name, "at": time.time(), **fields}
        self.records.append(entry)
        if self.records_file is not None:
            self.records_file.write(msgspec.json.encode(entry) + b"\n")

    def wall(self) -> float:
        """Return the stand-in's clock, which a fault may set wrong."""
        return time.time() + self.faults.clock_offset_s

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Apply the faults around the real answer."""
        faults = self.faults
        if faults.silent:
            await asyncio.Event().wait()
        if faults.slow_s:
            await asyncio.sleep(faults.slow_s)
        if faults.down:
            return HttpResponse.of_error(503, "down", "the service is down")
        try:
            response = await self.serve(request)
        except (msgspec.DecodeError, KeyError, ValueError) as error:
            return HttpResponse.of_error(400, "invalid-request", str(error))
        faults = self.faults
        if faults.lose_responses and request.path.startswith(faults.lose_path):
            faults.lose_responses -= 1
            raise CloseConnection
        return response

    @abstractmethod
    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answer without faults."""


class Control(HttpHandler):
    """Switch faults and return records of all stand-ins of a process."""

    def __init__(self, standins: Sequence[StandIn]) -> None:
        self._standins_by_name = {standin.name: standin for standin in standins}

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer ``POST /faults`` and ``GET /records``."""
        match request.method, request.path:
            case "POST", "/faults":
                changes = request.json()
                target = changes.pop("target", None)
                try:
                    for name, standin in self._standins_by_name.items():
                        if target in (None, name):
                            await standin.set_faults(changes)
                except msgspec.ValidationError as error:
                    return HttpResponse.of_error(400, "invalid-request", str(error))
                return HttpResponse.of_json(200, {})
            case "GET", "/records":
                records = [
                    r for s in self._standins_by_name.values() for r in s.records
                ]
                return HttpResponse.of_json(200, records)
        return HttpResponse.of_error(404, "invalid-request", request.path)


def run_process(
    parser: argparse.ArgumentParser, build: Any, arguments: Sequence[str] | None = None
) -> None:
    """Serve stand-ins until standard input ends; print their addresses as JSON."""
    parser.add_argument("--name", default="standin")
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--records", type=Path, help="file that outlives a kill")
    options = parser.parse_args(arguments)
    standins: list[StandIn] = [
        build(f"{options.name}-{i}" if options.count > 1 else options.name, options)
        for i in range(options.count)
    ]

    async def serve() -> None:
        if options.records is not None:
            # Unbuffered, so that a killed stand-in has recorded what it did.
            records_file = options.records.open("ab", buffering=0)
            for standin in standins:
                standin.records_file = records_file
        control = HttpServer(Control(standins))
        await control.start()
        for standin in standins:
            await standin.start(options.port if options.count == 1 else 0)
        bound = {standin.name: standin.address for standin in standins}
        line = {"control": control.address, "addresses_by_name": bound}
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()
        # The parent holds the other end, so that no stand-in outlives it.
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)

    asyncio.run(serve())
