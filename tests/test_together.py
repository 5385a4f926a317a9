"""State shared by several boxes: holdings, failing engines and store watchers."""

import json
import random

import testtools
from msgspec.structs import replace

from seamhold.decider import Decider
from seamhold.decisions import GetReport, SetBoxes, SetEngines
from seamhold.digest_order import DigestOrder
from seamhold.forwarding.calls import shared_part
from seamhold.ports import PromptPart
from seamhold_attempts.retry import Outcome
from seamhold_membership.relay import TRANSMITS_PER_UPDATE
from seamhold_messages.fleet import Box, Engine, Phase
from seamhold_messages.work import Call, Placed, Work
from seamhold_peers import FleetLists
from seamhold_peers.codec import (
    MessageCodec,
    UnreadablePart,
    decode_candidate,
    decode_holdings,
    decode_lists,
    encode_candidate,
    encode_holdings,
    encode_lists,
)
from seamhold_routing import Router, Versions
from seamhold_routing.relaying import HOLDINGS_PER_DIGEST
from seamhold_settings import Candidate
from seamhold_settings.tree import TREE_OBJECT

from .utils.digests import next_digest, send_digest


class TestDigestExchange(testtools.TestCase):
    def test_a_short_budget_reaches_every_peer_in_turn(self):
        order = DigestOrder(random.Random(1))
        peers = [f'box-{number}' for number in range(10)]
        reached = []
        for _ in range(4):
            for name in order.ordered(peers)[:3]:
                order.record_sent(name)
                reached.append(name)
        self.assertEqual(set(peers), set(reached))
        self.assertNotIn('box-3', order.ordered([name for name in peers if name != 'box-3']))

    def test_settings_are_sent_packed_and_unpack_unchanged(self):
        spec = {'routes': [{'host': 'a.example', 'path': f'/p{n}/'} for n in range(500)]}
        candidate = Candidate(TREE_OBJECT, 7, '7', spec)
        encoded = encode_candidate(candidate)
        size = len(MessageCodec().encode(encoded, type(encoded)))
        self.assertLess(size * 5, len(json.dumps(spec)))
        self.assertEqual(candidate, decode_candidate(encoded))

    def test_settings_that_cannot_be_unpacked_are_an_error_of_the_peer(self):
        encoded = encode_candidate(Candidate(TREE_OBJECT, 7, '7', {'a': 1}))
        for spoiled in (b'', b'nothing', encoded.spec_packed[:-3]):
            part = replace(encoded, spec_packed=spoiled)
            self.assertRaises(UnreadablePart, decode_candidate, part)


