"""Ranking, the load bound and the load table."""

import random
import unittest.mock

import testtools
from hypothesis import given
from hypothesis import strategies as st

from seamhold_messages.work import LoadReading, Work
from seamhold_placement import BoundPolicy, LoadTable, Totals
from seamhold_placement import choose as choose_with_totals
from seamhold_placement.bound import Candidate
from seamhold_placement.rank import Ranking, rank

ENGINES = {f'engine-{number}': 1.0 for number in range(10)}


def candidates(*loads: int, slots: int = 100) -> list[Candidate]:
    return [
        Candidate(f'e{number}', Work(load, load * 100), slots) for number, load in enumerate(loads)
    ]


def choose(engines, work, policy, hint=None, rng=None):
    load = sum((engine.load for engine in engines), Work())
    totals = Totals(sum(engine.weight for engine in engines), load)
    return choose_with_totals(engines, totals, work, policy, hint, rng)


def chosen_engines(engines: list[Candidate]) -> set[str]:
    """Return the engines chosen over 200 calls, none of which changes the known load."""
    rng = random.Random(1)
    choices = [choose(engines, Work(1, 1), BoundPolicy(1.5), rng=rng) for _ in range(200)]
    return {choice.name for choice in choices}


class TestRank(testtools.TestCase):
    def test_order_does_not_depend_on_the_order_of_the_list(self):
        reordered = dict(reversed(ENGINES.items()))
        self.assertEqual(rank('chat', ENGINES), rank('chat', reordered))

    @given(st.text(min_size=1), st.sampled_from(sorted(ENGINES)))
    def test_losing_an_engine_moves_only_its_chats(self, chat, lost):
        before = rank(chat, ENGINES)
        after = rank(chat, {name: 1.0 for name in ENGINES if name != lost})
        self.assertEqual([name for name in before if name != lost], after)

    @given(st.text(), st.integers(1, 120))
    def test_numpy_and_plain_python_rank_alike(self, chat, count):
        weights = {f'engine-{number}': 1.0 + number % 3 for number in range(count)}
        with unittest.mock.patch('seamhold_placement.rank.VECTOR_MIN_ENGINES', 0):
            vector = rank(chat, weights)
        with unittest.mock.patch('seamhold_placement.rank.VECTOR_MIN_ENGINES', 1000):
            self.assertEqual(rank(chat, weights), vector)

    @given(st.text(), st.integers(1, 120))
    def test_the_first_ranks_are_the_first_of_all(self, chat, count):
        ranking = Ranking()
        ranking.set_weights({f'engine-{number}': 1.0 for number in range(count)})
        self.assertEqual(ranking.order(chat)[:16], ranking.first(chat))

    def test_weights_draw_chats_in_proportion(self):
        weights = {'small': 1.0, 'large': 3.0}
        firsts = [rank(f'chat-{number}', weights)[0] for number in range(4000)]
        self.assertAlmostEqual(0.75, firsts.count('large') / 4000, delta=0.03)


