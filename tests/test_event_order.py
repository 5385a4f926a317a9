"""Events of a stream: where they end, and whether each is the next one."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from seamhold.forwarding.events import PENDING_MAX_BYTES, EventCheck
from seamhold.streams import EventStreamCheck
from seamhold_attempts.event_order import ID_MAX_BYTES
from seamhold_attempts.event_steps import AGREEING_STREAMS, SERVICES_MAX, EventSteps

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


def events_of(ids: str) -> bytes:
    """Return the bytes of events with these ids; `-` is data without an id."""
    return b''.join(
        b'data\n\n' if one == '-' else b'id: %b\ndata\n\n' % one.encode() for one in ids.split()
    )


class OrderTestCase(testtools.TestCase):
    """Feeds a check with the events of several answers to one call."""

    def feed_all(self, check: EventCheck, *answers: str) -> bytes:
        """Feed the answers, with takings-up between them; return what is passed on."""
        passed = check.feed(events_of(answers[0]))
        for ids in answers[1:]:
            check.restart()
            passed += check.feed(events_of(ids))
        return passed

    def assert_broken_off(self, check: EventCheck, code: str, *answers: str, passed: str) -> None:
        self.assertEqual(events_of(passed), self.feed_all(check, *answers))
        self.assertEqual(code, check.error.code)

    def assert_passes(self, check: EventCheck, *answers: str) -> None:
        self.assertEqual(events_of(' '.join(answers)), self.feed_all(check, *answers))
        self.assertIsNone(check.error)


class TestOrder(OrderTestCase):
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
            self.feed_all(EventCheck(), 'b a a c b'), self.feed_all(EventCheck(), 'b a a', 'c b')
        )
        for again in ('a c', 'b a'):
            self.assert_broken_off(EventCheck(), 'event_out_of_order', 'b a', again, passed='b a')

    def test_a_stream_is_not_taken_up_after_data_without_an_id(self):
        for ids, can_resume in (('1', True), ('1 -', False), ('-', False), ('1 - 2', True)):
            check = EventCheck()
            check.feed(events_of(ids) + b': comment\n\n')
            self.assertEqual(can_resume, check.can_resume, ids)
        check.feed(events_of('9' * (ID_MAX_BYTES + 1)))
        self.assertFalse(check.can_resume)

    def test_ids_of_more_than_64_bits_are_not_compared_as_numbers(self):
        huge = '9' * 30
        self.assert_passes(EventCheck(), f'{huge}1 {huge}0', f'{huge}5')


class TestMissingEvents(OrderTestCase):
    def setUp(self):
        super().setUp()
        self.steps = EventSteps()

    def check_of(self, resume_after: str = '') -> EventCheck:
        return EventCheck(resume_after, 'app', self.steps)

    def test_a_jump_beyond_the_step_of_a_call_is_broken_off(self):
        for passed, after in (('1 2', '4'), ('10 20', '40 50')):
            self.assert_broken_off(
                EventCheck(), 'events_missing', f'{passed} {after}', passed=passed
            )
            self.assert_broken_off(EventCheck(), 'events_missing', passed, after, passed=passed)

    def test_a_jump_over_events_without_a_number_is_none(self):
        self.assert_passes(EventCheck(), '1 2 a 4 - 7', '8')

    def test_a_stream_taken_up_after_its_first_event_has_its_services_step(self):
        self.assert_passes(self.check_of(), '7 8 9')
        self.assert_broken_off(self.check_of(), 'events_missing', '1', '3 4', passed='1')
        self.assert_broken_off(self.check_of('4'), 'events_missing', '6 7', passed='')
        self.assert_passes(self.check_of('4'), '5 6 7')
        self.assert_passes(self.check_of(), '1', '2', '3 4')

    def test_a_jump_before_a_run_is_seen_once_its_step_is_known(self):
        for check, answers in ((EventCheck(), ('1', '3 4')), (EventCheck('2'), ('4 5',))):
            passed = ' '.join(answers)[:-2]
            self.assert_broken_off(check, 'events_missing', *answers, passed=passed)
            self.assertFalse(check.can_resume)

    def test_a_calls_own_step_counts_at_a_taking_up_though_others_differ(self):
        self.feed_all(self.check_of(), '5 9 14')
        self.assert_broken_off(self.check_of(), 'events_missing', '1 2 3', '5', passed='1 2 3')

    def test_without_a_known_step_ids_only_have_to_rise(self):
        self.assert_passes(EventCheck(), '5', '9', '30')
        self.assert_passes(EventCheck('4'), '90')

    def test_a_service_whose_steps_differ_loses_one_stream_at_most(self):
        self.feed_all(self.check_of(), '5 9 14')
        for runs in (['5 9 14 15 30'], ['1 2', '5 6'], ['2', '7']):
            self.assert_passes(self.check_of(), *runs)

    def test_streams_with_several_steps_take_none_from_each_other(self):
        self.assert_passes(self.check_of(), '1 2 3')
        self.assert_passes(self.check_of(), '10 20 30')
        self.assert_passes(self.check_of('10'), '20 30')
        for _ in range(AGREEING_STREAMS + 1):
            self.assert_passes(self.check_of(), '10 20')
        self.assert_broken_off(self.check_of('10'), 'events_missing', '30', passed='')

    def test_services_are_bounded(self):
        for number in range(SERVICES_MAX + 1):
            self.steps.record(str(number), 1)
        self.assertEqual((0, 1), (self.steps.known('1'), self.steps.known(str(SERVICES_MAX))))


class TestProductsProtocol(testtools.TestCase):
    def test_events_before_one_of_another_request_pass_for_each_line_end(self):
        for end in LINE_ENDS:
            ours, theirs = (b'data: {"id": "%b"}%b' % (name, 2 * end) for name in (b'r1', b'r2'))
            check = EventStreamCheck('r1')
            self.assertEqual(2 * ours, check.feed(2 * ours + theirs + ours))
            self.assertEqual(('answer_mismatch', '2'), (check.error.code, check.position))

    def test_a_stream_is_complete_only_with_its_mark(self):
        check = EventStreamCheck('r1')
        check.feed(b'data: {"id": "r1", "text": "data: [DONE]"}\n\n')
        self.assertFalse(check.end())
        check.feed(b'data: [DONE]\r\n\r\n')
        self.assertTrue(check.end())
