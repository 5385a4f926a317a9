"""Engines stay within the guaranteed bound while others are avoided although they are up.

Guards against computing the bound from other engines than the guarantee counts. Engines fail
some calls and boxes avoid them as suspects. They drain but still belong to the service, while
boxes derived the bound from the mean of the remaining engines. When a third of the engines lost
answers, 39 of 603 calls in five seconds reached engines above twice the mean plus three: boxes
computed the mean over six of ten engines, 12.2 instead of 7.9, and sent calls to engines with
19 to 21 at a bound of 20.
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


def run_fleet(seed: int, engines: int = ENGINES, avoided: int = AVOIDED) -> DelayedFleet:
    """Run a fleet in which every box ejects the same engines again and again."""
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
    def test_the_others_stay_within_the_guarantee(self):
        for seed in (1, 2):
            fleet = run_fleet(seed)
            self.assertEqual(0, fleet.violated_windows(SETTLED_SECONDS), seed)
            self.assertEqual(0, fleet.refused)

    def test_the_same_with_half_of_the_engines_or_more_avoided(self):
        for engines, avoided in ((9, 6), (18, 9)):
            fleet = run_fleet(1, engines, avoided)
            self.assertEqual(0, fleet.violated_windows(SETTLED_SECONDS), avoided)
