"""Encoding of the records of the job stream."""

from __future__ import annotations

import msgspec

from briarrun_cell.model import JobSpec, JobState, Queue
from briarrun_cell.ports import Record

_JOB = "j/"
_CANCEL = "c/"
_PROGRESS = "p/"


class StepProgress(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Stored progress of one occurrence of a step.

    ``assigned_by_index`` maps tasks to the workers on which they were or will be
    started; it is stored before the start orders are sent. ``failed_runs_by_index``
    lists the numbers of failed runs, so that a failure reported to two holders counts
    once. Failures of a gang have the index -1.
    """

    done: list[int] = []
    assigned_by_index: dict[int, str] = {}
    failed_runs_by_index: dict[int, list[int]] = {}
    checkpoints_by_index: dict[int, str] = {}


class JobProgress(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Stored progress of a job; steps have the key ``occurrence.step``."""

    begun: bool = False
    steps_by_key: dict[str, StepProgress] = {}
    final: JobState | None = None
    final_ms: int = 0


class Cancellation(msgspec.Struct, kw_only=True):
    """Cancellation of a job by a caller."""

    cancelled_ms: int


def progress_key(occurrence: int, step: int) -> str:
    """Return the key of a step's progress."""
    return f"{occurrence}.{step}"


def job_record(spec: JobSpec) -> Record:
    """Return the record of an accepted job."""
    return Record(_JOB + spec.job_id, msgspec.json.encode(spec))


def cancellation_record(job_id: str, now_ms: int) -> Record:
    """Return the record of a cancellation."""
    value = msgspec.json.encode(Cancellation(cancelled_ms=now_ms))
    return Record(_CANCEL + job_id, value)


def progress_record(job_id: str, progress: JobProgress) -> Record:
    """Return the record of the progress of a job; it replaces earlier ones.

    Only the outcome of a finished job is stored.
    """
    if progress.final is not None:
        progress = JobProgress(
            begun=progress.begun, final=progress.final, final_ms=progress.final_ms
        )
    return Record(_PROGRESS + job_id, msgspec.json.encode(progress))


def compacted_job_record(spec: JobSpec) -> Record:
    """Return the record of a finished job without its steps and payload."""
    terms = Queue(name=spec.queue, host="", path_prefix="", pool="")
    return job_record(
        JobSpec(
            job_id=spec.job_id,
            terms=terms,
            customer=spec.customer,
            payload="",
            steps=(),
            accepted_ms=spec.accepted_ms,
        )
    )


def deletion_records(job_id: str) -> list[Record]:
    """Return the records that delete all keys of a job."""
    return [Record(prefix + job_id, None) for prefix in (_JOB, _CANCEL, _PROGRESS)]


class UnreadableRecord(ValueError):  # noqa: N818 - names the record
    """A record of the job stream is malformed."""


def decode(
    record: Record,
) -> tuple[str, JobSpec | Cancellation | JobProgress | None]:
    """Return the job id and content of a record; None if it deletes the key.

    Raises ``UnreadableRecord``.
    """
    kind, job_id = record.key[:2], record.key[2:]
    types: dict[str, type[JobSpec] | type[Cancellation] | type[JobProgress]] = {
        _JOB: JobSpec,
        _CANCEL: Cancellation,
        _PROGRESS: JobProgress,
    }
    if kind not in types or not job_id:
        raise UnreadableRecord(f"unknown key {record.key!r}")
    if record.value is None:
        return job_id, None
    try:
        return job_id, msgspec.json.decode(record.value, type=types[kind])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise UnreadableRecord(f"{record.key}: {error}") from error
