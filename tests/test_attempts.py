"""Retries, tickets and claims."""

import threading
from typing import Any

import testtools
from hypothesis import given
from hypothesis import strategies as st

from seamhold.budgets import RetryBudgets
from seamhold.claims import WRITES_PER_SECOND, AcquireClaim, ClaimWriter, ReleaseClaim
from seamhold.context import Environment
from seamhold.metrics import Metrics
from seamhold_attempts import (
    ClaimBucket,
    ClaimState,
    Outcome,
    RetryBudget,
    RetryRule,
    TicketStore,
    may_retry,
    parse_ticket,
)
from seamhold_attempts.claims import BucketUnreadable, Claim
from seamhold_attempts.retry import RESTORED_MAX
from seamhold_messages.errors import (
    ClaimsUnavailable,
    KeyInUse,
    KeyMismatch,
    TicketsFull,
    TicketUnknown,
)
from seamhold_peers import ClaimRequest
from seamhold_platform import ObjectKind, PlatformClient
from seamhold_settings.schema import Control
from standins.platform import Platform


class TestRetry(testtools.TestCase):
    @given(st.sampled_from(Outcome), st.integers(1, 5), st.booleans())
    def test_a_call_that_may_have_run_is_not_sent_again(self, outcome, tried, passed):
        allowed = may_retry(RetryRule(False, 5), outcome, tried, passed)
        if allowed:
            refused = (Outcome.ENGINE_REFUSED, Outcome.ENGINE_FULL)
            not_run = (Outcome.NOT_SENT, Outcome.WITHDRAWN, *refused, Outcome.MISDIRECTED)
            self.assertIn(outcome, not_run)

    def test_no_second_answer_begins_after_part_of_one(self):
        self.assertFalse(may_retry(RetryRule(True, 5), Outcome.BROKEN, 1, answer_started=True))

    def test_the_budget_is_a_share_of_first_attempts(self):
        budget = RetryBudget(0.0, 0.1, 10.0)
        while budget.take(20.0):
            pass
        for at in (8.0, 20.0):
            for _ in range(100):
                budget.record_first_attempt(at)
        self.assertIn(sum(budget.take(20.0) for _ in range(50)), (9, 10))

    def test_calls_that_move_to_another_box_earn_no_second_budget(self):
        first, second = RetryBudget(0.0, 0.2, 10.0), RetryBudget(0.0, 0.2, 10.0)
        for number in range(100):
            for budget in (first, second):
                budget.record_first_attempt(80.0 + number / 5)
        spent = sum(first.take(100.0) for _ in range(90))
        for number in range(100):
            second.record_first_attempt(100.0 + number / 10)
        spent += sum(second.take(109.9) for _ in range(90))
        self.assertLessEqual(spent, 0.2 * 100)

    @given(st.lists(st.tuples(st.floats(0, 40), st.booleans()), max_size=200))
    def test_the_budget_holds_in_every_window(self, events):
        budget = RetryBudget(0.0, 0.2, 10.0)
        budget.reserve, budget.boxes = 8.0, 4
        firsts, retries = [], []
        for now, first in sorted(events):
            if first:
                budget.record_first_attempt(now)
                firsts.append(now)
            elif budget.take(now):
                retries.append(now)
        for end in retries:
            spent = sum(end - 10.0 < at <= end for at in retries)
            earned = 0.2 * sum(end - 10.0 < at <= end for at in firsts)
            self.assertLessEqual(spent, earned + 2.0)

    def test_a_box_that_just_started_has_one_retry_and_its_share_grows(self):
        budget = RetryBudget(100.0, 0.2, 10.0)
        budget.reserve, budget.boxes = 40.0, 4
        self.assertEqual(1, sum(budget.take(100.0) for _ in range(50)))
        self.assertEqual(4, sum(budget.take(105.0) for _ in range(50)))

    def test_a_box_that_restarts_does_not_spend_its_budget_twice(self):
        before = RetryBudget(0.0, 0.2, 10.0)
        before.reserve, before.boxes = 40.0, 4
        for number in range(200):
            before.record_first_attempt(80.1 + number / 10)
        spent = sum(before.take(100.0) for _ in range(90))
        after = RetryBudget(103.0, 0.2, 10.0)
        after.reserve, after.boxes = 40.0, 4
        after.restore(*before.counts(100.0), 100.0)
        for number in range(50):
            after.record_first_attempt(103.0 + number / 10)
        again = sum(after.take(108.0) for _ in range(90))
        self.assertEqual((30, 0), (spent, again))
        self.assertGreater(sum(after.take(111.0) for _ in range(90)), 10)

    def test_counts_that_cannot_be_true_are_bounded(self):
        budget = RetryBudget(0.0, 0.2, 10.0)
        budget.restore(10**12, 10**12, 5.0)
        self.assertEqual((RESTORED_MAX, RESTORED_MAX), budget.counts(5.0))
        budget.restore(-1, -1, 6.0)
        self.assertFalse(budget.take(6.0))

    def test_a_share_below_one_retry_gives_none_at_the_start(self):
        budget = RetryBudget(100.0, 0.2, 10.0)
        budget.reserve, budget.boxes = 40.0, 62
        self.assertFalse(budget.take(100.0))


