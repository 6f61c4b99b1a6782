"""Records of non-idempotent requests during one held epoch."""

from __future__ import annotations

import asyncio

from expression import Result

from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.request_records import (
    KnownRequest,
    NewRequest,
    RequestRecord,
    RequestState,
)
from briarrun_daemon.durability import Durability
from briarrun_daemon.epoch_state import EpochState
from briarrun_daemon.job_service import refuse_call
from briarrun_daemon.replication import EpochEndedError
from briarrun_wire.messages import (
    CallRefused,
    PeerMessage,
    RecordBegin,
    RecordFinish,
    RequestQuery,
    RequestRecordReply,
)

NEW = "new"
ABSENT = "absent"


class RecordService:
    """Handler of the calls from front ends that concern request records."""

    def __init__(self, epoch: EpochState, durability: Durability) -> None:
        self._epoch = epoch
        self._durability = durability
        self._timeout_s = epoch.context.settings.timing.durability_timeout_s

    async def begin(self, message: RecordBegin) -> PeerMessage:
        """Begin a request's record, or return the existing one.

        The state ``new`` is returned only after the record is durable, and only to one
        caller.
        """
        epoch = self._epoch
        if not epoch.may_act():
            return refuse_call(Refused(RefusalReason.NO_AUTHORITY, epoch.domain))
        if not self._durability.can_persist:
            return refuse_call(Refused(RefusalReason.NOT_DURABLE, epoch.domain))
        result = epoch.records.begin(message.request_id, epoch.wall())
        match result:
            case Result(tag="ok", ok=begun):
                return await self._make_durable(begun)
            case Result(error=KnownRequest(record=record)):
                return record_reply(record)
            case Result(error=refused):
                assert isinstance(refused, Refused)
                return refuse_call(refused)

    async def _make_durable(self, begun: NewRequest) -> PeerMessage:
        epoch = self._epoch
        seq = epoch.flush()
        try:
            async with asyncio.timeout(self._timeout_s):
                await self._durability.wait_request_durable(begun.request_id, seq)
        except EpochEndedError:
            return refuse_call(Refused(RefusalReason.NO_AUTHORITY, epoch.domain))
        except TimeoutError:
            # No front end was allowed to send the request, so it certainly did not run.
            self._finish(begun.request_id, begun.attempt, RequestState.NOT_RUN)
            return refuse_call(Refused(RefusalReason.NOT_DURABLE, begun.request_id))
        if not epoch.may_act():
            self._finish(begun.request_id, begun.attempt, RequestState.NOT_RUN)
            return refuse_call(Refused(RefusalReason.NO_AUTHORITY, epoch.domain))
        return RequestRecordReply(
            request_id=begun.request_id, state=NEW, attempt=begun.attempt
        )

    async def finish(self, message: RecordFinish) -> PeerMessage:
        """Store a request's outcome."""
        try:
            state = RequestState(message.outcome)
        except ValueError:
            return CallRefused(reason=RefusalReason.INVALID_REQUEST.value)
        self._finish(
            message.request_id,
            message.attempt,
            state,
            message.answer_digest,
            message.answer,
        )
        return await self.query(RequestQuery(request_id=message.request_id))

    async def query(self, message: RequestQuery) -> PeerMessage:
        """Return the record of a request."""
        record = self._epoch.records.get(message.request_id, self._epoch.wall())
        if record is None:
            return RequestRecordReply(request_id=message.request_id, state=ABSENT)
        return record_reply(record)

    def expire(self) -> None:
        """Delete expired records."""
        self._epoch.records.expire(self._epoch.wall())

    def _finish(
        self,
        request_id: str,
        attempt: int,
        state: RequestState,
        digest: str = "",
        answer: bytes | None = None,
    ) -> None:
        if self._epoch.records.finish(request_id, attempt, state, digest, answer):
            self._epoch.flush()
            self._durability.record_outcome(request_id, state.value)


def record_reply(record: RequestRecord) -> RequestRecordReply:
    """Return the reply that describes a record."""
    return RequestRecordReply(
        request_id=record.request_id,
        state=record.state.value,
        answer=record.answer,
        answer_digest=record.digest,
        attempt=record.attempt,
    )
