"""HTTP interface for callers and operators."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import unquote

from expression import Error, Ok, Result
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from briarrun_core.admission import Admission
from briarrun_core.errors import RefusalReason, Refused
from briarrun_core.keys import team_of_token
from briarrun_core.model import OPEN_TEAM, Outcome
from briarrun_daemon import frontend_http
from briarrun_daemon.context import Context
from briarrun_daemon.frontend_jobs import JobHandler
from briarrun_daemon.frontend_requests import RequestHandler
from briarrun_daemon.holder_client import HolderClient
from briarrun_daemon.logs import ComponentLog
from briarrun_wire.http_server import HttpHandler
from briarrun_wire.http_types import HttpRequest, HttpResponse
from briarrun_wire.messages import CallRefused, RequestQuery, RequestRecordReply

_LOG = ComponentLog("front")
ALL_TEAMS = ""
"""Team name that stands for all teams in calls made with an operator key."""
Route = Callable[[HttpRequest, dict[str, str]], Awaitable[HttpResponse]]


class Frontend(HttpHandler):
    """HTTP front end: admits callers and routes their requests."""

    def __init__(
        self,
        context: Context,
        admission: Admission,
        requests: RequestHandler,
        jobs: JobHandler,
        calls: HolderClient,
        status: Callable[[], dict[str, Any]],
        start_drain: Callable[[], None],
    ) -> None:
        self._context = context
        self._settings = context.settings
        self._clock = context.clock
        self._metrics = context.metrics
        self._admission = admission
        self._requests = requests
        self._jobs = jobs
        self._calls = calls
        self._status = status
        self._start_drain = start_drain
        self.draining = False
        self._in_flight_by_queue: dict[str, int] = {}
        self._routes: list[tuple[str, re.Pattern[str], Route]] = [
            (method, re.compile(pattern), route)
            for method, pattern, route in (
                ("POST", r"/v1/queues/(?P<queue>[^/]+)/requests", self._post_request),
                ("POST", r"/v1/queues/(?P<queue>[^/]+)/jobs", self._post_job),
                ("GET", r"/v1/jobs/(?P<job>[^/]+)", self._get_job),
                ("DELETE", r"/v1/jobs/(?P<job>[^/]+)", self._delete_job),
                ("GET", r"/v1/jobs/(?P<job>[^/]+)/explain", self._explain_job),
                ("GET", r"/v1/requests/(?P<request>[^/]+)", self._get_request),
                ("GET", r"/v1/status", self._get_status),
                ("POST", r"/v1/drain", self._post_drain),
                ("GET", r"/metrics", self._get_metrics),
                ("GET", r"/healthz", self._get_health),
                ("GET", r"/readyz", self._get_ready),
            )
        ]

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one HTTP request."""
        allowed = []
        for method, pattern, route in self._routes:
            match = pattern.fullmatch(request.path)
            if match is None:
                continue
            if method == request.method:
                parameters = {k: unquote(v) for k, v in match.groupdict().items()}
                with self._metrics.in_flight.track_inprogress():
                    return await route(request, parameters)
            allowed.append(method)
        if allowed:
            detail = f"{request.path} allows {', '.join(allowed)}"
            return frontend_http.not_run(405, "method-not-allowed", detail, "")
        return frontend_http.not_run(404, "unknown-path", request.path, "")

    # Requests

    async def _post_request(
        self, request: HttpRequest, parameters: dict[str, str]
    ) -> HttpResponse:
        started = self._clock.now()
        admitted = self._admission.admit(
            parameters["queue"], frontend_http.bearer_token(request), started
        )
        if admitted.is_error():
            return self._refuse(admitted.error)
        team, queue = admitted.ok.team, admitted.ok.queue
        parsed = frontend_http.parse_call(
            request,
            queue,
            team,
            self._settings.failure_domain,
            self._context.directory.domains(),
            self._settings.timing,
            started,
        )
        if parsed.is_error():
            return self._refuse(parsed.error, team)
        call = parsed.ok
        in_flight = self._in_flight_by_queue.get(queue.name, 0)
        if in_flight >= queue.max_waiting:
            detail = f"{in_flight} requests of queue {queue.name} are in flight here"
            return self._refuse(Refused(RefusalReason.OVERLOADED, detail), team)
        self._in_flight_by_queue[queue.name] = in_flight + 1
        try:
            served = await self._requests.serve(call)
        finally:
            self._in_flight_by_queue[queue.name] -= 1
        self._metrics.observe_request(
            team,
            call.urgency.value,
            served.outcome.value,
            self._clock.now() - started,
        )
        return served.response

    async def _get_request(
        self, request: HttpRequest, parameters: dict[str, str]
    ) -> HttpResponse:
        team = self._team_of(request)
        if team.is_error():
            return self._refuse(team.error)
        request_id = parameters["request"]
        if frontend_http.REQUEST_ID_PATTERN.fullmatch(request_id) is None:
            detail = "the request id must be 1 to 128 of A-Z a-z 0-9 . _ : -"
            return self._refuse(Refused(RefusalReason.INVALID_REQUEST, detail))
        domains = self._context.directory.domains()
        reply = await self._calls.call(
            frontend_http.home_of(request_id, domains),
            RequestQuery(request_id=frontend_http.record_id_of(request_id, team.ok)),
            self._settings.timing.peer_call_timeout_s,
        )
        match reply:
            case Result(tag="ok", ok=RequestRecordReply() as record):
                state = record.state
                status = 404 if state == "absent" else 200
                return HttpResponse.of_json(
                    status,
                    {
                        "request_id": request_id,
                        "state": state,
                        "answer_sha256": record.answer_digest,
                    },
                )
            case Result(tag="ok", ok=CallRefused(detail=detail)):
                pass
            case Result(error=failure):
                detail = getattr(failure, "detail", "")
        refused = Refused(RefusalReason.HOME_UNREACHABLE, detail)
        return frontend_http.refuse(refused, request_id)

    # Jobs

    async def _post_job(
        self, request: HttpRequest, parameters: dict[str, str]
    ) -> HttpResponse:
        admitted = self._admission.admit(
            parameters["queue"], frontend_http.bearer_token(request), self._clock.now()
        )
        if admitted.is_error():
            return self._refuse(admitted.error)
        return await self._jobs.submit(request, admitted.ok.queue, admitted.ok.team)

    async def _get_job(
        self, request: HttpRequest, parameters: dict[str, str]
    ) -> HttpResponse:
        team = self._team_of(request)
        if team.is_error():
            return self._refuse(team.error)
        return await self._jobs.query(parameters["job"], team.ok, explain=False)

    async def _explain_job(
        self, request: HttpRequest, parameters: dict[str, str]
    ) -> HttpResponse:
        team = self._team_of(request)
        if team.is_error():
            return self._refuse(team.error)
        return await self._jobs.query(parameters["job"], team.ok, explain=True)

    async def _delete_job(
        self, request: HttpRequest, parameters: dict[str, str]
    ) -> HttpResponse:
        team = self._team_of(request)
        if team.is_error():
            return self._refuse(team.error)
        return await self._jobs.cancel(parameters["job"], team.ok)

    # Operators and monitoring

    async def _get_status(
        self, request: HttpRequest, parameters: dict[str, str]
    ) -> HttpResponse:
        return HttpResponse.of_json(200, self._status())

    async def _post_drain(
        self, request: HttpRequest, parameters: dict[str, str]
    ) -> HttpResponse:
        allowed = self._admission.authorize_operator(
            frontend_http.bearer_token(request), self._clock.now()
        )
        if allowed.is_error():
            return self._refuse(allowed.error)
        _LOG.info("drain requested by an operator", key=allowed.ok)
        self._start_drain()
        return HttpResponse.of_json(202, {"draining": True})

    async def _get_metrics(
        self, request: HttpRequest, parameters: dict[str, str]
    ) -> HttpResponse:
        headers = (("Content-Type", CONTENT_TYPE_LATEST),)
        return HttpResponse(200, self._metrics.render(), headers)

    async def _get_health(
        self, request: HttpRequest, parameters: dict[str, str]
    ) -> HttpResponse:
        return HttpResponse.of_json(200, {"healthy": True})

    async def _get_ready(
        self, request: HttpRequest, parameters: dict[str, str]
    ) -> HttpResponse:
        ready = self._admission.is_ready() and not self.draining
        return HttpResponse.of_json(200 if ready else 503, {"ready": ready})

    def _team_of(self, request: HttpRequest) -> Result[str, Refused]:
        """Return the team whose jobs and requests the caller may access."""
        now = self._clock.now()
        token = frontend_http.bearer_token(request)
        if token is None:
            return Ok(OPEN_TEAM)
        if not self._admission.is_ready():
            detail = "the newest configuration is not known yet"
            return Error(Refused(RefusalReason.NO_CONFIGURATION, detail))
        if self._admission.is_cut_off(now):
            detail = "no contact with the log or another failure domain"
            return Error(Refused(RefusalReason.CONFIGURATION_STALE, detail))
        if self._admission.authorize_operator(token, now).is_ok():
            return Ok(ALL_TEAMS)
        config = self._context.tail.fleet.config
        return team_of_token(token, config.keys_by_id, config.teams_by_id)

    def _refuse(self, refused: Refused, team: str = "") -> HttpResponse:
        self._metrics.requests.labels(team, "", Outcome.NOT_RUN.value).inc()
        return frontend_http.refuse(refused)
