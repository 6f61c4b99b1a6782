"""Counts what really ran from the stand-ins' records alone."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from tools.emulator.load import Work

Records = Sequence[dict[str, Any]]


@dataclass(slots=True)
class Truth:
    """Hold when requests and tasks ran, in wall-clock seconds."""

    request_runs: dict[str, list[float]] = field(default_factory=dict)
    task_runs: dict[str, list[tuple[float, float]]] = field(default_factory=dict)

    @classmethod
    def from_records(cls, records: Records) -> Truth:
        """Collect runs; a run without a recorded end is still going on."""
        requests: defaultdict[str, list[float]] = defaultdict(list)
        tasks: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
        ends = {r["run"]: r["at"] for r in records if r["event"] == "end"}
        for record in records:
            if record["event"] == "run":
                requests[record["request_id"]].append(record["at"])
            elif record["event"] == "start":
                end = ends.get(record["run"], float("inf"))
                tasks[record["task_id"]].append((record["at"], end))
        return cls(dict(requests), dict(tasks))

    def first_start(self, work: Work) -> float | None:
        """Return when a request or the first task of a job began to run."""
        if not work.is_job:
            return min(self.request_runs.get(work.work_id, []), default=None)
        starts = [
            s for name in _task_ids(work) for s, _ in self.task_runs.get(name, [])
        ]
        return min(starts, default=None)


def find_doubled(truth: Truth, works: Iterable[Work]) -> list[str]:
    """Return what ran more often than allowed, or in two places at once."""
    found = []
    for work in works:
        runs = truth.request_runs.get(work.work_id, [])
        if not work.is_job and not work.idempotent and len(runs) > 1:
            found.append(f"request {work.work_id} ran {len(runs)} times")
        for name in _task_ids(work) if work.is_job else ():
            spans = sorted(truth.task_runs.get(name, []))
            if not work.idempotent and len(spans) > 1:
                found.append(f"task {name} ran {len(spans)} times")
            elif any(a[1] > b[0] for a, b in zip(spans, spans[1:], strict=False)):
                found.append(f"task {name} ran in two places at once: {spans}")
    return found


def find_lost(truth: Truth, works: Iterable[Work]) -> list[str]:
    """Return answers that are missing or contradict what ran."""
    found = []
    for work in works:
        ran = truth.first_start(work) is not None
        label = f"{'job' if work.is_job else 'request'} {work.work_id}"
        if not work.outcome:
            found.append(f"{label} has no answer: {work.detail}")
        elif work.outcome == "done" and not ran:
            found.append(f"{label} is called done but never ran: {work.answer}")
        elif work.outcome == "not-run" and ran:
            found.append(f"{label} is called not run but ran: {work.detail}")
        elif work.accepted and not ran and not _may_have_run(work):
            found.append(f"{label} was accepted but never ran: {work.detail}")
        elif work.outcome == "done" and not work.is_job:
            answered = (work.answer or {}).get("request_id")
            if answered != work.work_id:
                found.append(f"{label} got the answer to {answered}")
    return found


def _may_have_run(work: Work) -> bool:
    """Tell whether a job ended as unknown because its only start had no answer.

    A start that a silent worker never answered may have run, so that a job that must
    not run twice ends as unknown (design section 13).
    """
    return work.ended and work.outcome == "unknown" and not work.idempotent


def find_overcommitted(records: Records, capacity: dict[str, int]) -> list[str]:
    """Return the workers that ever held more than ``capacity``."""
    held: defaultdict[str, dict[str, int]] = defaultdict(
        lambda: dict.fromkeys(capacity, 0)
    )
    sizes: dict[str, dict[str, int]] = {}
    found = set()
    for record in records:
        if record["event"] == "start":
            sizes[record["run"]] = record["resources"]
        elif record["event"] != "end":
            continue
        sign = 1 if record["event"] == "start" else -1
        totals = held[record["by"]]
        for name in capacity:
            totals[name] += sign * sizes[record["run"]][name]
            if totals[name] > capacity[name]:
                found.add(f"{record['by']} held {totals[name]} {name}")
    return sorted(found)


def _task_ids(work: Work) -> list[str]:
    return [f"{work.work_id}/{index}" for index in range(work.tasks)]
