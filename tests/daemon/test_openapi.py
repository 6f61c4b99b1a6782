"""Comparison of the documented HTTP interface with the one that is served."""

import inspect
import json
import re
from pathlib import Path

from briarrun_core.errors import RefusalReason
from briarrun_daemon.frontend import Frontend
from briarrun_daemon.frontend_http import STATUS_BY_REASON

DOCUMENT = json.loads(
    (Path(__file__).parents[2] / "docs/openapi.json").read_text(encoding="utf-8"),
)


def served_routes() -> set[tuple[str, str]]:
    source = inspect.getsource(Frontend.__init__)
    pairs = re.findall(r'\("(\w+)", r"([^"]+)",', source)
    return {(m.lower(), re.sub(r"\(\?P<(\w+)>[^)]*\)", r"{\1}", p)) for m, p in pairs}


def test_documented_paths_are_the_served_ones() -> None:
    """The documented routes must be exactly those that are served."""
    documented = {(m, path) for path, item in DOCUMENT["paths"].items() for m in item}
    assert documented == served_routes()


def test_statuses_of_refused_work_are_documented() -> None:
    """Every status that a refusal can have must be documented."""
    statuses = {str(STATUS_BY_REASON.get(reason, 503)) for reason in RefusalReason}
    for path in ("/v1/queues/{queue}/requests", "/v1/queues/{queue}/jobs"):
        assert statuses <= DOCUMENT["paths"][path]["post"]["responses"].keys()