class TestRetryBudgets(testtools.TestCase):
    """The reserve that all boxes share."""

    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.budgets = RetryBudgets(lambda: self.now)
        self.budgets.use(Control(retry_reserve=40.0, retry_window_seconds=10.0))
        self.now = 60.0

    def retries(self) -> int:
        return sum(self.budgets.take('app') for _ in range(90))

    def test_a_box_that_drops_off_the_list_leaves_no_larger_share_to_the_others(self):
        self.budgets.set_boxes(4)
        self.assertEqual(10, self.retries())
        self.budgets.set_boxes(2)
        self.now += 9.0
        self.assertEqual(0, self.retries())
        self.now += 2.0
        self.assertEqual(20, self.retries())

    def test_a_list_that_is_whole_again_ends_that_wait(self):
        for number in (4, 2, 4):
            self.budgets.set_boxes(number)
        self.now += 11.0
        self.budgets.set_boxes(2)
        self.assertEqual(10, self.retries())


class TestTickets(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = TicketStore('box-1', 'abc', max_tickets=3)

    def test_a_ticket_is_dispatched_once(self):
        (ticket,) = self.store.issue('w', 1, 10, 0.0)
        name = parse_ticket(ticket)
        self.store.begin(name, 'w', 'body', 1.0)
        self.assertRaises(KeyInUse, self.store.begin, name, 'w', 'body', 2.0)
        self.assertRaises(KeyMismatch, self.store.begin, name, 'w', 'other', 2.0)

    def test_a_ticket_can_be_used_again_if_its_call_did_not_run(self):
        (ticket,) = self.store.issue('w', 1, 10, 0.0)
        name = parse_ticket(ticket)
        self.store.begin(name, 'w', 'body', 1.0)
        self.store.mark_not_run(name)
        self.store.begin(name, 'w', 'body', 2.0)
        self.store.mark_done(name)
        self.store.mark_not_run(name)
        self.assertRaises(KeyInUse, self.store.begin, name, 'w', 'body', 3.0)

    def test_a_ticket_is_unknown_to_another_workspace_or_incarnation_and_after_it_expires(self):
        (ticket,) = self.store.issue('w', 1, 10, 0.0)
        name = parse_ticket(ticket)
        self.assertRaises(TicketUnknown, self.store.begin, name, 'v', 'body', 1.0)
        self.assertRaises(TicketUnknown, self.store.begin, name, 'w', 'body', 10.0)
        restarted = TicketStore('box-1', 'def')
        self.assertRaises(TicketUnknown, restarted.begin, name, 'w', 'body', 1.0)

    def test_the_number_of_tickets_is_limited(self):
        self.store.issue('w', 3, 10, 0.0)
        self.assertRaises(TicketsFull, self.store.issue, 'w', 1, 10, 5.0)
        self.store.issue('w', 1, 10, 11.0)

    def test_malformed_tickets_are_rejected(self):
        for text in ('', 'a', 'a.b', 'a..c', 'a.b.c.d'):
            self.assertRaises(TicketUnknown, parse_ticket, text)


class TestClaimBucket(testtools.TestCase):
    def test_a_row_that_cannot_be_read_takes_its_key_and_no_other(self):
        valid = ['me', 'hash', 1.0]
        for row in (None, 7, [], valid[:2], [*valid, 1], [1, 'hash', 1.0], ['me', 'hash', 'x']):
            bucket = ClaimBucket.from_spec({'claims': {'odd': row, 'key': valid}})
            self.assertEqual(ClaimState.TAKEN, bucket.try_claim(Claim('odd', 'me', 'hash', 2.0)))
            self.assertEqual(ClaimState.OWNED, bucket.try_claim(Claim('key', 'me', 'hash', 2.0)))
            self.assertEqual(ClaimState.OWNED, bucket.try_claim(Claim('new', 'me', 'hash', 2.0)))
            bucket.drop_before(10.0)
            self.assertEqual({'claims': {'odd': row}}, bucket.to_spec())
        unreadable: tuple[Any, ...] = (None, [], {'claims': None}, {'claims': [valid]})
        for spec in unreadable:
            self.assertRaises(BucketUnreadable, ClaimBucket.from_spec, spec)

    def test_the_first_owner_stays(self):
        bucket = ClaimBucket()
        self.assertIs(ClaimState.OWNED, bucket.try_claim(Claim('k', 'a', 'body', 1.0)))
        self.assertIs(ClaimState.OWNED, bucket.try_claim(Claim('k', 'a', 'body', 2.0)))
        self.assertIs(ClaimState.TAKEN, bucket.try_claim(Claim('k', 'b', 'body', 2.0)))
        self.assertIs(ClaimState.MISMATCH, bucket.try_claim(Claim('k', 'b', 'other', 2.0)))
        self.assertFalse(bucket.release('k', 'b'))
        again = ClaimBucket.from_spec(bucket.to_spec())
        self.assertEqual(bucket.claims, again.claims)
        self.assertTrue(again.release('k', 'a'))


class TestClaimWriter(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.server = Platform().start()
        self.addCleanup(self.server.stop)
        self.platform = PlatformClient(f'http://127.0.0.1:{self.server.port}')
        self.writer = self.make_writer()

    def make_writer(self) -> ClaimWriter:
        writer = ClaimWriter(self.platform, Environment(), Metrics(), Control)
        writer.start()
        self.addCleanup(writer.stop)
        return writer

    def claim(self, writer, key, owner, wait=2.0, bucket=0):
        request = ClaimRequest(bucket, key, owner, 'body', wait)
        return writer.query(AcquireClaim(request))

    def test_many_claims_share_few_writes(self):
        replies = [self.claim(self.writer, f'k{number}', f'o{number}') for number in range(200)]
        states = {reply.result(5) for reply in replies}
        self.assertEqual({ClaimState.OWNED}, states)
        self.assertLessEqual(self.server.counts['write.claims'], 4)

    def test_two_writers_never_both_own_a_key(self):
        other = self.make_writer()
        pairs = []
        for number in range(20):
            pairs.append(
                [self.claim(self.writer, f'k{number}', 'a'), self.claim(other, f'k{number}', 'b')]
            )
        for pair in pairs:
            states = sorted(reply.result(5) for reply in pair)
            self.assertEqual([ClaimState.OWNED, ClaimState.TAKEN], states)

    def test_a_claim_whose_write_answer_was_lost_is_recognised(self):
        self.server.set_faults({'lose_answers': 1})
        self.assertIs(ClaimState.OWNED, self.claim(self.writer, 'k', 'a').result(5))
        self.assertIs(ClaimState.TAKEN, self.claim(self.writer, 'k', 'b').result(5))

    def test_an_outage_is_reported_within_the_wait(self):
        self.server.set_faults({'down': True})
        reply = self.claim(self.writer, 'k', 'a', wait=0.3)
        self.assertRaises(ClaimsUnavailable, reply.result, 5)

    def test_a_release_frees_the_key_for_its_owner_only(self):
        self.claim(self.writer, 'k', 'a').result(5)
        self.writer.send(ReleaseClaim(0, 'k', 'b'))
        self.assertIs(ClaimState.TAKEN, self.claim(self.writer, 'k', 'b').result(5))
        self.writer.send(ReleaseClaim(0, 'k', 'a'))
        self.assertIs(ClaimState.OWNED, self.claim(self.writer, 'k', 'c').result(5))

    def test_writes_stay_within_their_rate(self):
        stop = threading.Event()
        began = Environment().monotonic()
        number = 0
        while Environment().monotonic() - began < 1.5:
            self.claim(self.writer, f'k{number}', 'a', bucket=number % 16)
            number += 1
            stop.wait(0.002)
        written = self.server.counts['write.claims']
        elapsed = Environment().monotonic() - began
        # Each bucket may be written once at the start.
        self.assertLessEqual(written, WRITES_PER_SECOND * elapsed + 17)
        self.assertEqual(16, len(self.platform.list(ObjectKind.CLAIMS).objects))
