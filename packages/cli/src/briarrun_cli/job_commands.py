"""Commands that call an entry VM: submit, cancel, status, explain and drain."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import typer

from briarrun_cli.entry_vm import open_entry_vm
from briarrun_cli.exits import CommandError, ExitStatus
from briarrun_cli.operations import explain_at
from briarrun_cli.options import (
    DEFAULT_TIMEOUT_S,
    EntryOption,
    JsonOption,
    KeyOption,
    OperationsOption,
    OptionalEntryOption,
    TimeoutOption,
)
from briarrun_cli.output import fields_of, show

SpecArgument = Annotated[Path, typer.Argument(help="JSON file of the job, or -.")]


def submit(
    queue: str,
    spec: SpecArgument,
    entry: EntryOption,
    key: KeyOption = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Submit a job. Example: briarrun submit planner-batch job.json.

    Exit status 6 means that the job certainly does not run, 7 that this is not known;
    submit it again with the same job_id then.
    """
    path = f"/v1/queues/{quote(queue, safe='')}/jobs"
    body = _read_spec(spec)
    has_id = isinstance(body, dict) and "job_id" in body
    data = _call(entry, key, timeout, "POST", path, body, idempotent=has_id)
    show(data, fields_of(data), as_json)


def cancel(
    job_id: str,
    entry: EntryOption,
    key: KeyOption = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Cancel a job. Example: briarrun cancel zagreb.roster-7."""
    data = _call(entry, key, timeout, "DELETE", _job_path(job_id))
    show(data, fields_of(data), as_json)


def status(
    entry: EntryOption,
    job_id: Annotated[str | None, typer.Argument(help="Show one job only.")] = None,
    key: KeyOption = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Show an entry VM or a job. Example: briarrun status zagreb.roster-7."""
    path = _job_path(job_id) if job_id else "/v1/status"
    data = _call(entry, key, timeout, "GET", path)
    show(data, fields_of(data), as_json)


def explain(
    job_id: str,
    entry: OptionalEntryOption = None,
    operations: OperationsOption = None,
    key: KeyOption = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Say why a job waits. Example: briarrun explain zagreb.roster-7.

    In a cell, name the metrics address of any VM with --operations.
    """
    if operations is not None:
        data = asyncio.run(explain_at(operations, job_id, timeout))
        show(data, data["lines"], as_json)
        return
    if entry is None:
        raise typer.BadParameter("needed without --operations", param_hint="--entry")
    data = _call(entry, key, timeout, "GET", f"{_job_path(job_id)}/explain")
    show(data, [str(data.get("explanation", data.get("text", data)))], as_json)


def drain(
    entry: EntryOption,
    key: KeyOption = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Drain an entry VM; needs an operator's key. Example: briarrun drain."""
    data = _call(entry, key, timeout, "POST", "/v1/drain")
    show(data, fields_of(data), as_json)


def _job_path(job_id: str) -> str:
    return f"/v1/jobs/{quote(job_id, safe='')}"


def _read_spec(path: Path) -> Any:
    try:
        text = typer.get_text_stream("stdin").read() if str(path) == "-" else None
        return json.loads(path.read_bytes() if text is None else text)
    except (OSError, ValueError, RecursionError) as error:
        message = f"{path}: can't be read as JSON: {error}"
        raise CommandError(ExitStatus.INVALID, message) from error


def _call(
    entry: str,
    key: str | None,
    timeout: float,
    method: str,
    path: str,
    body: object = None,
    idempotent: bool = True,
) -> Any:
    async def call() -> Any:
        async with open_entry_vm(entry, key, timeout) as entry_vm:
            return await entry_vm.call(method, path, body, idempotent=idempotent)

    return asyncio.run(call())
