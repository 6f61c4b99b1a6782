"""Admission and the outcomes that callers get, with and without faults."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from tests.daemon.cluster import KEY, Cluster, outcome, with_cluster

pytestmark = pytest.mark.looptime
DOMAINS = {"osijek": ["o1", "o2"], "split": ["s1", "s2"], "zagreb": ["z1", "z2"]}


@with_cluster(DOMAINS, timing={"cut_off_serve_s": 20.0})
async def test_withdrawn_key(cluster: Cluster) -> None:
    """A withdrawn key must be rejected everywhere within 5 s."""
    for daemon in cluster.daemons.values():
        assert (await cluster.request(daemon)).status == 200
    cluster.publish({"keys_by_id": {"k1": None}})
    await asyncio.sleep(5.0)
    ran = cluster.runs().total()
    for daemon in cluster.daemons.values():
        refused = await cluster.request(daemon)
        assert (refused.status, outcome(refused)) == (401, "not-run")
        assert refused.json()["reason"] == "invalid-key"
    assert cluster.runs().total() == ran


@pytest.mark.parametrize("keeps", ["nothing", "log", "other domain"])
@with_cluster(DOMAINS, timing={"cut_off_serve_s": 20.0})
async def test_domain_cut_off(cluster: Cluster, keeps: str) -> None:
    """A domain must reject keyed requests if its configuration cannot be confirmed.

    It must go on serving them as long as the log or another domain is reachable, and
    public requests at any time.
    """
    others = DOMAINS["osijek"] + DOMAINS["split"]
    if keeps != "log":
        cluster.log.down = True
    if keeps != "other domain":
        cluster.network.isolate(DOMAINS["zagreb"], others)
    await asyncio.sleep(15.0)
    daemon = cluster.daemons["z1"]
    assert (await cluster.request(daemon, "zagreb.1")).status == 200
    await asyncio.sleep(10.0)
    keyed = await cluster.request(daemon, "zagreb.2")
    if keeps == "nothing":
        assert keyed.status == 503
        assert keyed.json()["reason"] == "configuration-stale"
    else:
        assert keyed.status == 200
    public = await cluster.request(daemon, "zagreb.3", queue="public", token=None)
    assert public.status == 200


@with_cluster(DOMAINS, timing={"cut_off_serve_s": 20.0})
async def test_replaced_vm_during_a_log_outage(cluster: Cluster) -> None:
    """A replaced VM must obtain the newest configuration before it admits requests.

    During a log outage it has to get it from another daemon.
    """
    cluster.publish({"keys_by_id": {"k1": None}})
    await asyncio.sleep(1.0)
    cluster.log.down = True
    await cluster.kill(cluster.daemons["z1"])
    await cluster.kill(cluster.daemons["z2"])
    fresh = await cluster.start("z1")
    early = await cluster.request(fresh, queue="public", token=None, deadline_ms=500)
    assert outcome(early) == "not-run"
    await cluster.wait_until(fresh.admission.is_ready, 5.0)
    assert fresh.tail.fleet.generation == 2
    refused = await cluster.request(fresh)
    assert refused.json()["reason"] == "invalid-key"


@pytest.mark.parametrize("source", ["status", "VM list"])
@with_cluster(DOMAINS, timing={"cut_off_serve_s": 20.0})
async def test_leaving_upstream(cluster: Cluster, source: str) -> None:
    """An upstream must get no new work once it has been leaving for 3 s."""
    leaving = cluster.upstreams["zagreb-u0"]
    left_at = 0.0

    async def send_requests() -> None:
        while True:
            await cluster.request(cluster.daemons["z1"], idempotent=True)

    callers = [asyncio.ensure_future(send_requests()) for _ in range(12)]
    await asyncio.sleep(1.0)
    assert leaving.runs
    left_at = cluster.wall()
    if source == "status":
        leaving.draining = True
    else:
        cluster.leaving.add("zagreb-u0")
    await asyncio.sleep(10.0)
    for caller in callers:
        caller.cancel()
    assert max(leaving.started_at) < left_at + 3.0
    assert max(cluster.upstreams["zagreb-u1"].started_at) > left_at + 9.0


@pytest.mark.parametrize(
    ("fault", "idempotent", "expected"),
    [
        ("refuses", True, "done"),
        ("refuses", False, "done"),
        ("breaks", True, "done"),
        ("breaks", False, "unknown"),
        ("hangs", True, "unknown"),
        ("hangs", False, "unknown"),
    ],
)
@with_cluster(DOMAINS, timing={"cut_off_serve_s": 20.0})
async def test_upstream_faults(
    cluster: Cluster, fault: str, idempotent: bool, expected: str
) -> None:
    """Upstream faults must yield the right outcome and no second run.

    Only an idempotent request may run again after it was sent.
    """
    # Among equal upstreams the one with the highest id is chosen first.
    upstream = cluster.upstreams["zagreb-u1"]
    if fault == "refuses":
        upstream.refuse_connections = True
    elif fault == "breaks":
        upstream.fail_after_send = 1
    else:
        upstream.service_s = 60.0
    answer = await cluster.request(
        cluster.daemons["z1"], "zagreb.1", idempotent=idempotent, deadline_ms=2000
    )
    assert outcome(answer) == expected
    if not idempotent:
        assert cluster.runs()["zagreb.1"] == 1


@pytest.mark.parametrize("seed", range(4))
@with_cluster(DOMAINS, timing={"cut_off_serve_s": 20.0})
async def test_outcomes_are_true_under_random_faults(
    cluster: Cluster, seed: int
) -> None:
    """Outcomes must match what ran, and a request must not run twice.

    "not run" must not follow a run, and "done" requires one.
    """
    rng = random.Random(seed)
    answers: dict[str, list[str]] = {}

    async def call(request_id: str) -> None:
        for _ in range(2):
            vm_id = rng.choice(sorted(cluster.daemons))
            try:
                answer = await cluster.request(
                    cluster.daemons[vm_id], request_id, deadline_ms=4000
                )
            except asyncio.CancelledError:
                answers.setdefault(request_id, []).append("unknown")
                raise
            answers.setdefault(request_id, []).append(outcome(answer))

    async def inject_faults() -> None:
        for _ in range(6):
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            vm_id = rng.choice(sorted(cluster.daemons))
            kind = rng.choice(["kill", "freeze", "break", "log down", "cut"])
            if kind == "kill" and len(cluster.daemons) > 3:
                daemon = cluster.daemons[vm_id]
                await cluster.kill(daemon)
                await cluster.start(vm_id)
            elif kind == "freeze":
                cluster.gates[vm_id].freeze()
                await asyncio.sleep(rng.uniform(0.1, 1.5))
                cluster.gates[vm_id].thaw()
            elif kind == "break":
                for upstream in cluster.upstreams.values():
                    upstream.fail_after_send = 2
            elif kind == "log down":
                cluster.log.down = True
                await asyncio.sleep(rng.uniform(0.2, 2.0))
                cluster.log.down = False
            else:
                cluster.network.isolate([vm_id], set(cluster.daemons) - {vm_id})
                await asyncio.sleep(rng.uniform(0.2, 1.5))
                cluster.network.cut.clear()

    injecting = asyncio.ensure_future(inject_faults())
    calls = []
    for number in range(300):
        domain = rng.choice(sorted(DOMAINS))
        calls.append(asyncio.ensure_future(call(f"{domain}.{number}")))
        await asyncio.sleep(0.03)
    await injecting
    await asyncio.wait(calls, timeout=30)
    runs = cluster.runs()
    assert all(count == 1 for count in runs.values())
    for request_id, outcomes in answers.items():
        if "done" in outcomes:
            assert runs[request_id] == 1
        if outcomes[0] == "not-run" and set(outcomes) == {"not-run"}:
            assert runs[request_id] == 0, request_id
    counted = [name for outcomes in answers.values() for name in outcomes]
    assert counted.count("done") > 200


@with_cluster({"zagreb": ["z1"]})
async def test_queue_bound_and_metrics(cluster: Cluster) -> None:
    """A queue's limit must bound its requests in a front end; metrics must be served."""
    cluster.publish({"queues_by_name": {"plan": {"max_waiting": 3}}})
    await asyncio.sleep(1.0)
    daemon = cluster.daemons["z1"]
    calls = [cluster.request(daemon, idempotent=True) for _ in range(5)]
    answers = await asyncio.gather(*calls)
    assert sorted(answer.status for answer in answers) == [200] * 3 + [503] * 2
    page = (await cluster.get(daemon, "/metrics")).body.decode()
    for line in (
        'briarrun_requests_total{outcome="done",team="planners",urgency="normal"} 3.0',
        'briarrun_request_seconds_count{team="planners",urgency="normal"} 3.0',
        'briarrun_peer_bytes_total{direction="sent",region="region-1"} 5.0',
        "briarrun_holding 1.0",
        "briarrun_generation 2.0",
    ):
        assert line in page
    assert (await cluster.get(daemon, "/healthz")).status == 200
    assert (await cluster.get(daemon, "/readyz")).status == 200


