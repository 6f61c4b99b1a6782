"""Callers: they submit, retry refused work elsewhere with the same id, and poll jobs."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from briarrun_wire.decode import DecodeError
from briarrun_wire.http_client import HttpPool
from briarrun_wire.http_types import OUTCOME_HEADER, HttpResponse

RETRY_PAUSE_S = 0.1
ENDED_STATES = ("done", "failed", "cancelled", "unknown", "set-aside")


@dataclass(slots=True)
class Work:
    """Hold a request or a job and what its caller learned.

    ``outcome`` is ``done``, ``not-run`` or ``unknown``; empty means no answer at all.
    ``ended`` tells that an accepted job's final state was read.
    """

    work_id: str
    queue: str
    team: str
    group: str
    token: str
    correct: bool
    idempotent: bool
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    is_job: bool = False
    submitted_at: float = 0.0
    answered_at: float = 0.0
    accepted: bool = False
    ended: bool = False
    outcome: str = ""
    detail: str = ""
    answer: Any = None
    in_doubt: bool = False
    tasks: int = 1


@dataclass(slots=True)
class Callers:
    """Send work through all entry VMs, each first attempt through the next one."""

    pool: HttpPool
    addresses: Sequence[str]
    operator_token: str
    deadline_s: float = 12.0
    _turn: itertools.count[int] = field(default_factory=itertools.count)
    _random: random.Random = field(default_factory=lambda: random.Random(1))

    async def submit(self, work: Work) -> None:
        """Submit until there is a final answer or the deadline has passed."""
        work.submitted_at = time.time()
        end = asyncio.get_running_loop().time() + self.deadline_s
        turn = next(self._turn)
        while asyncio.get_running_loop().time() < end:
            address = self.addresses[turn % len(self.addresses)]
            turn += 1
            if await self._attempt(work, address):
                break
            await asyncio.sleep(RETRY_PAUSE_S * (0.5 + self._random.random()))
        if work.in_doubt and work.outcome in ("", "not-run"):
            # The refusal of a retry says nothing about an attempt without an answer.
            work.outcome = "unknown"
        work.answered_at = time.time()

    async def _attempt(self, work: Work, address: str) -> bool:
        """Send once; True if the caller has nothing more to try."""
        kind = "jobs" if work.is_job else "requests"
        headers = list(work.headers)
        if work.token:
            headers.append(("Authorization", f"Bearer {work.token}"))
        if not work.is_job:
            headers.append(("Idempotency-Key", work.work_id))
            headers.append(("Briarrun-Idempotent", str(work.idempotent).lower()))
        result = await self.pool.request(
            address,
            "POST",
            f"/v1/queues/{work.queue}/{kind}",
            headers=headers,
            body=work.body,
            idempotent=False,
            timeout_s=self.deadline_s,
        )
        if result.is_error():
            work.in_doubt |= result.error.sent
            work.detail = result.error.detail
            return False
        return self._take_answer(work, result.ok)

    def _take_answer(self, work: Work, response: HttpResponse) -> bool:
        outcome = response.header(OUTCOME_HEADER) or ""
        if work.is_job and response.status == 202:
            work.accepted = True
            return True
        if outcome == "done":
            work.outcome = outcome
            work.answer = _json(response)
            return True
        refusal = _json(response) or {}
        reason = refusal.get("reason", "")
        work.detail = f"{response.status} {reason} {refusal.get('detail', '')}"
        if outcome == "unknown":
            work.outcome = outcome
            work.in_doubt = True
            # A job id is accepted once, so that a submission may be repeated.
            return not (work.idempotent or work.is_job)
        if work.is_job and reason == "duplicate-job" and work.in_doubt:
            work.accepted = True
            return True
        work.outcome = "not-run"
        return 400 <= response.status < 500

    async def follow(self, work: Work, until: float) -> None:
        """Poll an accepted job until it has ended, a service until it runs."""
        turn = next(self._turn)
        while asyncio.get_running_loop().time() < until:
            address = self.addresses[turn % len(self.addresses)]
            turn += 1
            status = await self._status(work, address)
            state = status.get("state", "")
            if state in ENDED_STATES or (
                state == "running" and work.group == "service"
            ):
                work.detail = (
                    f"{state} {status.get('reason', '')} {status.get('tasks')}"
                )
                work.ended = True
                done = state in ("done", "running")
                work.outcome = "done" if done else "unknown"
                if state in ("cancelled", "set-aside"):
                    work.outcome = "not-run"
                return
            work.detail = f"last seen: {status}"
            await asyncio.sleep(0.3)
        work.outcome = "unknown"

    async def _status(self, work: Work, address: str) -> dict[str, Any]:
        result = await self.pool.request(
            address,
            "GET",
            f"/v1/jobs/{work.work_id}",
            headers=[("Authorization", f"Bearer {self.operator_token}")],
            idempotent=True,
            timeout_s=3,
        )
        if result.is_error():
            return {"error": result.error.detail}
        return _json(result.ok) or {}


def _json(response: HttpResponse) -> dict[str, Any] | None:
    try:
        decoded = response.json()
    except DecodeError:
        return None
    return decoded if isinstance(decoded, dict) else None
