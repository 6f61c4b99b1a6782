"""Work of a failure domain under faults of its holder, the log and the network."""

from __future__ import annotations

import asyncio

import pytest

from briarrun_daemon.daemon import Daemon
from tests.daemon.cluster import Cluster, outcome, with_cluster

pytestmark = pytest.mark.looptime
DOMAIN = "zagreb"


def current_holder(cluster: Cluster) -> Daemon:
    holder = cluster.holder(DOMAIN)
    assert holder is not None
    return holder


@with_cluster({DOMAIN: ["z1", "z2", "z3"]})
async def test_takeover_of_a_killed_holder(cluster: Cluster) -> None:
    """A takeover must take less than 1 s and neither end nor restart running tasks."""
    old = current_holder(cluster)
    assert (await cluster.submit(old, tasks=4)).status == 202
    await cluster.wait_until(lambda: len(cluster.running()) == 4, 2)
    await asyncio.sleep(1.0)
    await cluster.kill(old)
    took = await cluster.wait_until(lambda: cluster.holder(DOMAIN) is not None, 2.0)
    assert took < 1.0
    served = await cluster.request(current_holder(cluster))
    assert served.status == 200
    await asyncio.sleep(40)
    assert sorted(cluster.running().values()) == [1] * 4
    starts = [n for w in cluster.workers.values() for n in w.starts.values()]
    assert starts == [1] * 4


@with_cluster({DOMAIN: ["z1", "z2", "z3"]})
async def test_frozen_holder(cluster: Cluster) -> None:
    """Starts that a holder sends late, after a freeze, must be refused by workers.

    The holder is frozen between checking its authority and sending the starts.
    """
    old = current_holder(cluster)
    gate = cluster.gates[old.settings.vm_id]
    gate.freeze_at_start = True
    submitted = asyncio.ensure_future(cluster.submit(old, tasks=2, job_id="zagreb.a"))
    await cluster.wait_until(lambda: gate.frozen, 2.0)
    gate.freeze_at_start = False
    await cluster.wait_until(lambda: cluster.holder(DOMAIN) is not None, 2.0)
    assert (
        await cluster.submit(current_holder(cluster), job_id="zagreb.b")
    ).status == 202
    await cluster.wait_until(lambda: len(cluster.running()) == 3, 20.0)
    gate.thaw()
    await cluster.wait_until(lambda: old.role.authority.epoch == 2, 2.0)
    assert not old.role.may_act()
    await submitted
    for _ in range(60):
        await asyncio.sleep(0.5)
        assert sorted(cluster.running().values()) == [1] * 3
    assert sum(worker.refused for worker in cluster.workers.values()) == 2


@pytest.mark.parametrize("lost", [1, 3])
@with_cluster({DOMAIN: ["z1", "z2", "z3"]})
async def test_lost_append_responses(cluster: Cluster, lost: int) -> None:
    """Jobs must not be lost or doubled if an append succeeds but its response is lost."""
    cluster.log.lose_responses = lost
    answers = [
        await cluster.submit(d, run_seconds=0.5) for d in [current_holder(cluster)] * 3
    ]
    assert {answer.status for answer in answers} == {202}
    await asyncio.sleep(20)
    logged = [
        spec["job_id"]
        for record in cluster.log.of_type("jobs")
        for spec in record.get("accepted", ())
    ]
    fleet = current_holder(cluster).tail.fleet
    assert set(logged) == {answer.json()["job_id"] for answer in answers}
    assert not fleet.open_jobs_by_domain[DOMAIN]
    starts = [n for w in cluster.workers.values() for n in w.starts.values()]
    assert starts == [1] * 3


@with_cluster({DOMAIN: ["z1", "z2", "z3"]})
async def test_log_down_with_promises(cluster: Cluster) -> None:
    """A domain must keep working during a log outage while its members confirm it.

    After the holder is killed as well, no member may take over before the log is back.
    """
    cluster.log.down = True
    await asyncio.sleep(5.0)
    for daemon in cluster.daemons.values():
        assert (await cluster.request(daemon)).status == 200
    job = await cluster.submit(current_holder(cluster))
    assert job.json()["durability"] == "replicas"
    await cluster.wait_until(lambda: len(cluster.running()) == 1, 2)
    old = current_holder(cluster)
    await cluster.kill(old)
    await asyncio.sleep(3.0)
    assert cluster.holder(DOMAIN) is None
    refused = await cluster.request(cluster.standbys(DOMAIN)[0], deadline_ms=3000)
    assert outcome(refused) == "not-run"
    cluster.log.down = False
    await cluster.wait_until(lambda: cluster.holder(DOMAIN) is not None, 3.0)
    await asyncio.sleep(1.0)
    status = await cluster.get(
        current_holder(cluster), f"/v1/jobs/{job.json()['job_id']}"
    )
    assert status.json()["state"] == "running"


