"""Invariants of the fleet: capacity, team limits, single runs and single holders."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from briarrun_core.resources import NOTHING, Resources
from tests.daemon.cluster import Cluster, outcome, with_cluster

pytestmark = pytest.mark.looptime
DOMAINS = {"osijek": ["o1", "o2"], "split": ["s1", "s2"], "zagreb": ["z1", "z2"]}
CORE = {"cores": 1000, "memory_mib": 10}


def make_team_limit(cores: int, slots: int = 60) -> dict[str, object]:
    amounts = {"cores": cores * 1000, "memory_mib": 600_000, "slots": slots}
    return {"teams_by_id": {"planners": {"limit": amounts}}}


def used_cores(cluster: Cluster) -> int:
    return sum(worker.used().cores for worker in cluster.workers.values()) // 1000


async def check_invariants(cluster: Cluster, limit: Resources) -> None:
    """Fail as soon as the workers or holders violate an invariant."""
    while True:
        total = NOTHING
        for name, worker in cluster.workers.items():
            assert worker.used().fits_in(worker.capacity), f"{name} is overcommitted"
            total = total + worker.used()
        assert total.fits_in(limit), f"{total} is above the limit"
        doubled = [task for task, count in cluster.running().items() if count > 1]
        assert not doubled, f"{doubled} run in two places"
        for domain in cluster.domains:
            assert len(cluster.holders(domain)) <= 1, f"{domain} has two holders"
        await asyncio.sleep(0.01)


@with_cluster(DOMAINS)
async def test_limit_moves_to_where_it_is_wanted(cluster: Cluster) -> None:
    """A team's limit must move to the domain that needs it and never be exceeded."""
    cluster.publish(make_team_limit(30))
    await asyncio.sleep(1.0)
    bound = Resources(30_000, 600_000, 0, 60)
    checking = asyncio.ensure_future(check_invariants(cluster, bound))
    daemon = cluster.daemons["z1"]
    assert (await cluster.submit(daemon, tasks=40, resources=CORE)).status == 202
    await cluster.wait_until(lambda: used_cores(cluster) >= 10, 3)
    await cluster.wait_until(lambda: used_cores(cluster) >= 28, 30)
    checking.cancel()
    cluster.publish(make_team_limit(12))
    await cluster.wait_until(lambda: used_cores(cluster) <= 12, 5)
    checking = asyncio.ensure_future(
        check_invariants(cluster, Resources(12_000, 600_000, 0, 60))
    )
    await asyncio.sleep(10)
    assert not checking.done()
    checking.cancel()


@pytest.mark.parametrize("seed", range(3))
@with_cluster(DOMAINS)
async def test_rules_hold_under_random_faults(cluster: Cluster, seed: int) -> None:
    """Random faults must not violate the invariants or lose accepted jobs."""
    cluster.publish(make_team_limit(150))
    rng = random.Random(seed)
    checking = asyncio.ensure_future(
        check_invariants(cluster, Resources(150_000, 600_000, 0, 60))
    )
    jobs: dict[str, str] = {}

    async def submit(number: int) -> None:
        daemon = cluster.daemons[rng.choice(sorted(cluster.daemons))]
        name = f"{rng.choice(sorted(DOMAINS))}.{number}"
        answer = await cluster.submit(
            daemon,
            job_id=name,
            tasks=rng.randint(1, 8),
            kind=rng.choice(["batch", "gang"]),
            resources={"cores": rng.choice([1000, 4000, 16000]), "memory_mib": 10},
            run_seconds=rng.uniform(0.2, 4.0),
            max_attempts=50,
        )
        jobs[name] = "accepted" if answer.status == 202 else outcome(answer)

    calls = []
    for number in range(60):
        calls.append(asyncio.ensure_future(submit(number)))
        await asyncio.sleep(rng.uniform(0.0, 0.3))
        if number % 6 == 5:
            calls.append(asyncio.ensure_future(inject_fault(cluster, rng)))
    await asyncio.gather(*calls)
    await asyncio.sleep(90)
    if checking.done():
        checking.result()
    checking.cancel()
    states: Counter[tuple[str, str]] = Counter()
    daemon = cluster.daemons["z1"]
    for name, answer in jobs.items():
        status = (await cluster.get(daemon, f"/v1/jobs/{name}")).json()
        states[(answer, status.get("state", status.get("reason")))] += 1
        if status.get("state") == "pending":
            explained = await cluster.get(daemon, f"/v1/jobs/{name}/explain")
            print(status, explained.body)
    assert {state for answer, state in states if answer == "accepted"} == {"done"}
    assert {s for answer, s in states if answer == "not-run"} <= {"unknown-job"}
    assert states[("accepted", "done")] >= 50, states


