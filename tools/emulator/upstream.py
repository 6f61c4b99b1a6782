"""Stand-in for an upstream with slots and a limit of connections."""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import time
from dataclasses import replace

import msgspec

from briarrun_wire.http_types import REQUEST_ID_HEADER, HttpRequest, HttpResponse
from tools.emulator.base import StandIn, run_process


class UpstreamStandIn(StandIn):
    """Run requests in slots; a body ``{"work_s": x}`` says how long one takes.

    It checks no start time and no duplicates: a request that arrives runs.
    """

    def __init__(self, name: str, slots: int = 8, connections: int = 64) -> None:
        super().__init__(name)
        self.limits = replace(self.limits, max_connections=connections)
        self.slots = slots
        self.active = 0
        self._free = asyncio.Semaphore(slots)

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answer status queries and run requests."""
        if request.method == "GET" and request.path == "/v1/status":
            status = {
                "slots": self.slots,
                "connections": self.limits.max_connections,
                "active": self.active,
                "draining": self.faults.draining,
                "taken_at": self.wall(),
            }
            return HttpResponse.of_json(200, status)
        if request.method != "POST":
            return HttpResponse.of_error(405, "invalid-request", request.method)
        self.active += 1
        try:
            async with self._free:
                return await self._run(request)
        finally:
            self.active -= 1

    async def _run(self, request: HttpRequest) -> HttpResponse:
        request_id = request.headers.get(REQUEST_ID_HEADER.lower(), "")
        self.record("run", request_id=request_id, draining=self.faults.draining)
        await asyncio.sleep(_work_s(request.body))
        answer = {
            "request_id": request_id,
            "upstream": self.name,
            "body_sha256": hashlib.sha256(request.body).hexdigest(),
            "finished_at": time.time(),
        }
        self.record("answer", request_id=request_id)
        return HttpResponse.of_json(200, answer, ((REQUEST_ID_HEADER, request_id),))


def _work_s(body: bytes) -> float:
    try:
        return float(msgspec.json.decode(body)["work_s"])
    except (msgspec.DecodeError, TypeError, KeyError, ValueError):
        return 0.0


if __name__ == "__main__":
    _parser = argparse.ArgumentParser(description=__doc__)
    _parser.add_argument("--slots", type=int, default=8)
    _parser.add_argument("--connections", type=int, default=64)
    run_process(_parser, lambda name, o: UpstreamStandIn(name, o.slots, o.connections))
