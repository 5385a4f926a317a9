"""Whether engines stay within the promised bound while others are avoided though they live.

A hunted day at another site: a third of the engines lost answers, boxes avoided these as
suspects, and in five seconds 39 of 603 calls reached engines above twice the mean and
three.  In order: engines fail some calls and go on with the rest; boxes avoid them; they
empty and are engines of their service all the while; boxes take their bound of the mean of
the others.  The cause is that of engines that leave: what a box may place and what is
promised are counted over different engines.

What proved it: the same day with all logs.  Six of ten engines counted for the believed mean,
12.2 where 7.9 was true; calls were placed at engines of 19 to 21 for a bound of 20.
"""

import testtools

from .utils.delayed_fleet import DelayedFleet, Delays, Traffic

BOXES = 8
ENGINES = 9
AVOIDED = 4
CALLS_PER_SECOND = 118.0
SETTLED_SECONDS = 4.0
STEP_SECONDS = 0.5
STEPS = 12


def play(seed: int, engines: int = ENGINES, avoided: int = AVOIDED) -> DelayedFleet:
    """A fleet of which every box finds the same engines to fail, again and again."""
    rate = CALLS_PER_SECOND * engines / ENGINES
    traffic = Traffic(calls_per_second=rate, chats=500, call_seconds=0.8)
    fleet = DelayedFleet(BOXES, engines, Delays(), traffic, seed)
    fleet.run(SETTLED_SECONDS)
    for _ in range(STEPS):
        for box in fleet.boxes.values():
            for engine in fleet.engines[:avoided]:
                box.router.engines.eject(engine.name, fleet.now)
        fleet.run(STEP_SECONDS)
    return fleet


class TestBoundWhileEnginesAreAvoided(testtools.TestCase):
    def test_the_others_stay_within_the_promise(self):
        for seed in (1, 2):
            fleet = play(seed)
            self.assertEqual(0, fleet.broken_windows(SETTLED_SECONDS), seed)
            self.assertEqual(0, fleet.refused)

    def test_so_they_do_where_most_fail_a_little(self):
        for engines, avoided in ((9, 6), (18, 9)):
            fleet = play(1, engines, avoided)
            self.assertEqual(0, fleet.broken_windows(SETTLED_SECONDS), avoided)
