"""Whether engines stay within the promised bound while others come and leave as planned.

Users of eight boxes saw engines get 20 calls and more, over 3 in 100, above twice the mean
and three, on most of their runs, with no engine or box at fault.  In order: operators
replace some engines and take others away; each that leaves ends its calls, gets no more,
and is still an engine of its service; the mean of all falls, while boxes go on taking
their bound of the mean of those that may get work.  The cause: what a box may place and
what is promised were counted over different engines.

What proved it: real processes on the same seed with and without planned work (0 to 6
calls above in five seconds without, 12 to 77 with), where the believed mean was above the
true one by as much as engines were leaving (9.4 for 12.5 with two of eleven); and routers
alone, without a hot prompt and with nothing late: 64 of 597 and 71 of 642 calls above.
"""

import random

import testtools

from .utils.delayed_fleet import DelayedFleet, Delays, Traffic

BOXES = 8
ENGINES = 9
SETTLED_SECONDS = 4.0
#: Engines that come and then leave at once, and those that are replaced in turn, of all.
SCALED_SHARE = 0.2
REPLACED_SHARE = 0.33
REPLACE_SECONDS = 0.8
#: Processes that wait for the processor.
SLOW = Delays(arrival=0.05, head=0.1, end=0.1, digest=0.05)


def play(delays: Delays, traffic: Traffic, seed: int, engines: int = ENGINES) -> DelayedFleet:
    """A fleet whose engines come, leave and are replaced, twice."""
    fleet = DelayedFleet(BOXES, engines, delays, traffic, seed)
    chance = random.Random(seed)
    scaled, replaced = round(SCALED_SHARE * engines), round(REPLACED_SHARE * engines)
    fleet.run(SETTLED_SECONDS)
    for _ in range(2):
        for _ in range(scaled):
            fleet.add_engine()
            fleet.run(0.5)
        fleet.run(1.0)
        for engine in chance.sample(fleet.ready_engines, scaled):
            fleet.drain_engine(engine)
        for _ in range(replaced):
            fleet.add_engine()
            fleet.drain_engine(chance.choice(fleet.ready_engines))
            fleet.run(REPLACE_SECONDS)
        fleet.run(3.0)
    return fleet


class TestBoundWhileEnginesLeave(testtools.TestCase):
    def assert_within(self, traffic: Traffic, delays: Delays | None = None, engines: int = ENGINES):
        """No window above the promise in plays of two seeds."""
        for seed in (1, 2):
            fleet = play(delays or Delays(), traffic, seed, engines)
            self.assertEqual(0, fleet.broken_windows(SETTLED_SECONDS), seed)
            self.assertEqual(0, fleet.refused)

    def test_with_no_hot_prompt_and_nothing_late(self):
        self.assert_within(Traffic(calls_per_second=118.0, chats=500, call_seconds=0.8))

    def test_while_a_prompt_is_hot_and_processes_wait_for_the_processor(self):
        traffic = Traffic(calls_per_second=118.0, chats=500, call_seconds=1.6, hot_share=0.1)
        self.assert_within(traffic, SLOW)

    def test_with_twice_as_many_engines(self):
        traffic = Traffic(calls_per_second=235.0, chats=500, hot_share=0.1)
        self.assert_within(traffic, engines=18)
