"""What an event loop and the tasks on other threads do for each other."""

import asyncio
from collections.abc import Coroutine
from concurrent.futures import Future


class BackgroundWork:
    """Coroutines that run beside the caller, kept until they end."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._tasks: set[asyncio.Task] = set()

    def begin(self, work: Coroutine) -> asyncio.Task:
        """Run `work` on the loop that this is called on."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel(self) -> None:
        """End what still runs; called on the loop."""
        for task in self._tasks:
            task.cancel()


async def answer_of(future: Future) -> object:
    """What a task answers; one that has answered already costs no turn of the loop."""
    if future.done():
        return future.result()
    return await asyncio.wrap_future(future)
