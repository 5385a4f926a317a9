"""Engines stay within the guaranteed bound with many boxes that wait for CPU time.

Known to fail: 87 boxes place 350 calls per second at 56 engines, 28 percent of them for one
prompt, with 0.05 to 0.1 s of delay each way. No engine leaves and none is avoided, yet 69 of
1,725 calls in five seconds reach an engine above twice the mean plus three. Without delay it is
6 of 1,811, and without the hot prompt none. The loads that boxes assume are 0.6 s old, and one
in twenty is wrong by 9 calls or more.

Attempts that did not fix it, on seeds 1 and 2: 69 and 135 calls exceed the bound as it is, 71
and 94 with a mean that excludes work that peers may have started, and 77 and 85 with a quarter
of that work. With 40 boxes and 26 engines, 18 and 19 become 3 and 7, but calls move away from the
engine that holds their prompt.
"""

import testtools

from .utils.delayed_fleet import DelayedFleet, Delays, Traffic

#: Delays of processes that wait for CPU time.
SLOW = Delays(arrival=0.05, head=0.1, end=0.1, digest=0.05)
SETTLED_SECONDS = 4.0
SECONDS = 9.0


class TestManyBoxes(testtools.TestCase):
    def test_while_a_prompt_is_hot_and_processes_wait_for_the_processor(self):
        traffic = Traffic(calls_per_second=350.0, call_seconds=1.2, hot_share=0.28)
        fleet = DelayedFleet(87, 56, SLOW, traffic, slots=12)
        fleet.run(SECONDS)
        self.assertEqual(0, fleet.violated_windows(SETTLED_SECONDS))
