"""Relayed updates: engine load, failure reports and heartbeats of store watchers."""

import random

import testtools
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from seamhold.decider import Decider
from seamhold.decisions import GetReport, KnowledgeReport
from seamhold_membership import Digest, GossipBuffer
from seamhold_membership.relay import PENDING_UPDATES_MAX
from seamhold_messages.fleet import Box, Engine, Phase
from seamhold_messages.work import Call, FailureReport, LoadReading, Placed, WatcherHeartbeat, Work
from seamhold_peers import DigestReader, EncodedDigest, NameTable
from seamhold_placement import LoadTable
from seamhold_placement.load import FADING_FROM_SECONDS, READING_SECONDS
from seamhold_routing import Router, Versions
from seamhold_routing.exchange import MIN_NEWER_SECONDS
from seamhold_routing.relaying import MAX_UPDATE_AGE_SECONDS


class TestRelayLog(testtools.TestCase):
    def test_updates_are_sent_a_fixed_number_of_times_the_newest_first(self):
        log = GossipBuffer(times=2)
        log.put('a', 1)
        log.put('b', 2)
        self.assertEqual([2], log.take(1))
        self.assertEqual([2, 1], log.take(9))
        self.assertEqual([1], log.take(9))
        self.assertEqual([], log.take(9))

    def test_a_newer_update_replaces_a_waiting_one(self):
        log = GossipBuffer(times=2)
        log.put('a', 1)
        log.take(1)
        log.put('a', 2)
        self.assertEqual([[2], [2], []], [log.take(9) for _ in range(3)])

    def test_the_number_of_waiting_updates_is_limited(self):
        log = GossipBuffer()
        for number in range(PENDING_UPDATES_MAX + 10):
            log.put(number, number)
        self.assertEqual(PENDING_UPDATES_MAX, len(log))
        self.assertEqual([PENDING_UPDATES_MAX + 9], log.take(1))

    def test_nearly_all_boxes_receive_an_update(self):
        rng = random.Random(1)
        for boxes in (8, 30, 87, 195, 600):
            logs = [GossipBuffer() for _ in range(boxes)]
            logs[0].put('update', 'update')
            reached = {0}
            while any(len(log) for log in logs):
                for number, log in enumerate(logs):
                    for update in log.take(9):
                        peer = rng.choice([n for n in range(boxes) if n != number])
                        if peer not in reached:
                            reached.add(peer)
                            logs[peer].put(update, update)
            self.assertGreaterEqual(len(reached), 0.97 * boxes)


