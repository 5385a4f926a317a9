"""Requests that end engines: what counts against one, who may run, and what boxes agree on."""

import asyncio
import random
import threading

import testtools
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from seamhold.case_store import from_object, to_object
from seamhold.decider import Decider
from seamhold.decisions import WantReport
from seamhold.metrics import Metrics
from seamhold.peer_pulls import PeerPulls
from seamhold_membership import Digest
from seamhold_messages.fleet import Engine, Phase
from seamhold_messages.hashing import hash64
from seamhold_peers import CasesPage, DigestReader, NameTable, encode_digest
from seamhold_quarantine import (
    EndReport,
    EngineEnd,
    Quarantine,
    RecentRuns,
    RequestIdentity,
    Standing,
    TrialAsk,
    TrialOver,
    Verdict,
)
from seamhold_quarantine.case import FIRST_REST_SECONDS, REST_GROWTH
from seamhold_quarantine.quarantine import CASES_MAX
from seamhold_routing import Router

ASKED = RequestIdentity('kitchen', 'cooks.example', 'POST', '/swap/x', b'butter')
OTHER = RequestIdentity('office', 'cooks.example', 'POST', '/swap/x', b'lard')


def report(engine: int, on_trial: bool = False, identity=ASKED, age: float = 0.0) -> EndReport:
    end = EngineEnd(engine, on_trial, age)
    return EndReport(identity.digest, identity.scope, identity.workspace, end)


def ask(run: str = 'r1', identity=ASKED) -> TrialAsk:
    return TrialAsk(identity.digest, run, 5.0)


def after(*reports: EndReport, now: float = 0.0) -> Quarantine:
    quarantine = Quarantine()
    for one in reports:
        quarantine.ended(one, now)
    return quarantine


WAIT_SECONDS = 5.0
PULL_SECONDS = 0.05
PROVEN = (report(1), report(2), report(3, on_trial=True))


