"""Making accepted work durable: on every other elector, or in the log."""

from __future__ import annotations

import asyncio
import itertools

from briarrun_core.records import (
    FinishedRequest,
    JobsRecord,
    RequestsRecord,
)
from briarrun_daemon.held_epoch import HeldEpoch
from briarrun_daemon.log_tail import LogFate
from briarrun_daemon.logs import ComponentLog

_LOG = ComponentLog("holder")
JOBS_PER_RECORD = 500
REPLICA_GRACE_S = 0.15
"""How long replicas may take before a request's record goes to the log as well."""
REQUESTS_FLUSH_S = 0.1


class Durability:
    """Write batches of jobs and requests to the log and wait for what comes first."""

    def __init__(self, epoch: HeldEpoch) -> None:
        self._epoch = epoch
        self._tail = epoch.context.tail
        self._timing = epoch.context.settings.timing
        self._numbers = itertools.count(1)
        self._jobs_waiting: dict[str, list[asyncio.Future[None]]] = {}
        self._begun: dict[str, asyncio.Future[None]] = {}
        self._finished: dict[str, str] = {}

    def begin(self) -> None:
        """Start the loops."""
        self._epoch.tasks.keep("jobs records", self._run_jobs)
        self._epoch.tasks.keep("requests records", self._run_requests)

    @property
    def possible(self) -> bool:
        """Tell whether replicas or the log could make something durable now."""
        return self._epoch.source.has_replicas or self._tail.available

    async def job_is_durable(self, job_id: str, seq: int) -> str:
        """Return ``replicas`` or ``log`` when a job is durable there."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._jobs_waiting.setdefault(job_id, []).append(future)
        return await self._first(seq, future)

    async def event_is_durable(self, seq: int) -> str:
        """Return when a change without a record of its own is on every elector.

        A sole elector has no replicas; then the change lives as long as the holder.
        """
        await self._epoch.source.wait_replicated(seq)
        return "replicas"

    async def request_is_durable(self, request_id: str, seq: int) -> str:
        """Return ``replicas`` or ``log`` when a request's record is durable there."""
        source = self._epoch.source
        if source.has_replicas:
            try:
                async with asyncio.timeout(REPLICA_GRACE_S):
                    await source.wait_replicated(seq)
                return "replicas"
            except TimeoutError:
                _LOG.warning("replicas are slow", request=request_id, seq=seq)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._begun[request_id] = future
        return await self._first(seq, future)

    def note_finished(self, request_id: str, outcome: str) -> None:
        """Note an outcome; without replicas it is written to the log."""
        if not self._epoch.source.has_replicas:
            self._finished[request_id] = outcome

    async def _first(self, seq: int, logged: asyncio.Future[None]) -> str:
        if not self._epoch.source.has_replicas:
            await logged
            return "log"
        replicated = asyncio.ensure_future(self._wait_replicas(seq))
        try:
            await asyncio.wait(
                [replicated, logged], return_when=asyncio.FIRST_COMPLETED
            )
            if logged.done():
                return "log"
            replicated.result()
            return "replicas"
        finally:
            replicated.cancel()

    async def _wait_replicas(self, seq: int) -> None:
        """Wait for the replicas; a holder that became the only elector has none."""
        while True:
            await self._epoch.source.wait_replicated(seq)
            if self._epoch.source.has_replicas:
                return
            await asyncio.sleep(self._timing.jobs_flush_interval_s)

    # Jobs

    async def _run_jobs(self) -> None:
        while True:
            if self._epoch.may_act():
                await self._flush_jobs()
            await asyncio.sleep(self._timing.jobs_flush_interval_s)

    async def _flush_jobs(self) -> None:
        accepted, ended = self._epoch.ledger.jobs_to_log()
        accepted, ended = accepted[:JOBS_PER_RECORD], ended[:JOBS_PER_RECORD]
        if not accepted and not ended:
            return
        record = JobsRecord(
            record_id=self._record_id("jobs"),
            domain=self._epoch.domain,
            epoch=self._epoch.number,
            accepted=tuple(accepted),
            ended=tuple(ended),
        )
        # The same record is repeated until the log shows it: a lost append that lands
        # late under another id could reopen a job that has ended.
        fate = await self._tail.append_until_read(
            record, float("inf"), lambda: not self._epoch.closed
        )
        if fate is not LogFate.IN_FORCE:
            _LOG.warning("a jobs record has no effect", record=record.record_id)
            return
        self._epoch.ledger.on_jobs_logged(
            [spec.job_id for spec in accepted], [job.job_id for job in ended]
        )
        for spec in accepted:
            for future in self._jobs_waiting.pop(spec.job_id, []):
                if not future.done():
                    future.set_result(None)

    # Requests

    async def _run_requests(self) -> None:
        while True:
            if (self._begun or self._finished) and self._epoch.may_act():
                await self._flush_requests()
            await asyncio.sleep(REQUESTS_FLUSH_S)

    async def _flush_requests(self) -> None:
        begun, self._begun = self._begun, {}
        finished, self._finished = self._finished, {}
        record = RequestsRecord(
            record_id=self._record_id("requests"),
            domain=self._epoch.domain,
            epoch=self._epoch.number,
            begun=tuple(begun),
            finished=tuple(
                FinishedRequest(request_id=request_id, outcome=outcome)
                for request_id, outcome in finished.items()
            ),
        )
        fate = await self._tail.append_until_read(
            record, float("inf"), lambda: not self._epoch.closed
        )
        for future in begun.values():
            if fate is LogFate.IN_FORCE and not future.done():
                future.set_result(None)

    def _record_id(self, kind: str) -> str:
        number = next(self._numbers)
        return f"{self._epoch.context.instance}:{kind}:{self._epoch.number}:{number}"
