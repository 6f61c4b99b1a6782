"""Durability of accepted work: on every other elector or in the log."""

from __future__ import annotations

import asyncio
import itertools

from briarrun_core.records import (
    FinishedRequest,
    JobsRecord,
    RequestsRecord,
)
from briarrun_daemon.epoch_state import EpochState
from briarrun_daemon.log_tail import RecordOutcome
from briarrun_daemon.logs import ComponentLog

_LOG = ComponentLog("holder")
JOBS_PER_RECORD = 500
REPLICA_TIMEOUT_S = 0.15
"""Time the replicas have before a request's record is also written to the log."""
REQUESTS_FLUSH_INTERVAL_S = 0.1


class Durability:
    """Writes batches of jobs and requests to the log and waits for their durability.

    Work is durable as soon as either all replicas or the log have it.
    """

    def __init__(self, epoch: EpochState) -> None:
        self._epoch = epoch
        self._tail = epoch.context.tail
        self._timing = epoch.context.settings.timing
        self._numbers = itertools.count(1)
        self._jobs_waiting: dict[str, list[asyncio.Future[None]]] = {}
        self._begun: dict[str, asyncio.Future[None]] = {}
        self._finished: dict[str, str] = {}

    def begin(self) -> None:
        """Start the background loops."""
        self._epoch.tasks.supervise("jobs records", self._run_jobs)
        self._epoch.tasks.supervise("requests records", self._run_requests)

    @property
    def can_persist(self) -> bool:
        """Whether replicas or the log can currently make something durable."""
        return self._epoch.source.has_replicas or self._tail.available

    async def wait_job_durable(self, job_id: str, seq: int) -> str:
        """Wait until a job is durable; return where: ``replicas`` or ``log``."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._jobs_waiting.setdefault(job_id, []).append(future)
        return await self._wait_first(seq, future)

    async def wait_event_durable(self, seq: int) -> str:
        """Wait until a change that has no log record is on every elector.

        A sole elector has no replicas, so the change is lost if the holder is lost.
        """
        await self._epoch.source.wait_replicated(seq)
        return "replicas"

    async def wait_request_durable(self, request_id: str, seq: int) -> str:
        """Wait until a request's record is durable; return ``replicas`` or ``log``."""
        source = self._epoch.source
        if source.has_replicas:
            try:
                async with asyncio.timeout(REPLICA_TIMEOUT_S):
                    await source.wait_replicated(seq)
                return "replicas"
            except TimeoutError:
                _LOG.warning(
                    "replicas did not confirm a request record in time; writing it to the log",
                    request=request_id,
                    seq=seq,
                )
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._begun[request_id] = future
        return await self._wait_first(seq, future)

    def record_outcome(self, request_id: str, outcome: str) -> None:
        """Queue an outcome for the log if there are no replicas."""
        if not self._epoch.source.has_replicas:
            self._finished[request_id] = outcome

    async def _wait_first(self, seq: int, logged: asyncio.Future[None]) -> str:
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
        """Wait for the replicas.

        A holder that has become the only elector has none and keeps waiting.
        """
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
        # The same record is repeated until the log shows it. A delayed append under
        # another record id could reopen a job that has ended.
        result = await self._tail.append_until_read(
            record, float("inf"), lambda: not self._epoch.closed
        )
        if result is not RecordOutcome.IN_FORCE:
            _LOG.warning(
                "jobs record had no effect in the log", record=record.record_id
            )
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
            await asyncio.sleep(REQUESTS_FLUSH_INTERVAL_S)

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
        result = await self._tail.append_until_read(
            record, float("inf"), lambda: not self._epoch.closed
        )
        for future in begun.values():
            if result is RecordOutcome.IN_FORCE and not future.done():
                future.set_result(None)

    def _record_id(self, kind: str) -> str:
        number = next(self._numbers)
        return f"{self._epoch.context.instance}:{kind}:{self._epoch.number}:{number}"