async def inject_fault(cluster: Cluster, rng: random.Random) -> None:
    """Inject one temporary fault."""
    vm_id = rng.choice(sorted(cluster.daemons))
    others = set(cluster.daemons) - {vm_id}
    match rng.choice(["kill", "freeze", "log down", "cut", "silent", "lost"]):
        case "kill":
            await cluster.kill(cluster.daemons[vm_id])
            await cluster.start(vm_id)
        case "freeze":
            cluster.gates[vm_id].freeze()
            await asyncio.sleep(rng.uniform(0.1, 1.5))
            cluster.gates[vm_id].thaw()
        case "log down":
            cluster.log.down = True
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            cluster.log.down = False
        case "cut":
            cluster.network.isolate([vm_id], others)
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            cluster.network.cut.clear()
        case "silent":
            worker = cluster.workers[rng.choice(sorted(cluster.workers))]
            worker.silent = True
            await asyncio.sleep(rng.uniform(0.5, 20.0))
            worker.silent = False
        case _:
            cluster.log.lose_responses += 2


@with_cluster({"zagreb": ["z1", "z2"]})
async def test_overload(cluster: Cluster) -> None:
    """Under overload, queues must be bounded and urgent requests served first."""
    for upstream in cluster.upstreams.values():
        upstream.service_s = 1.0
    calls = {}
    for urgency in ("urgent", "normal", "low"):
        for number in range(100):
            daemon = cluster.daemons["z1" if number % 2 else "z2"]
            calls[(urgency, number)] = asyncio.ensure_future(
                cluster.request(
                    daemon,
                    deadline_ms=8000,
                    idempotent=True,
                    headers={"briarrun-urgency": urgency},
                )
            )
    answers = {key: await call for key, call in calls.items()}
    done = Counter(u for (u, _), a in answers.items() if outcome(a) == "done")
    assert done["urgent"] >= 90
    assert done["low"] <= 10
    # A request that gets its slot shortly before its deadline is interrupted by the
    # deadline, and its outcome is unknown.
    cut_off = sum(outcome(answer) == "unknown" for answer in answers.values())
    assert cut_off <= 32
    assert cluster.runs().total() == done.total() + cut_off
    assert all(u.most_active <= u.slots for u in cluster.upstreams.values())


@with_cluster({"zagreb": ["z1", "z2"]})
async def test_second_signal(cluster: Cluster) -> None:
    """A second signal must interrupt a drain."""
    daemon = cluster.daemons["z1"]
    cluster.upstreams["zagreb-u0"].service_s = 30.0
    cluster.upstreams["zagreb-u1"].service_s = 30.0
    cluster.log.down = True
    draining = asyncio.ensure_future(daemon.drain.run())
    daemon.drain.on_signal()
    await asyncio.sleep(0.2)
    daemon.drain.on_signal()
    assert await draining == 1


@with_cluster({"zagreb": ["z1", "z2"]}, timing={"log_retention_s": 30.0})
async def test_snapshots_outlive_retention(cluster: Cluster) -> None:
    """Snapshots must preserve jobs, keys and limits when old log records are removed."""
    job = await cluster.submit(cluster.daemons["z1"])
    for _ in range(12):
        before = len(cluster.log.records)
        await asyncio.sleep(10.0)
        cluster.log.first = max(
            cluster.log.first, min(before, oldest_retained_offset(cluster))
        )
    assert cluster.log.first > 5
    for vm_id in ("z1", "z2"):
        await cluster.kill(cluster.daemons[vm_id])
        await cluster.start(vm_id)
        await cluster.wait_until(cluster.is_settled, 10.0)
    daemon = cluster.daemons["z1"]
    assert (await cluster.request(daemon)).status == 200
    status = await cluster.get(daemon, f"/v1/jobs/{job.json()['job_id']}")
    assert status.json()["state"] == "running"


def oldest_retained_offset(cluster: Cluster) -> int:
    """Return the offset of the oldest record that the log still retains."""
    return len(cluster.log.records) - 9
