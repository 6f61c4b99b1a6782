"""Background tasks of one part, ended together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from briarrun_daemon.logs import ComponentLog

RESTART_DELAY_S = 0.1
_LOG = ComponentLog("main")


class TaskGroup:
    """Hold references to running tasks, report their faults and cancel them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine that ends by itself."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def keep(self, name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a loop until cancelled; a fault is reported and the loop starts again."""
        self.start(_restart(name, run))

    async def close(self) -> None:
        """Cancel every task and wait for its end."""
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("a task failed", detail=repr(task.exception()))


async def _restart(name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
    while True:
        try:
            await run()
            return
        except Exception as error:  # A fault in one part must not end the others.
            _LOG.error(f"the loop {name} failed", detail=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)
