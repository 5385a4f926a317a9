"""State and placement of more than a hundred boxes, on a simulated clock.

The load is that of a deployment of 195 boxes before 37 engines, scaled down for a test: 1.6
calls a second on each box, half a second each, about four at a time on an engine.
"""

import testtools

from .utils.gossip_fleet import GossipFleet

BOXES = 120
ENGINES = 24
CHATS = 400
BYTES_PER_SECOND = 8192
CALLS_PER_SECOND = 1.6
#: Maximum share of the calls in five calm seconds that may be placed at an engine above the
#: load guarantee, which is twice the mean plus three.
ABOVE_MAX = 0.03
#: Maximum error of the estimated mean load, in calls.  An engine reports its load when it
#: begins to answer a call, and that call is one more than others find there.
SEEN_MORE = 1.5


class TestHundreds(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = GossipFleet(BOXES, ENGINES, BYTES_PER_SECOND, engines_report=True, chats=CHATS)
        self.fleet.run(2.0, CALLS_PER_SECOND)

    def above_share(self, seconds: float, calls_per_second: float = CALLS_PER_SECOND) -> float:
        """Return the share of the next calls placed at an engine above the load guarantee."""
        self.fleet.placed = self.fleet.above = 0
        self.fleet.run(seconds, calls_per_second)
        return self.fleet.above / self.fleet.placed

    def known_of_held(self) -> float:
        """Return the mean share of all held chats that a box knows a holder of."""
        held = known = 0
        routers = [box.router for box in self.fleet.boxes.values()]
        for number in range(CHATS):
            holders = [
                router.holders.engines_holding(f'chat-{number}', self.fleet.now)
                for router in routers
            ]
            held += any(holders)
            known += sum(map(bool, holders)) / len(holders)
        return known / held

    def test_boxes_that_receive_from_few_others_know_the_load_and_the_holders(self):
        self.fleet.bytes_sent = 0
        self.assertLess(self.above_share(3.0), ABOVE_MAX)
        # The budget can accumulate one second's bytes.
        allowed = BYTES_PER_SECOND * (3.0 + 1.0) / 3.0
        self.assertLessEqual(self.fleet.bytes_sent / BOXES / 3.0, allowed)
        difference = abs(self.fleet.estimated_share() - 1) * self.fleet.mean_load()
        self.assertLess(difference, SEEN_MORE)
        self.assertGreater(self.known_of_held(), 0.9)

    def test_calls_stay_within_the_guarantee_in_a_surge_and_a_partition(self):
        self.assertLess(self.above_share(3.0, 1.7 * CALLS_PER_SECOND), ABOVE_MAX)
        self.fleet.cut = {f'box-{number}' for number in range(BOXES // 3)}
        self.assertLess(self.above_share(4.0), ABOVE_MAX)

    def test_calls_stay_within_the_guarantee_when_engines_are_gone_and_boxes_restart(self):
        self.fleet.dead = {engine.name for engine in self.fleet.engines[: ENGINES // 4]}
        self.fleet.run(1.0, CALLS_PER_SECOND)
        self.assertLess(self.above_share(2.0), ABOVE_MAX)
        self.fleet.restart()
        self.fleet.run(1.0, CALLS_PER_SECOND)
        self.assertLess(self.above_share(2.0), ABOVE_MAX)
