"""Whether engines stay within the promised bound while what boxes know of them is late.

Users of eight boxes saw engines get 20 calls and more, over 3 in 100, above twice the
mean and three.  One prompt was asked for by many callers at once; each box placed its
calls at the engine that held it until the load it knew of reached the bound, and none
knew what the seven others had placed there since.  In order: the engine tells its load,
eight boxes learn it some tenths of a second later, all see the same room left and all
fill it.  The cause: a decision did not count how old its knowledge was.

What proved it: routers alone, each delay set by itself.  The calls that met an engine
above the promise, in 8 s of 235 calls a second, 28 in 100 of them of one prompt: none in
a window where nothing took time; 54 in 1,000 where an engine's figure is 0.1 s old, 157
with 0.1 s more on each way; none in either without a hot prompt.
"""

import testtools
from msgspec.structs import replace

from .utils.delayed_fleet import DelayedFleet, Delays, Traffic

BOXES = 8
ENGINES = 18
#: Until then boxes learn who holds what.
SETTLED_SECONDS = 4.0
SECONDS = 12.0
#: Processes that wait for the processor: 0.1 s for each step between boxes and engines.
SLOW = Delays(arrival=0.1, head=0.1, end=0.1, digest=0.05)


def broken_windows(delays: Delays, traffic: Traffic, deaf_seconds: float = 0.0) -> int:
    """Windows in which the promise was broken, of a run of two seeds."""
    broken = 0
    for seed in (1, 2):
        fleet = DelayedFleet(BOXES, ENGINES, delays, traffic, seed)
        fleet.run(SETTLED_SECONDS)
        fleet.deaf_until = fleet.now + deaf_seconds
        fleet.run(SECONDS - SETTLED_SECONDS)
        broken += fleet.broken_windows(SETTLED_SECONDS)
    return broken


class TestBoundUnderDelay(testtools.TestCase):
    def test_engines_stay_within_the_promise_while_a_prompt_is_hot(self):
        self.assertEqual(0, broken_windows(Delays(), Traffic(hot_share=0.28)))

    def test_and_while_processes_wait_for_the_processor(self):
        self.assertEqual(0, broken_windows(SLOW, Traffic(hot_share=0.28)))

    def test_and_while_no_box_hears_another(self):
        self.assertEqual(0, broken_windows(Delays(), Traffic(hot_share=0.28), deaf_seconds=3.0))

    def test_nothing_is_above_without_a_hot_prompt(self):
        self.assertEqual(0, broken_windows(SLOW, Traffic()))

    def test_a_hotter_prompt_and_slow_processes_with_other_luck(self):
        for seed in (3, 4, 5):
            fleet = DelayedFleet(BOXES, ENGINES, SLOW, Traffic(hot_share=0.4), seed)
            fleet.run(SECONDS)
            self.assertEqual(0, fleet.broken_windows(SETTLED_SECONDS), seed)
            self.assertEqual(0, fleet.refused)

    def test_many_boxes_before_engines_of_few_slots(self):
        """A prompt that is a tenth of all calls: 45 of 400 a second, 56 engines."""
        traffic = Traffic(calls_per_second=400.0, hot_share=0.1, call_seconds=0.8)
        fleet = DelayedFleet(65, 56, Delays(), traffic, slots=12)
        fleet.run(7.0)
        self.assertEqual(0, fleet.broken_windows())
        self.assertEqual(0, fleet.refused)

    def test_many_boxes_while_nearly_all_slots_are_taken(self):
        """Twice the usual calls: 780 a second, where 56 engines of 12 slots bear 840."""
        usual = Traffic(calls_per_second=350.0, hot_share=0.12, call_seconds=0.8)
        fleet = DelayedFleet(65, 56, Delays(), usual, slots=12)
        fleet.run(3.0)
        fleet.traffic = replace(usual, calls_per_second=780.0)
        fleet.run(4.0)
        fleet.traffic = usual
        fleet.run(2.0)
        self.assertEqual(0, fleet.broken_windows())
