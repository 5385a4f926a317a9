"""What boxes know of each other's load when digests must carry much else."""

import testtools

from .utils.gossip_fleet import GossipFleet

BOXES = 40
ENGINES = 24
#: The bytes per peer are the same as with 8 KB/s and 80 boxes.
BYTES_PER_SECOND = 4096
CALLS_PER_SECOND = 6.0
#: Time after which a silent box's state is dropped.
SILENT_SECONDS = 4.0


class TestControlOverload(testtools.TestCase):
    def test_boxes_know_most_of_the_load_without_faults(self):
        fleet = GossipFleet(BOXES, ENGINES, BYTES_PER_SECOND)
        fleet.run(4.0, CALLS_PER_SECOND)
        self.assertGreater(fleet.estimated_share(), 0.85)

    def test_boxes_know_the_load_again_soon_after_a_network_partition(self):
        fleet = GossipFleet(BOXES, ENGINES, BYTES_PER_SECOND)
        fleet.run(2.0, CALLS_PER_SECOND)
        fleet.cut = {f'box-{number}' for number in range(BOXES // 3)}
        fleet.dead = {engine.name for engine in fleet.engines[: ENGINES // 4]}
        fleet.run(SILENT_SECONDS + 2.0, CALLS_PER_SECOND)
        fleet.cut = fleet.dead = set()
        fleet.run(2.0, CALLS_PER_SECOND)
        self.assertGreater(fleet.estimated_share(), 0.85)
