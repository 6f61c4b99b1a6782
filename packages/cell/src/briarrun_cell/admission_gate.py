"""Review of submissions by the holder before it stores them."""

from __future__ import annotations

from collections.abc import Callable

from briarrun_cell.clock import Clock
from briarrun_cell.decisions.admission import AdmissionControl, Refusal, RefusalReason
from briarrun_cell.job_table import JobTable
from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import JobSpec
from briarrun_cell.ports import Record
from briarrun_cell.record_writer import WriteOutcome, WriteResult
from briarrun_cell.records import UnreadableRecord, decode, is_job_record

KEEP_ADMITTED_S = 30.0
"""Time for which the ids of admitted jobs are kept, so that a repeated submission is
admitted although the first one has not been read from the store yet. A caller waits for
no longer than this."""

_LOG = ComponentLog("holder")

_OUTCOME_BY_REASON = {
    RefusalReason.BACKLOG: WriteOutcome.OVERLOAD,
    RefusalReason.NEVER_RUNS: WriteOutcome.NEVER_RUNS,
}


class AdmissionGate:
    """Turns away submissions while this VM is the holder; see ``AdmissionControl``.

    ``control`` returns the control of the present term, None while this VM is not the
    holder, has not recovered the state of the cell, or may have stale views of it.
    """

    def __init__(
        self,
        control: Callable[[], AdmissionControl | None],
        table: JobTable,
        clock: Clock,
    ) -> None:
        self._control = control
        self._table = table
        self._clock = clock
        self._admitted_at_by_id: dict[str, float] = {}

    def review(self, record: Record) -> WriteResult | None:
        """Return the result of a submission that is turned away, None if it is admitted.

        A job that is known, or was admitted before, is never turned away.
        """
        control = self._control()
        if control is None or not is_job_record(record):
            return None
        try:
            job_id, spec = decode(record)
        except UnreadableRecord:
            return None
        if not isinstance(spec, JobSpec) or job_id in self._table.by_id:
            return None
        if job_id in self._admitted_at_by_id:
            return None
        refusal = control.review(spec)
        if refusal is None:
            self._note_admitted(job_id)
            return None
        _log_refusal(spec, refusal)
        outcome = _OUTCOME_BY_REASON[refusal.reason]
        return WriteResult(outcome, refusal.retry_after_s, refusal.detail)

    def _note_admitted(self, job_id: str) -> None:
        now = self._clock.now()
        self._admitted_at_by_id[job_id] = now
        while True:
            oldest = next(iter(self._admitted_at_by_id))
            if self._admitted_at_by_id[oldest] >= now - KEEP_ADMITTED_S:
                return
            del self._admitted_at_by_id[oldest]


def _log_refusal(spec: JobSpec, refusal: Refusal) -> None:
    _LOG.info(
        "turned a submission away",
        job=spec.job_id,
        customer=spec.customer,
        queue=spec.queue,
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_s=refusal.retry_after_s,
    )