BAD_REQUESTS: list[tuple[dict[str, str], dict[str, Any], int, str]] = [
    ({"briarrun-urgency": "soon"}, {}, 400, "invalid-request"),
    ({"briarrun-deadline-ms": "-1"}, {}, 400, "invalid-request"),
    ({"briarrun-deadline-ms": "9" * 40}, {}, 400, "invalid-request"),
    ({"briarrun-idempotent": "maybe"}, {}, 400, "invalid-request"),
    ({"idempotency-key": "a b"}, {}, 400, "invalid-request"),
    ({}, {"queue": "none"}, 404, "unknown-queue"),
    ({}, {"token": None}, 401, "key-required"),
    ({}, {"token": KEY.token[:-1] + "x"}, 401, "invalid-key"),
]


BAD_JOBS: list[tuple[dict[str, Any], str]] = [
    ({"kind": "cron"}, "kind"),
    ({"tasks": 0}, "/tasks"),
    ({"tasks": "3"}, "tasks"),
    ({"colour": 1}, "colour"),
    ({"resources": {}}, "/resources"),
    ({"resources": {"cores": -5}}, "/resources"),
    ({"job_id": "nowhere.1"}, "/job_id"),
    ({"job_id": "zagreb.a/b"}, "/job_id"),
    ({"max_attempts": 0}, "/max_attempts"),
]


@with_cluster(DOMAINS, timing={"cut_off_serve_s": 20.0})
async def test_bad_input(cluster: Cluster) -> None:
    """Invalid input must be refused with its reason and the faulty field."""
    daemon = cluster.daemons["z1"]
    for headers, fields, status, reason in BAD_REQUESTS:
        answer = await cluster.request(daemon, headers=headers, **fields)
        assert (answer.status, answer.json()["reason"]) == (status, reason), headers
        assert outcome(answer) == "not-run"
    for body, pointer in BAD_JOBS:
        answer = await cluster.submit(daemon, **body)
        assert (answer.status, outcome(answer)) == (400, "not-run"), body
        assert pointer in answer.json()["detail"], answer.json()
    assert (await cluster.get(daemon, "/v1/jobs/zagreb.none")).status == 404
    assert (await cluster.get(daemon, "/v1/none")).status == 404
    assert (await cluster.get(daemon, "/v1/drain")).status == 405