class TestHolders(testtools.TestCase):
    def engines(self, *names: str, phase: Phase = Phase.LIVE) -> list[Engine]:
        return [Engine(name, 'llm', f'{name}:80', incarnation=name, phase=phase) for name in names]

    def place(self, router: Router, number: int, now: float, chat: str = 'chat') -> Placed:
        call = Call(f'call-{number}', 'w', 'llm', chat, Work(1, 1), now + 10)
        placed = router.admit(call, now)[0]
        router.close(call.id, now)
        return placed

    def test_a_chat_stays_with_the_engine_that_read_it_when_others_come(self):
        router = Router('box', 'x')
        router.set_engines(self.engines('e1', 'e2'), 0.0)
        first = {chat: self.place(router, 1, 0.0, chat).engine for chat in map(str, range(40))}
        router.set_engines(self.engines(*(f'e{number}' for number in range(1, 9))), 1.0)
        later = {chat: self.place(router, 2, 30.0, chat).engine for chat in first}
        self.assertEqual(first, later)

    def test_another_box_receives_who_holds_a_chat(self):
        one, other = Router('one', 'x'), Router('other', 'y')
        for router in (one, other):
            router.set_engines(self.engines('e1', 'e2', 'e3'), 0.0)
        held = self.place(one, 1, 0.0).engine
        send_digest(one, other, 0.1)
        self.assertEqual([held], other.holders.engines_holding('chat', 0.2))

    def test_who_holds_a_chat_is_relayed_to_boxes_that_its_box_does_not_send_to(self):
        one, between, other = Router('one', 'x'), Router('between', 'y'), Router('other', 'z')
        for router in (one, between, other):
            router.set_engines(self.engines('e1', 'e2', 'e3'), 0.0)
        held = self.place(one, 1, 0.0).engine
        send_digest(one, between, 0.1)
        send_digest(between, other, 0.2)
        self.assertEqual([held], other.holders.engines_holding('chat', 0.3))

    def test_a_cache_is_fetched_from_an_engine_that_is_leaving(self):
        router = Router('box', 'x')
        router.set_engines(self.engines('e1', 'e2'), 0.0)
        held = self.place(router, 1, 0.0).engine
        rest = [name for name in ('e1', 'e2') if name != held]
        leaving = self.engines(held, phase=Phase.LEAVING)
        router.set_engines([*leaving, *self.engines(*rest)], 1.0)
        placed = self.place(router, 2, 1.0)
        self.assertEqual((rest[0], f'{held}:80'), (placed.engine, placed.fetch_from))
        again = self.place(router, 3, 1.1)
        self.assertEqual((rest[0], ''), (again.engine, again.fetch_from))

    def test_a_box_that_restarts_learns_all_holdings_from_a_peer(self):
        old, new = Router('old', 'x'), Router('new', 'y')
        old.set_engines(self.engines('e1', 'e2', 'e3'), 0.0)
        placed = {chat: self.place(old, 1, 0.0, chat).engine for chat in map(str, range(50))}
        lists = FleetLists([], [], 1, 1, old.holders.current_holdings(20.0))
        new.holders.record_holdings(decode_lists(encode_lists(lists)).held, 20.0)
        self.assertEqual(
            placed, {chat: new.holders.engines_holding(chat, 20.0)[0] for chat in placed}
        )

    def test_holdings_reported_at_a_start_are_counted_and_not_relayed(self):
        router = Router('box', 'x')
        router.set_engines(self.engines('e1'), 0.0)
        router.holders.learn('e1', ['chat', 'other'], 0.0)
        self.assertEqual(['e1'], router.holders.engines_holding('chat', 0.1))
        (digest,) = router.digests_for(['peer'], Versions(), 0.1)
        self.assertEqual((), digest.held)
        self.assertEqual(2, digest.learned)
        encoded = encode_holdings(router.holders.learned)
        self.assertEqual(router.holders.learned, decode_holdings(encoded))

    def test_a_holding_is_sent_a_fixed_number_of_times(self):
        router = Router('box', 'x')
        router.set_engines(self.engines('e1'), 0.0)
        for number in (1, 2):
            self.place(router, number, number / 10)
        sent = [len(next_digest(router, 0.3).held) for _ in range(TRANSMITS_PER_UPDATE + 1)]
        self.assertEqual([1] * TRANSMITS_PER_UPDATE + [0], sent)

    def test_many_holdings_are_all_sent_in_several_digests(self):
        router = Router('box', 'x')
        router.set_engines(self.engines('e1'), 0.0)
        for number in range(200):
            self.place(router, number, 0.0, f'chat-{number}')
        parts = [next_digest(router, 0.1).held for _ in range(25)]
        self.assertEqual(200, len({holding.chat for part in parts for holding in part}))
        self.assertTrue(all(len(part) <= HOLDINGS_PER_DIGEST for part in parts))

    def test_holdings_in_use_are_sent_again_before_they_expire(self):
        router, peer = Router('box', 'x'), Router('peer', 'y')
        for one in (router, peer):
            one.set_engines(self.engines('e1'), 0.0)
        for second in range(0, 180, 10):
            self.place(router, second, float(second))
            send_digest(router, peer, float(second))
            self.assertEqual(['e1'], peer.holders.engines_holding('chat', float(second)))

    def test_a_spilled_call_fetches_from_the_first_rank_if_no_holder_is_known(self):
        router = Router('box', 'x')
        router.set_engines(self.engines('e1', 'e2', 'e3'), 0.0)
        first = self.place(router, 1, 0.0).engine
        other = Router('other', 'y')
        other.set_engines(self.engines('e1', 'e2', 'e3'), 0.0)
        other.loads.set_peer('busy', {first: Work(40, 40)})
        other.admit(Call('call-2', 'w', 'llm', 'chat', Work(1, 1), 10.0), 0.0)
        (placed,) = other.tick(1.0)
        self.assertNotEqual(first, placed.engine)
        self.assertEqual(f'{first}:80', placed.fetch_from)

    def test_a_call_that_is_not_sticky_goes_to_the_least_loaded_engine(self):
        router = Router('box', 'x')
        router.set_engines(self.engines('e1', 'e2', 'e3'), 0.0)
        for number in range(9):
            call = Call(f'n{number}', 'w', 'llm', f'n{number}', Work(1, 1), 10.0, sticky=False)
            router.admit(call, 0.0)
        loads = [router.loads.estimate(name).requests for name in ('e1', 'e2', 'e3')]
        self.assertEqual([3, 3, 3], loads)

    def test_the_local_failure_domain_comes_first_until_it_has_more_calls(self):
        router = Router('box', 'x', failure_domain='here')
        local = Engine('near', 'llm', 'n:80', 'here', incarnation='near')
        remote = Engine('far', 'llm', 'f:80', 'there', incarnation='far')
        router.set_engines([remote, local], 0.0)
        calls = [
            Call(f'n{number}', 'w', 'llm', f'n{number}', Work(1, 1), 10.0, sticky=False)
            for number in range(9)
        ]
        placed = [router.admit(call, 0.0)[0].engine for call in calls]
        self.assertEqual('near', placed[0])
        self.assertIn(placed.count('near'), (5, 6))

    def domains(self, router: Router) -> None:
        """Give the router engines in two failure domains, with two slots each."""
        router.set_engines(
            [
                Engine(f'{domain}-{number}', 'llm', f'{domain}-{number}:80', domain, 'x', slots=2)
                for domain in ('here', 'there')
                for number in range(8)
            ],
            0.0,
        )

    def admit(self, router: Router, number: int, chat: str = 'chat') -> Placed:
        call = Call(f'c{number}', 'w', 'llm', chat, Work(1, 1), 10.0)
        decisions = [*router.admit(call, 0.0), *router.tick(1.0)]
        return next(decision for decision in decisions if isinstance(decision, Placed))

    def test_of_engines_that_hold_a_chat_the_local_one_comes_first(self):
        router = Router('box', 'x', failure_domain='here')
        self.domains(router)
        for engine in ('there-1', 'here-5', 'there-6'):
            router.holders.record_placement('chat', engine, 0.0)
        self.assertEqual('here-5', self.admit(router, 1).engine)

    def test_a_call_that_its_holders_cannot_take_goes_to_a_local_engine_that_fetches(self):
        router = Router('box', 'x', failure_domain='here')
        self.domains(router)
        router.holders.record_placement('chat', 'there-1', 0.0)
        router.loads.set_peer('busy', {'there-1': Work(2, 2)})
        placed = self.admit(router, 1)
        self.assertEqual(('here', 'there-1:80'), (placed.engine[:4], placed.fetch_from))

    def test_a_chat_without_a_holder_goes_by_rank_from_every_domain(self):
        placed = set()
        for domain in ('here', 'there'):
            router = Router('box', 'x', failure_domain=domain)
            self.domains(router)
            placed.add(self.admit(router, 1).engine)
        self.assertEqual(1, len(placed))

    def test_a_call_placed_at_another_holder_is_not_spilled(self):
        router = Router('box', 'x', failure_domain='here')
        self.domains(router)
        for engine in ('here-1', 'there-1'):
            router.holders.record_placement('chat', engine, 0.0)
        router.loads.set_peer('busy', {'here-1': Work(2, 2)})
        (placed,) = router.admit(Call('c1', 'w', 'llm', 'chat', Work(1, 1), 10.0), 0.0)
        self.assertEqual(('there-1', False), (placed.engine, placed.spilled))

    def test_placement_uses_the_last_shared_part(self):
        parts = (PromptPart('a', 500), PromptPart('b', 9000), PromptPart('own', 100))
        self.assertEqual('b', shared_part(parts).id)
        self.assertIsNone(shared_part(()))


