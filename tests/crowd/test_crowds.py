"""The process survives clients that send ahead, hold connections or never finish.

The crowds and the bounds were fixed on the code before there were common bounds on
received bytes and connections.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.crowd.crowd import (
    FILE_DESCRIPTORS,
    MEMORY_MB,
    Crowd,
    CrowdCell,
    running_cell,
)

LISTENERS = ("readiness", "callers", "peers", "operations")
PATH_BY_LISTENER = {"readiness": "/-/readiness"}
"""Paths asked for; the others have no route for it."""

BODY_BYTES = 250 * 1024
"""Size of a body that is inside the limit of 256 KiB."""


async def check(cell: CrowdCell, listener: str, crowd: Crowd) -> None:
    """Check that the process lives, stays inside its limits, and serves afterwards."""
    await cell.run_crowd(listener, crowd)
    answered = await cell.answers()
    assert cell.is_running
    assert answered
    peak = cell.peak()
    # Shown by "pytest -rP".
    print(f"{listener}: {peak.memory_mb:.0f} MB, {peak.descriptors} descriptors")
    assert peak.memory_mb <= MEMORY_MB
    assert peak.descriptors <= FILE_DESCRIPTORS


@pytest.mark.processes
@pytest.mark.parametrize("listener", LISTENERS)
async def test_pipelined_requests(listener: str, tmp_path: Path) -> None:
    """Guards against input that is read faster than it is processed."""
    path = PATH_BY_LISTENER.get(listener, "/nowhere")
    request = f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
    crowd = Crowd(clients=100, piece=request * 1_500, pieces=80)
    async with running_cell(tmp_path) as cell:
        await check(cell, listener, crowd)


@pytest.mark.processes
@pytest.mark.parametrize("listener", LISTENERS)
async def test_idle_connections(listener: str, tmp_path: Path) -> None:
    """Guards against connections that use up the descriptors of the VM."""
    async with running_cell(tmp_path) as cell:
        await check(cell, listener, Crowd(clients=1_500))


@pytest.mark.processes
@pytest.mark.parametrize("listener", LISTENERS)
async def test_large_bodies_sent_slowly(listener: str, tmp_path: Path) -> None:
    """Guards against bodies that are kept while they never end."""
    head = f"POST /nowhere HTTP/1.1\r\nHost: a\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    pieces = 24
    # The last bytes of the body are never sent.
    piece = b"a" * ((BODY_BYTES - 1) // pieces)
    crowd = Crowd(500, head.encode(), piece, pieces, pause_s=0.1)
    async with running_cell(tmp_path) as cell:
        await check(cell, listener, crowd)
