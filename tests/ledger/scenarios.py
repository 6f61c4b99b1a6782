"""Directed cases on one ledger; each asserts one rule."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from briarrun_core.ledger import Ledger
from briarrun_core.ledger_events import StopCause
from briarrun_core.ledger_orders import (
    Inventory,
    InventoryTask,
    LedgerSettings,
    StartOrder,
    StartOutcome,
    StopOrder,
    ThrottleOrder,
)
from briarrun_core.model import JobKind, JobSpec
from briarrun_core.resources import Resources

CAPACITY = Resources(4000, 4000)
DECLARED = Resources(1000, 1000)
SETTINGS = LedgerSettings()


def listed(order: StartOrder, state: str = "running", **values: Any) -> InventoryTask:
    return InventoryTask(
        task_id=order.task_id, attempt=order.attempt, state=state, **values
    )


class Bench:
    """Hold a ledger with two workers and a team, at a time that only moves on."""

    def __init__(self, ledger: Ledger | None = None, now: float = 100.0) -> None:
        self.ledger = ledger or Ledger.from_config(SETTINGS, "z")
        self.now = now
        self.ledger.set_slices({"a": CAPACITY.scaled(2)})
        for worker_id in ("w0", "w1") if ledger is None else ():
            self.read(worker_id)

    def read(self, worker_id: str, *tasks: InventoryTask, after: float = 1.0) -> Any:
        self.now += after
        inventory = Inventory(taken_at=self.now, capacity=CAPACITY, tasks=tasks)
        return self.ledger.on_inventory(worker_id, inventory, self.now)

    def submit(self, number: int = 0, **values: Any) -> str:
        job_id = f"z.{number}"
        values = {"kind": JobKind.BATCH, "resources": DECLARED, **values}
        spec = JobSpec(job_id=job_id, team="a", queue="q", **values)
        assert self.ledger.accept_job(spec, self.now).is_ok()
        self.ledger.confirm_job(job_id)
        return job_id

    def start(
        self, task_id: str, worker_id: str = "w0", run: bool = True
    ) -> StartOrder:
        order = self.ledger.start_task(task_id, worker_id, 1, self.now, self.now + 0.3)
        assert order.is_ok(), order
        if run:
            self.answer(order.ok, StartOutcome.RUNNING)
        return order.ok

    def answer(self, order: StartOrder, outcome: StartOutcome) -> Any:
        return self.ledger.on_start_result(
            order.task_id, order.attempt, outcome, self.now
        )

    def succeed(self, events: bool = True, **values: Any) -> Bench:
        """Return a successor, whose replica may lack every event."""
        ledger = Ledger.from_config(SETTINGS, "z")
        for event in self.ledger.take_events() if events else []:
            ledger.apply(event)
        ledger.begin_recovery(self.now, **values)
        return Bench(ledger, self.now)


def gang_member_lost() -> None:
    bench = Bench()
    bench.submit(kind=JobKind.GANG, tasks=2)
    orders = [bench.start(f"z.0/{n}", f"w{n}") for n in range(2)]
    found = bench.read("w0", listed(orders[0], "failed"))
    assert [(o.worker_id, o.cause) for o in found.orders] == [
        ("w1", StopCause.GANG_INCOMPLETE)
    ]


def gang_is_whole_or_refused() -> None:
    bench = Bench()
    bench.submit(kind=JobKind.GANG, tasks=2, resources=Resources(3000, 1000))
    both = {"z.0/0": "w0", "z.0/1": "w0"}
    assert bench.ledger.start_gang(both, 1, bench.now, bench.now + 0.3).is_error()
    assert bench.ledger.usage_by_team() == {}


def cancelled_after_lost_ledger() -> None:
    spec = JobSpec(
        job_id="z.0",
        team="a",
        queue="q",
        kind=JobKind.BATCH,
        resources=DECLARED,
        idempotent=False,
    )
    bench = Bench().succeed(events=False, ledger_lost=True)
    bench.ledger.merge_logged_jobs([spec])
    bench.ledger.cancel_job("z.0", bench.now)
    status = bench.ledger.job_status("z.0")
    assert status is not None and status.state == "unknown"


def lost_ledger_leaves_starts_uncertain() -> None:
    spec = JobSpec(
        job_id="z.0",
        team="a",
        queue="q",
        kind=JobKind.BATCH,
        resources=DECLARED,
        idempotent=False,
    )
    bench = Bench().succeed(events=False, ledger_lost=True)
    bench.ledger.merge_logged_jobs([spec])
    bench.ledger.cancel_job("z.0", bench.now)
    bench.ledger.expire(bench.now + 20.0)
    assert not bench.ledger.never_started("z.0")


def lease_is_not_renewed_without_authority() -> None:
    bench = Bench()
    bench.submit()
    bench.start("z.0/0")
    bench.ledger.on_replicated(bench.ledger.seq)
    assert bench.ledger.renewals_due(bench.now + 0.4, bench.now + 0.3) == {}


def lowered_capacity_is_given_up() -> None:
    bench = Bench()
    bench.submit(tasks=2)
    orders = [bench.start(f"z.0/{n}") for n in range(2)]
    tasks = tuple(listed(order) for order in orders)
    small = Inventory(taken_at=bench.now + 1, capacity=DECLARED, tasks=tasks)
    bench.ledger.on_inventory("w0", small, bench.now + 1)
    assert len(bench.ledger.excess(bench.now + 1)) == 1


def late_response_leaves_a_replica_as_it_is() -> None:
    bench = Bench()
    bench.submit()
    order = bench.start("z.0/0")
    replica = Ledger.from_config(SETTINGS, "z")
    for event in bench.ledger.take_events():
        replica.apply(event)
    done = Inventory(taken_at=200.0, capacity=CAPACITY, tasks=(listed(order, "done"),))
    replica.on_inventory("w0", done, 200.0)
    assert replica.snapshot() == bench.ledger.snapshot()


def not_run_waits_for_the_log() -> None:
    bench = Bench()
    bench.submit()
    assert not bench.ledger.needs_logged_end("z.0")
    bench.ledger.jobs_to_log()
    assert bench.ledger.needs_logged_end("z.0")


def inherited_idempotent_job_may_have_run() -> None:
    bench = Bench()
    bench.submit()
    assert bench.ledger.never_started("z.0")
    assert not bench.succeed().ledger.never_started("z.0")


def renewals_of_a_successor_are_short_until_replicated() -> None:
    bench = Bench()
    bench.submit()
    order = bench.start("z.0/0")
    successor = bench.succeed()
    successor.read("w0", listed(order))
    until = successor.now + 0.3
    assert _stamped(successor, until) <= until
    successor.ledger.on_replicated(successor.ledger.seq)
    successor.now += 0.2
    assert _stamped(successor, until) > until


def _stamped(bench: Bench, until: float) -> float:
    due = bench.ledger.renewals_due(bench.now + 0.01, until)
    return due["w0"][0].lease_until


def ended_task_is_forgotten_when_replicated() -> None:
    bench = Bench()
    bench.submit()
    order = bench.start("z.0/0")
    assert bench.read("w0", listed(order, "done")).forget == []
    assert bench.read("w0", listed(order, "done")).forget == []
    bench.ledger.on_replicated(bench.ledger.seq)
    assert bench.read("w0", listed(order, "done")).forget == ["z.0/0"]


def unknown_attempt_takes_room_and_is_stopped() -> None:
    bench = Bench()
    item = InventoryTask(task_id="z.9/0", attempt=1, state="running", usage=CAPACITY)
    found = bench.read("w0", item)
    assert [type(o) for o in found.orders] == [StopOrder]
    bench.submit()
    refused = bench.ledger.start_task("z.0/0", "w0", 1, bench.now, bench.now + 0.3)
    assert refused.is_error() and refused.error.reason == "no-capacity"


def silent_worker_is_not_renewed_and_lapses() -> None:
    bench = Bench()
    bench.submit()
    bench.start("z.0/0")
    bench.ledger.on_replicated(bench.ledger.seq)
    for _ in range(100):
        bench.now += 0.2
        bench.ledger.expire(bench.now)
        bench.ledger.renewals_due(bench.now, bench.now + 0.3)
    assert bench.ledger.usage_by_team() == {}


def overuse(usage: Resources, wait: float, expected: type | None) -> None:
    bench = Bench()
    bench.submit()
    order = bench.start("z.0/0")
    bench.read("w0", listed(order, usage=usage))
    found = bench.read("w0", listed(order, usage=usage), after=wait)
    assert [type(o) for o in found.orders] == ([expected] if expected else [])


def memory_above_the_declaration_stops() -> None:
    overuse(Resources(1000, 1001), 1.0, StopOrder)


def cores_above_the_declaration_throttle_then_stop() -> None:
    overuse(DECLARED, 11.0, None)
    overuse(Resources(1001, 1000), 1.0, ThrottleOrder)
    overuse(Resources(1001, 1000), 11.0, StopOrder)


def max_attempts_bound_failures() -> None:
    bench = Bench()
    bench.submit(max_attempts=2)
    for _ in range(2):
        bench.answer(bench.start("z.0/0", run=False), StartOutcome.FAILED)
    status = bench.ledger.job_status("z.0")
    assert status is not None and status.state == "failed"


SCENARIOS: dict[str, Callable[[], None]] = {
    check.__name__: check
    for check in (
        gang_member_lost,
        gang_is_whole_or_refused,
        cancelled_after_lost_ledger,
        lost_ledger_leaves_starts_uncertain,
        lease_is_not_renewed_without_authority,
        lowered_capacity_is_given_up,
        late_response_leaves_a_replica_as_it_is,
        not_run_waits_for_the_log,
        inherited_idempotent_job_may_have_run,
        renewals_of_a_successor_are_short_until_replicated,
        ended_task_is_forgotten_when_replicated,
        unknown_attempt_takes_room_and_is_stopped,
        silent_worker_is_not_renewed_and_lapses,
        memory_above_the_declaration_stops,
        cores_above_the_declaration_throttle_then_stop,
        max_attempts_bound_failures,
    )
}