class TestFailingEngines(testtools.TestCase):
    """An engine that fails some of its calls while healthy otherwise, as all boxes see it."""

    NAMES = ('e1', 'e2', 'e3', 'e4')

    def setUp(self):
        super().setUp()
        self.boxes = [Router(name, 'x') for name in ('one', 'other')]
        for router in self.boxes:
            router.set_boxes([Box('one', 'a:1'), Box('other', 'b:1')], 0.0)
            router.set_engines([Engine(name, 'app', f'{name}:80') for name in self.NAMES], 0.0)

    def call(self, router: Router, number: int, now: float, bad: str, outcome: Outcome) -> None:
        call = Call(f'{router.box}-{number}', 'w', 'app', str(number), Work(1, 1), now + 9)
        call = replace(call, sticky=False, objective=0.4)
        (placed,) = router.admit(call, now)
        failed = placed.engine == bad and number % 2
        router.attempt_ended(call.id, outcome if failed else Outcome.DONE, now)
        router.close(call.id, now)

    def exchange(self, now: float) -> None:
        one, other = self.boxes
        other.receive_digest(*one.digests_for(['other'], Versions(), now), now)
        one.receive_digest(*other.digests_for(['one'], Versions(), now), now)

    def test_boxes_that_each_see_few_failures_avoid_the_engine_together(self):
        for number in range(16):
            for router in self.boxes:
                self.call(router, number, number / 16, 'e1', Outcome.ANSWERED_FAILURE)
        for router in self.boxes:
            self.assertLess(router.health.failures.own(1.0)['e1'], 5)
            router.tick(1.0)
            self.assertIn('e1', router.engines.serving('app', 1.0).engines)
        self.exchange(1.1)
        for router in self.boxes:
            self.assertGreaterEqual(router.health.failures.totals(1.2)['e1'], 5)
            router.tick(1.2)
            self.assertNotIn('e1', router.engines.serving('app', 1.2).engines)

    def test_an_engine_that_is_silent_counts_as_failing(self):
        router = self.boxes[0]
        for number in range(24):
            call = Call(f'c{number}', 'w', 'app', str(number), Work(1, 1), 9.0)
            (placed,) = router.admit(replace(call, sticky=False, objective=0.4), 0.0)
            if placed.engine != 'e1':
                router.answer_started(call.id, 0.1)
        router.tick(0.5)
        self.assertIn('e1', router.engines.serving('app', 0.5).engines)
        router.tick(0.9)
        self.assertNotIn('e1', router.engines.serving('app', 0.9).engines)