class TestStanding(testtools.TestCase):
    def test_one_end_may_be_anybodys(self):
        quarantine = after(report(1))
        self.assertIs(Standing.CLEAR, quarantine.standing(ASKED.digest, 0.0))
        self.assertEqual(frozenset(), quarantine.scopes)
        self.assertEqual(0, quarantine.fingerprint, 'peers are not told of it')

    def test_an_engines_end_counts_once_whoever_tells_it(self):
        self.assertEqual(1, after(report(1)).ended(report(1), 0.1))

    def test_after_two_ends_it_runs_alone(self):
        quarantine = after(report(1), report(2))
        self.assertIs(Standing.SUSPECT, quarantine.standing(ASKED.digest, 0.0))
        self.assertIn(ASKED.scope, quarantine.scopes)
        self.assertIs(Verdict.RUN_ALONE, quarantine.ask(ask('r1'), 0.0).verdict)
        self.assertIs(Verdict.WAIT, quarantine.ask(ask('r2'), 0.1).verdict)
        quarantine.over(TrialOver(ASKED.digest, 'r1', well=False), 0.2)
        self.assertIs(Verdict.RUN_ALONE, quarantine.ask(ask('r2'), 0.3).verdict)

    def test_a_run_whose_box_is_gone_is_over_with_its_time(self):
        quarantine = after(report(1), report(2))
        quarantine.ask(ask('r1'), 0.0)
        self.assertIs(Verdict.WAIT, quarantine.ask(ask('r2'), 5.9).verdict)
        self.assertIs(Verdict.RUN_ALONE, quarantine.ask(ask('r2'), 6.1).verdict)

    def test_an_end_while_it_ran_alone_is_proof(self):
        quarantine = after(*PROVEN)
        self.assertIs(Standing.QUARANTINED, quarantine.standing(ASKED.digest, 1.0))
        refused = quarantine.ask(ask(), 1.0)
        self.assertIs(Verdict.REFUSE, refused.verdict)
        self.assertAlmostEqual(FIRST_REST_SECONDS - 1.0, refused.rest)

    def test_many_ends_at_one_moment_are_no_proof(self):
        # A failure domain is lost under a request that many make alike.
        quarantine = after(*(report(engine) for engine in range(9)))
        self.assertIs(Standing.SUSPECT, quarantine.standing(ASKED.digest, 0.0))

    def test_a_run_that_ends_well_clears_it(self):
        quarantine = after(report(1), report(2))
        quarantine.ask(ask('r1'), 0.0)
        quarantine.over(TrialOver(ASKED.digest, 'r1', well=True), 1.0)
        self.assertIs(Verdict.RUN, quarantine.ask(ask('r2'), 1.0).verdict)
        self.assertEqual(1, quarantine.ended(report(3), 2.0), 'earlier ends do not count')

    def test_one_that_ran_already_and_ends_well_clears_it(self):
        quarantine = after(report(1), report(2))
        quarantine.over(TrialOver(ASKED.digest, '', well=True), 1.0)
        self.assertIs(Standing.CLEAR, quarantine.standing(ASKED.digest, 1.0))

    def test_what_is_proven_is_not_cleared_by_one_that_ends_well(self):
        quarantine = after(*PROVEN)
        quarantine.over(TrialOver(ASKED.digest, '', well=True), 1.0)
        self.assertIs(Standing.QUARANTINED, quarantine.standing(ASKED.digest, 1.0))

    def test_each_end_more_brings_a_longer_rest(self):
        quarantine = after(*PROVEN)
        later = FIRST_REST_SECONDS + 1.0
        self.assertIs(Verdict.RUN_ALONE, quarantine.ask(ask(), later).verdict)
        quarantine.ended(report(4, on_trial=True), later)
        rest = quarantine.ask(ask(), later).rest
        self.assertAlmostEqual(FIRST_REST_SECONDS * REST_GROWTH, rest)

    def test_an_operator_lifts_it(self):
        quarantine = after(*PROVEN)
        self.assertTrue(quarantine.lift(ASKED.digest, 1.0))
        self.assertIs(Standing.CLEAR, quarantine.standing(ASKED.digest, 1.0))
        self.assertEqual(frozenset(), quarantine.scopes)
        self.assertFalse(quarantine.lift(OTHER.digest, 1.0))

    def test_what_ran_beside_it_is_not_held_for_guilty(self):
        beside = [report(engine, identity=OTHER) for engine in (1, 2)]
        quarantine = after(*PROVEN, *beside)
        self.assertIs(Standing.CLEAR, quarantine.standing(OTHER.digest, 0.0))
        self.assertEqual({ASKED.scope}, quarantine.scopes)

    def test_one_of_its_own_is_not_hidden_behind_another(self):
        own = [report(engine, engine == 13, OTHER) for engine in (11, 12, 13)]
        quarantine = after(*PROVEN, *own)
        self.assertIs(Standing.QUARANTINED, quarantine.standing(OTHER.digest, 0.0))

    def test_it_is_forgotten_in_the_end(self):
        quarantine = after(*PROVEN)
        quarantine.forget(10 * 86_400.0)
        self.assertEqual(((), 0), (quarantine.shared(0.0), quarantine.fingerprint))

    def test_a_workspace_of_many_does_not_push_out_another(self):
        quarantine = after(*(replace(one, request='kept', workspace='office') for one in PROVEN))
        for number in range(CASES_MAX + 10):
            quarantine.ended(replace(report(number), request=f'request-{number}'), 0.0)
        self.assertIs(Standing.QUARANTINED, quarantine.standing('kept', 0.0))


