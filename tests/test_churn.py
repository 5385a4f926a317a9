"""Chats are seldom read again while engines that hold them serve, also as engines are replaced.

The load is the first seconds of a fleet, in which more chats are read for the first time than
boxes can report to each other, followed by a release that changes which engines rank first.
"""

import testtools
from msgspec.structs import replace

from seamhold_messages.fleet import Engine
from seamhold_messages.work import Call, Work
from seamhold_routing import Router

from .utils.gossip_fleet import GossipFleet

BOXES = 40
ENGINES = 30
CHATS = 1500
REPLACED = 8
BYTES_PER_SECOND = 4096
CALLS_PER_SECOND = 8.0
#: Maximum share of calls that may read a chat again although an engine that serves holds it.
#: Fetching from the second rank gives 0.007 and 0.006; without it, 0.023 and 0.022.
READ_AGAIN_MAX = 0.012


class TestChurn(testtools.TestCase):
    def share(self, fleet: GossipFleet) -> float:
        """Return the share of the calls since the last call that read a chat again."""
        share = fleet.read_again / fleet.placed
        fleet.read_again = fleet.placed = 0
        return share

    def test_little_is_read_again_in_the_first_seconds_and_in_a_release(self):
        fleet = GossipFleet(BOXES, ENGINES, BYTES_PER_SECOND, engines_report=True, chats=CHATS)
        fleet.run(6.0, CALLS_PER_SECOND)
        first = self.share(fleet)
        for number in range(REPLACED):
            fleet.replace_engine(number)
            fleet.run(1.0, CALLS_PER_SECOND)
        self.assertLess(first, READ_AGAIN_MAX)
        self.assertLess(self.share(fleet), READ_AGAIN_MAX)

    def test_where_no_holder_is_known_the_second_in_rank_is_fetched_from(self):
        router = Router('box', 'x')
        engines = [
            Engine(f'e{number}', 'llm', f'e{number}:80', incarnation='1') for number in range(4)
        ]
        router.set_engines(engines, 0.0)
        call = Call('c1', 'w', 'llm', 'chat', Work(1, 1), 9.0)
        (first,) = router.admit(call, 0.0)
        (second,) = router.admit(replace(call, id='c2', excluded=frozenset({first.engine})), 0.0)
        other = Router('other', 'x')
        other.set_engines(engines, 0.0)
        (placed,) = other.admit(call, 0.0)
        self.assertEqual((first.engine, second.engine), (placed.engine, placed.fetch_engine))
