"""Pulls from peers, when a box starts, what it spent of its retry budgets before."""

import asyncio
import random
from collections.abc import Callable, Iterable

from seamhold_messages.work import BoxRetries, RetryCount
from seamhold_peers import PeerClient
from seamhold_peers.client import PEER_ERRORS

from .logs import logger
from .metrics import Metrics

#: Peers that are queried: one that has restarted itself in the meantime knows nothing.
PEERS_MAX = 4


class RetriesPull:
    """Queries some peers once; used on the loop of the peer connections only.

    `restore` takes what was spent, and its age in seconds.
    """

    def __init__(
        self,
        box: str,
        incarnation: str,
        restore: Callable[[Iterable[RetryCount], float], None],
        metrics: Metrics,
        rng: random.Random,
    ):
        self._box = box
        self._incarnation = incarnation
        self._restore = restore
        self._metrics = metrics
        self._rng = rng
        self._log = logger('retries')
        self._done = False

    async def query_peers(self, clients: dict[str, PeerClient]) -> None:
        """Query some peers, unless that has been done, and restore the newest reply."""
        if self._done or not clients:
            return
        self._done = True
        chosen = self._rng.sample([*clients.values()], min(PEERS_MAX, len(clients)))
        replies = await asyncio.gather(*map(self._query, chosen))
        known = [reply for reply in replies if reply.counts]
        if known:
            newest = min(known, key=lambda reply: reply.age)
            self._metrics.count('retries.restored')
            self._log.info(
                'retries.restored',
                retries=sum(count.retries for count in newest.counts),
                first_attempts=sum(count.first_attempts for count in newest.counts),
                age=round(newest.age, 3),
            )
            self._restore(newest.counts, newest.age)

    async def _query(self, client: PeerClient) -> BoxRetries:
        try:
            return await client.pull_retries(self._box, self._incarnation)
        except PEER_ERRORS:
            self._metrics.count('retries.pull_failed')
            return BoxRetries()
