"""Digests between boxes: full, relative to a base, lost, duplicated and reordered."""

import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from seamhold_membership import (
    Digest,
    DigestReceiver,
    DigestSender,
    Event,
    EventKind,
)
from seamhold_messages.fleet import Box
from seamhold_messages.hashing import hash32
from seamhold_messages.work import BoxRetries, Holding, RetryCount, Usage, WaitingCalls, Work
from seamhold_peers import DigestReader, EncodedDigest, NameTable
from seamhold_peers.datagrams import DATAGRAM_MAX_BYTES
from seamhold_peers.digest_codec import DigestPartWithRetries
from seamhold_routing import Router, Versions

LOADS = st.dictionaries(
    st.sampled_from([f'e{number}' for number in range(6)]),
    st.builds(Work, st.integers(1, 99), st.integers(0, 10**6)),
)
USAGE = st.dictionaries(
    st.sampled_from([hash32('w1'), hash32('w2')]),
    st.builds(Usage, st.builds(Work, st.integers(1, 9)), st.integers(0, 50).map(float)),
)


class TestEvacuationsInDigests(testtools.TestCase):
    def test_the_version_of_their_list_is_encoded_only_if_there_is_one(self):
        reader = DigestReader(NameTable())
        for version in (0, 7):
            digest = Digest('b', 'x', evacuations_version=version)
            read = reader.read(EncodedDigest(digest).data)
            self.assertEqual(version, read.evacuations_version)
        size = EncodedDigest(Digest('b', 'x', evacuations_version=7)).size
        self.assertEqual(1, size - EncodedDigest(Digest('b', 'x')).size)


class TestWaitingCallsInDigests(testtools.TestCase):
    def test_they_are_encoded_only_if_calls_wait_and_older_boxes_skip_them(self):
        reader = DigestReader(NameTable())
        waiting = (
            WaitingCalls(hash32('app'), 0, 9, 0.25),
            WaitingCalls(hash32('app'), 9, 300, 2.5),
        )
        digest = Digest('b', 'x', cases_fingerprint=5, waiting=waiting)
        data = EncodedDigest(digest).data
        self.assertEqual(digest, reader.read(data))
        self.assertEqual(
            5, msgspec.msgpack.decode(data, type=DigestPartWithRetries).cases_fingerprint
        )
        self.assertLess(EncodedDigest(digest).size - EncodedDigest(Digest('b', 'x')).size, 40)

    def test_rows_that_no_box_can_mean_are_left_out(self):
        rows = [(10, 1, 0.0), (-1, 1, 0.0), (0, 0, 0.0), (0, -5, 0.0), (0, 1, -1.0), (1, 2, 0.5)]
        waiting = tuple(WaitingCalls(7, *row) for row in rows)
        read = DigestReader(NameTable()).read(EncodedDigest(Digest('b', 'x', waiting=waiting)).data)
        self.assertEqual((WaitingCalls(7, 1, 2, 0.5),), read.waiting)


class TestRetriesInDigests(testtools.TestCase):
    def test_what_a_box_spent_of_its_retry_budgets_is_encoded_only_if_there_is_any(self):
        reader = DigestReader(NameTable())
        counts = (RetryCount(hash32('app'), 9, 70), RetryCount(hash32('llm'), 300, 2000))
        for digest in (Digest('b', 'x'), Digest('b', 'x', cases_fingerprint=5, retries=counts)):
            self.assertEqual(digest, reader.read(EncodedDigest(digest).data))

    def test_peers_tell_a_box_that_has_restarted_what_it_spent(self):
        box, peer = Router('box', '1'), Router('peer', '1')
        for router in (box, peer):
            router.set_boxes([Box('box', ''), Box('peer', '')], 0.0)
        counts = (RetryCount(hash32('app'), 9, 70),)
        (digest,) = box.digests_for(['peer'], Versions(), 1.0, counts)
        peer.receive_digest(digest, 1.0)
        exchange = peer.exchange
        self.assertEqual(BoxRetries(counts, 2.0), exchange.retries_before('box', '2', 3.0))
        self.assertEqual(BoxRetries(), exchange.retries_before('box', '1', 3.0))
        self.assertEqual(BoxRetries(), exchange.retries_before('other', '1', 3.0))
        peer.tick(100.0)
        self.assertEqual(BoxRetries(), exchange.retries_before('box', '2', 100.0))


