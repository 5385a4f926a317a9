"""The speeds that engines report: kept with their time, relayed, and dropped with age."""

import random

import msgspec
import testtools

from seamhold.metrics import Metrics
from seamhold_membership import Digest, ServiceUse
from seamhold_messages.fleet import Box, Engine
from seamhold_messages.work import Call, LoadReading, Work
from seamhold_peers import DigestReader, EncodedDigest, NameTable
from seamhold_peers.digest_codec import encode_digest
from seamhold_peers.names import pack_names
from seamhold_peers.update_codec import ReadingColumns, age_steps, reading_columns
from seamhold_placement import Slowness, SpeedTable
from seamhold_placement.speeds import SPEED_SECONDS
from seamhold_routing import Router, Versions

ENGINES = [Engine(f'e{number}', 'llm', f'e{number}:1', f'e{number}', '1') for number in range(4)]
SPEED_CHANGE_SECONDS = 0.6
#: Rounds of digests between eight boxes until a report has reached nearly all of them.
ROUNDS_TO_ALL = 3


class TestSpeedTable(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = SpeedTable()

    def test_the_newest_speed_is_kept_with_its_age(self):
        self.assertTrue(self.table.record('e', 2.5, 1.0))
        # A report that arrives late does not replace a newer one.
        self.assertFalse(self.table.record('e', 1.0, 0.5))
        self.assertEqual(Slowness(2.5, 0.5), self.table.slowness('e', 1.5))
        self.assertIsNone(self.table.slowness('f', 1.5))

    def test_the_speed_of_an_engine_that_stops_reporting_is_dropped(self):
        self.table.record('e', 2.5, 1.0)
        late = 1.0 + SPEED_SECONDS + 0.1
        self.assertIsNone(self.table.slowness('e', late))
        self.assertEqual([], self.table.ages(['e'], late))
        self.table.expire(late)
        self.assertEqual({}, self.table._speeds)


class TestSpeedColumn(testtools.TestCase):
    def setUp(self):
        super().setUp()
        names = NameTable()
        names.add(engine.name for engine in ENGINES)
        self.reader = DigestReader(names)

    def readings(self, data: bytes) -> list[tuple[str, int, float | None]]:
        readings = self.reader.read(data).readings
        return [(reading.engine, reading.requests, reading.slowness) for reading in readings]

    def test_speeds_are_relayed_in_hundredths(self):
        readings = (
            LoadReading('e0', 3, 0.1, 2.5),
            LoadReading('e1', 4, 0.1),
            LoadReading('e2', 5, 0.1, 9_999_999.99),
        )
        data = EncodedDigest(Digest('box', 'x', readings=readings)).data
        self.assertEqual(
            [('e0', 3, 2.5), ('e1', 4, None), ('e2', 5, 9_999_999.99)], self.readings(data)
        )

    def test_the_bytes_are_unchanged_where_no_speed_is_reported(self):
        readings = [LoadReading('e0', 3, 0.1), LoadReading('e1', 300, 0.1)]
        old = [pack_names(['e0', 'e1']), [3, 300], [age_steps(0.1)] * 2]
        self.assertEqual(
            msgspec.msgpack.encode(old), msgspec.msgpack.encode(reading_columns(readings))
        )

    def test_columns_of_an_older_version_are_read(self):
        data = encode_digest(Digest('box', 'x', readings=(LoadReading('e0', 3, 0.1, 2.5),)))
        fields = msgspec.msgpack.decode(data)
        (number,) = [n for n, field in enumerate(fields) if isinstance(field, list)]
        fields[number] = fields[number][:3]
        self.assertEqual([('e0', 3, None)], self.readings(msgspec.msgpack.encode(fields)))

    def test_an_older_version_reads_columns_with_speeds(self):
        columns = msgspec.msgpack.encode(reading_columns([LoadReading('e0', 3, 0.1, 2.5)]))
        read = msgspec.msgpack.decode(columns, type=ReadingColumns)
        self.assertEqual(([3], [age_steps(0.1)]), (read.requests, read.ages))

    def test_an_invalid_speed_costs_no_reading(self):
        data = encode_digest(
            Digest('box', 'x', readings=tuple(LoadReading(f'e{n}', n, 0.1, 2.5) for n in range(4)))
        )
        fields = msgspec.msgpack.decode(data)
        (number,) = [n for n, field in enumerate(fields) if isinstance(field, list)]
        fields[number][3] = [-1, 10**9, 250]
        self.assertEqual(
            [None, None, 2.5, None],
            [slowness for _, _, slowness in self.readings(msgspec.msgpack.encode(fields))],
        )


class TestSpeedsBetweenBoxes(testtools.TestCase):
    """Boxes learn the speeds of engines that report them to others."""

    def setUp(self):
        super().setUp()
        self.routers = [Router(f'box-{number}', 'x') for number in range(8)]
        boxes = [Box(router.box, f'{router.box}:1') for router in self.routers]
        names = NameTable()
        names.add(engine.name for engine in ENGINES)
        self.readers = [DigestReader(names) for _ in self.routers]
        for router in self.routers:
            router.set_engines(ENGINES, 0.0)
            router.set_boxes(boxes, 0.0)

    def exchange(self, now: float, lost: float = 0.0) -> None:
        rng = random.Random(now)
        for router in self.routers:
            peers = [peer for peer in self.routers if peer is not router]
            rng.shuffle(peers)
            digests = router.digests_for([peer.box for peer in peers], Versions(), now)
            for peer, digest in zip(peers, digests, strict=True):
                reader = self.readers[self.routers.index(peer)]
                received = reader.read(EncodedDigest(digest).data)
                if received is not None and rng.random() >= lost:
                    peer.receive_digest(received, now)
            router.digests_sent(digests)

    def test_all_boxes_follow_speeds_that_change_while_digests_are_lost(self):
        now, right, known = 1.0, 0, 0
        rng = random.Random(1)
        for _ in range(20):
            slow = {engine.name: 2.5 if rng.random() < 0.15 else 1.0 for engine in ENGINES}
            for engine in slow:
                rng.choice(self.routers).record_engine_load(engine, 3, now, now, slow[engine])
            for _ in range(ROUNDS_TO_ALL):
                self.exchange(now, lost=0.2)
                now += SPEED_CHANGE_SECONDS / ROUNDS_TO_ALL
            for router in self.routers:
                for engine, factor in slow.items():
                    speed = router.loads.speeds.slowness(engine, now)
                    known += speed is not None
                    right += speed is not None and speed.value == factor
        total = 20 * len(self.routers) * len(ENGINES)
        self.assertGreater(known, 0.99 * total)
        self.assertGreater(right, 0.98 * total)

    def test_a_speed_is_dated_on_receipt_and_a_relayed_one_with_its_reading(self):
        self.routers[0].record_engine_load('e0', 3, sent_at=1.0, now=1.4, slowness=2.5)
        self.exchange(1.5)
        self.exchange(1.6)
        own = self.routers[0].loads.speeds.slowness('e0', 1.6)
        relayed = self.routers[1].loads.speeds.slowness('e0', 1.6)
        self.assertAlmostEqual(0.2, own.age)
        self.assertTrue(0.6 <= relayed.age <= 0.65, relayed)

    def test_an_answer_to_an_earlier_call_reports_a_newer_speed(self):
        router = self.routers[0]
        router.record_engine_load('e0', 3, sent_at=1.2, now=1.3, slowness=1.0)
        router.record_engine_load('e0', 3, sent_at=1.0, now=1.5, slowness=2.5)
        self.assertEqual(2.5, router.loads.speeds.slowness('e0', 1.5).value)

    def test_metrics_show_how_many_engines_report_and_the_oldest_report(self):
        router = self.routers[0]
        router.admit(Call('one', 'w', 'llm', 'chat', Work(1, 1), 9.0), 1.0)
        router.record_engine_load('e0', 3, 1.0, 1.0, 2.5)
        router.record_engine_load('e1', 3, 1.2, 1.2, 1.0)
        router.record_engine_load('e2', 3, 1.2, 1.2)
        (use,) = router.engine_uses(1.5)
        self.assertEqual((2, 0.5), (use.speeds, use.oldest_speed))
        metrics = Metrics()
        metrics.engine_use(use)
        metrics.engine_use(ServiceUse('plain', 1, {}))
        lines = metrics.page().decode().splitlines()
        shown = [line for line in lines if 'speed' in line and not line.startswith('#')]
        self.assertEqual(
            [
                'seamhold_engines_with_speed{service="llm"} 2.0',
                'seamhold_oldest_speed_seconds{service="llm"} 0.5',
            ],
            shown,
        )
