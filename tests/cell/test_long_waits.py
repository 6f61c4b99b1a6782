"""Tests of steps that wait for long beside idle workers, over many rounds."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest

from briarrun_cell.decisions.customer_limits import CustomerLimits
from briarrun_cell.decisions.headroom import UrgentHeadroom
from briarrun_cell.decisions.waiting import WaitReason
from briarrun_cell.ledger import Ledger
from briarrun_cell.model import (
    Customer,
    EndKind,
    EndReport,
    StepSpec,
)
from briarrun_cell.workers import Worker
from briarrun_core.resources import Resources
from tests.cell.rounds import (
    ROUND_S,
    WHOLE,
    Rounds,
    approve,
    make_queue,
    step_of,
)
from tests.cell.test_ledger import (
    URGENT,
    entry,
    job,
    make_ledger,
    poll,
)


@pytest.mark.parametrize("round_s", [ROUND_S, 2 * ROUND_S])
def test_tickets_do_not_expire_between_the_turns_of_a_step(round_s: float) -> None:
    """Guards against a step that is asked about in one turn and too late in the next.

    Every other step is approved for two full workers only; eighteen are idle.
    """
    ledger = make_ledger(workers=20)
    full = StepSpec(count=2, need=WHOLE, estimated_ms=1000)
    job(ledger, "full", full, queue=make_queue(0, advised=True))
    approve(ledger, step_of(ledger, "full"), ["w0", "w1"], 1e9)
    rounds = Rounds(ledger, {"zz": ["w5", "w6", "w7"]}, round_s)
    rounds.run_one()
    assert "full" in rounds.placed
    for number in range(1600):
        spec = job(ledger, f"b{number:04}", queue=make_queue(1, advised=True))
        approve(ledger, step_of(ledger, spec.job_id), ["w0", "w1"], 1e9)
    job(ledger, "zz", queue=make_queue(2, advised=True))
    for _ in range(round(20.0 / round_s)):
        rounds.run_one()
    assert "zz" in rounds.placed


def _cell_with_busy_pool(accelerators: bool) -> Ledger:
    ledger = make_ledger(workers=20)
    entries = [entry(f"w{n}") for n in range(20)]
    if accelerators:
        entries.append(replace(entry("g0"), capacity=Resources(8000, 10_000, 1)))
    else:
        entries += [replace(entry(f"x{n}"), pool="small") for n in range(4)]
    for worker in ledger.set_workers(entries, []):
        poll(ledger, worker)
    return ledger


def _with_headroom(workers: Sequence[Worker]) -> list[str]:
    """Return the ids of the workers that keep headroom after one task of 4 cores."""
    headroom = UrgentHeadroom()
    headroom.note_task(Resources(4000, 10))
    return [w.worker_id for w in workers if not headroom.kept_on(w).is_zero]


def test_headroom_is_not_kept_for_ever_as_accelerators_are_in_use() -> None:
    """Guards against a job that waits for cores as the only accelerator is in use."""
    ledger = _cell_with_busy_pool(accelerators=True)
    rounds = Rounds(ledger, {})
    job(ledger, "urgent", StepSpec(need=Resources(4000, 10)), queue=URGENT)
    job(ledger, "gpu", StepSpec(need=Resources(100, 10, 1)), queue=make_queue(1))
    rounds.run_one()
    kept = _with_headroom(
        [w for w in ledger.workers_by_id.values() if not w.runs_by_id]
    )
    assert kept
    job(
        ledger,
        "zz",
        StepSpec(need=WHOLE, estimated_ms=9),
        queue=make_queue(1, advised=True),
    )
    approve(ledger, step_of(ledger, "zz"), kept, 1e9)
    for _ in range(round(20.0 / ROUND_S)):
        rounds.run_one()
    assert "zz" in rounds.placed


def test_gang_is_placed_beside_a_stream_of_less_urgent_tasks() -> None:
    """Guards against a gang whose reserved workers are taken while the cell is idle.

    A quarter of the cell is in use, and no task of the gang fits beside a task of the stream.
    """
    ledger = make_ledger(workers=4)
    rounds = Rounds(ledger, {})
    small = StepSpec(need=Resources(1100, 10), estimated_ms=2000)
    most = Resources(7000, 10)
    gang = StepSpec(count=4, need=most, estimated_ms=1000, gang=True)
    for round_ in range(round(30.0 / ROUND_S)):
        if round_ % 5 == 0:
            job(ledger, f"s{round_:04}", small, queue=make_queue(2))
        if round_ == 60:
            job(ledger, "gang", gang, queue=make_queue(1))
        rounds.end_runs_older_than(2.0)
        rounds.run_one()
    assert "gang" in rounds.placed


def test_bad_worker_does_not_fail_a_job_whose_sound_worker_is_busy() -> None:
    """Guards against a job that spends its attempts on a worker in quarantine."""
    ledger = make_ledger(workers=20)
    bad = ledger.workers_by_id["w0"]
    busy = job(ledger, "busy", StepSpec(need=WHOLE), queue=make_queue(0, advised=True))
    approve(ledger, step_of(ledger, busy.job_id), ["w1"], 1e9)
    rounds = Rounds(ledger, {})
    rounds.run_one()
    for _ in range(3):
        bad.health.quarantine(ledger.clock.now())
    spec = job(ledger, "zz", queue=make_queue(1, advised=True))
    approve(ledger, step_of(ledger, "zz"), ["w0", "w1"], 1e9)
    number = 0
    for _ in range(round(3.0 / ROUND_S)):
        rounds.run_one()
        for run in list(bad.runs_by_id.values()):
            number += 1
            end = EndReport(number, run.task, run.number, EndKind.FAILED, "")
            poll(ledger, bad, ended=(end,))
    assert not ledger.jobs_by_id[spec.job_id].final


def test_urgent_step_is_not_overtaken_for_ever_by_its_own_customer() -> None:
    """Guards against an urgent step overtaken for ever by others of its customer.

    Its tickets expire while the customer is at its limit, and are not renewed.
    """
    ledger = make_ledger(workers=4, limit=Resources(1000, 1000))
    ledger.set_config(
        replace(
            ledger.config,
            version=2,
            customers_by_name={
                "c": Customer("c", ("k",), 100.0, Resources(1000, 1000))
            },
        )
    )
    rounds = Rounds(ledger, {"zz": ["w0", "w1", "w2", "w3"]})
    small = StepSpec(need=Resources(1000, 10), estimated_ms=2000)
    for number in range(200):
        job(ledger, f"s{number:04}", small, queue=make_queue(2))
    rounds.run_one()
    job(ledger, "zz", small, queue=make_queue(1, advised=True))
    for _ in range(round(20.0 / ROUND_S)):
        rounds.end_runs_older_than(2.0)
        rounds.run_one()
    assert "zz" in rounds.placed


@pytest.mark.parametrize(
    ("tasks", "gang", "waited_s", "admitted"),
    [(1, False, 0.0, 3), (3, True, 0.0, 1), (3, False, 0.0, 3), (1, False, 7.0, 4)],
)
def test_limit_is_held_for_more_urgent_steps_for_a_while(
    tasks: int, gang: bool, waited_s: float, admitted: int
) -> None:
    """Guards against amounts that are held for more tasks, or longer, than is of use."""
    ledger = make_ledger(limit=Resources(4000, 1000))
    need = Resources(1000, 10)
    job(ledger, "urgent", StepSpec(count=tasks, need=need, gang=gang), queue=URGENT)
    job(ledger, "patient", StepSpec(count=9, need=need), queue=make_queue(2))
    limits = CustomerLimits(ledger)
    limits.refresh()
    urgent, patient = step_of(ledger, "urgent"), step_of(ledger, "patient")
    urgent.note_wait(WaitReason.TICKETS, 100.0)
    limits.hold_for(urgent, 100.0 + waited_s)
    assert limits.tasks_admitted(patient) == admitted
    assert limits.tasks_admitted(urgent) == tasks
