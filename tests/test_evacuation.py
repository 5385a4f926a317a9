"""Evacuation of failure domains, on one box's router."""

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
    """Return two engines in each of two failure domains."""
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
        """Admit a new call and return the decision on it."""
        self.number += 1
        name = f'call-{self.number}'
        call = Call(name, 'w', SERVICE, chat or f'chat-{self.number}', Work(1, 1), now + 9.0)
        return self.router.admit(call, now)[0]

    def domains_of(self, now: float, calls: int) -> set[str]:
        """Return the failure domains of the next calls, each of which ends at once."""
        found = set()
        for _ in range(calls):
            placed = self.admit(now)
            found.add(placed.engine[0])
            self.router.attempt_ended(placed.call_id, Outcome.DONE, now)
            self.router.close(placed.call_id, now)
        return found

    def test_an_evacuated_domain_gets_no_new_calls(self):
        self.assertEqual({'a', 'b'}, self.domains_of(1.0, 20))
        self.evacuate('a', now=2.0)
        self.assertEqual({'b'}, self.domains_of(2.0, 20))

    def test_a_failed_call_is_not_retried_in_an_evacuated_domain(self):
        self.evacuate('a', now=1.0)
        placed = self.admit(1.0)
        self.router.attempt_ended(placed.call_id, Outcome.FAILED, 1.1)
        self.router.exclude(placed.call_id, placed.engine)
        (again,) = self.router.retry_call(placed.call_id, 1.1)
        self.assertEqual('b', again.engine[0])

    def test_an_evacuated_domain_gets_no_calls_if_all_other_engines_are_suspect(self):
        self.evacuate('a', now=1.0)
        for name in ('b1', 'b2'):
            self.router.engines.record_failure(name, 1.0)
        self.assertEqual({'b'}, self.domains_of(1.1, 20))

    def test_calls_are_refused_at_once_if_no_engine_is_left(self):
        self.evacuate('a', 'b', now=1.0)
        refusal = self.admit(1.0)
        self.assertIsInstance(refusal, Refused)
        self.assertEqual('no_engine', refusal.code)
        self.assertIsNotNone(refusal.retry_after)

    def test_caches_held_in_an_evacuated_domain_can_be_fetched(self):
        self.router.holders.learn('a1', ['held'], 0.5)
        self.evacuate('a', now=1.0)
        placed = self.admit(1.0, 'held')
        self.assertIsInstance(placed, Placed)
        self.assertEqual('b', placed.engine[0])
        self.assertEqual('a1', placed.fetch_engine)

    def test_engines_are_cold_when_their_evacuation_ends(self):
        self.evacuate('a', now=1.0)
        self.evacuate('b', now=2.0)
        counts = {'a1': 0, 'a2': 0}
        for _ in range(40):
            decision = self.admit(2.0)
            if isinstance(decision, Placed):
                counts[decision.engine] += 1
                self.router.attempt_ended(decision.call_id, Outcome.DONE, 2.0)
        self.assertEqual({'a1': COLD_PER_SECOND, 'a2': COLD_PER_SECOND}, counts)

    def test_engines_take_all_calls_again_once_they_are_warm(self):
        self.evacuate('a', 'b', now=1.0)
        self.evacuate(now=2.0)
        later = 2.0 + COLD_SECONDS
        self.assertEqual(frozenset(), self.router.engines.serving(SERVICE, later).cold)
        self.assertEqual({'a', 'b'}, self.domains_of(later, 60))

    def test_an_evacuation_is_logged(self):
        self.router.take_beliefs()
        self.evacuate('a', now=1.0)
        logged = {(belief.subject, belief.phase) for belief in self.router.take_beliefs()}
        self.assertEqual({('a1', Phase.EVACUATED), ('a2', Phase.EVACUATED)}, logged)
