"""Requests and jobs from the front end through the holder to upstream or worker."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.daemon.cluster import Cluster, outcome, with_cluster

pytestmark = pytest.mark.looptime


@with_cluster({"zagreb": ["z1", "z2", "z3"]})
async def test_requests_and_jobs_run_once_from_every_front(cluster: Cluster) -> None:
    """Without faults all work must run once and be answered correctly."""
    for vm_id, daemon in cluster.daemons.items():
        for idempotent in (False, True):
            response = await cluster.request(daemon, idempotent=idempotent)
            assert response.status == 200, (vm_id, response)
            assert outcome(response) == "done"
            assert response.body == b"answer to body"
    assert sorted(cluster.runs().values()) == [1] * 6
    for daemon in cluster.daemons.values():
        response = await cluster.submit(daemon, tasks=3, run_seconds=1.0)
        assert response.status == 202, response
        assert response.json()["durability"] in ("log", "replicas")
    job_id = response.json()["job_id"]

    async def state() -> str:
        status = await cluster.get(daemon, f"/v1/jobs/{job_id}")
        return str(json.loads(status.body)["state"])

    for _ in range(200):
        if await state() == "done":
            break
        await asyncio.sleep(0.1)
    assert await state() == "done"
    starts = [n for w in cluster.workers.values() for n in w.starts.values()]
    assert starts == [1] * 9
