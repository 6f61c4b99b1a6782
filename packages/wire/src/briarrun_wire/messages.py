"""Messages between instances.

Messages are encoded as arrays with the tag first, to keep cross-region traffic small. New
fields go to the end and have a default. ``call_id`` links a reply to its call and is 0 in
other messages. ``sent_at`` is in seconds of the sender's monotonic clock and has meaning
only to the sender. ``deadline`` is the number of seconds left when the message was sent.
Times named ``*_wall`` are wall-clock seconds.
"""

from __future__ import annotations

from typing import Any

import msgspec

from briarrun_core.model import JobSpec, Urgency
from briarrun_core.resources import NOTHING, Resources


class Message(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag_field="type"
):
    """Base class of all peer messages."""


class DomainLoad(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Load of a domain; ``expected_wait_s`` is by urgency.

    If ``has_usage`` is false, the usage is unchanged and left out to save traffic.
    """

    capacity: Resources = NOTHING
    free: Resources = NOTHING
    usage_by_team: dict[str, Resources] = {}
    waiting_by_urgency: dict[str, int] = {}
    expected_wait_s: dict[str, float] = {}
    unmet_by_team: dict[str, Resources] = {}
    has_usage: bool = True


class Heartbeat(Message, frozen=True, kw_only=True, tag="heartbeat"):
    """Liveness and state of the sender.

    ``holding`` is set by the holder of ``domain`` while it is allowed to act.
    ``log_next`` is the offset after the last record that the sender has applied.
    ``contact_age_s`` is the time since the sender last reached the log or another domain.
    """

    sender: str
    domain: str
    epoch: int
    generation: int
    sent_at: float
    log_next: int = 0
    load: DomainLoad | None = None
    holding: bool = False
    revision: int = 0
    draining: bool = False
    replica_seq: int = 0
    contact_age_s: float | None = None


class HeartbeatAck(Message, frozen=True, kw_only=True, tag="heartbeat-ack"):
    """Acknowledgement of the heartbeat sent at ``sent_at``.

    ``promise`` is described in section 4 of the design.
    """

    sender: str
    sent_at: float
    promise: bool
    generation: int
    epoch: int = 0
    revision: int = 0
    domain: str = ""


class ConfigRequest(Message, frozen=True, kw_only=True, tag="config-request"):
    """Request for the complete configuration document."""

    call_id: int = 0


class ConfigDocument(Message, frozen=True, kw_only=True, tag="config-document"):
    """Configuration of one generation, in force from log offset ``offset``."""

    call_id: int = 0
    generation: int
    offset: int
    document: dict[str, Any]


class Replicate(Message, frozen=True, kw_only=True, tag="replicate"):
    """Ledger events for an elector; ``seq`` has no gaps within an epoch."""

    epoch: int
    seq: int
    events: list[Any]


class ReplicateAck(Message, frozen=True, kw_only=True, tag="replicate-ack"):
    """Acknowledgement of all replicated events up to ``seq``."""

    epoch: int
    seq: int
    sender: str = ""


class ReplicaRequest(Message, frozen=True, kw_only=True, tag="replica-request"):
    """Request for a snapshot of the holder's state."""

    call_id: int = 0
    sender: str = ""


class ReplicaSnapshot(Message, frozen=True, kw_only=True, tag="replica-snapshot"):
    """Snapshot of the holder's state as of ``seq``."""

    call_id: int = 0
    epoch: int
    seq: int
    state: Any


class SlotRequest(Message, frozen=True, kw_only=True, tag="slot-request"):
    """Request for an upstream slot, sent to a domain's holder.

    ``wait_s`` limits the wait for a slot, ``deadline`` the whole request.
    """

    call_id: int = 0
    team: str
    queue: str
    urgency: Urgency
    request_id: str
    idempotent: bool
    deadline: float
    front: str = ""
    excluded: tuple[str, ...] = ()
    wait_s: float = 30.0


class SlotGrantInfo(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Granted slot."""

    grant_id: str
    upstream_id: str
    address: str
    start_by_wall: float
    deadline_wall: float


class SlotGrant(Message, frozen=True, kw_only=True, tag="slot-grant"):
    """Grant of a slot."""

    call_id: int = 0
    grant: SlotGrantInfo


class SlotRefusal(Message, frozen=True, kw_only=True, tag="slot-refusal"):
    """Refusal of a slot; the request was not run."""

    call_id: int = 0
    reason: str
    detail: str = ""


class SlotRelease(Message, frozen=True, kw_only=True, tag="slot-release"):
    """Release of a slot with the request's outcome.

    ``sent_at_wall`` and ``ended_at_wall`` are the times of the request to the upstream.
    """

    grant_id: str
    outcome: str
    answer: bytes | None = None
    answer_digest: str = ""
    call_id: int = 0
    sent_at_wall: float | None = None
    ended_at_wall: float | None = None


class RecordBegin(Message, frozen=True, kw_only=True, tag="record-begin"):
    """Creation of a non-idempotent request's record at its home domain's holder."""

    call_id: int = 0
    request_id: str
    team: str
    front: str


class RecordFinish(Message, frozen=True, kw_only=True, tag="record-finish"):
    """Completion of a non-idempotent request's record at its home domain's holder.

    ``attempt`` is the number from the ``RequestRecordReply`` to its ``RecordBegin``.
    """

    call_id: int = 0
    request_id: str
    outcome: str
    answer: bytes | None = None
    answer_digest: str = ""
    attempt: int = 0


class RequestQuery(Message, frozen=True, kw_only=True, tag="request-query"):
    """Query for a non-idempotent request's record at its home domain's holder."""

    call_id: int = 0
    request_id: str


class RequestRecordReply(Message, frozen=True, kw_only=True, tag="request-record"):
    """Record of a non-idempotent request.

    ``state`` is ``new`` if this call created the record, otherwise ``sent``, ``done``,
    ``not-run``, ``unknown`` or ``absent``.
    """

    call_id: int = 0
    request_id: str
    state: str
    answer: bytes | None = None
    answer_digest: str = ""
    detail: str = ""
    attempt: int = 0


class SubmitJob(Message, frozen=True, kw_only=True, tag="submit-job"):
    """Submission of a job to the holder of its home domain."""

    call_id: int = 0
    spec: JobSpec
    request_id: str = ""


class JobAcceptedReply(Message, frozen=True, kw_only=True, tag="job-accepted"):
    """Acceptance of a job; ``durability`` is ``log`` or ``replicas``."""

    call_id: int = 0
    job_id: str
    durability: str


class CancelJob(Message, frozen=True, kw_only=True, tag="cancel-job"):
    """Cancellation of a job; ``team`` is the team of the caller's key."""

    call_id: int = 0
    job_id: str
    team: str = ""


class JobQuery(Message, frozen=True, kw_only=True, tag="job-query"):
    """Query for a job's state, or with ``explain`` for a one-line explanation only."""

    call_id: int = 0
    job_id: str
    explain: bool = False
    team: str = ""


class JobStatusReply(Message, frozen=True, kw_only=True, tag="job-status"):
    """State of a job as a JSON-compatible object."""

    call_id: int = 0
    job_id: str
    status: dict[str, Any]


class CallRefused(Message, frozen=True, kw_only=True, tag="call-refused"):
    """Refusal of a call; ``outcome`` is ``not-run`` or ``unknown``."""

    call_id: int = 0
    reason: str
    detail: str = ""
    outcome: str = "not-run"


class Ping(Message, frozen=True, kw_only=True, tag="ping"):
    """Connection probe, answered by the peer layer itself."""

    nonce: int


class Pong(Message, frozen=True, kw_only=True, tag="pong"):
    """Reply to a ping on the same connection."""

    nonce: int


PeerMessage = (
    Heartbeat
    | HeartbeatAck
    | ConfigRequest
    | ConfigDocument
    | Replicate
    | ReplicateAck
    | ReplicaRequest
    | ReplicaSnapshot
    | SlotRequest
    | SlotGrant
    | SlotRefusal
    | SlotRelease
    | RecordBegin
    | RecordFinish
    | RequestQuery
    | RequestRecordReply
    | SubmitJob
    | JobAcceptedReply
    | CancelJob
    | JobQuery
    | JobStatusReply
    | CallRefused
    | Ping
    | Pong
)
