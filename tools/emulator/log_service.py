"""Stand-in for the append-only log service."""

from __future__ import annotations

import argparse
import asyncio
from typing import Any

from briarrun_wire.http_types import HttpRequest, HttpResponse
from tools.emulator.base import StandIn, run_process


class LogStandIn(StandIn):
    """Keep records in memory; ``keep_records`` bounds how many are retained."""

    def __init__(self, name: str = "log") -> None:
        super().__init__(name)
        self.first = 0
        self.log: list[dict[str, Any]] = []
        self._appended = asyncio.Event()

    @property
    def next(self) -> int:
        """Return the offset after the last record."""
        return self.first + len(self.log)

    def append(self, records: list[dict[str, Any]]) -> list[int]:
        """Append records and return their offsets."""
        offsets = list(range(self.next, self.next + len(records)))
        self.log += records
        for record, offset in zip(records, offsets, strict=True):
            self.record("append", offset=offset, type=record.get("type"))
        keep = self.faults.keep_records
        if keep is not None and len(self.log) > keep:
            self.first += len(self.log) - keep
            self.log = self.log[-keep:] if keep else []
        self._appended.set()
        self._appended = asyncio.Event()
        return offsets

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answer appends and reads."""
        match request.method, request.path:
            case "POST", "/v1/append":
                records = request.json()["records"]
                if not all(isinstance(record, dict) for record in records):
                    raise ValueError("a record must be an object")
                return HttpResponse.of_json(200, {"offsets": self.append(records)})
            case "GET", "/v1/read":
                return await self._read(request)
        return HttpResponse.of_error(404, "invalid-request", request.path)

    async def _read(self, request: HttpRequest) -> HttpResponse:
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if start >= self.next and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await self._appended.wait()
            except TimeoutError:
                pass
        start = max(start, self.first)
        end = start + int(request.query.get("max", "1000"))
        found = self.log[start - self.first : end - self.first]
        entries = [{"offset": start + i, "record": r} for i, r in enumerate(found)]
        body = {"first": self.first, "next": self.next, "records": entries}
        return HttpResponse.of_json(200, body)


if __name__ == "__main__":
    run_process(
        argparse.ArgumentParser(description=__doc__), lambda name, _: LogStandIn(name)
    )
