"""Report of the steps that wait, and of shares: metrics and log lines of the holder."""

from __future__ import annotations

from briarrun_cell.explanation import (
    UNEXAMINED,
    JobExplanation,
    explain_job,
    summarize,
    waiting_steps,
)
from briarrun_cell.job_table import JobTable
from briarrun_cell.ledger import Ledger
from briarrun_cell.logs import ComponentLog
from briarrun_cell.metrics import Metrics
from briarrun_cell.model import StepId

WAIT_REPORT_INTERVAL_S = 1.0
"""Interval between reports of the steps that wait."""

LONG_WAIT_S = 1.0
"""Time for which a step must have waited for a log line about waiting steps."""

MAX_LISTED_CUSTOMERS = 8
"""Maximum number of customers that a log line about shares lists."""

_LOG = ComponentLog("holder")


class WaitMonitor:
    """Shows the waiting steps of the ledger of one term.

    It does not depend on scheduling rounds, so that it also shows rounds that fail.
    """

    def __init__(self, ledger: Ledger, metrics: Metrics, table: JobTable) -> None:
        self._ledger = ledger
        self._metrics = metrics
        self._table = table
        self._unexamined_since: dict[StepId, float] = {}
        self._above_share: set[str] = set()

    def report(self) -> None:
        """Set the metrics, and log one line if a step has waited for long."""
        self._report_shares()
        now = self._ledger.clock.now()
        steps = waiting_steps(self._ledger, self._unexamined_since)
        self._unexamined_since = {
            step.step_id: self._unexamined_since.get(step.step_id, now)
            for step in steps
            if step.reason == UNEXAMINED
        }
        summary = summarize(steps)
        self._metrics.evacuated_workers.set(self._ledger.evacuated_workers())
        self._metrics.set_waits(summary.count_by_reason, summary.oldest_s_by_reason)
        if max(summary.oldest_s_by_reason.values()) <= LONG_WAIT_S:
            return
        _LOG.info(
            "steps wait",
            steps={reason: n for reason, n in summary.count_by_reason.items() if n},
            oldest=[
                {
                    "job": step.step_id.job_id,
                    "occurrence": step.step_id.occurrence,
                    "step": step.step_id.step,
                    "reason": step.reason,
                    "age_ms": step.age_ms,
                    "pending": step.pending,
                    "active": step.active,
                }
                for step in summary.oldest
            ],
            epoch=self._ledger.epoch,
        )

    def _report_shares(self) -> None:
        """Show the use of shares, and log who went above its share or below it again."""
        shares = self._ledger.shares
        use_by_customer = shares.relative_use_by_customer()
        self._metrics.set_share_use(use_by_customer)
        above = shares.above()
        rose, fell = above - self._above_share, self._above_share - above
        self._above_share = above
        if not rose and not fell:
            return
        by_use = sorted(rose, key=lambda name: -use_by_customer[name])
        _LOG.info(
            "customers went above their share, or no longer are",
            above={
                name: round(use_by_customer[name], 2)
                for name in by_use[:MAX_LISTED_CUSTOMERS]
            },
            no_longer=sorted(fell)[:MAX_LISTED_CUSTOMERS],
            total_above=len(above),
            scarce=shares.scarce,
            epoch=self._ledger.epoch,
        )

    def explain(self, job_id: str) -> JobExplanation | None:
        """Explain where a job stands, None if it is not known."""
        return explain_job(
            self._ledger,
            job_id,
            self._table.by_id.get(job_id),
            self._unexamined_since,
        )

    def clear(self) -> None:
        """Set the metrics to 0."""
        self._metrics.set_waits({}, {})
        self._metrics.evacuated_workers.set(0)
        self._metrics.set_share_use({})
