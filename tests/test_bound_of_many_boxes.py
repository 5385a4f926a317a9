"""Whether engines stay within the promised bound before many boxes that wait for the processor.

Found while half of a service out of use was looked into: 87 boxes that place 350 calls a
second at 56 engines, of which 28 in 100 are of one prompt, and 0.05 to 0.1 s on each way.  No
engine leaves, none is avoided, and yet 69 of 1,725 calls in five seconds meet an engine above
twice the mean and three; with nothing late 6 of 1,811, and without the prompt none.  Beliefs
are 0.6 s old, and off by 9 calls and more for one in twenty.

Not mended.  What was tried, seeds 1 and 2: 69 and 135 as it is; with a mean that leaves out
what peers may have started 71 and 94, and with a quarter of that 77 and 85; of 40 boxes before
26 engines 18 and 19 become 3 and 7, at the price of calls that leave their prompt's engine.
"""

import testtools

from .utils.delayed_fleet import DelayedFleet, Delays, Traffic

#: Processes that wait for the processor.
SLOW = Delays(arrival=0.05, head=0.1, end=0.1, digest=0.05)
SETTLED_SECONDS = 4.0
SECONDS = 9.0


class TestManyBoxes(testtools.TestCase):
    def test_while_a_prompt_is_hot_and_processes_wait_for_the_processor(self):
        traffic = Traffic(calls_per_second=350.0, call_seconds=1.2, hot_share=0.28)
        fleet = DelayedFleet(87, 56, SLOW, traffic, slots=12)
        fleet.run(SECONDS)
        self.assertEqual(0, fleet.broken_windows(SETTLED_SECONDS))