class TestStoreWatchers(testtools.TestCase):
    """Few boxes watch the store, and those that drop out are replaced at once."""

    NAMES = tuple(f'box-{number}' for number in range(8))

    def setUp(self):
        super().setUp()
        self.routers = {name: Router(name, 'x') for name in self.NAMES}
        for router in self.routers.values():
            router.set_boxes([Box(name, f'{name}:1') for name in self.NAMES], 0.0)

    def exchange(self, now: float, silent: tuple = (), lost: tuple = ()) -> None:
        for sender in self.NAMES:
            for receiver in self.NAMES:
                if sender != receiver and sender not in silent:
                    (digest,) = self.routers[sender].digests_for([receiver], Versions(), now)
                    digest = replace(digest, store_lost=sender in lost)
                    self.routers[receiver].receive_digest(digest, now)

    def watchers(self, now: float, silent: tuple = ()) -> set[str]:
        return {
            name
            for name, router in self.routers.items()
            if name not in silent and router.watches_store(now)
        }

    def test_four_watch(self):
        self.exchange(0.1)
        self.assertEqual(4, len(self.watchers(0.2)))

    def test_watchers_that_go_silent_are_replaced_within_a_second(self):
        self.exchange(0.1)
        dead = tuple(self.watchers(0.2))
        for tenths in range(2, 14):
            self.exchange(tenths / 10, silent=dead)
        self.assertEqual(4, len(self.watchers(1.3, silent=dead)))

    def test_watchers_that_lost_the_store_are_replaced(self):
        self.exchange(0.1)
        lost = tuple(self.watchers(0.2))
        self.exchange(0.3, lost=lost)
        self.assertEqual(4, len(self.watchers(0.4) - set(lost)))

    def test_engines_whose_entries_expire_while_the_store_is_unavailable_stay(self):
        router = self.one_with_an_engine()
        self.exchange(0.2, lost=self.NAMES)
        router.store_lost = True
        router.tick(0.3)
        router.set_engines([], 1.0)
        self.assertEqual(1, len(router.engines.serving('s', 1.0).engines))
        router.store_lost = False
        self.exchange(2.0)
        router.tick(2.5)
        self.assertEqual({}, router.engines.serving('s', 2.5).engines)
        self.assertEqual(Phase.GONE, router.beliefs[-1].phase)

    def test_an_engine_delisted_while_one_box_lost_the_store_is_gone(self):
        router = self.one_with_an_engine()
        self.exchange(0.2)
        router.store_lost = True
        router.tick(0.3)
        router.set_engines([], 1.0)
        self.assertEqual({}, router.engines.serving('s', 1.0).engines)

    def one_with_an_engine(self) -> Router:
        router = self.routers['box-0']
        router.set_engines([Engine('e', 's', 'e:1')], 0.0)
        return router

    def test_a_box_that_receives_from_no_peer_watches(self):
        self.assertEqual(set(self.NAMES), self.watchers(5.0))

    def test_a_list_counts_as_loaded_once_it_is_applied(self):
        router = Router('box-0', 'x')
        decider = Decider(router, lambda: 0.0)
        seen = []
        router.set_engines = lambda engines, now: seen.append(decider.engines.loaded.is_set()) or []
        decider.start()
        self.addCleanup(decider.stop)
        decider.send(SetEngines([], 1))
        decider.query(GetReport()).result(5)
        self.assertEqual([False], seen)
        self.assertTrue(decider.engines.loaded.is_set())

    def test_a_list_that_is_not_newer_is_no_update(self):
        decider = Decider(Router('box-0', 'x'), lambda: 0.0)
        updates = []
        decider.on_boxes = updates.append
        decider.start()
        self.addCleanup(decider.stop)
        boxes = [Box('box-0', 'a:1'), Box('box-1', 'b:1')]
        for version in (5, 5, 4, 6):
            decider.send(SetBoxes(boxes, version))
        decider.query(GetReport()).result(5)
        self.assertEqual(2, len(updates))
