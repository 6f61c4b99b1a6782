"""Tests of the address at which operators ask the VMs of a cell."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from briarrun_cell.explanation import JobExplanation
from briarrun_cell.metrics import Metrics
from briarrun_cell.operations import Explainer, NotHolder, OperationsHandler
from briarrun_wire.http_types import HttpRequest
from tests.cell.running import with_cell
from tools.emulator.cell.cell import FakeCell, step


class _Explainer(Explainer):
    def __init__(self, answer: JobExplanation | NotHolder | None) -> None:
        self.answer = answer
        self.asked: list[str] = []

    def explain(self, job_id: str) -> JobExplanation | NotHolder | None:
        self.asked.append(job_id)
        return self.answer


@pytest.mark.parametrize(
    ("answer", "status", "fields"),
    [
        (JobExplanation("a/b", "queued", ("x",)), 200, {"lines": ["x"]}),
        (None, 404, {"reason": "unknown-job"}),
        (
            NotHolder("vm2", "10.0.0.2:7020"),
            503,
            {
                "reason": "not-holder",
                "detail": "vm2 holds the cell, its peer address is 10.0.0.2:7020",
                "operations": "10.0.0.2:9464",
            },
        ),
        (
            NotHolder(),
            503,
            {"reason": "not-holder", "detail": "no VM is known to hold the cell"},
        ),
    ],
)
async def test_answer_of_the_operations_address(
    answer: JobExplanation | NotHolder | None, status: int, fields: dict[str, Any]
) -> None:
    """Guards against a VM that is not the holder and calls a job unknown."""
    explainer = _Explainer(answer)
    handler = OperationsHandler("/metrics", Metrics(), explainer, 9464)
    response = await handler.handle(HttpRequest("GET", "/explain/a%2Fb"))
    assert response.status == status
    assert response.json() | fields == response.json()
    assert explainer.asked == ["a/b"]
    metrics = await handler.handle(HttpRequest("GET", "/metrics"))
    assert metrics.status == 200


@pytest.mark.parametrize(
    ("requeues", "gaps", "lines"),
    [
        ((), (), ["briarrun_end_gaps_total 0.0"]),
        ((), (2, 3), ["briarrun_end_gaps_total 5.0"]),
        (
            ("refused", "lost", "refused"),
            (),
            [
                'briarrun_requeued_runs_total{reason="refused"} 2.0',
                'briarrun_requeued_runs_total{reason="lost"} 1.0',
            ],
        ),
    ],
)
async def test_second_starts_and_forgotten_ends_are_shown(
    requeues: tuple[str, ...], gaps: tuple[int, ...], lines: list[str]
) -> None:
    """Guards against runs that are given up without a trace outside the log."""
    metrics = Metrics()
    for reason in requeues:
        metrics.observe_requeue(reason)
    for ends in gaps:
        metrics.observe_end_gap(ends)
    handler = OperationsHandler("/metrics", metrics, _Explainer(None), 9464)
    response = await handler.handle(HttpRequest("GET", "/metrics"))
    assert set(lines) <= set(response.body.decode().splitlines())
    assert (await handler.handle(HttpRequest("GET", "/other"))).status == 404


@pytest.mark.looptime
@with_cell()
async def test_only_the_holder_explains_and_the_others_name_it(cell: FakeCell) -> None:
    """Guards against an explanation from a ledger that is out of date."""
    spec = cell.spec(step(2, 500, 9000))
    cell.store_job(spec)
    await asyncio.sleep(2.0)
    holder = await cell.wait_for_holder()
    for vm in cell.vms_by_name.values():
        assert vm.core is not None
        explained = vm.core.explain(spec.job_id)
        if vm is not holder:
            assert explained == NotHolder(holder.name, f"{holder.name}:1")
            continue
        assert isinstance(explained, JobExplanation)
        assert [each.reason for each in explained.steps] == ["size"]
        assert vm.core.explain("no-such-job") is None
    assert holder.core is not None
    await holder.core.election.release()
    assert isinstance(holder.core.explain(spec.job_id), NotHolder)


@pytest.mark.looptime
@with_cell()
async def test_ended_job_is_still_explained(cell: FakeCell) -> None:
    """Guards against an ended job that the holder calls unknown."""
    spec = cell.spec(step(1, 100))
    await cell.submit(spec)
    assert await cell.finished({spec.job_id}, 10.0) == set()
    await asyncio.sleep(8.0)
    holder = await cell.wait_for_holder()
    assert holder.core is not None
    explained = holder.core.explain(spec.job_id)
    assert isinstance(explained, JobExplanation)
    assert explained.lines == (f"job {spec.job_id} has ended as completed",)