class TestDigests(testtools.TestCase):
    @given(
        st.lists(st.tuples(LOADS, USAGE, st.sampled_from(('received', 'lost', 'late', 'acked'))))
    )
    def test_the_received_state_is_the_sent_state(self, steps):
        names = NameTable()
        names.add(f'e{number}' for number in range(6))
        sender, receiver, reader = DigestSender(), DigestReceiver(), DigestReader(names)
        late = []
        last = 0
        for loads, usage, fate in steps:
            current = Digest('box', '1', loads=loads, usage=usage, settings_total=7)
            message = sender.next_for('peer', current, 0)
            data = EncodedDigest(message).data
            if fate == 'late':
                late.append(data)
            if fate in ('lost', 'late'):
                continue
            digest = reader.read(data)
            if digest is None:
                # No full digest was read yet, so the sender is not known.
                self.assertEqual(0, last)
                continue
            received = receiver.receive(digest)
            self.assertEqual(
                (loads, usage, 7), (received.loads, received.usage, received.settings_total)
            )
            last = received.seq
            for data in late:
                self.assertIsNone(receiver.receive(reader.read(data)))
            late.clear()
            if fate == 'acked':
                sender.record_ack('peer', receiver.last_seq('box'))

    def test_after_an_ack_the_next_digest_carries_only_changes(self):
        sender = DigestSender()
        current = Digest('box', '1', loads={'a': Work(1, 10), 'b': Work(2, 20)})
        first = sender.next_for('peer', current, 0)
        self.assertTrue(first.full)
        sender.record_ack('peer', first.seq)
        changes = sender.next_for('peer', replace(current, loads={'a': Work(1, 10)}), 0)
        self.assertEqual({'b': Work(0, 0)}, changes.loads)
        sender.forget('peer')
        self.assertTrue(sender.next_for('peer', current, 0).full)

    def test_a_peer_that_lost_its_state_gets_a_full_digest(self):
        sender, receiver = DigestSender(), DigestReceiver()
        current = Digest('box', '1', loads={'a': Work(1, 10)})
        receiver.receive(sender.next_for('peer', current, 0))
        sender.record_ack('peer', receiver.last_seq('box'))
        receiver.forget('box')
        self.assertIsNone(receiver.receive(sender.next_for('peer', current, 0)))
        sender.record_ack('peer', receiver.last_seq('box'))
        received = receiver.receive(sender.next_for('peer', current, 0))
        self.assertEqual(current.loads, received.loads)

    def test_a_restarted_peer_needs_a_full_digest(self):
        receiver = DigestReceiver()
        receiver.receive(Digest('box', '1', seq=9, loads={'a': Work(1, 10)}))
        self.assertIsNone(receiver.receive(Digest('box', '2', seq=10, base=9)))
        self.assertEqual({}, receiver.receive(Digest('box', '2', seq=1)).loads)

    def test_a_datagram_that_is_too_large_omits_the_least_needed_fields(self):
        names = NameTable()
        names.add(f'e{number}' for number in range(60))
        loads = {f'e{number}': Work(1, 1) for number in range(60)}
        held = tuple(Holding(number, 'e1') for number in range(64))
        events = [Event(EventKind.BOX_GONE, 'b' * 90, '1' * 20, 'c' * 90)] * 4
        whole = Digest('box', '1', loads=loads, events=events, held=held)
        encoded = EncodedDigest(whole)
        self.assertLessEqual(len(encoded.data), DATAGRAM_MAX_BYTES)
        self.assertEqual(loads, DigestReader(names).read(encoded.data).loads)
        self.assertEqual(([], ()), (encoded.digest.events, encoded.digest.held))
        small = EncodedDigest(replace(whole, held=held[:3], events=[]))
        self.assertEqual(held[:3], small.digest.held)

    def test_a_peer_receives_no_less_than_the_demand_and_use_of_a_box(self):
        # Demand must not be rounded down: when it was rounded to the nearest tenth, a box counted
        # on 2.04 calls for its share while its peers made room for 2.0.
        first, second = hash32('w'), hash32('v')
        usage = {first: Usage(Work(2, 200), 2.04, Work(1, 150)), second: Usage(Work(1, 9), 1.0)}
        data = EncodedDigest(Digest('box', '1', usage=usage)).data
        received = DigestReader(NameTable()).read(data).usage
        self.assertAlmostEqual(2.1, received[first].demand)
        self.assertEqual(Work(1, 150), received[first].excess)
        self.assertEqual(usage[second], received[second])

    def test_malformed_data_is_not_read(self):
        reader = DigestReader(NameTable())
        for data in (b'', b'\xff\xff\xff', b'\x0a\xff', bytes(50)):
            self.assertIsNone(reader.read(data))
