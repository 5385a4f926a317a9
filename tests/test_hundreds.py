"""What more than a hundred boxes know, and where they place calls, on a hand-set clock.

The load is that of a deployment of 195 boxes before 37 engines, at a size that a test
can play: 1.6 calls a second a box, half a second each, about four on an engine.
"""

import testtools

from .utils.telling_fleet import TellingFleet

BOXES = 120
ENGINES = 24
CHATS = 400
BYTES_PER_SECOND = 8192
CALLS_PER_SECOND = 1.6
#: Of the calls in five calm seconds so large a share may meet an engine above the
#: promise, which is twice the mean and three.
ABOVE_MAX = 0.03
#: An engine tells its load when a call there begins to be answered, and that call is
#: one more than others meet.
SEEN_MORE = 1.5


class TestHundreds(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = TellingFleet(BOXES, ENGINES, BYTES_PER_SECOND, engines_tell=True, chats=CHATS)
        self.fleet.run(2.0, CALLS_PER_SECOND)

    def above_share(self, seconds: float, calls_per_second: float = CALLS_PER_SECOND) -> float:
        """The share of the next calls that meet an engine above the promise."""
        self.fleet.placed = self.fleet.above = 0
        self.fleet.run(seconds, calls_per_second)
        return self.fleet.above / self.fleet.placed

    def known_of_held(self) -> float:
        """Of all that engines hold, how much a box knows on the average."""
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

    def test_boxes_that_hear_few_others_know_the_load_and_the_holders(self):
        self.fleet.bytes_sent = 0
        self.assertLess(self.above_share(3.0), ABOVE_MAX)
        # The budget saves up a second's bytes.
        allowed = BYTES_PER_SECOND * (3.0 + 1.0) / 3.0
        self.assertLessEqual(self.fleet.bytes_sent / BOXES / 3.0, allowed)
        difference = abs(self.fleet.known_share() - 1) * self.fleet.mean_load()
        self.assertLess(difference, SEEN_MORE)
        self.assertGreater(self.known_of_held(), 0.9)

    def test_calls_stay_within_the_promise_in_a_surge_and_a_partition(self):
        self.assertLess(self.above_share(3.0, 1.7 * CALLS_PER_SECOND), ABOVE_MAX)
        self.fleet.cut = {f'box-{number}' for number in range(BOXES // 3)}
        self.assertLess(self.above_share(4.0), ABOVE_MAX)

    def test_calls_stay_within_the_promise_when_engines_are_gone_and_boxes_start_anew(self):
        self.fleet.dead = {engine.name for engine in self.fleet.engines[: ENGINES // 4]}
        self.fleet.run(1.0, CALLS_PER_SECOND)
        self.assertLess(self.above_share(2.0), ABOVE_MAX)
        self.fleet.restart()
        self.fleet.run(1.0, CALLS_PER_SECOND)
        self.assertLess(self.above_share(2.0), ABOVE_MAX)