class TestBound(testtools.TestCase):
    def test_first_in_rank_order_within_the_bound_is_taken(self):
        choice = choose(candidates(20, 10, 10), Work(1, 100), BoundPolicy())
        self.assertEqual(('e1', 1, True), (choice.name, choice.rank, choice.in_bound))

    def test_full_engines_refuse_and_only_then(self):
        self.assertIsNone(choose(candidates(2, 2, slots=2), Work(1, 100), BoundPolicy()))
        choice = choose(candidates(2, 1, slots=2), Work(1, 100), BoundPolicy())
        self.assertEqual('e1', choice.name)

    def test_an_idle_engine_takes_a_call_of_any_size(self):
        choice = choose(candidates(0, 0, 0), Work(1, 50_000), BoundPolicy())
        self.assertEqual(0, choice.rank)

    def test_a_hint_that_is_out_of_range_changes_nothing(self):
        for hint in (-1, 3, 99):
            choice = choose(candidates(5, 5, 5), Work(1, 100), BoundPolicy(2.0), hint)
            self.assertEqual(0, choice.rank)

    def test_a_hint_over_the_bound_is_not_followed(self):
        choice = choose(candidates(5, 30, 5), Work(1, 100), BoundPolicy(), hint=1)
        self.assertNotEqual('e1', choice.name)

    @given(
        st.lists(st.integers(0, 60), min_size=2, max_size=12),
        st.integers(1, 5000),
        st.floats(1.05, 3.0),
    )
    def test_a_choice_in_bound_stays_within_the_bound(self, loads, tokens, multiple):
        engines = candidates(*loads)
        choice = choose(engines, Work(1, tokens), BoundPolicy(multiple, 1, 0))
        if not choice.in_bound:
            return
        after = loads[choice.rank] + 1
        mean = (sum(loads) + 1) / len(loads)
        rounded_up = -(-multiple * mean // 1)
        self.assertLessEqual(after, max(1, rounded_up))
        tokens_after = loads[choice.rank] * 100 + tokens
        tokens_mean = (sum(loads) * 100 + tokens) / len(loads)
        rounding = max(1, rounded_up) / (multiple * mean)
        bound = multiple * tokens_mean * rounding
        self.assertLessEqual(tokens_after, max(tokens, bound) + 1e-6)


class TestDividedShare(testtools.TestCase):
    """How much of an engine's bound a box with a quarter of all calls may use.

    Engines exceeded the guaranteed bound while others were avoided or left: the load that boxes
    knew was late by five to ten calls, while the bound left room for three to six.
    """

    def chosen(self, load: int, own: int) -> str:
        engines = [Candidate('first', Work(load, load), 64, own_calls=own)]
        engines += [Candidate(f'e{number}', Work(20, 20), 64, own_calls=5) for number in range(3)]
        totals = Totals(4.0, Work(60 + load, 60 + load), own_calls=15 + own)
        return choose_with_totals(engines, totals, Work(1, 1), BoundPolicy(1.5, 3)).name

    def test_only_its_own_part_near_the_bound(self):
        self.assertEqual('first', self.chosen(26, 6))
        self.assertNotEqual('first', self.chosen(26, 9))

    def test_more_than_its_part_far_below_the_bound(self):
        self.assertEqual('first', self.chosen(18, 16))

    def test_calls_up_to_the_floor_at_any_time(self):
        engines = [
            Candidate('first', Work(4, 4), 64, own_calls=1),
            Candidate('other', Work(1, 1), 64),
        ]
        totals = Totals(2.0, Work(5, 5), own_calls=1)
        choice = choose_with_totals(engines, totals, Work(1, 1), BoundPolicy(1.5, 3))
        self.assertEqual('first', choice.name)

    def test_the_whole_bound_for_a_single_box(self):
        engines = [Candidate('first', Work(26, 26), 64, own_calls=26)]
        engines += [Candidate(f'e{number}', Work(20, 20), 64, own_calls=20) for number in range(3)]
        totals = Totals(4.0, Work(86, 86), own_calls=86)
        self.assertEqual(
            'first', choose_with_totals(engines, totals, Work(1, 1), BoundPolicy(1.5, 3)).name
        )


class TestEquivalentEngines(testtools.TestCase):
    """Which engines get a chat's calls while no box knows of the others' calls."""

    @staticmethod
    def engine(name: str, load: int = 1, holds: bool = False, local: bool = False) -> Candidate:
        return Candidate(name, Work(load, load), 64, 1.0, holds, local)

    def test_a_chat_without_holders_goes_to_its_first_engine(self):
        self.assertEqual({'e0'}, chosen_engines([self.engine(f'e{number}') for number in range(6)]))

    def test_the_local_holders_with_room_share_its_calls(self):
        engines = [
            self.engine('full', 40, holds=True, local=True),
            self.engine('local-1', holds=True, local=True),
            self.engine('local-2', holds=True, local=True),
            self.engine('remote', holds=True),
            self.engine('other', local=True),
        ]
        self.assertEqual({'local-1', 'local-2'}, chosen_engines(engines))

    def test_without_a_holder_with_room_the_first_other_engine_is_chosen(self):
        engines = [self.engine('full', 40, holds=True)]
        engines += [self.engine(f'e{number}') for number in range(6)]
        self.assertEqual({'e0'}, chosen_engines(engines))


class TestLoadTable(testtools.TestCase):
    def test_peers_and_own_work_add_up_and_end(self):
        table = LoadTable()
        table.start('a', Work(1, 10))
        table.set_peer('box-2', {'a': Work(2, 20)})
        self.assertEqual(Work(3, 30), table.estimate('a'))
        table.set_peer('box-2', {})
        table.finish('a', Work(1, 10))
        self.assertEqual(Work(0, 0), table.estimate('a'))

    def test_unreported_own_work_counts_for_each_peer_too(self):
        table = LoadTable(peer_growth=1.0)
        table.set_peer('box-2', {})
        table.set_peer('box-3', {})
        table.start('a', Work(1, 10))
        self.assertEqual(Work(3, 30), table.estimate('a'))
        table.digest_sent()
        self.assertEqual(Work(1, 10), table.estimate('a'))

    def test_work_of_peers_since_a_reading_is_estimated_from_own_calls(self):
        table = LoadTable(peer_growth=1.0)
        table.set_peer('box-2', {})
        table.set_peer('box-3', {})
        table.start('a', Work(1, 10), 1.0)
        table.apply_reading(LoadReading('a', 7, age=0.5), 2.0)
        self.assertEqual(7, table.estimate('a').requests)
        for second in (1.8, 2.1):
            table.start('a', Work(1, 10), second)
        table.digest_sent()
        self.assertEqual(9, table.known_load('a').requests)
        self.assertEqual(4, table.unreported('a').requests)
        table.apply_reading(LoadReading('a', 11, age=0.3), 2.2)
        self.assertEqual(2, table.unreported('a').requests)

    def test_unreported_work_takes_no_slots(self):
        engine = Candidate('a', Work(3, 3), 4, unreported=Work(9, 9))
        choice = choose([engine], Work(1, 1), BoundPolicy())
        self.assertEqual('a', choice.name)
        self.assertIsNone(choose([engine], Work(2, 2), BoundPolicy()))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('start', 'finish', 'peer', 'drop', 'sent', 'group')),
                st.sampled_from('abc'),
                st.integers(1, 5),
            )
        )
    )
    def test_group_sums_equal_the_sums_over_the_engines(self, steps):
        table = LoadTable(peer_growth=1.0)
        table.set_group('s', 'abc')
        running = []
        for verb, engine, number in steps:
            if verb == 'start':
                table.start(engine, Work(1, number))
                running.append((engine, Work(1, number)))
            elif verb == 'finish' and running:
                table.finish(*running.pop(number % len(running)))
            elif verb == 'peer':
                table.set_peer(f'box-{number}', {engine: Work(number, number * 7)})
            elif verb == 'drop':
                table.drop_peer(f'box-{number}')
            elif verb == 'sent':
                table.digest_sent()
            elif verb == 'group':
                table.set_group('s', 'abc')
            total = sum((table.estimate(name) for name in 'abc'), Work())
            self.assertEqual(total, table.total('s'))
            own = sum(table.own_calls(name) for name in 'abc')
            self.assertEqual(own, table.own_total('s'))