class TestAgreement(testtools.TestCase):
    def test_a_box_that_hears_it_refuses_as_well(self):
        there = Quarantine()
        self.assertTrue(there.merge(after(*PROVEN).shared(1.0), 501.0))
        self.assertIs(Standing.QUARANTINED, there.standing(ASKED.digest, 501.0))
        self.assertFalse(there.merge(after(*PROVEN).shared(1.0), 501.0), 'that is no news')

    def test_that_it_was_cleared_spreads_too(self):
        here, there = after(*PROVEN), after(*PROVEN)
        here.lift(ASKED.digest, 1.0)
        there.merge(here.shared(1.5), 1.5)
        self.assertIs(Standing.CLEAR, there.standing(ASKED.digest, 1.5))
        there.merge(after(*PROVEN).shared(1.6), 1.6)
        self.assertIs(Standing.CLEAR, there.standing(ASKED.digest, 1.6))

    @given(
        st.lists(
            st.tuples(st.integers(1, 5), st.booleans(), st.integers(0, 2), st.booleans()),
            max_size=12,
        )
    )
    def test_boxes_that_told_each_other_all_know_the_same(self, met):
        boxes = [Quarantine() for _ in range(3)]
        for at, (engine, on_trial, box, clears) in enumerate(met):
            boxes[box].ended(report(engine, on_trial), float(at))
            if clears:
                boxes[box].lift(ASKED.digest, at + 0.5)
        end = len(met) + 1.0
        for _ in range(2):
            for one in boxes:
                for other in boxes:
                    one.merge(other.shared(end), end)
        self.assertEqual(1, len({box.fingerprint for box in boxes if box.shared(end)} or {0}))

    def test_the_store_keeps_it_whole(self):
        (case,) = after(*PROVEN, now=0.0).shared(3.0)
        kept = from_object(to_object(case, 1_000.0), 1_010.0)
        self.assertEqual([13.0] * 3, [end.age for end in kept.ends])
        aged = replace(kept, ends=tuple(replace(end, age=3.0) for end in kept.ends))
        self.assertEqual(case, aged)

    def test_what_another_wrote_into_the_store_is_told_unreadable(self):
        item = to_object(after(*PROVEN).shared(0.0)[0], 0.0)
        for spec in ({}, item.spec | {'scope': 'x'}, item.spec | {'ends': 1}):
            self.assertRaises(ValueError, from_object, replace(item, spec=spec), 0.0)

    def test_peers_are_told_by_digests(self):
        digest = Digest('box-1', 'a', cases_print=77)
        self.assertEqual(77, DigestReader(NameTable()).read(encode_digest(digest)).cases_print)


class PeerThatKnows:
    """A peer that answers at once what it knows."""

    async def pull_cases(self) -> CasesPage:
        return CasesPage(after(*PROVEN).shared(0.0), complete=True)


class TestWordsOfPeers(testtools.TestCase):
    """A box may go on by what a peer told only when its decider has taken that in."""

    def setUp(self):
        super().setUp()
        self.decider = Decider(Router('box-1', 'a'), lambda: 0.0)
        self.decider.cases.known.clear()
        self.begun, self.goes_on = threading.Event(), threading.Event()
        self.decider.handlers[WantReport] = self.take_long
        self.pulls = PeerPulls(self.decider, None, Metrics(), random.Random(1), lambda: True)

    def take_long(self, _) -> None:
        self.begun.set()
        self.goes_on.wait(WAIT_SECONDS)

    def test_a_pull_ends_when_they_are_known(self):
        # A pull ended while what it brought waited for another thread's turn at the decider: a
        # copy that waited for the pull could still run.
        at_work = threading.Thread(target=self.decider.ask, args=(WantReport(),))
        at_work.start()
        self.assertTrue(self.begun.wait(WAIT_SECONDS))
        asyncio.run(self.pull_meanwhile())
        at_work.join()
        self.assertTrue(self.decider.cases.known.is_set())
        self.assertIn(ASKED.scope, self.decider.cases.scopes)

    async def pull_meanwhile(self) -> None:
        pull = asyncio.create_task(self.pulls.pull_cases(PeerThatKnows()))
        await asyncio.sleep(PULL_SECONDS)
        ended_early = pull.done() or self.decider.cases.known.is_set()
        self.goes_on.set()
        await pull
        self.assertFalse(ended_early)


