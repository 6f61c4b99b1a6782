"""Encoding of the records of the job stream."""

from __future__ import annotations

from typing import Annotated

import msgspec

from briarrun_cell.index_ranges import to_ranges
from briarrun_cell.model import JobSpec, JobState, Queue
from briarrun_cell.ports import Record
from briarrun_wire.decode import MAX_AMOUNT, Amount, DecodeError, Unsigned, decode_json

MAX_STEPS = 1_000
"""Maximum number of steps of a job."""

MAX_TASKS = 100_000
"""Maximum number of tasks of a job, over all its occurrences."""

MAX_KEY_BYTES = 255
"""Maximum size of the key of a record."""

Index = Annotated[int, msgspec.Meta(ge=-1, le=MAX_AMOUNT)]
"""Index of a task in its step, or -1 for a gang."""

_JOB = "j/"
_CANCEL = "c/"
_PROGRESS = "p/"


IndexRange = tuple[Amount, Amount]
"""First and last index of a range."""


class StepProgress(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Progress of one occurrence of a step.

    The indexes of completed tasks are kept in ``done`` and stored in ``done_ranges``;
    earlier versions stored ``done``. ``assigned_by_index`` maps tasks to the workers on which they were or will be
    started; it is stored before the start orders are sent. ``failed_runs_by_index``
    lists the numbers of failed runs, so that a failure reported to two holders counts
    once. Failures of a gang have the index -1.
    """

    done: list[Amount] = []
    done_ranges: list[IndexRange] = []
    assigned_by_index: dict[Index, str] = {}
    failed_runs_by_index: dict[Index, list[Unsigned]] = {}
    checkpoints_by_index: dict[Index, str] = {}

    @property
    def empty(self) -> bool:
        """Whether no task of the step has been started."""
        return not (
            self.done
            or self.done_ranges
            or self.assigned_by_index
            or self.failed_runs_by_index
            or self.checkpoints_by_index
        )


class JobProgress(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Stored progress of a job; steps have the key ``occurrence.step``.

    ``done_occurrences`` are ranges of occurrences that are completed; their steps have no
    key, and neither have steps of which no task has been started.
    """

    begun: bool = False
    done_occurrences: list[IndexRange] = []
    steps_by_key: dict[str, StepProgress] = {}
    final: JobState | None = None
    final_ms: Unsigned = 0


class Cancellation(msgspec.Struct, kw_only=True):
    """Cancellation of a job by a caller."""

    cancelled_ms: Unsigned


def progress_key(occurrence: int, step: int) -> str:
    """Return the key of a step's progress."""
    return f"{occurrence}.{step}"


def occurrence_of(key: str) -> int | None:
    """Return the occurrence in the key of a step's progress, None if it is malformed."""
    occurrence = key.partition(".")[0]
    return int(occurrence) if occurrence.isdecimal() and len(occurrence) < 10 else None


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
        stored = JobProgress(
            begun=progress.begun, final=progress.final, final_ms=progress.final_ms
        )
    else:
        steps_by_key = {
            key: msgspec.structs.replace(
                step, done=[], done_ranges=to_ranges(step.done)
            )
            for key, step in progress.steps_by_key.items()
            if not step.empty
        }
        stored = msgspec.structs.replace(progress, steps_by_key=steps_by_key)
    return Record(_PROGRESS + job_id, msgspec.json.encode(stored))


def job_id_of(record: Record) -> str:
    """Return the id of the job that a record of the job stream is about."""
    return record.key[len(_JOB) :]


def is_job_record(record: Record) -> bool:
    """Return whether a record is that of an accepted job."""
    return record.key.startswith(_JOB) and record.value is not None


def is_cancellation(record: Record) -> bool:
    """Return whether a record is a cancellation, or deletes one."""
    return record.key.startswith(_CANCEL)


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


def cancellation_deletion_record(job_id: str) -> Record:
    """Return the record that deletes the cancellation of a job."""
    return Record(_CANCEL + job_id, None)


class UnreadableRecord(DecodeError):  # noqa: N818 - names the record
    """A record of the job stream is malformed."""


def check_key(key: str) -> None:
    """Raise ``DecodeError`` if a key is none of the job stream."""
    if key[:2] not in (_JOB, _CANCEL, _PROGRESS) or len(key) == len(_JOB):
        raise DecodeError(f"unknown key {key!r}")
    size = len(key.encode())
    if size > MAX_KEY_BYTES:
        raise DecodeError(f"key of {size} bytes; at most {MAX_KEY_BYTES}")


def check_job(spec: JobSpec) -> None:
    """Raise ``DecodeError`` if no holder can keep the job."""
    if len(spec.steps) > MAX_STEPS:
        raise DecodeError(f"job of {len(spec.steps)} steps; at most {MAX_STEPS}")
    tasks = spec.runs * sum(step.count for step in spec.steps)
    if tasks > MAX_TASKS:
        raise DecodeError(f"job of {tasks} tasks; at most {MAX_TASKS}")
    for number, step in enumerate(spec.steps):
        if any(not 0 <= earlier < number for earlier in step.after):
            raise DecodeError(f"steps[{number}].after must name earlier steps")
        need = step.need
        if min(need.cores, need.memory_mib, need.accelerators, need.slots) < 0:
            raise DecodeError(f"steps[{number}] has a negative amount")
        if max(need.cores, need.memory_mib, need.accelerators) > MAX_AMOUNT:
            raise DecodeError(f"steps[{number}] has an amount above {MAX_AMOUNT}")


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
        content = decode_json(record.value, types[kind])
        if isinstance(content, JobSpec):
            check_job(content)
        return job_id, content
    except DecodeError as error:
        raise UnreadableRecord(f"{record.key}: {error}") from error
