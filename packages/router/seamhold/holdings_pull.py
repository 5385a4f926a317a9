"""Pulls from peers, when a box starts, which engines hold which chats."""

import random
import threading
from collections.abc import Callable

from seamhold_membership import Digest
from seamhold_peers import FleetLists, PeerClient
from seamhold_peers.client import PEER_ERRORS

from .decider import Decider
from .decisions import ReceiveHoldings
from .metrics import Metrics

#: Peers queried per roster update, until one has the complete holdings.  Each answer
#: includes the lists, 3.5 KB at 103 boxes and 112 engines.
PEERS_AT_ONCE = 3
#: Peers queried in all.  Where half of the boxes have restarted, the chance that none of
#: nine has the complete holdings is 1 in 500.
PEERS_MAX = 9
#: Seconds after its start in which a box pulls what engines reported to its peers:
#: boxes that lose power together are back within some seconds of each other.
START_SECONDS = 10.0


class HoldingsPull:
    """Queries peers, each once, for all their holdings, and later for what engines reported.

    After all boxes have restarted no box has any holdings: each then queries some of the
    engines, and the other boxes query it.  By digests alone it took two seconds to spread
    240 holdings; prompts that engines processed again in that time cost 0.02 of the day's
    value, on a day of 9 engines whose 7 boxes all lose power.

    `first_query_done` is set after the first queries; `received_all` is whether a queried peer
    had the complete holdings.  Used on the loop of the peer connections only.
    """

    def __init__(
        self,
        decider: Decider,
        metrics: Metrics,
        rng: random.Random,
        clock: Callable[[], float],
    ):
        self._decider = decider
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._deadline = clock() + START_SECONDS
        #: Addresses of the peers that were queried for all their holdings.
        self._queried: set[str] = set()
        #: The `learned` count of each peer's last pull, by box and incarnation.
        self._pulled_counts: dict[tuple[str, str], int] = {}
        self.first_query_done = threading.Event()
        self.received_all = False

    async def query_peers(
        self,
        clients: dict[str, PeerClient],
        apply_lists: Callable[[FleetLists], None],
    ) -> None:
        """Query some more peers for their holdings, unless this box has all."""
        if self.complete or not clients:
            return
        unqueried = [client for client in clients.values() if client.address not in self._queried]
        limit = min(PEERS_AT_ONCE, PEERS_MAX - len(self._queried), len(unqueried))
        chosen = self._rng.sample(unqueried, limit)
        # Another update of the roster may run during the queries.
        self._queried.update(client.address for client in chosen)
        for client in chosen:
            if await self._query(client, apply_lists):
                self.received_all = True
                break
        self.first_query_done.set()

    async def _query(self, client: PeerClient, apply_lists: Callable[[FleetLists], None]) -> bool:
        try:
            lists = await client.pull_lists(holdings=True)
        except PEER_ERRORS:
            self._metrics.count('lists.pull_failed')
            return False
        apply_lists(lists)
        if lists.held:
            self._decider.send(ReceiveHoldings(lists.held))
        return lists.held_complete

    @property
    def complete(self) -> bool:
        """Whether a peer sent the complete holdings, or START_SECONDS have passed."""
        return self.received_all or self._clock() > self._deadline

    def should_pull(self, digest: Digest) -> bool:
        """Whether engines reported holdings to a peer that this box should pull."""
        if not digest.learned or self.complete:
            return False
        return self._pulled_counts.get((digest.box, digest.incarnation), 0) < digest.learned

    async def pull(self, client: PeerClient, digest: Digest) -> None:
        """Pull what engines reported to the peer that sent `digest`."""
        sender = (digest.box, digest.incarnation)
        before = self._pulled_counts.get(sender, 0)
        self._pulled_counts[sender] = digest.learned
        try:
            holdings = await client.pull_learned()
        except PEER_ERRORS:
            self._metrics.count('holdings.pull_failed')
            self._pulled_counts[sender] = before
            return
        self._metrics.count('holdings.pulled', len(holdings))
        self._decider.send(ReceiveHoldings(holdings))
