"""Questions to the metrics addresses of the VMs of a cell."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

from briarrun_cli.entry_vm import decode_response, open_entry_vm
from briarrun_cli.exits import CommandError, ExitStatus
from briarrun_wire.decode import DecodeError
from briarrun_wire.http_types import HttpResponse


async def explain_at(address: str, job_id: str, timeout_s: float) -> dict[str, Any]:
    """Return the explanation of a job, from the holder if the VM names it.

    ``timeout_s`` is for each request. Raises ``CommandError``.
    """
    response = await _ask(address, job_id, timeout_s)
    holder = holder_named_by(response)
    if holder is not None:
        response = await _ask(holder, job_id, timeout_s)
    data = decode_response(response)
    if not isinstance(data, dict) or not isinstance(data.get("lines"), list):
        message = f"{holder or address}: the answer explains no job"
        raise CommandError(ExitStatus.FAILED, message)
    return data


def holder_named_by(response: HttpResponse) -> str | None:
    """Return the metrics address of the holder if the response refers to it."""
    if response.status != 503:
        return None
    try:
        data = response.json()
    except DecodeError:
        return None
    address = data.get("operations") if isinstance(data, dict) else None
    return address if isinstance(address, str) else None


async def _ask(address: str, job_id: str, timeout_s: float) -> HttpResponse:
    path = f"/explain/{quote(job_id, safe='')}"
    async with open_entry_vm(address, None, timeout_s) as vm:
        return await vm.send("GET", path, b"")
