"""Immediate rejection, the order by rank, and calls that wait at other boxes.

Guards against calls that wait until their deadline passes, urgent calls behind less urgent ones,
and room that stays unused because of what another box reported.
"""

from statistics import mean

import testtools
from msgspec.structs import replace

from seamhold.metrics import Metrics
from seamhold.queue_counts import QueueCounts
from seamhold_attempts.retry import Outcome
from seamhold_limits import PeerBacklogs
from seamhold_limits.peer_backlog import HOLD_SECONDS, REPORT_SECONDS
from seamhold_membership import Digest
from seamhold_messages.fleet import Box, Engine
from seamhold_messages.hashing import hash32
from seamhold_messages.work import Call, Placed, Queued, Refused, WaitingCalls, Work
from seamhold_peers import DigestReader, EncodedDigest, NameTable
from seamhold_routing import Router, Versions
from seamhold_settings import FleetSpec, Tree
from seamhold_settings.schema import Placement

from .utils.ranked_callers import RankedCallers

SERVICE_KEY = hash32('app')
#: 25 boxes before 3 servers of 6 slots, with 1.8 times the calls that the servers can answer.
OVERLOAD = (25, 3, 1200.0, 0.0225)
RUN_SECONDS = 12.0
WARM_UP_SECONDS = 3.0


class TestOverload(testtools.TestCase):
    def play(self, *sizes, predictive: bool = True, in_objective: bool = False) -> RankedCallers:
        fleet = RankedCallers(*sizes, predictive=predictive, in_objective=in_objective)
        fleet.run(RUN_SECONDS)
        return fleet

    def test_callers_are_rejected_at_once_and_the_urgent_ones_served(self):
        fleet = self.play(*OVERLOAD)
        served = list(fleet.served_by_rank(WARM_UP_SECONDS).values())
        self.assertEqual(sorted(served, reverse=True), served)
        self.assertGreater(served[0], 1.2 * served[-1])
        refused = fleet.refusals(WARM_UP_SECONDS)
        passed = [one for one in refused if one.code == 'deadline_passed']
        self.assertLess(len(passed), 0.02 * len(refused))
        urgent, bulk = [
            mean(one.retry_after for one in refused if one.rank == rank) for rank in (1, 7)
        ]
        self.assertLess(urgent, bulk)
        self.assertGreater(len({one.retry_after for one in refused}), 0.9 * len(refused))

    def test_a_start_within_the_objective_keeps_few_callers_waiting_in_vain(self):
        fleet = self.play(*OVERLOAD, in_objective=True)
        self.assertLess(fleet.held_share(WARM_UP_SECONDS), 0.06)
        self.assertGreater(fleet.served_by_rank(WARM_UP_SECONDS)[1], 0.5)

    def test_without_the_setting_ranks_are_served_alike(self):
        """Guards against a change of deployments that do not ask for it."""
        fleet = self.play(*OVERLOAD, predictive=False)
        served = fleet.served_by_rank(WARM_UP_SECONDS).values()
        self.assertLess(max(served) - min(served), 0.05)

    def test_nothing_is_rejected_while_slots_are_free(self):
        self.assertEqual([], self.play(25, 2, 225.0, 0.0225).refusals(0.0))


