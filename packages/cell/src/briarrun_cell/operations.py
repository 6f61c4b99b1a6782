"""HTTP handler for operators: metrics, and explanations of jobs."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass
from urllib.parse import unquote

import msgspec

from briarrun_cell.explanation import JobExplanation
from briarrun_cell.metrics import Metrics
from briarrun_wire.http_server import HttpHandler
from briarrun_wire.http_types import HttpRequest, HttpResponse

EXPLAIN_PATH = "/explain/"
"""Path of the explanation of a job, without its id."""


@dataclass(frozen=True, slots=True)
class NotHolder:
    """Answer of a VM that does not hold the cell; names the holder if it is known."""

    vm: str = ""
    peer_address: str = ""


class Explainer(ABC):
    """Explains jobs to operators."""

    @abstractmethod
    def explain(self, job_id: str) -> JobExplanation | NotHolder | None:
        """Explain where a job stands, None if it is not known."""


class OperationsHandler(HttpHandler):
    """Serves the metrics at ``metrics_path``, and explanations of jobs.

    All VMs of a cell serve operators at the same ``port``.
    """

    def __init__(
        self, metrics_path: str, metrics: Metrics, explainer: Explainer, port: int
    ) -> None:
        self._metrics_path = metrics_path
        self._metrics = metrics
        self._explainer = explainer
        self._port = port
        self._turn = asyncio.Lock()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request; an unknown path has status 404.

        One request is answered in an iteration of the event loop: an answer takes
        milliseconds, and several hundred clients may ask at once.
        """
        async with self._turn:
            response = self._answer(request)
            await asyncio.sleep(0)
        return response

    def _answer(self, request: HttpRequest) -> HttpResponse:
        if request.path == self._metrics_path:
            headers = (("Content-Type", "text/plain; version=0.0.4"),)
            return HttpResponse(200, self._metrics.render(), headers)
        if request.path.startswith(EXPLAIN_PATH) and request.method == "GET":
            return self._explain(unquote(request.path.removeprefix(EXPLAIN_PATH)))
        return HttpResponse.of_error(404, "not-found", "no such path")

    def _explain(self, job_id: str) -> HttpResponse:
        answer = self._explainer.explain(job_id)
        if answer is None:
            return _refuse(404, "unknown-job", "the cell has no such job")
        if isinstance(answer, JobExplanation):
            return HttpResponse.of_json(200, msgspec.to_builtins(answer))
        if not answer.vm:
            return _refuse(503, "not-holder", "no VM is known to hold the cell")
        detail = (
            f"{answer.vm} holds the cell, its peer address is {answer.peer_address}"
        )
        host = answer.peer_address.rpartition(":")[0]
        place = {"operations": f"{host}:{self._port}"} if host else {}
        return _refuse(503, "not-holder", detail, **place)


def _refuse(status: int, reason: str, detail: str, **fields: str) -> HttpResponse:
    body = {"reason": reason, "detail": detail, **fields}
    return HttpResponse.of_json(status, body)
