"""Job submissions, cancellations and queries of one held epoch."""

from __future__ import annotations

import asyncio

import msgspec
from expression import Result

from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.ledger_orders import SCHEDULED_STATES
from briarrun_core.model import Outcome
from briarrun_daemon.durability import Durability
from briarrun_daemon.epoch_state import EpochState
from briarrun_daemon.logs import ComponentLog
from briarrun_daemon.replication import EpochEndedError
from briarrun_daemon.worker_driver import WorkerDriver
from briarrun_wire.messages import (
    CallRefused,
    CancelJob,
    JobAcceptedReply,
    JobQuery,
    JobStatusReply,
    PeerMessage,
    SubmitJob,
)

_LOG = ComponentLog("holder")


class JobService:
    """Handler of the job calls from front ends."""

    def __init__(
        self, epoch: EpochState, workers: WorkerDriver, durability: Durability
    ) -> None:
        self._epoch = epoch
        self._workers = workers
        self._durability = durability
        self._timeout_s = epoch.context.settings.timing.durability_timeout_s

    async def submit(self, message: SubmitJob) -> PeerMessage:
        """Accept a job and reply once it is durable."""
        epoch = self._epoch
        refused = self._check_acceptance()
        if refused is not None:
            return refuse_call(refused)
        spec = msgspec.structs.replace(message.spec, accepted_at=epoch.wall())
        result = epoch.ledger.accept_job(spec, epoch.wall())
        match result:
            case Result(tag="ok", ok=accepted):
                seq = epoch.flush()
                confirmation = epoch.tasks.start(self._confirm(accepted.job_id, seq))
            case Result(error=refused):
                return refuse_call(refused)
        try:
            async with asyncio.timeout(self._timeout_s):
                durability = await asyncio.shield(confirmation)
        except asyncio.CancelledError:
            if not confirmation.cancelled():
                raise
            return self._in_doubt(spec.job_id, message.request_id)
        except (TimeoutError, EpochEndedError):
            return self._in_doubt(spec.job_id, message.request_id)
        return JobAcceptedReply(job_id=accepted.job_id, durability=durability)

    def _in_doubt(self, job_id: str, request_id: str) -> PeerMessage:
        _LOG.warning(
            "job acceptance not confirmed as durable; its outcome is unknown",
            job=job_id,
            request=request_id,
        )
        return CallRefused(
            reason=RefusalReason.NOT_DURABLE.value,
            detail="the acceptance may still take effect",
            outcome=Outcome.UNKNOWN.value,
        )

    async def cancel(self, message: CancelJob) -> PeerMessage:
        """Cancel a job and reply once the cancellation is replicated."""
        epoch = self._epoch
        if not epoch.may_act():
            return refuse_call(Refused(RefusalReason.NO_AUTHORITY, epoch.domain))
        spec = epoch.ledger.job_spec(message.job_id)
        if spec is None or message.team not in ("", spec.team):
            return refuse_call(Refused(RefusalReason.UNKNOWN_JOB, message.job_id))
        orders = epoch.ledger.cancel_job(message.job_id, epoch.wall())
        seq = epoch.flush()
        self._workers.send_orders(orders)
        try:
            async with asyncio.timeout(self._timeout_s):
                await self._durability.wait_event_durable(seq)
        except (TimeoutError, EpochEndedError):
            return CallRefused(
                reason=RefusalReason.NOT_DURABLE.value,
                detail="the cancellation may be forgotten",
                outcome=Outcome.UNKNOWN.value,
            )
        return self._status(message.job_id)

    async def query(self, message: JobQuery) -> PeerMessage:
        """Return a job's state; this also works while authority is suspended."""
        spec = self._epoch.ledger.job_spec(message.job_id)
        if spec is None or message.team not in ("", spec.team):
            return refuse_call(Refused(RefusalReason.UNKNOWN_JOB, message.job_id))
        if message.explain:
            explanation = self._explain(message.job_id)
            return JobStatusReply(
                job_id=message.job_id, status={"explanation": explanation}
            )
        return self._status(message.job_id)

    def _explain(self, job_id: str) -> str:
        """Explain a job's state; the scheduler no longer knows jobs that have ended."""
        status = self._epoch.ledger.job_status(job_id)
        if status is None or status.state in SCHEDULED_STATES:
            return self._epoch.scheduler.explain(job_id, self._epoch.wall())
        detail = f": {status.detail}" if status.detail else ""
        return f"job {job_id} has ended as {status.state.value}{detail}"

    async def _confirm(self, job_id: str, seq: int) -> str:
        durability = await self._durability.wait_job_durable(job_id, seq)
        self._epoch.ledger.confirm_job(job_id)
        self._epoch.feed.submit(job_id)
        return durability

    def _check_acceptance(self) -> Refused | None:
        if not self._epoch.may_act():
            return Refused(RefusalReason.NO_AUTHORITY, self._epoch.domain)
        if not self._durability.can_persist:
            detail = "neither another elector nor the log is reachable"
            return Refused(RefusalReason.NOT_DURABLE, detail)
        return None

    def _status(self, job_id: str) -> PeerMessage:
        status = self._epoch.ledger.job_status(job_id)
        if status is None:
            return refuse_call(Refused(RefusalReason.UNKNOWN_JOB, job_id))
        return JobStatusReply(
            job_id=job_id,
            status={
                "job_id": job_id,
                "state": status.state.value,
                "tasks": {k.value: n for k, n in status.tasks_by_state.items()},
                "reason": status.detail,
            },
        )


def refuse_call(refused: Refused) -> CallRefused:
    """Return the reply for a refused call that certainly had no effect."""
    return CallRefused(reason=refused.reason.value, detail=refused.detail)
