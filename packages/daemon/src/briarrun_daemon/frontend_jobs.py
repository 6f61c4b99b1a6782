"""Handling of callers' job submissions, queries and cancellations."""

from __future__ import annotations

import asyncio
import re
from typing import Any

import msgspec
from expression import Error, Ok, Result

from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.model import (
    JobKind,
    JobSpec,
    Outcome,
    Queue,
    Urgency,
    home_domain,
)
from briarrun_core.resources import Resources
from briarrun_daemon import frontend_http
from briarrun_daemon.clock import Clock
from briarrun_daemon.directory import Directory
from briarrun_daemon.holder_client import HolderClient
from briarrun_daemon.settings import Settings
from briarrun_wire.http_types import HttpRequest, HttpResponse
from briarrun_wire.messages import (
    CallRefused,
    CancelJob,
    JobAcceptedReply,
    JobQuery,
    JobStatusReply,
    SubmitJob,
)

JOB_ID_PATTERN = re.compile(r"[a-z0-9-]{1,63}\.[A-Za-z0-9._:-]{1,128}")
RETRY_INTERVAL_S = 0.05
# Limited because every accepted job is sent to all members of the domain and to the log.
MAX_COMMAND_CHARACTERS = 16_384


class _JobResources(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    cores: int = 0
    memory_mib: int = 0
    accelerators: int = 0


class JobBody(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Job specification in the body of a submission."""

    kind: JobKind
    job_id: str | None = None
    urgency: Urgency | None = None
    tasks: int = 1
    resources: _JobResources
    run_seconds: float | None = None
    idempotent: bool
    command: str = ""
    max_attempts: int = 3


class JobHandler:
    """Forwards job calls to the holder of each job's home domain."""

    def __init__(
        self,
        settings: Settings,
        calls: HolderClient,
        directory: Directory,
        clock: Clock,
    ) -> None:
        self._timing = settings.timing
        self._domain = settings.failure_domain
        self._calls = calls
        self._directory = directory
        self._clock = clock

    async def submit(
        self, request: HttpRequest, queue: Queue, team: str
    ) -> HttpResponse:
        """Submit a job and respond once it is durable."""
        parsed = self._parse(request, queue, team)
        if parsed.is_error():
            return frontend_http.refuse(parsed.error)
        spec, is_fixed = parsed.ok
        deadline = self._clock.now() + self._timing.default_deadline_s
        refused = Refused(RefusalReason.NO_AUTHORITY, "no domain is known")
        for domain in self._candidate_domains(spec, is_fixed):
            if not is_fixed:
                spec = msgspec.structs.replace(
                    spec, job_id=frontend_http.generate_id(domain)
                )
            result = await self._submit_at(domain, spec, deadline)
            match result:
                case Result(tag="ok", ok=response):
                    return response
                case Result(error=refused):
                    continue
        return frontend_http.refuse(refused, spec.job_id)

    def _candidate_domains(self, spec: JobSpec, is_fixed: bool) -> list[str]:
        if is_fixed:
            return [home_domain(spec.job_id)]
        return self._directory.nearest_domains()

    async def _submit_at(
        self, domain: str, spec: JobSpec, deadline: float
    ) -> Result[HttpResponse, Refused]:
        """Return the response, or a refusal after which another domain may be tried.

        A submission in doubt is repeated with the same job id, which is safe because
        the home domain accepts an id only once. It is never sent to another domain.
        """
        in_doubt = False
        wait_until = self._clock.now() + 5 * self._timing.authority_term_s
        while True:
            reply = await self._calls.call(
                domain,
                SubmitJob(spec=spec, request_id=spec.job_id),
                self._timing.durability_timeout_s + self._timing.peer_call_timeout_s,
            )
            match reply:
                case Result(tag="ok", ok=JobAcceptedReply() as accepted):
                    return Ok(_accepted(accepted))
                case Result(tag="ok", ok=CallRefused() as refusal):
                    in_doubt |= refusal.outcome == Outcome.UNKNOWN.value
                    refused = Refused(RefusalReason(refusal.reason), refusal.detail)
                case Result(tag="error", error=failure):
                    in_doubt |= failure.sent
                    refused = Refused(RefusalReason.NO_AUTHORITY, failure.detail)
                case _:
                    refused = Refused(RefusalReason.NO_AUTHORITY, domain)
            now = self._clock.now()
            if in_doubt and now < deadline:
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            if in_doubt:
                return Ok(
                    frontend_http.unknown(refused.reason, refused.detail, spec.job_id)
                )
            if refused.reason not in _RETRY_ELSEWHERE_REASONS:
                return Ok(frontend_http.refuse(refused, spec.job_id))
            if refused.reason != RefusalReason.NO_AUTHORITY or now >= wait_until:
                return Error(refused)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def query(self, job_id: str, team: str, explain: bool) -> HttpResponse:
        """Return a job's state, or an explanation of its state."""
        message = JobQuery(job_id=job_id, team=team, explain=explain)
        return await self._call_home(job_id, message)

    async def cancel(self, job_id: str, team: str) -> HttpResponse:
        """Cancel a job and return its state; none of its tasks starts afterwards."""
        return await self._call_home(job_id, CancelJob(job_id=job_id, team=team))

    async def _call_home(
        self, job_id: str, message: JobQuery | CancelJob
    ) -> HttpResponse:
        domain = home_domain(job_id)
        if domain not in self._directory.domains():
            return frontend_http.refuse(Refused(RefusalReason.UNKNOWN_JOB, job_id))
        wait_until = self._clock.now() + 5 * self._timing.authority_term_s
        maybe_cancelled = False
        while True:
            reply = await self._calls.call(
                domain, message, self._timing.peer_call_timeout_s
            )
            match reply:
                case Result(tag="ok", ok=JobStatusReply(status=status)):
                    return HttpResponse.of_json(200, status)
                case Result(tag="ok", ok=CallRefused() as refusal):
                    maybe_cancelled |= refusal.outcome == Outcome.UNKNOWN.value
                    refused = Refused(RefusalReason(refusal.reason), refusal.detail)
                case Result(tag="error", error=failure):
                    maybe_cancelled |= failure.sent
                    refused = Refused(RefusalReason.HOME_UNREACHABLE, failure.detail)
                case _:
                    refused = Refused(RefusalReason.HOME_UNREACHABLE, domain)
            is_final = refused.reason == RefusalReason.UNKNOWN_JOB
            if is_final or self._clock.now() >= wait_until:
                break
            await asyncio.sleep(RETRY_INTERVAL_S)
        if maybe_cancelled and isinstance(message, CancelJob) and not is_final:
            return frontend_http.unknown(refused.reason, refused.detail, job_id)
        return frontend_http.refuse(refused, job_id)

    def _parse(
        self, request: HttpRequest, queue: Queue, team: str
    ) -> Result[tuple[JobSpec, bool], Refused]:
        try:
            body = msgspec.json.decode(request.body, type=JobBody)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return _invalid(str(error))
        job_id = body.job_id
        key = request.headers.get("idempotency-key")
        if job_id is None and key is not None:
            if not frontend_http.REQUEST_ID_PATTERN.fullmatch(key):
                return _invalid("Idempotency-Key: 1 to 128 of A-Z a-z 0-9 . _ : -")
            home = frontend_http.home_of(key, self._directory.domains())
            job_id = key if key.startswith(f"{home}.") else f"{home}.{key}"
        if job_id is not None and not JOB_ID_PATTERN.fullmatch(job_id):
            return _invalid("/job_id: must have the form <failure domain>.<text>")
        if job_id is not None and home_domain(job_id) not in self._directory.domains():
            return _invalid(f"/job_id: no failure domain {home_domain(job_id)!r}")
        problem = _validate(body)
        if problem:
            return _invalid(problem)
        return Ok((_spec_of(body, job_id or "", queue, team), job_id is not None))


_RETRY_ELSEWHERE_REASONS = (
    RefusalReason.NO_AUTHORITY,
    RefusalReason.NOT_DURABLE,
    RefusalReason.OVERLOADED,
)


def _spec_of(body: JobBody, job_id: str, queue: Queue, team: str) -> JobSpec:
    return JobSpec(
        job_id=job_id,
        team=team,
        queue=queue.name,
        kind=body.kind,
        urgency=body.urgency or queue.default_urgency,
        tasks=body.tasks,
        resources=Resources(
            cores=body.resources.cores,
            memory_mib=body.resources.memory_mib,
            accelerators=body.resources.accelerators,
        ),
        run_seconds=body.run_seconds,
        idempotent=body.idempotent,
        command=body.command,
        max_attempts=body.max_attempts,
    )


def _validate(body: JobBody) -> str:
    resources = body.resources
    if min(resources.cores, resources.memory_mib, resources.accelerators) < 0:
        return "/resources: must not be negative"
    if max(resources.cores, resources.memory_mib, resources.accelerators) > 2**40:
        return "/resources: must be at most 2^40"
    if not resources.cores and not resources.memory_mib and not resources.accelerators:
        return "/resources: must be positive in at least one part"
    if body.tasks < 1:
        return "/tasks: must be at least 1"
    if len(body.command) > MAX_COMMAND_CHARACTERS:
        return f"/command: must be at most {MAX_COMMAND_CHARACTERS} characters"
    if body.max_attempts < 1:
        return "/max_attempts: must be at least 1"
    if body.run_seconds is not None and not 0 < body.run_seconds < 1e9:
        return "/run_seconds: must be positive"
    return ""


def _accepted(reply: JobAcceptedReply) -> HttpResponse:
    return HttpResponse.of_json(
        202, {"job_id": reply.job_id, "durability": reply.durability}
    )


def _invalid(detail: str) -> Result[Any, Refused]:
    return Error(Refused(RefusalReason.INVALID_REQUEST, detail))
