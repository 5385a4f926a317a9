"""Failure domains that the operators evacuate, on one box's router."""

import testtools

from seamhold_attempts.retry import Outcome
from seamhold_messages.fleet import Box, Engine, Evacuation, Phase
from seamhold_messages.work import Call, Placed, Refused, Work
from seamhold_routing import Router
from seamhold_settings import FleetSpec, Tree
from seamhold_settings.schema import FleetService, Placement

SERVICE = 'llm'
COLD_SECONDS = 3.0
COLD_PER_SECOND = 4.0


def engines() -> list[Engine]:
    """Two engines in each of two failure domains."""
    return [
        Engine(f'{domain}{number}', SERVICE, f'{domain}{number}:80', domain, f'{domain}{number}')
        for domain in ('a', 'b')
        for number in (1, 2)
    ]


class TestEvacuation(testtools.TestCase):
    def setUp(self):
        super().setUp()
        service = FleetService(
            'plain',
            keeps_prompts=True,
            cold_seconds=COLD_SECONDS,
            cold_requests_per_second=COLD_PER_SECOND,
        )
        fleet = FleetSpec(placement=Placement(patience=0.0), services={SERVICE: service})
        self.router = Router('box', 'x')
        self.router.use_settings(Tree(fleet))
        self.router.set_boxes([Box('box', '10.0.0.1:1')], 0.0)
        self.router.set_engines(engines(), 0.0)
        self.number = 0

    def evacuate(self, *domains: str, now: float) -> None:
        self.router.set_evacuations([Evacuation(domain) for domain in domains], now)

    def admit(self, now: float, chat: str = ''):
        """A new call's decision."""
        self.number += 1
        name = f'call-{self.number}'
        call = Call(name, 'w', SERVICE, chat or f'chat-{self.number}', Work(1, 1), now + 9.0)
        return self.router.admit(call, now)[0]

    def domains_of(self, now: float, calls: int) -> set[str]:
        """The failure domains that get the next calls, each of which ends at once."""
        found = set()
        for _ in range(calls):
            placed = self.admit(now)
            found.add(placed.engine[0])
            self.router.attempted(placed.call_id, Outcome.DONE, now)
            self.router.close(placed.call_id, now)
        return found

    def test_nothing_new_goes_to_a_domain_that_is_evacuated(self):
        self.assertEqual({'a', 'b'}, self.domains_of(1.0, 20))
        self.evacuate('a', now=2.0)
        self.assertEqual({'b'}, self.domains_of(2.0, 20))

    def test_a_call_that_failed_is_not_sent_there_again(self):
        self.evacuate('a', now=1.0)
        placed = self.admit(1.0)
        self.router.attempted(placed.call_id, Outcome.FAILED, 1.1)
        self.router.exclude(placed.call_id, placed.engine)
        (again,) = self.router.again(placed.call_id, 1.1)
        self.assertEqual('b', again.engine[0])

    def test_also_where_all_others_are_suspect(self):
        self.evacuate('a', now=1.0)
        for name in ('b1', 'b2'):
            self.router.engines.record_failure(name, 1.0)
        self.assertEqual({'b'}, self.domains_of(1.1, 20))

    def test_where_no_engine_is_left_calls_are_refused_at_once(self):
        self.evacuate('a', 'b', now=1.0)
        refusal = self.admit(1.0)
        self.assertIsInstance(refusal, Refused)
        self.assertEqual('no_engine', refusal.code)
        self.assertIsNotNone(refusal.retry_after)

    def test_what_is_held_there_may_still_be_fetched(self):
        self.router.holders.learn('a1', ['held'], 0.5)
        self.evacuate('a', now=1.0)
        placed = self.admit(1.0, 'held')
        self.assertIsInstance(placed, Placed)
        self.assertEqual('b', placed.engine[0])
        self.assertEqual('a1', placed.fetch_engine)

    def test_its_engines_come_back_cold_all_at_once(self):
        self.evacuate('a', now=1.0)
        self.evacuate('b', now=2.0)
        counts = {'a1': 0, 'a2': 0}
        for _ in range(40):
            decision = self.admit(2.0)
            if isinstance(decision, Placed):
                counts[decision.engine] += 1
                self.router.attempted(decision.call_id, Outcome.DONE, 2.0)
        self.assertEqual({'a1': COLD_PER_SECOND, 'a2': COLD_PER_SECOND}, counts)

    def test_they_bear_all_again_after_that(self):
        self.evacuate('a', 'b', now=1.0)
        self.evacuate(now=2.0)
        later = 2.0 + COLD_SECONDS
        self.assertEqual(frozenset(), self.router.engines.serving(SERVICE, later).cold)
        self.assertEqual({'a', 'b'}, self.domains_of(later, 60))

    def test_the_logs_tell_of_it(self):
        self.router.take_beliefs()
        self.evacuate('a', now=1.0)
        told = {(belief.subject, belief.phase) for belief in self.router.take_beliefs()}
        self.assertEqual({('a1', Phase.EVACUATED), ('a2', Phase.EVACUATED)}, told)
