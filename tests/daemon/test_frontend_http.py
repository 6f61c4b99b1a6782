"""Responses of the front end to arbitrary request ids from callers."""

import pytest

from briarrun_core.errors import RefusalReason, Refused
from briarrun_daemon import frontend_http
from briarrun_wire.http_types import HttpResponse

IDS = ["", "\ufffd", "a b", "x\r\nSet-Cookie: a=b", "a" * 129, "zagreb.ok-1"]


def answers(request_id: str) -> list[HttpResponse]:
    stored = frontend_http.StoredAnswer(200, "text/plain", b"x")
    refused = Refused(RefusalReason.UNKNOWN_JOB, request_id)
    return [
        frontend_http.done(stored, request_id),
        frontend_http.done_without_answer("00", request_id),
        frontend_http.refuse(refused, request_id),
        frontend_http.unknown("upstream-failed", "", request_id),
    ]


def check_headers(response: HttpResponse) -> None:
    for name, value in response.headers:
        assert not set("\r\n") & set(f"{name}{value}")
        f"{name}: {value}".encode("latin-1")


@pytest.mark.parametrize("request_id", IDS)
def test_every_id_gives_an_answer_that_can_be_sent(request_id: str) -> None:
    """An id from the path that is not valid in a header must not cause a status 500."""
    for response in answers(request_id):
        check_headers(response)
        assert response.header("Briarrun-Outcome")
