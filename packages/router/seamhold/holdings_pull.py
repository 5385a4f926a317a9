"""How a box that starts learns from its peers which engines hold which chats."""

import random
import threading
from collections.abc import Callable

from seamhold_membership import Digest
from seamhold_peers import FleetLists, PeerClient
from seamhold_peers.client import PEER_ERRORS

from .decider import Decider
from .decisions import HearHoldings
from .metrics import Metrics

#: Peers that are asked at a look, and in all, until one knows all.  Each answer
#: brings the lists as well, 3.5 KB at 103 boxes and 112 engines; where half of the
#: boxes started anew, none of nine knows all once in 500 times.
PEERS_AT_ONCE = 3
PEERS_MAX = 9
#: How long after its start a box takes what engines told its peers, in seconds:
#: boxes that lose power together are back within some seconds of each other.
START_SECONDS = 10.0


class HoldingsPull:
    """Asks peers once for all they know, and later for what engines told them.

    After all boxes have started anew nobody knows anything; each then asks some
    of the engines, and the others ask it.  By the messages that carry news
    alone it took two seconds to tell 240 holdings, and 0.02 of a day's worth in
    prompts that were read again (a day of 9 engines whose 7 boxes all lose power).

    `done` is set when peers were first asked; `told` tells whether one of these
    knew all.  It belongs to the loop of the peers' connections.
    """

    def __init__(
        self,
        decider: Decider,
        metrics: Metrics,
        chance: random.Random,
        clock: Callable[[], float],
    ):
        self._decider = decider
        self._metrics = metrics
        self._chance = chance
        self._clock = clock
        self._ends = clock() + START_SECONDS
        #: The addresses of the peers that were asked for all they know.
        self._asked: set[str] = set()
        #: The last count that each peer was asked for, by box and incarnation.
        self._pulled: dict[tuple[str, str], int] = {}
        self.done = threading.Event()
        self.told = False

    async def ask_peers(
        self,
        clients: dict[str, PeerClient],
        take_lists: Callable[[FleetLists], None],
    ) -> None:
        """Ask some peers for what they know, until one knows all."""
        if self.complete or not clients:
            return
        unasked = [client for client in clients.values() if client.address not in self._asked]
        most = min(PEERS_AT_ONCE, PEERS_MAX - len(self._asked), len(unasked))
        for client in self._chance.sample(unasked, most):
            self._asked.add(client.address)
            if await self._ask(client, take_lists):
                self.told = True
                break
        self.done.set()

    async def _ask(self, client: PeerClient, take_lists: Callable[[FleetLists], None]) -> bool:
        try:
            lists = await client.pull_lists(holdings=True)
        except PEER_ERRORS:
            self._metrics.count('lists.pull_failed')
            return False
        take_lists(lists)
        if lists.held:
            self._decider.send(HearHoldings(lists.held))
        return lists.held_complete

    @property
    def complete(self) -> bool:
        """Whether this box knows all: one that does told it, or it runs for long."""
        return self.told or self._clock() > self._ends

    def wants(self, digest: Digest) -> bool:
        """Whether engines told a peer something that this box should ask it for."""
        if not digest.learned or self.complete:
            return False
        return self._pulled.get((digest.box, digest.incarnation), 0) < digest.learned

    async def pull(self, client: PeerClient, digest: Digest) -> None:
        """Take what engines told the peer that sent `digest`."""
        sender = (digest.box, digest.incarnation)
        before = self._pulled.get(sender, 0)
        self._pulled[sender] = digest.learned
        try:
            held = await client.pull_learned()
        except PEER_ERRORS:
            self._metrics.count('holdings.pull_failed')
            self._pulled[sender] = before
            return
        self._metrics.count('holdings.pulled', len(held))
        self._decider.send(HearHoldings(held))
