"""Malformed bodies, headers, keys, methods and paths sent to daemon processes."""

import asyncio
import json
import random
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from tools.emulator.fleet import FleetPlan, ProcessFleet
from tools.emulator.workload import KEYS_BY_TEAM, document

REQUESTS = 600
MAX_CONCURRENT_REQUESTS = 20
JOB: dict[str, Any] = {
    "kind": "batch",
    "tasks": 1,
    "resources": {"cores": 100},
    "idempotent": True,
}
VALUES = [
    *(None, True, -1, 0, 10**9, 2**63, 1e308, -0.0, 1.5),
    *("x", "", "é" * 100, "NaN", [], {}, [1], {"a": 1}, "urgent"),
]
FIELDS = [*JOB, "command", "job_id", "run_seconds", "max_attempts", "urgency", "extra"]
HEADERS = [
    ("Briarrun-Urgency", "now"),
    ("Idempotency-Key", "a b"),
    ("Briarrun-Deadline-Ms", "-4"),
    ("Briarrun-Deadline-Ms", "9" * 30),
    ("Briarrun-Idempotent", "maybe"),
]
KEYS = ["", "Bearer", "Bearer x", "Basic zz", "Bearer brk_a_b"]
CALLS = [
    *[("POST", "/v1/queues/roster/jobs")] * 6,
    *(("POST", f"/v1/queues/{name}/jobs") for name in ("%00", "nope", "%ff", "..")),
    *((m, "/v1/queues/roster/requests") for m in ("POST", "GET", "PUT")),
    *((m, f"/v1/jobs/{i}") for m in ("GET", "DELETE") for i in ("zagreb.%ff", "x")),
    ("GET", "/v1/jobs/zagreb.%0d%0a/explain"),
    *(("GET", f"/v1/requests/{i}") for i in ("%ff", "%0d%0aa:b", "x" * 300)),
    ("POST", "/v1/drain"),
    ("GET", "/x"),
]


def make_body(rng: random.Random) -> bytes:
    """Return a job with invalid values, or a body that is not a job at all."""
    if rng.random() < 0.05:
        return rng.choice([b"", b"\xff" * 50, b"[" * 100_000, b"{", b"nul"])
    job = dict(JOB)
    for _ in range(rng.randint(1, 3)):
        job[rng.choice(FIELDS)] = rng.choice(VALUES)
    if rng.random() < 0.3:
        part = rng.choice(["cores", "memory_mib", "accelerators", "slots"])
        job["resources"] = {part: rng.choice(VALUES)}
    return json.dumps(job).encode()


@pytest.mark.processes
async def test_bad_input_gets_a_clear_refusal(tmp_path: Path) -> None:
    """Invalid input must get a 4xx, never a 5xx, and must not end a process."""
    plan = FleetPlan(("zagreb",), daemons_per_domain=2, workers=1, upstreams=1)
    fleet = ProcessFleet(plan, tmp_path)
    rng = random.Random(5)
    token = f"Bearer {KEYS_BY_TEAM['roster'].token}"
    free = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    statuses: Counter[int] = Counter()

    async def send(number: int) -> None:
        method, path = rng.choice(CALLS)
        key = rng.choice(KEYS) if rng.random() < 0.2 else token
        headers = [("Authorization", key)]
        if rng.random() < 0.3:
            headers.append(rng.choice(HEADERS))
        body = make_body(rng)
        async with free:
            answer = await fleet.pool.request(
                fleet.entry_vms[number % 2].http_address,
                method,
                path,
                headers=headers,
                body=body,
                idempotent=True,
                timeout_s=40,
            )
        assert answer.is_ok(), (method, path, headers, body[:200], answer)
        assert answer.ok.status < 500, (method, path, headers, body[:200], answer.ok)
        statuses[answer.ok.status] += 1

    try:
        await fleet.start(document(plan.domains))
        await asyncio.gather(*(send(number) for number in range(REQUESTS)))
        assert statuses[400] > REQUESTS / 10
        assert all(vm.child and vm.child.is_running for vm in fleet.entry_vms)
    finally:
        ended = await fleet.stop()
    assert set(ended.values()) == {0}