async def test_neither_log_nor_replicas() -> None:
    """A single VM without the log must not accept work that its loss would lose."""
    cluster = Cluster({DOMAIN: ["z1"]})
    await cluster.start_all()
    cluster.log.down = True
    await asyncio.sleep(1.0)
    job = await cluster.submit(cluster.daemons["z1"])
    request = await cluster.request(cluster.daemons["z1"], deadline_ms=3000)
    assert outcome(job) == outcome(request) == "not-run"
    assert not cluster.runs()
    await cluster.close()


@pytest.mark.parametrize("fault", ["none", "kill", "freeze"])
@with_cluster({DOMAIN: ["z1", "z2", "z3"]})
async def test_retry_of_a_request_that_is_not_idempotent(
    cluster: Cluster, fault: str
) -> None:
    """A retry through another VM or after a takeover must not run the request again."""
    first, old = cluster.standbys(DOMAIN)[0], current_holder(cluster)
    for upstream in cluster.upstreams.values():
        upstream.service_s = 0.3
    running = asyncio.ensure_future(cluster.request(first, "order-1"))
    await cluster.wait_until(lambda: cluster.runs()["order-1"] == 1, 1.0)
    if fault == "kill":
        await cluster.kill(old)
    elif fault == "freeze":
        cluster.gates[old.settings.vm_id].freeze()
    others = [d for d in cluster.standbys(DOMAIN) if d not in (first, old)]
    answers = [await cluster.request(d, "order-1") for d in [*others, first]]
    assert (await running).body == b"answer to body"
    for answer in answers:
        assert outcome(answer) in ("done", "unknown")
        assert outcome(answer) == "unknown" or answer.body == b"answer to body"
    assert cluster.runs()["order-1"] == 1
    assert outcome(await cluster.request(first, "order-1")) == "done"
    assert cluster.runs()["order-1"] == 1


@with_cluster({DOMAIN: ["z1", "z2", "z3"]})
async def test_restart_of_every_member_in_turn(cluster: Cluster) -> None:
    """A restarted member must become an elector again, and jobs must keep running."""
    job = await cluster.submit(current_holder(cluster))
    for vm_id in ("z1", "z2", "z3"):
        await cluster.kill(cluster.daemons[vm_id])
        await cluster.start(vm_id)
        await cluster.wait_until(cluster.is_settled, 5.0)
    status = await cluster.get(
        current_holder(cluster), f"/v1/jobs/{job.json()['job_id']}"
    )
    assert status.json()["state"] == "running"
    assert sorted(cluster.running().values()) == [1]


@with_cluster({DOMAIN: ["z1", "z2", "z3"]})
async def test_loss_of_a_whole_domain(cluster: Cluster) -> None:
    """Replacing all members must not lose jobs or run non-idempotent work twice."""
    holder = current_holder(cluster)
    safe = await cluster.submit(holder, job_id="zagreb.safe")
    once = await cluster.submit(holder, job_id="zagreb.once", idempotent=False)
    assert safe.status == once.status == 202
    assert (await cluster.request(holder, "zagreb.order")).status == 200
    await asyncio.sleep(1.0)
    for daemon in list(cluster.daemons.values()):
        await cluster.kill(daemon)
    cluster.domains = {DOMAIN: ["z4", "z5"]}
    for vm_id in ("z4", "z5"):
        await cluster.start(vm_id)
    took = await cluster.wait_until(lambda: cluster.holder(DOMAIN) is not None, 60)
    assert took > 29
    again = await cluster.request(current_holder(cluster), "zagreb.order")
    assert outcome(again) == "unknown"
    await asyncio.sleep(30)
    status = await cluster.get(current_holder(cluster), "/v1/jobs/zagreb.safe")
    assert status.json()["state"] == "running"
    status = await cluster.get(current_holder(cluster), "/v1/jobs/zagreb.once")
    assert status.json()["state"] == "unknown"
    starts = sum(
        (w.starts for w in cluster.workers.values()), start=type(cluster.runs())()
    )
    assert starts["zagreb.once/0"] == 1
    assert cluster.runs()["zagreb.order"] == 1


@with_cluster({DOMAIN: ["z1", "z2", "z3"]})
async def test_drain_hands_over_and_cuts_nothing_off(cluster: Cluster) -> None:
    """A drain must hand over authority without failing requests or a gap in service."""
    old = current_holder(cluster)
    for upstream in cluster.upstreams.values():
        upstream.service_s = 0.5
    fronts = [old, *cluster.standbys(DOMAIN)]
    running = [asyncio.ensure_future(cluster.request(d)) for d in fronts for _ in "ab"]
    await asyncio.sleep(0.1)
    old.drain.on_signal()
    assert await old.drain.run() == 0
    assert old.role.authority.holder != old.instance
    late = [asyncio.ensure_future(cluster.request(d)) for d in fronts[1:]]
    answers = await asyncio.gather(*running, *late)
    assert [answer.status for answer in answers] == [200] * 8
    assert set(cluster.runs().values()) == {1}
