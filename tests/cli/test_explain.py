"""Tests of ``briarrun explain`` against entry VMs and metrics addresses."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from typer.testing import CliRunner, Result

from briarrun_cell.explanation import JobExplanation
from briarrun_cell.metrics import Metrics
from briarrun_cell.operations import Explainer, NotHolder, OperationsHandler
from briarrun_cli.exits import CommandError, ExitStatus
from briarrun_cli.main import app
from briarrun_wire.http_server import HttpHandler, HttpServer
from briarrun_wire.http_types import HttpRequest, HttpResponse

EXPLANATION = JobExplanation(
    "j1", "queued", ("job j1 is queued", "step 0: waits for larger workers")
)


class _Explainer(Explainer):
    def __init__(self, answer: JobExplanation | NotHolder | None) -> None:
        self.answer = answer

    def explain(self, job_id: str) -> JobExplanation | NotHolder | None:
        return self.answer


class _Recorder(HttpHandler):
    """Handler that keeps the requests and answers them with a fixed response."""

    def __init__(self, response: HttpResponse) -> None:
        self.response = response
        self.requests: list[HttpRequest] = []

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        return self.response


async def _run(*arguments: str) -> Result:
    runner = CliRunner(env={"BRIARRUN_ENTRY": None, "BRIARRUN_KEY": None})
    return await asyncio.to_thread(lambda: runner.invoke(app, ["explain", *arguments]))


async def _serve(
    answer: JobExplanation | NotHolder | None, port: int = 0
) -> HttpServer:
    """Serve a metrics address; ``port`` is that of the holder."""
    server = HttpServer(
        OperationsHandler("/metrics", Metrics(), _Explainer(answer), port)
    )
    await server.start()
    return server


def _port(server: HttpServer) -> int:
    return int(server.address.rpartition(":")[2])


HERE = NotHolder("vm2", "127.0.0.1:7020")
"""Answer of a VM that names a holder on this machine."""


@pytest.mark.parametrize(
    ("first", "second", "error"),
    [
        (EXPLANATION, None, ""),
        (HERE, EXPLANATION, ""),
        (None, None, "failed: unknown-job the cell has no such job"),
        (HERE, None, "failed: unknown-job the cell has no such job"),
        (NotHolder(), None, "failed: not-holder no VM is known to hold the cell"),
        (
            HERE,
            NotHolder("vm3", "127.0.0.1:7021"),
            "failed: not-holder vm3 holds the cell, its peer address is "
            "127.0.0.1:7021",
        ),
    ],
    ids=[
        "holder",
        "named holder",
        "unknown job",
        "unknown job at the named holder",
        "no holder",
        "holder followed once only",
    ],
)
async def test_explanation_of_a_cell(
    first: JobExplanation | NotHolder | None,
    second: JobExplanation | NotHolder | None,
    error: str,
) -> None:
    """Guards against an operator who asks a VM that is not the holder in vain."""
    holder = await _serve(second)
    vm = await _serve(first, _port(holder))
    result = await _run("j1", "--operations", vm.address)
    as_json = await _run("j1", "--operations", vm.address, "--json")
    await vm.close()
    await holder.close()
    if error:
        assert isinstance(result.exception, CommandError)
        assert str(result.exception) == error
        assert result.exception.status is ExitStatus.FAILED
    else:
        assert (result.exit_code, result.exception) == (0, None)
        assert result.output == "".join(f"{line}\n" for line in EXPLANATION.lines)
        assert json.loads(as_json.output)["lines"] == list(EXPLANATION.lines)


@pytest.mark.parametrize(
    "response",
    [
        HttpResponse(200, b"metrics"),
        HttpResponse.of_json(200, ["a"]),
        HttpResponse.of_json(200, {"lines": "a"}),
        HttpResponse.of_json(503, {"operations": 7}),
        HttpResponse.of_json(503, ["a"]),
        HttpResponse(503, b"{"),
    ],
)
async def test_answer_that_explains_nothing(response: HttpResponse) -> None:
    """Guards against a traceback for an address of another kind."""
    server = HttpServer(_Recorder(response))
    await server.start()
    result = await _run("j1", "--operations", server.address)
    await server.close()
    assert isinstance(result.exception, CommandError)
    assert result.exception.status is ExitStatus.FAILED


@pytest.mark.parametrize(
    ("option", "path", "authorization"),
    [
        ("--operations", "/explain/a%2Fb", None),
        ("--entry", "/v1/jobs/a%2Fb/explain", "Bearer secret"),
    ],
)
async def test_request_of_an_explanation(
    option: str, path: str, authorization: str | None
) -> None:
    """Guards against a team's key that is sent to a metrics address."""
    body: dict[str, Any] = {"lines": ["why"], "explanation": "why"}
    recorder = _Recorder(HttpResponse.of_json(200, body))
    server = HttpServer(recorder)
    await server.start()
    result = await _run("a/b", option, server.address, "--key", "secret")
    await server.close()
    assert (result.exit_code, result.output) == (0, "why\n")
    (request,) = recorder.requests
    assert (request.method, request.path) == ("GET", path)
    assert request.headers.get("authorization") == authorization


async def test_explanation_needs_an_address() -> None:
    """Guards against a command without an address that does nothing."""
    result = await _run("j1")
    assert result.exit_code == ExitStatus.USAGE


async def test_unreachable_metrics_address() -> None:
    """Guards against a traceback for a VM that is down."""
    server = await _serve(None)
    await server.close()
    result = await _run("j1", "--operations", server.address)
    assert isinstance(result.exception, CommandError)
    assert result.exception.status is ExitStatus.UNREACHABLE
