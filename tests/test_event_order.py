"""Events of a stream: where they end, and whether each is the next one."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from seamhold.forwarding.events import PENDING_MAX_BYTES, EventCheck

LINE_ENDS = (b'\n', b'\r\n', b'\r')


def event(number: int, end: bytes = b'\n') -> bytes:
    """Return the bytes of one event whose lines end with `end`."""
    return b': c%bid:%d%bdata: x%b%b' % (end, number, end, end, end)


class TestEventEnds(testtools.TestCase):
    @given(st.lists(st.sampled_from(LINE_ENDS), max_size=6), st.lists(st.integers(1, 9)))
    def test_each_event_passes_unchanged_with_its_last_byte(self, ends, sizes):
        check, sent, passed = EventCheck(), b'', b''
        events = [event(number, end) for number, end in enumerate(ends, 1)]
        stream, due = b''.join(events), 0
        for size in [*sizes, *[1] * len(stream)]:
            passed += check.feed(stream[len(sent) : len(sent) + size])
            sent = stream[: len(sent) + size]
            while due < len(events) and len(b''.join(events[: due + 1])) <= len(sent):
                due += 1
            # The blank line of CR LF is complete with its CR.
            whole = b''.join(events[:due])
            self.assertTrue(passed == whole or (passed == sent and sent.endswith(b'\r')))
        self.assertEqual((stream, len(ends), True), (passed, check.events, check.end()))

    def test_an_event_that_ends_with_cr_lf_waits_for_nothing(self):
        check = EventCheck()
        self.assertEqual(b'id: 1\r\ndata: x\r\n\r\n', check.feed(b'id: 1\r\ndata: x\r\n\r\n'))
        self.assertEqual('1', check.position)

    def test_the_last_id_line_of_an_event_counts(self):
        check = EventCheck()
        check.feed(b'seamhold-x: 7\nid: 3\ndata: x\nid:4\nids: 9\n\n')
        self.assertEqual('4', check.position)

    def test_an_event_above_the_limit_is_not_passed_on(self):
        check = EventCheck()
        self.assertEqual(event(1), check.feed(event(1) + b'data: ' + b'x' * PENDING_MAX_BYTES))
        self.assertEqual('answer_too_large', check.error.code)


def feed_all(check: EventCheck, *runs: str) -> bytes:
    """Feed runs of ids until one is broken off; return the bytes that are passed on."""
    passed = b''
    for number, ids in enumerate(runs):
        if number:
            check.restart()
        passed += check.feed(b''.join(b'id: %b\ndata\n\n' % one.encode() for one in ids.split()))
    return passed


class TestOrder(testtools.TestCase):
    def assert_broken_off(self, check: EventCheck, code: str, *runs: str, passed: str) -> None:
        self.assertEqual(feed_all(EventCheck(), passed), feed_all(check, *runs))
        self.assertEqual(code, check.error.code)

    def test_a_repeated_or_earlier_event_is_broken_off_after_those_before_it(self):
        for ids in ('1 2 2 3', '1 2 1', '1 2 02', '1 2 0'):
            self.assert_broken_off(EventCheck(), 'event_out_of_order', ids, passed='1 2')

    def test_a_run_that_begins_anew_or_repeats_the_last_event_is_broken_off(self):
        for again in ('1 2 3 4', '3 4'):
            check = EventCheck()
            self.assert_broken_off(check, 'event_out_of_order', '1 2 3', again, passed='1 2 3')
            self.assertEqual(('3', ''), (check.position, check.first))

    def test_a_stream_that_its_caller_takes_up_does_not_begin_anew(self):
        self.assert_broken_off(EventCheck('3'), 'event_out_of_order', '1 2 3', passed='')

    def test_ids_without_an_order_are_refused_only_where_a_run_begins_anew(self):
        self.assertEqual(
            feed_all(EventCheck(), 'b a a c b'), feed_all(EventCheck(), 'b a a', 'c b')
        )
        for again in ('a c', 'b a'):
            self.assert_broken_off(EventCheck(), 'event_out_of_order', 'b a', again, passed='b a')

    def test_ids_of_more_than_64_bits_are_not_compared_as_numbers(self):
        huge = '9' * 30
        check = EventCheck()
        feed_all(check, f'{huge}1 {huge}0', f'{huge}5')
        self.assertIsNone(check.error)
