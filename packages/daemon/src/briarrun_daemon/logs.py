"""Structured logging of the daemon, one JSON object per line."""

from __future__ import annotations

import json
import sys
from typing import Any, TextIO

import eliot

from briarrun_cell.logs import ComponentLog

__all__ = ["ComponentLog", "start_logging"]


def start_logging(instance: str, stream: TextIO = sys.stderr) -> None:
    """Write log messages to a stream as JSON lines that include the instance."""

    def write(message: dict[str, Any]) -> None:
        line = {
            key: value
            for key, value in message.items()
            if key not in ("task_uuid", "task_level")
        }
        line["instance"] = instance
        stream.write(json.dumps(line, default=str) + "\n")
        stream.flush()

    eliot.add_destinations(write)
