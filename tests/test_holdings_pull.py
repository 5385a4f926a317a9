"""Tests how a starting box pulls holdings from its peers."""

import asyncio
import random
from typing import Any

import testtools

from seamhold.holdings_pull import PEERS_AT_ONCE, PEERS_MAX, START_SECONDS, HoldingsPull
from seamhold.metrics import Metrics
from seamhold_membership import Digest
from seamhold_messages.work import Holding
from seamhold_peers import FleetLists


class Peer:
    """A peer with complete or partial holdings, or one that is unreachable."""

    def __init__(self, address: str, complete: bool = False, reached: bool = True):
        self.address = address
        self.queries = 0
        self._complete = complete
        self._reached = reached

    async def pull_lists(self, holdings: bool) -> FleetLists:
        self.queries += 1
        await asyncio.sleep(0)
        if not self._reached:
            raise ConnectionRefusedError
        return FleetLists([], [], 1, 1, (Holding(1, 'e1'),), self._complete)


class FakeDecider:
    """Records the messages that it is sent."""

    def __init__(self):
        self.messages = []

    def send(self, message) -> None:
        self.messages.append(message)


class TestHoldingsPull(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.decider = FakeDecider()
        self.pull = HoldingsPull(self.decider, Metrics(), random.Random(1), lambda: self.now)

    def query_peers(self, peers: list[Peer], times: int = 1) -> int:
        """Query the peers in `times` rounds; returns the number of queries in all."""
        clients = {peer.address: peer for peer in peers}
        for _ in range(times):
            asyncio.run(self.pull.query_peers(clients, lambda lists: None))
        return sum(peer.queries for peer in peers)

    def test_each_peer_is_queried_once_and_at_most_peers_max(self):
        peers = [Peer(str(number)) for number in range(100)]
        self.assertEqual(PEERS_AT_ONCE, self.query_peers(peers))
        self.assertEqual(PEERS_MAX, self.query_peers(peers, times=20))
        self.assertEqual(1, max(peer.queries for peer in peers))
        self.assertFalse(self.pull.received_all)

    def test_updates_of_the_roster_that_overlap_query_no_more_peers(self):
        peers = [Peer(str(number)) for number in range(100)]
        clients: Any = {peer.address: peer for peer in peers}

        async def overlap():
            queries = [self.pull.query_peers(clients, lambda lists: None) for _ in range(8)]
            await asyncio.gather(*queries)
            await self.pull.query_peers(clients, lambda lists: None)

        asyncio.run(overlap())
        self.assertEqual(PEERS_MAX, sum(peer.queries for peer in peers))
        self.assertEqual(1, max(peer.queries for peer in peers))

    def test_complete_answer_ends_the_queries(self):
        self.assertEqual(
            1, self.query_peers([Peer('a', complete=True), Peer('b', complete=True)], 5)
        )
        self.assertTrue(self.pull.complete)
        self.assertFalse(self.pull.should_pull(Digest('c', '1', learned=5)))

    def test_unreachable_peers_are_skipped(self):
        peers = [Peer(str(number), reached=False) for number in range(4)]
        self.query_peers([*peers, Peer('last', complete=True)], times=2)
        self.assertTrue(self.pull.received_all)

    def test_reports_of_engines_are_pulled_for_a_limited_time(self):
        self.query_peers([Peer('a')])
        self.assertTrue(self.pull.should_pull(Digest('a', '1', learned=5)))
        self.assertFalse(self.pull.should_pull(Digest('a', '1')))
        self.now = START_SECONDS + 1
        self.assertFalse(self.pull.should_pull(Digest('a', '1', learned=5)))
        self.assertTrue(self.pull.complete)
