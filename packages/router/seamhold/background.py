"""Helpers for event loops that work with tasks on other threads."""

import asyncio
from collections.abc import Coroutine
from concurrent.futures import Future


class BackgroundTasks:
    """Runs coroutines as asyncio tasks, and keeps a reference to each until it ends."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine) -> asyncio.Task:
        """Start `coroutine` as a task; called on the loop."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel(self) -> None:
        """Cancel the tasks that still run; called on the loop."""
        for task in self._tasks:
            task.cancel()


async def result_of(future: Future) -> object:
    """Await a task's result; a future that is done already needs no turn of the loop."""
    if future.done():
        return future.result()
    return await asyncio.wrap_future(future)
