"""Records of non-idempotent requests, kept by the holder of the request's home domain.

Times are seconds of any one clock that the holder passes in; ``at`` in events is wall
clock so that a successor can go on.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

import msgspec
from expression import Error, Ok, Result

from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.leases import Deadlines


class RequestState(StrEnum):
    """Name what is known of a request; ``sent`` reads as unknown to a caller."""

    SENT = "sent"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RequestRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the record of a request.

    ``attempt`` counts how often the id was begun; only after a certain "not run" may it
    be begun again, and ``begun_at`` is when it last was. ``answer`` is kept if it is small, ``digest`` always.
    """

    request_id: str
    state: RequestState
    attempt: int
    begun_at: float
    digest: str = ""
    answer: bytes | None = None


class RequestBegun(msgspec.Struct, frozen=True, kw_only=True, tag="request-begun"):
    """Begin an attempt of a request."""

    request_id: str
    attempt: int
    at: float


class RequestFinished(
    msgspec.Struct, frozen=True, kw_only=True, tag="request-finished"
):
    """Note the outcome of an attempt."""

    request_id: str
    attempt: int
    state: RequestState
    digest: str = ""
    answer: bytes | None = None


RequestEvent = RequestBegun | RequestFinished


class RequestsSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all records after event number ``seq``."""

    seq: int
    records: tuple[RequestRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestSettings:
    """Hold times (seconds) and bounds of request records."""

    request_record_s: float = 600.0
    max_records: int = 50_000
    max_answer_bytes: int = 1024
    max_answers_bytes: int = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class NewRequest:
    """Allow the request to be sent once event ``durable_seq`` is durable."""

    request_id: str
    attempt: int
    durable_seq: int


@dataclass(frozen=True, slots=True)
class KnownRequest:
    """Refuse to send the request again; ``record`` is what is known of it."""

    record: RequestRecord


class RequestRecords:
    """Remember every non-idempotent request for ``request_record_s``."""

    def __init__(self, settings: RequestSettings) -> None:
        self._settings = settings
        self._records_by_id: dict[str, RequestRecord] = {}
        self._ends: Deadlines[str] = Deadlines()
        self._events: list[RequestEvent] = []
        self._answers_bytes = 0
        self._amnesiac_until = -math.inf
        self.seq = 0

    @classmethod
    def from_config(cls, settings: RequestSettings) -> RequestRecords:
        """Return an empty set of records."""
        return cls(settings)

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records_by_id)

    def begin(
        self, request_id: str, now: float
    ) -> Result[NewRequest, KnownRequest | Refused]:
        """Begin a request or return what is known of an earlier one with its id."""
        record = self._records_by_id.get(request_id)
        if record is not None and record.state is not RequestState.NOT_RUN:
            return Error(KnownRequest(record))
        if record is None and now <= self._amnesiac_until:
            return Error(KnownRequest(_lost(request_id, now)))
        if record is None and len(self) >= self._settings.max_records:
            detail = f"{len(self)} records of requests are kept"
            return Error(Refused(RefusalReason.OVERLOADED, detail))
        attempt = 1 if record is None else record.attempt + 1
        self._emit(RequestBegun(request_id=request_id, attempt=attempt, at=now))
        return Ok(NewRequest(request_id, attempt, self.seq))

    def finish(
        self,
        request_id: str,
        attempt: int,
        state: RequestState,
        digest: str = "",
        answer: bytes | None = None,
    ) -> bool:
        """Note the outcome of an attempt; returns false if it is not the current one.

        A certain outcome is final; "unknown" may still become certain.
        """
        record = self._records_by_id.get(request_id)
        if record is None or record.attempt != attempt:
            return False
        if record.state in (RequestState.DONE, RequestState.NOT_RUN):
            return False
        if state is RequestState.SENT:
            return False
        if answer is not None and not self._fits(answer):
            answer = None
        self._emit(
            RequestFinished(
                request_id=request_id,
                attempt=attempt,
                state=state,
                digest=digest,
                answer=answer,
            )
        )
        return True

    def get(self, request_id: str, now: float) -> RequestRecord | None:
        """Return what is known of a request; nothing if it was never begun."""
        record = self._records_by_id.get(request_id)
        if record is None and now <= self._amnesiac_until:
            return _lost(request_id, now)
        return record

    def expire(self, now: float) -> int:
        """Drop the records whose first attempt is too old and return their number.

        Replicas expire by the same times themselves, so no event is needed.
        """
        expired = self._ends.pop_due(now)
        for request_id in expired:
            record = self._records_by_id.pop(request_id, None)
            if record is not None:
                self._count_answer(record, -1)
        return len(expired)

    def assume_ledger_lost(self, now: float) -> None:
        """Answer "unknown" for ids without a record, since earlier ones are lost."""
        self._amnesiac_until = now + self._settings.request_record_s

    def take_events(self) -> list[RequestEvent]:
        """Return the events since the last call; the last has number ``seq``."""
        events, self._events = self._events, []
        return events

    def apply(self, event: RequestEvent) -> None:
        """Apply the next event of the holder."""
        self.seq += 1
        known = self._records_by_id.get(event.request_id)
        match event:
            case RequestBegun(request_id=request_id, attempt=attempt, at=at):
                record = RequestRecord(
                    request_id=request_id,
                    state=RequestState.SENT,
                    attempt=attempt,
                    begun_at=at,
                )
                self._ends.set(request_id, at + self._settings.request_record_s)
            case RequestFinished(request_id=request_id):
                if known is None:
                    return
                record = RequestRecord(
                    request_id=request_id,
                    state=event.state,
                    attempt=event.attempt,
                    begun_at=known.begun_at,
                    digest=event.digest,
                    answer=event.answer,
                )
        if known is not None:
            self._count_answer(known, -1)
        self._count_answer(record, 1)
        self._records_by_id[record.request_id] = record

    def snapshot(self) -> RequestsSnapshot:
        """Return all records."""
        records = sorted(self._records_by_id.items())
        return RequestsSnapshot(seq=self.seq, records=tuple(r for _, r in records))

    def restore(self, state: RequestsSnapshot) -> None:
        """Replace all records by a holder's."""
        self.__init__(self._settings)  # type: ignore[misc]
        self.seq = state.seq
        for record in state.records:
            self._records_by_id[record.request_id] = record
            self._count_answer(record, 1)
            end = record.begun_at + self._settings.request_record_s
            self._ends.set(record.request_id, end)

    def _emit(self, event: RequestEvent) -> None:
        self.apply(event)
        self._events.append(event)

    def _fits(self, answer: bytes) -> bool:
        total = self._answers_bytes + len(answer)
        return (
            len(answer) <= self._settings.max_answer_bytes
            and total <= self._settings.max_answers_bytes
        )

    def _count_answer(self, record: RequestRecord, sign: int) -> None:
        self._answers_bytes += sign * len(record.answer or b"")


def _lost(request_id: str, now: float) -> RequestRecord:
    return RequestRecord(
        request_id=request_id, state=RequestState.UNKNOWN, attempt=0, begun_at=now
    )
