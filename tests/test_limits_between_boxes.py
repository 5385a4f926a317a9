"""A workspace's limit over boxes that exchange encoded digests.

Guards against a message that is acknowledged although a part of it was not applied: 7 and 8
calls ran at a limit of 6, on one fleet start in six. For half a second after its start a box
did not know the workspace's name, dropped the usage that two peers reported for it and
acknowledged their digests. Each peer then used a share that the box had not left to it, while
the box took two thirds of the limit for itself.
"""

import testtools

from seamhold_messages.errors import WorkspaceLimit
from seamhold_messages.fleet import Box
from seamhold_messages.work import Work
from seamhold_peers import DigestReader, EncodedDigest, NameTable
from seamhold_routing import Router, Versions
from seamhold_settings import FleetSpec, Tree
from seamhold_settings.schema import Limits, WorkspaceSpec

ONE = Work(1, 100)
LIMIT = 6
NAMES = ('box-1', 'box-2', 'box-3')
BOXES = [Box(name, f'{name}:1') for name in NAMES]
TREE = Tree(FleetSpec(), {'rush': WorkspaceSpec(limits=Limits(requests_in_flight=LIMIT))})


class GossipRouter:
    """A router that decodes its peers' digests from bytes; its reader knows no names yet."""

    def __init__(self, name: str, boxes: list[Box] = BOXES):
        self.name = name
        self.router = Router(name, f'{name}-start')
        self.router.use_settings(TREE)
        self.router.set_boxes(boxes, 0.0)
        self.reader = DigestReader(NameTable())
        self.running = 0

    def send_digests(self, *peers: 'GossipRouter', now: float) -> None:
        """Send each peer the state that it has not acknowledged."""
        names = [peer.name for peer in peers]
        digests = self.router.digests_for(names, Versions(), now)
        for peer, digest in zip(peers, digests, strict=True):
            received = peer.reader.read(EncodedDigest(digest).data)
            peer.router.receive_digest(received, now)

    def request_call(self, now: float) -> None:
        """Start one more call of the workspace if it is admitted."""
        try:
            self.router.limits.admit('rush', ONE, now)
        except WorkspaceLimit:
            return
        self.running += 1


class TestLimitsBetweenBoxes(testtools.TestCase):
    def test_usage_counts_before_the_box_knows_the_workspace_name(self):
        first, second, third = (GossipRouter(name) for name in NAMES)
        for box, others in (
            (first, (second, third)),
            (second, (first, third)),
            (third, (first, second)),
        ):
            box.send_digests(*others, now=0.0)
        for box in (first, second, third, first, second):
            box.request_call(0.1)
        second.send_digests(first, third, now=0.2)
        third.send_digests(first, second, now=0.25)
        first.send_digests(second, third, now=0.3)
        for now in (0.35, 0.4, 0.45):
            second.request_call(now)
            third.request_call(now)
            first.request_call(now)
        self.assertLessEqual(first.running + second.running + third.running, LIMIT)

    def test_usage_received_before_a_box_was_listed_counts_once_it_is_listed(self):
        # It was dropped, because only listed boxes have shares, but acknowledged after the box
        # was listed.
        first = GossipRouter('box-1', BOXES[:1])
        second = GossipRouter('box-2', BOXES[:2])
        for _ in range(LIMIT):
            second.request_call(0.0)
        second.send_digests(first, now=0.1)
        first.router.tick(0.2)
        first.router.set_boxes(BOXES[:2], 0.3)
        first.send_digests(second, now=0.4)
        for _ in range(LIMIT):
            second.request_call(0.5)
            first.request_call(0.5)
        self.assertLessEqual(first.running + second.running, LIMIT)

    def test_remaining_calls_of_a_leaving_box_count(self):
        # Its share went to the others at once, while its calls were still running.
        first, second, third = fleet = [GossipRouter(name) for name in NAMES]
        self.play(fleet, fleet, range(20))
        self.assertGreater(third.running, 0)
        third.router.leave()
        self.play(fleet, [first, second], range(20, 60))
        self.assertEqual(LIMIT, first.running + second.running + third.running)
        for _ in range(third.running):
            third.router.limits.release('rush', ONE)
        self.play(fleet, [first, second], range(60, 90))
        self.assertEqual(LIMIT, first.running + second.running)

    def play(self, fleet: list[GossipRouter], loaded: list[GossipRouter], tenths: range) -> None:
        """Exchange digests each tenth of a second; each `loaded` box then requests a call."""
        for tenth in tenths:
            for box in fleet:
                box.send_digests(*(peer for peer in fleet if peer is not box), now=tenth / 10)
                box.router.tick(tenth / 10)
                if box in loaded:
                    box.request_call(tenth / 10)
