"""Lets a box that was stalled catch up with its peers before it runs any request.

A process that was stopped, or whose machine was suspended, would otherwise continue its requests
before it has read what its peers sent in the meantime.
"""

import asyncio
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future, wait

from seamhold_peers import PeerClient

from .background import BackgroundTasks
from .metrics import Metrics
from .peer_pulls import PeerPulls

#: A box that has not caught up for longer than this many seconds was stalled.
STALL_SECONDS = 1.0
#: Seconds that a stalled box waits for its peers' list of requests that end engines.  Its
#: callers have waited longer already; where no peer is reachable it costs them this once.
CATCH_UP_SECONDS = 0.5


class CatchUp:
    """Pulls cases from the neighbours after a stall; all but `wait` runs on the peers' loop.

    `clients` returns the connections to neighbours.  `clock` returns seconds, including those
    in which the machine was suspended.
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
        self._background = BackgroundTasks(loop)
        self._pulls = pulls
        self._clients = clients
        self._clock = clock
        self._metrics = metrics
        #: When this box last caught up with its peers.
        self._caught_up_at = clock()
        self._lock = threading.Lock()
        self._running: Future | None = None
        #: The run that a call has waited for without an answer.
        self._unanswered: Future | None = None

    def wait(self) -> None:
        """Block while a stalled box catches up, at most CATCH_UP_SECONDS; for request threads."""
        if not self._was_stalled():
            return
        with self._lock:
            if self._running is None or self._running.done():
                self._running = asyncio.run_coroutine_threadsafe(self.run(), self._loop)
            running = self._running
        if running is not self._unanswered and not wait((running,), CATCH_UP_SECONDS).done:
            # The loop itself is stalled: no other call waits for the same run.
            self._unanswered = running

    async def run(self) -> None:
        """If this box was stalled, pull from all neighbours and wait for the first answer."""
        if self._was_stalled():
            try:
                async with asyncio.timeout(CATCH_UP_SECONDS):
                    await self._wait_for_first_answer()
            except TimeoutError:
                self._metrics.count('cases.catch_up_failed')
        self._caught_up_at = self._clock()

    def cancel(self) -> None:
        """Cancel the pulls that still run; called on the loop."""
        self._background.cancel()

    def _was_stalled(self) -> bool:
        return self._clock() - self._caught_up_at > STALL_SECONDS

    async def _wait_for_first_answer(self) -> None:
        pulls = [self._pulls.try_pull_cases(client) for client in self._clients()]
        for answer in asyncio.as_completed([self._background.start(pull) for pull in pulls]):
            if await answer:
                return
