"""Benchmark that sends a limited number of requests to an entry VM."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Annotated, Any
from urllib.parse import quote

import typer
from hdrh.histogram import HdrHistogram

from briarrun_cli.entry_vm import EntryVm, open_entry_vm
from briarrun_cli.exits import CommandError
from briarrun_cli.options import (
    DEFAULT_TIMEOUT_S,
    EntryOption,
    JsonOption,
    KeyOption,
    TimeoutOption,
)
from briarrun_cli.output import show
from briarrun_wire.http_types import OUTCOME_HEADER

MAX_LATENCY_US = 600_000_000
MICROSECONDS = 1_000_000
MAX_REQUESTS = 100_000
MAX_CONCURRENCY = 256
PERCENTILES = (50.0, 99.0, 99.9)


@dataclass(slots=True)
class LoadReport:
    """Outcomes and latencies of the requests of a benchmark."""

    outcomes: Counter[str] = field(default_factory=Counter)
    latency_us: Any = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3),
    )

    def add(self, outcome: str, seconds: float) -> None:
        """Record the outcome and latency of one request."""
        self.outcomes[outcome] += 1
        self.latency_us.record_value(max(1, int(seconds * MICROSECONDS)))

    def data(self) -> dict[str, Any]:
        """Return the report as JSON-compatible data; latencies are in milliseconds."""
        latencies = {
            f"p{percent:g}_ms": self.latency_us.get_value_at_percentile(percent) / 1000
            for percent in PERCENTILES
        }
        return {"outcomes": dict(sorted(self.outcomes.items())), **latencies}


def bench(
    queue: str,
    entry: EntryOption,
    count: Annotated[int, typer.Option(min=1, max=MAX_REQUESTS)] = 1000,
    concurrency: Annotated[int, typer.Option(min=1, max=MAX_CONCURRENCY)] = 8,
    key: KeyOption = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Send idempotent requests to a queue. Example: briarrun bench planner-requests."""
    report = asyncio.run(_run(queue, entry, count, concurrency, key, timeout))
    data = report.data()
    show(data, [f"{name}: {value}" for name, value in data.items()], as_json)


async def _run(
    queue: str,
    entry: str,
    count: int,
    concurrency: int,
    key: str | None,
    timeout_s: float,
) -> LoadReport:
    report = LoadReport()
    numbers = iter(range(count))
    async with open_entry_vm(entry, key, timeout_s) as entry_vm:
        senders = [
            _send_all(entry_vm, queue, numbers, report) for _ in range(concurrency)
        ]
        await asyncio.gather(*senders)
    return report


async def _send_all(
    entry_vm: EntryVm,
    queue: str,
    numbers: Any,
    report: LoadReport,
) -> None:
    path = f"/v1/queues/{quote(queue, safe='')}/requests"
    headers = (("Briarrun-Idempotent", "true"),)
    loop = asyncio.get_running_loop()
    for _ in numbers:
        started_at = loop.time()
        try:
            response = await entry_vm.send("POST", path, b"{}", headers)
        except CommandError as error:
            outcome = error.status.name.lower().replace("_", "-")
        else:
            outcome = response.header(OUTCOME_HEADER) or f"status {response.status}"
        report.add(outcome, loop.time() - started_at)
