"""Background tasks of one component, cancelled together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from briarrun_daemon.logs import ComponentLog

RESTART_DELAY_S = 0.1
_LOG = ComponentLog("main")


class TaskGroup:
    """Set of background tasks that logs their failures and can cancel them all."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine that ends on its own."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def supervise(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a loop until it is cancelled; log a failure and restart the loop."""
        self.start(_run_with_restarts(name, run))

    async def close(self) -> None:
        """Cancel all tasks and wait for them to end."""
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("background task failed", detail=repr(task.exception()))


async def _run_with_restarts(
    name: str, run: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    while True:
        try:
            await run()
            return
        except Exception as error:  # One failed loop must not stop the others.
            _LOG.error(
                f"background loop {name} failed; restarting it", detail=repr(error)
            )
            await asyncio.sleep(RESTART_DELAY_S)
