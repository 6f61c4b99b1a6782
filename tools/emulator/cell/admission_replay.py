"""Replay of a load in which the holder reviews submissions, in virtual time."""

from __future__ import annotations

from dataclasses import replace

from briarrun_cell.decisions.admission import AdmissionControl, Refusal
from briarrun_cell.job_table import JobEntry
from briarrun_cell.jobs import LATE_FACTOR
from briarrun_core.resources import Resources
from tools.emulator.cell.load import LoadReplay
from tools.emulator.cell.workload import Load


class ReviewedReplay(LoadReplay):
    """Replay with an ``AdmissionControl``, which only notes refusals unless ``enforced``."""

    def __init__(self, load: Load, seed: int = 1, *, enforced: bool) -> None:
        super().__init__(load, seed)
        self._enforced = enforced
        self.refusals_by_id: dict[str, Refusal] = {}

    def lower_limit(self, customer: str, fraction: float) -> None:
        """Give a customer a part of its usual limit only."""
        terms = self._customers[customer]
        limit = Resources(
            int(terms.limit.cores * fraction), int(terms.limit.memory_mib * fraction)
        )
        self._customers[customer] = replace(terms, limit=limit)

    def _add_workers(self) -> None:
        super()._add_workers()
        ledger = self._ledger
        control = AdmissionControl(ledger)
        control.sizes.note(each.entry for each in ledger.workers_by_id.values())
        enter = ledger.set_job

        def review(job_id: str, entry: JobEntry | None) -> None:
            assert entry is not None and entry.spec is not None
            refusal = control.review(entry.spec)
            if refusal is not None:
                self.refusals_by_id[job_id] = refusal
                if self._enforced:
                    return
            enter(job_id, entry)

        ledger.set_job = review  # type: ignore[method-assign]

    def refused_in_vain(self) -> list[str]:
        """Return the jobs with a refusal that was not enforced, and that were of use."""
        useful = []
        for job_id in self.refusals_by_id:
            record = self.records_by_id[job_id]
            if record.ended_at is None:
                continue
            took_s = record.ended_at - record.submitted_at
            if took_s <= LATE_FACTOR * record.objective_s:
                useful.append(job_id)
        return useful
