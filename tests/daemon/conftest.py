"""Fixture that prints the log of the daemons, which pytest shows for failed tests."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

import eliot
import pytest


@pytest.fixture(autouse=True)
def show_log_lines() -> Iterator[None]:
    def show(message: dict[str, Any]) -> None:
        hidden = ("task_uuid", "task_level", "message_type", "timestamp", "message")
        fields = {k: v for k, v in message.items() if k not in hidden}
        try:
            now = asyncio.get_running_loop().time()
        except RuntimeError:
            now = 0.0
        print(f"{now:8.3f} {message.get('message')} {fields}")

    eliot.add_destinations(show)
    yield
    eliot.remove_destination(show)