class TestRouterWithPeers(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.router = Router('me', 'start')
        self.use(True)
        self.router.set_engines([Engine('a', 'app', 'a:1', slots=4)], 0.0)
        self.router.set_boxes([Box('me', 'm:1'), Box('peer', 'p:1')], 0.0)

    def use(self, predictive: bool) -> None:
        placement = Placement(predictive_admission=predictive)
        self.router.use_settings(Tree(FleetSpec(placement=placement)))

    def admit(self, call_id: str, now: float, workspace_priority: int = 1, seconds: float = 1.0):
        call = Call(call_id, 'w', 'app', call_id, Work(1, 1), now + seconds, sticky=False)
        call = replace(call, workspace_priority=workspace_priority)
        return self.router.admit(call, now)[0]

    def receive_waiting(self, now: float, *waiting: WaitingCalls, seq: int = 1) -> None:
        self.router.receive_digest(Digest('peer', 'x', seq=seq, waiting=waiting), now)

    def test_an_arrival_waits_for_calls_of_its_rank_that_wait_elsewhere_for_long(self):
        self.receive_waiting(1.0, WaitingCalls(SERVICE_KEY, 4, 3, 0.2))
        self.assertIsInstance(self.admit('same', 1.0), Queued)
        self.assertEqual([], self.router.tick(1.02))
        self.assertIsInstance(self.router.tick(self.router.next_due(1.02))[0], Placed)

    def test_a_hold_never_leads_to_a_rejection(self):
        """Guards against rejecting a call that there was room for, because of an earlier stall."""
        self.fill(6)
        self.router.tick(1.9)
        for number in range(4):
            self.router.attempt_ended(f'{number}', Outcome.DONE, 1.95)
        self.receive_waiting(2.0, WaitingCalls(SERVICE_KEY, 0, 3, 0.2))
        self.assertIsInstance(self.admit('held', 2.0, seconds=0.2), Queued)
        self.assertIsInstance(self.router.tick(self.router.next_due(2.0))[0], Placed)

    def test_a_more_urgent_arrival_or_one_after_short_waits_starts(self):
        self.receive_waiting(
            1.0, WaitingCalls(SERVICE_KEY, 4, 3, 0.2), WaitingCalls(SERVICE_KEY, 0, 1, 0.05)
        )
        self.assertIsInstance(self.admit('urgent', 1.0, workspace_priority=0), Placed)

    def test_counts_out_of_date_hold_nothing_back(self):
        self.receive_waiting(1.0, WaitingCalls(SERVICE_KEY, 0, 3, 0.2))
        self.assertIsInstance(self.admit('later', 1.6), Placed)

    def test_a_late_or_duplicated_digest_does_not_bring_counts_back(self):
        self.receive_waiting(1.0, seq=2)
        self.receive_waiting(1.0, WaitingCalls(SERVICE_KEY, 0, 3, 0.2), seq=1)
        self.assertIsInstance(self.admit('next', 1.0), Placed)

    def test_a_hold_ends_with_the_wait_elsewhere(self):
        self.receive_waiting(1.0, WaitingCalls(SERVICE_KEY, 0, 3, 0.2))
        self.admit('held', 1.0)
        decisions = self.router.receive_digest(Digest('peer', 'x', seq=2), 1.01)
        self.assertEqual(['held'], [one.call_id for one in decisions])

    def test_a_box_that_always_reports_waiting_calls_wastes_little_room(self):
        """Guards against false counts: holds take at most 5 in 100 of the time."""
        held = 0
        for step in range(400):
            now = 1.0 + 0.05 * step
            self.receive_waiting(now, WaitingCalls(SERVICE_KEY, 0, 10**6, 9.0), seq=step + 1)
            self.router.tick(now)
            held += isinstance(self.admit(f'{step}', now), Queued)
            self.router.tick(now + HOLD_SECONDS)
            self.router.attempt_ended(f'{step}', Outcome.DONE, now + HOLD_SECONDS)
            self.router.close(f'{step}', now + HOLD_SECONDS)
        self.assertLess(held, 20)
        self.assertGreater(held, 0)

    def test_a_silent_box_is_forgotten(self):
        backlogs = PeerBacklogs()
        backlogs.set_peer('peer', (WaitingCalls(SERVICE_KEY, 0, 3, 0.2),), 0.0)
        self.assertEqual(3, backlogs.ahead(SERVICE_KEY, 64, 0, REPORT_SECONDS).calls)
        self.assertEqual(2, backlogs.ahead(SERVICE_KEY, 2, 0, REPORT_SECONDS).calls)
        self.assertEqual(0, backlogs.ahead(SERVICE_KEY, 64, 0, REPORT_SECONDS + 0.1).calls)
        backlogs.drop_peer('peer')
        self.assertEqual(0, backlogs.ahead(SERVICE_KEY, 64, 0, 0.0).boxes)

    def test_waiting_calls_are_rejected_when_the_engines_stall(self):
        """Guards against calls that wait until their deadline where a failure domain is lost."""
        self.fill(6)
        refused = {}
        for step in range(20):
            now = 1.0 + 0.05 * step
            for one in self.router.tick(now):
                refused[one.call_id] = (one.code, now)
        self.assertEqual({'4', '5'}, refused.keys())
        self.assertEqual({'deadline_unmeetable'}, {code for code, _ in refused.values()})
        self.assertLess(max(at for _, at in refused.values()), 1.6)

    def fill(self, calls: int) -> None:
        for number in range(calls):
            self.admit(f'{number}', 1.0)

    def test_a_call_that_was_sent_before_is_not_rejected_by_prediction(self):
        """Guards against a rejection as not run of a call that may have run."""
        self.fill(4)
        self.router.attempt_ended('0', Outcome.ENGINE_FULL, 1.0)
        self.router.exclude('0', 'a')
        self.assertIsInstance(self.router.retry_call('0', 1.0, 'a')[0], Queued)
        early = [one for step in range(19) for one in self.router.tick(1.0 + 0.05 * step)]
        self.assertEqual([], [one for one in early if isinstance(one, Refused)])

    def test_rejections_by_reason_reach_the_metrics_once(self):
        self.fill(6)
        self.router.tick(1.9)
        metrics = Metrics()
        queue_counts = QueueCounts(metrics)
        for _ in range(2):
            queue_counts.record(self.router.counts)
        self.assertEqual({'rejected.predicted_while_waiting': 2}, metrics.counts())

    def test_waiting_calls_are_reported_by_rank_only_with_the_setting(self):
        self.fill(6)
        self.admit('urgent', 1.1, workspace_priority=0)
        (digest,) = self.router.digests_for(['peer'], Versions(), 1.2)
        reader = DigestReader(NameTable())
        read = reader.read(EncodedDigest(digest).data)
        self.assertEqual({1: 1, 4: 2}, {one.rank: one.calls for one in read.waiting})
        self.assertEqual([0.1, 0.2], [round(one.oldest, 1) for one in read.waiting])
        self.use(False)
        self.assertEqual((), self.router.digests_for(['peer'], Versions(), 1.2)[0].waiting)