class TestReadings(testtools.TestCase):
    """Load by engine readings: the newest one plus this box's calls since."""

    def setUp(self):
        super().setUp()
        self.table = LoadTable()
        self.table.set_group('s', ['e', 'f'])

    def requests(self) -> int:
        return self.table.estimate('e').requests

    def test_a_reading_counts_the_calls_of_all_boxes(self):
        self.table.start('e', Work(1, 10), 0.0)
        self.assertTrue(self.table.apply_reading(LoadReading('e', 7), 1.0))
        self.assertEqual(7, self.requests())
        self.assertEqual(7, self.table.total('s').requests)

    def test_own_calls_since_are_added(self):
        self.table.apply_reading(LoadReading('e', 7), 1.0)
        self.table.start('e', Work(1, 10), 1.1)
        self.table.start('e', Work(1, 10), 1.2)
        self.table.finish('e', Work(1, 10), 1.3)
        self.assertEqual(8, self.requests())

    def test_a_relayed_reading_is_as_old_as_its_age(self):
        self.table.start('e', Work(1, 10), 0.5)
        self.table.start('e', Work(1, 10), 0.9)
        self.table.apply_reading(LoadReading('e', 3, age=0.3), 1.0)
        self.assertEqual(4, self.requests())

    def test_an_older_reading_is_rejected(self):
        self.assertTrue(self.table.apply_reading(LoadReading('e', 7), 1.0))
        self.assertFalse(self.table.apply_reading(LoadReading('e', 2, age=0.5), 1.1))
        relayed = LoadReading('e', 2, age=0.1)
        self.assertFalse(
            self.table.apply_reading(relayed, 1.1 + MIN_NEWER_SECONDS / 2, MIN_NEWER_SECONDS)
        )
        self.assertTrue(self.table.apply_reading(relayed, 1.2, MIN_NEWER_SECONDS))
        self.assertEqual(2, self.requests())

    def test_the_load_is_at_least_this_box_s_own_calls(self):
        for number in range(3):
            self.table.start('e', Work(1, 10), 0.1 * number)
        self.table.apply_reading(LoadReading('e', 1), 1.0)
        self.assertEqual(3, self.requests())

    def test_without_a_reading_the_load_is_what_boxes_report(self):
        self.table.set_peer('other', {'e': Work(4, 40)})
        self.table.start('e', Work(1, 10), 0.0)
        self.table.record_answer('e', 0.0, 0.1)
        self.assertEqual(5, self.requests())
        self.table.apply_reading(LoadReading('e', 9), 1.0)
        self.table.set_peer('other', {'e': Work(2, 20)})
        self.assertEqual(9, self.requests())
        self.table.expire(1.0 + FADING_FROM_SECONDS / 2)
        self.assertEqual(9, self.requests())
        self.table.expire(1.0 + READING_SECONDS / 2)
        self.assertEqual(6, self.requests())
        self.assertEqual(6, self.table.total('s').requests)
        self.table.expire(1.0 + READING_SECONDS)
        self.assertEqual(3, self.requests())
        self.table.expire(1.1 + READING_SECONDS)
        self.assertEqual(3, self.requests())
        self.assertEqual(3, self.table.total('s').requests)

    def test_the_load_of_an_engine_that_answers_no_box_stays(self):
        self.table.set_peer('other', {})
        self.table.set_peer('third', {})
        for number in range(8):
            self.table.start('e', Work(1, 10), number / 10)
            self.table.record_answer('e', number / 10, number / 10 + 0.1)
            self.table.finish('e', Work(1, 10), number / 10 + 0.1)
        self.table.apply_reading(LoadReading('e', 9), 1.0)
        self.table.start('e', Work(1, 10), 1.0)
        self.assertFalse(self.table.silent('e', 1.2))
        self.assertTrue(self.table.silent('e', 1.3))
        self.table.expire(1.0 + 2 * READING_SECONDS)
        self.assertEqual(10, self.table.known_load('e').requests)
        self.table.record_answer('e', 1.0, 5.1)
        self.assertFalse(self.table.silent('e', 5.1))
        self.table.expire(5.1)
        self.assertEqual(1, self.table.known_load('e').requests)

    def test_a_hanging_call_does_not_make_an_engine_silent_if_later_ones_are_answered(self):
        for sent_at in (0.0, 1.0):
            self.table.start('e', Work(1, 10), sent_at)
        self.assertTrue(self.table.silent('e', 1.1))
        self.table.record_answer('e', 1.0, 1.1)
        self.assertFalse(self.table.silent('e', 9.0))
        self.table.start('e', Work(1, 10), 9.0)
        self.assertTrue(self.table.silent('e', 12.0))

    def test_all_calls_of_peers_to_a_silent_engine_count(self):
        for peer in ('other', 'third'):
            self.table.set_peer(peer, {})
        self.table.apply_reading(LoadReading('e', 9), 1.0)
        self.table.start('e', Work(1, 10), 1.1)
        self.assertEqual(Work(2, 20), self.table.unreported_at_silent('e'))

    def test_state_of_removed_engines_is_dropped(self):
        for number in range(50):
            self.table.start(f'e{number}', Work(1, 10), number)
            self.table.finish(f'e{number}', Work(1, 10), number)
            self.table.expire(float(number))
        self.assertLess(len(self.table._changes), 5)

    def test_a_call_that_ends_unanswered_is_no_longer_pending(self):
        self.table.start('e', Work(1, 10), 0.0)
        self.table.finish('e', Work(1, 10), 5.0, sent_at=0.0)
        self.assertFalse(self.table.silent('e', 9.0))

    def test_digests_only_carry_load_at_engines_without_readings(self):
        self.table.start('e', Work(1, 10), 0.0)
        self.table.start('f', Work(1, 10), 0.0)
        self.table.apply_reading(LoadReading('e', 1), 0.1)
        self.assertEqual({'f'}, set(self.table.own_loads()))

    @given(st.lists(st.tuples(st.sampled_from('ab'), st.integers(0, 9), st.floats(0, 3))))
    def test_sums_agree_with_their_parts(self, steps):
        table = LoadTable()
        table.set_group('s', ['a', 'b'])
        running = {'a': 0, 'b': 0}
        now = 0.0
        for name, number, wait in steps:
            now += wait
            if number < 4:
                table.start(name, Work(1, 3), now)
                running[name] += 1
            elif number < 7 and running[name]:
                table.finish(name, Work(1, 3), now)
                running[name] -= 1
            else:
                table.apply_reading(LoadReading(name, number, age=0.1), now)
            table.expire(now)
            parts = table.estimate('a') + table.estimate('b')
            self.assertEqual(parts.requests, table.total('s').requests)
            self.assertGreaterEqual(table.estimate(name).requests, 0)


