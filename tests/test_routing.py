"""Routing on one box: full engines and silent neighbours."""

import testtools

from seamhold_attempts.retry import Outcome
from seamhold_messages.fleet import Box, Engine, Phase
from seamhold_messages.work import Call, Queued, Work
from seamhold_routing import Router, Versions


class TestFullEngine(testtools.TestCase):
    """A box that has no reports yet of what its peers sent to the only engine."""

    def refused(self, phase: Phase = Phase.LIVE) -> tuple[Router, list]:
        """Return a router whose only engine refused a call as full, and its decisions then."""
        router = Router('box', 'x')
        router.set_engines([Engine('e1', 'llm', 'e1:80', incarnation='1', slots=1)], 0.0)
        router.admit(Call('call', 'w', 'llm', 'chat', Work(1, 1), 9.0), 0.0)
        if phase is Phase.LEAVING:
            router.engine_leaving('e1', '1', 0.1)
        router.attempt_ended('call', Outcome.ENGINE_REFUSED, 0.1)
        router.exclude('call', 'e1')
        return router, router.retry_call('call', 0.1, full_engine='e1')

    def test_a_call_waits_for_it_and_is_placed_there_when_it_has_room(self):
        router, decisions = self.refused()
        self.assertEqual([Queued('call')], decisions)
        router.loads.set_peer('other', {'e1': Work(1, 1)})
        self.assertEqual([], router.tick(0.2) + router.tick(1.0))
        router.loads.set_peer('other', {})
        (placed,) = router.tick(1.1)
        self.assertEqual('e1', placed.engine)

    def test_it_is_not_tried_again_at_once_if_no_peer_reported_its_load(self):
        router, _ = self.refused()
        self.assertEqual([], router.tick(0.11) + router.tick(0.3))
        self.assertEqual('e1', router.tick(0.5)[0].engine)

    def test_calls_do_not_wait_for_an_engine_that_is_leaving(self):
        _, (refusal,) = self.refused(Phase.LEAVING)
        self.assertEqual('no_engine', refusal.code)


class TestSilence(testtools.TestCase):
    def test_a_neighbour_that_goes_silent_and_returns_is_reported_once_each(self):
        router, other = Router('one', 'x'), Router('other', 'y')
        router.set_boxes([Box('one', 'a:1'), Box('other', 'b:1')], 0.0)
        for second in range(3, 10):
            router.tick(float(second))
        router.receive_digest(*other.digests_for(['one'], Versions(), 10.0), 10.0)
        router.tick(10.1)
        reported = [(belief.phase, belief.source) for belief in router.take_beliefs()]
        self.assertEqual([(Phase.GONE, 'silence'), (Phase.LIVE, 'heard')], reported)
