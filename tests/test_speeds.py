"""The speeds that engines report: kept with their time, relayed, and dropped with age."""

import random

import msgspec
import testtools

from seamhold.metrics import Metrics
from seamhold_membership import Digest
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


def new_reader() -> DigestReader:
    names = NameTable()
    names.add(engine.name for engine in ENGINES)
    return DigestReader(names)


class TestSpeedTable(testtools.TestCase):
    def test_the_newest_speed_is_kept_until_its_engine_stopped_reporting(self):
        table = SpeedTable()
        self.assertTrue(table.record('e', 2.5, 1.0))
        # A report that arrives late does not replace a newer one.
        self.assertFalse(table.record('e', 1.0, 0.5))
        self.assertEqual(Slowness(2.5, 0.5), table.slowness('e', 1.5))
        self.assertEqual([0.5], table.ages(['e', 'f'], 1.5))
        late = 1.0 + SPEED_SECONDS + 0.1
        self.assertIsNone(table.slowness('e', late))
        table.expire(late)
        self.assertEqual({}, table._speeds)


class TestSpeedColumn(testtools.TestCase):
    def read_with(self, column: list | None) -> list[float | None]:
        """Return the speeds read from four readings whose column of speeds is replaced."""
        readings = tuple(LoadReading(f'e{n}', n, 0.1, 2.5) for n in range(4))
        fields = msgspec.msgpack.decode(encode_digest(Digest('box', 'x', readings=readings)))
        (sent,) = [field for field in fields if isinstance(field, list)]
        sent[3:] = [] if column is None else [column]
        received = new_reader().read(msgspec.msgpack.encode(fields)).readings
        self.assertEqual([0, 1, 2, 3], [reading.requests for reading in received])
        return [reading.slowness for reading in received]

    def test_speeds_are_relayed_in_hundredths(self):
        speeds = [2.5, None, 9_999_999.99, 0.01]
        readings = tuple(LoadReading(f'e{n}', n, 0.1, speed) for n, speed in enumerate(speeds))
        received = new_reader().read(EncodedDigest(Digest('box', 'x', readings=readings)).data)
        self.assertEqual(speeds, [reading.slowness for reading in received.readings])

    def test_the_bytes_are_unchanged_where_no_speed_is_reported(self):
        columns = reading_columns([LoadReading('e0', 3, 0.1), LoadReading('e1', 300, 0.1)])
        before = [pack_names(['e0', 'e1']), [3, 300], [age_steps(0.1)] * 2]
        self.assertEqual(msgspec.msgpack.encode(before), msgspec.msgpack.encode(columns))

    def test_older_versions_and_this_one_read_each_others_columns(self):
        self.assertEqual([None] * 4, self.read_with(None))
        columns = msgspec.msgpack.encode(reading_columns([LoadReading('e0', 3, 0.1, 2.5)]))
        read = msgspec.msgpack.decode(columns, type=ReadingColumns)
        self.assertEqual(([3], [age_steps(0.1)]), (read.requests, read.ages))

    def test_an_invalid_speed_costs_no_reading(self):
        self.assertEqual([None, None, 2.5, None], self.read_with([-1, 10**9, 250]))


class TestSpeedsBetweenBoxes(testtools.TestCase):
    """Boxes learn the speeds of engines that report them to others."""

    def setUp(self):
        super().setUp()
        self.routers = [Router(f'box-{number}', 'x') for number in range(8)]
        boxes = [Box(router.box, f'{router.box}:1') for router in self.routers]
        self.readers = {router.box: new_reader() for router in self.routers}
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
                received = self.readers[peer.box].read(EncodedDigest(digest).data)
                if received is not None and rng.random() >= lost:
                    peer.receive_digest(received, now)
            router.digests_sent(digests)

    def test_all_boxes_follow_speeds_that_change_while_digests_are_lost(self):
        now, right = 1.0, 0
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
                    right += speed is not None and speed.value == factor
        self.assertGreater(right, 0.98 * 20 * len(self.routers) * len(ENGINES))

    def test_a_speed_is_dated_on_receipt_and_a_relayed_one_with_its_reading(self):
        self.routers[0].record_engine_load('e0', 3, sent_at=1.0, now=1.4, slowness=2.5)
        self.exchange(1.5)
        self.exchange(1.6)
        own, relayed = (router.loads.speeds.slowness('e0', 1.6) for router in self.routers[:2])
        self.assertAlmostEqual(0.2, own.age)
        self.assertTrue(0.6 <= relayed.age <= 0.65, relayed)
        # The answer to a call that was sent earlier reports a newer speed.
        self.routers[0].record_engine_load('e0', 3, sent_at=0.9, now=1.7, slowness=1.0)
        self.assertEqual(1.0, self.routers[0].loads.speeds.slowness('e0', 1.7).value)

    def test_metrics_show_how_many_engines_report_and_the_oldest_report(self):
        router = self.routers[0]
        router.admit(Call('one', 'w', 'llm', 'chat', Work(1, 1), 9.0), 1.0)
        for engine, at, speed in (('e0', 1.0, 2.5), ('e1', 1.2, 1.0), ('e2', 1.2, None)):
            router.record_engine_load(engine, 3, at, at, speed)
        metrics = Metrics()
        metrics.engine_use(router.engine_uses(1.5)[0])
        page = metrics.page().decode()
        self.assertIn('seamhold_engines_with_speed{service="llm"} 2.0\n', page)
        self.assertIn('seamhold_oldest_speed_seconds{service="llm"} 0.5\n', page)