class TestRelayChain(testtools.TestCase):
    """A chain of boxes that each send only to the next."""

    def setUp(self):
        super().setUp()
        self.engines = [Engine(f'e{number}', 's', f'e{number}:1') for number in range(4)]
        self.names = [f'box-{number}' for number in range(4)]
        self.routers = [Router(name, 'x') for name in self.names]
        for router in self.routers:
            router.set_boxes([Box(name, f'{name}:1') for name in self.names], 0.0)
            router.set_engines(self.engines, 0.0)
        names = NameTable()
        names.add([*self.names, *(engine.name for engine in self.engines)])
        self.readers = [DigestReader(names) for _ in self.names]

    def send_along(self, now: float) -> None:
        """Send each box's encoded digest to the next box, in order."""
        for number, router in enumerate(self.routers[:-1]):
            (digest,) = router.digests_for([self.names[number + 1]], Versions(), now)
            received = self.readers[number + 1].read(EncodedDigest(digest).data)
            self.routers[number + 1].receive_digest(received, now)

    def test_load_reported_to_one_box_reaches_boxes_that_it_does_not_send_to(self):
        self.routers[0].record_engine_load('e1', 5, 1.0, 1.0)
        self.send_along(1.1)
        self.assertEqual(5, self.routers[3].loads.estimate('e1').requests)

    def test_a_placement_records_the_age_of_the_load_it_is_based_on(self):
        router = self.routers[0]
        call = Call('one', 'w', 's', 'chat', Work(1, 1), 9.0)
        (placed,) = router.admit(call, 1.0)
        self.assertIsNone(placed.load_age)
        router.record_engine_load(placed.engine, 1, 1.1, 1.1)
        (placed,) = router.admit(replace(call, id='two'), 1.4)
        self.assertAlmostEqual(0.3, placed.load_age)

    def test_a_placement_records_a_silent_engine_and_the_mean_of_all(self):
        router = self.routers[0]
        call = Call('one', 'w', 's', 'chat', Work(1, 1), 9.0)
        (first,) = router.admit(call, 1.0)
        self.assertFalse(first.silent)
        engines = router.engines.all(1.0)
        gone = next(engine for engine in engines if engine.name != first.engine)
        listed = [engine for engine in engines if engine is not gone]
        router.set_engines([*listed, replace(gone, phase=Phase.LEAVING)], 1.0)
        (second,) = router.admit(replace(call, id='two', chat='chat'), 2.5)
        self.assertEqual(first.engine, second.engine)
        self.assertTrue(second.silent)
        self.assertLess(second.mean_of_all, second.mean)

    def test_calls_in_transit_when_an_engine_reported_its_load_count(self):
        router = self.routers[0]
        for started in (1.0, 1.05, 1.1):
            router.loads.start('e1', Work(1, 1), started)
        router.record_engine_load('e1', 4, 1.0, 1.2)
        self.assertEqual(6, router.loads.estimate('e1').requests)

    def test_a_box_reports_the_age_of_its_state(self):
        decider = Decider(self.routers[0], lambda: 2.0)
        knowledge = decider.query(GetReport()).result().knowledge
        self.assertEqual(KnowledgeReport(None, 0, None, 0), knowledge)
        self.routers[0].store_answered(0.5)
        self.routers[0].record_engine_load('e1', 2, 1.75, 1.75)
        knowledge = decider.query(GetReport()).result().knowledge
        self.assertEqual(KnowledgeReport(1.5, 1, 0.25, 0), knowledge)

    def test_load_of_an_unlisted_engine_is_ignored(self):
        self.routers[0].record_engine_load('gone', 5, 1.0, 1.0)
        self.send_along(1.1)
        self.assertEqual(0, self.routers[3].loads.estimate('gone').requests)

    def test_failures_at_one_box_are_counted_by_all(self):
        self.routers[0].health._record_failure('e1', 1.0)
        self.send_along(1.1)
        self.assertEqual({'e1': 1}, self.routers[3].health.failures.totals(1.2))

    def test_an_engine_that_three_boxes_suspect_is_avoided_by_all(self):
        for router in self.routers[:3]:
            call = Call(router.box, 'w', 's', 'chat', Work(1, 1), 9.0)
            (placed,) = router.admit(call, 1.0)
            self.assertIsInstance(placed, Placed)
            router.engines.record_failure('e1', 1.0)
            router.health._unreported['e1'] = None
        self.send_along(1.1)
        self.assertEqual(Phase.SUSPECT, self.routers[3].engines.phase('e1', 1.2))

    def test_the_time_of_the_last_store_answer_is_relayed(self):
        self.routers[0].store_answered(1.0)
        self.send_along(1.5)
        self.assertAlmostEqual(1.0, self.routers[3].exchange.store_answered_at, delta=0.1)

    def test_relayed_heartbeats_of_a_stopped_watcher_expire(self):
        router = self.routers[0]
        (digest,) = router.digests_for(['peer'], Versions(), 1.0)
        sent = set()
        for step in range(8):
            now = 1.0 + step
            heartbeat = WatcherHeartbeat('box-1', age=float(step))
            router.receive_digest(replace(digest, box='box-2', watchers=(heartbeat,)), now)
            router.watches_store(now)
            (message,) = router.digests_for(['peer'], Versions(), now)
            if any(heartbeat.box == 'box-1' for heartbeat in message.watchers):
                sent.add(step)
        self.assertEqual(set(range(int(MAX_UPDATE_AGE_SECONDS) + 1)), sent)

    def test_relayed_updates_survive_encoding(self):
        digest = Digest(
            'box-0',
            'x',
            readings=(LoadReading('e1', 300, 0.1),),
            reports=(FailureReport('box-1', 'e2', 4, 2**31, 77, 0.2),),
            watchers=(WatcherHeartbeat('box-2', 0.3),),
            store_age=2.0,
        )
        received = self.readers[0].read(EncodedDigest(digest).data)
        (reading,), (report,), (heartbeat,) = (
            received.readings,
            received.reports,
            received.watchers,
        )
        self.assertEqual(('e1', 300), (reading.engine, reading.requests))
        self.assertEqual(('box-1', 'e2', 4), (report.origin, report.engine, report.count))
        self.assertEqual((2**31, 77), (report.stamp, report.incarnation_key))
        self.assertEqual('box-2', heartbeat.box)
        for age, update in ((0.1, reading), (0.2, report), (0.3, heartbeat)):
            self.assertTrue(age < update.age <= age + 0.02001, update)