class TestRecentRuns(testtools.TestCase):
    def test_one_that_ended_well_just_before_is_excused(self):
        runs = RecentRuns()
        runs.ended_well(ASKED, 1.0)
        self.assertTrue(runs.excuses(ASKED, 2.0))
        self.assertFalse(runs.excuses(OTHER, 2.0))

    def test_not_for_long(self):
        runs = RecentRuns()
        runs.ended_well(ASKED, 1.0)
        self.assertFalse(runs.excuses(ASKED, 12.0))

    def test_not_again_without_a_good_end_in_between(self):
        runs = RecentRuns()
        runs.ended_well(ASKED, 1.0)
        self.assertTrue(runs.excuses(ASKED, 2.0))
        self.assertTrue(runs.excuses(ASKED, 2.1), 'engines that end at one moment')
        self.assertFalse(runs.excuses(ASKED, 4.0))
        runs.ended_well(ASKED, 4.5)
        self.assertTrue(runs.excuses(ASKED, 5.0))


class TestRouter(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.router = Router('box-1', 'a')
        self.engines = [
            Engine(f'e{number}', 'llm', f'10.1.0.{number}:1', incarnation='1')
            for number in range(4)
        ]
        self.router.set_engines(self.engines, 0.0)

    def ended(self, engine: Engine) -> int | None:
        """The engine that is held against a request, None for none."""
        counted = self.router.engine_ended(engine, report(0), 0.0)
        return counted and counted.end.engine

    def test_the_engine_gets_nothing_more(self):
        self.assertEqual(hash64('e0'), self.ended(self.engines[0]))
        self.assertIs(Phase.SUSPECT, self.router.engines.phase('e0', 0.0))

    def test_one_that_was_leaving_ends_as_planned(self):
        self.router.engine_leaving('e0', 0.0)
        self.assertIsNone(self.ended(self.engines[0]))
        self.assertIsNone(self.ended(Engine('gone long ago', 'llm', '10.9.0.0:1')))

    def test_one_that_started_again_at_its_address_is_the_one_that_ended(self):
        # A call that was placed at the start before ran at the next; others know that one.
        before = Engine('e0@1', 'llm', '10.1.0.0:1', incarnation='e0')
        self.assertEqual(self.ended(self.engines[0]), self.ended(before))

    def may_risk(self, now: float = 0.0) -> bool:
        """Whether a suspect may run that ended the first two engines, as peers told."""
        known = after(*(report(hash64(engine.name)) for engine in self.engines[:2]))
        return self.router.may_risk('llm', known.lately_ended(ASKED.digest, now), now)

    def test_no_engine_is_risked_where_half_are_away(self):
        self.assertTrue(self.router.may_risk('llm', frozenset(), 0.0))
        for engine in self.engines[:2]:
            self.ended(engine)
        self.assertFalse(self.router.may_risk('llm', frozenset(), 0.0))

    def test_engines_that_ended_at_other_boxes_are_away_too(self):
        # Callers of a service of three found none of its servers: two had ended under a request
        # at one box, and another box, which had met neither end, let it run alone at the third.
        self.assertFalse(self.may_risk())
        self.router.set_engines(self.engines[2:], 1.0)
        self.assertFalse(self.may_risk(1.0), 'those that are off the list are away as well')
        again = [replace(engine, name=f'{engine.name}@2') for engine in self.engines[:2]]
        self.router.set_engines([*again, *self.engines[2:]], 4.0)
        self.assertTrue(self.may_risk(4.0))

    def test_what_never_comes_back_is_not_waited_for(self):
        self.router.set_engines(self.engines[2:], 1.0)
        self.assertTrue(self.may_risk(30.0))
