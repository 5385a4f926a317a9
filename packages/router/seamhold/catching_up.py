"""Lets a box that was held up hear what others met, before it runs anything.

A process that was stopped, or whose machine was suspended, goes on with its requests before it
has read what its peers told it meanwhile.
"""

import asyncio
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future, wait

from seamhold_peers import PeerClient

from .background import BackgroundWork
from .metrics import Metrics
from .peer_pulls import PeerPulls

#: A box that has not looked around for so long was held up, in seconds.
HELD_UP_SECONDS = 1.0
#: How long one that was held up waits for what peers know of requests that end engines.
#: Its callers have waited longer already; where all peers are away it costs them this once.
CATCH_UP_SECONDS = 0.5


class CatchingUp:
    """Belongs to the loop of the peers' connections, but for `wait`.

    `clients` gives the connections to neighbours, `clock` seconds that count suspensions.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pulls: PeerPulls,
        clients: Callable[[], Iterable[PeerClient]],
        clock: Callable[[], float],
        metrics: Metrics,
    ):
        self._loop = loop
        self._beside = BackgroundWork(loop)
        self._pulls = pulls
        self._clients = clients
        self._clock = clock
        self._metrics = metrics
        #: When this box last looked around and knew what its peers do.
        self._up_at = clock()
        self._turn = threading.Lock()
        self._running: Future | None = None
        #: The look for which a call has waited without an answer.
        self._in_vain: Future | None = None

    def wait(self) -> None:
        """Let a box that was held up hear its peers first; called on request threads."""
        if not self._was_held_up():
            return
        with self._turn:
            if self._running is None or self._running.done():
                self._running = asyncio.run_coroutine_threadsafe(self.look(), self._loop)
            running = self._running
        if running is not self._in_vain and not wait((running,), CATCH_UP_SECONDS).done:
            # The loop itself is held up: no other call waits for the same.
            self._in_vain = running

    async def look(self) -> None:
        """Ask all neighbours if this box was held up, and go on with the first answer."""
        if self._was_held_up():
            try:
                async with asyncio.timeout(CATCH_UP_SECONDS):
                    await self._first_answer()
            except TimeoutError:
                self._metrics.count('cases.catch_up_failed')
        self._up_at = self._clock()

    def cancel(self) -> None:
        """End what still runs; called on the loop."""
        self._beside.cancel()

    def _was_held_up(self) -> bool:
        return self._clock() - self._up_at > HELD_UP_SECONDS

    async def _first_answer(self) -> None:
        pulls = [self._pulls.cases_from(client) for client in self._clients()]
        for answer in asyncio.as_completed([self._beside.begin(pull) for pull in pulls]):
            if await answer:
                return
