"""Workspace limits across boxes, and queues."""

import random
from collections import Counter

import testtools
from hypothesis import given
from hypothesis import strategies as st

from seamhold_limits import TokenBucket, WaitQueue, WorkspaceCaps, WorkspaceLimits, split_limit
from seamhold_limits.share import Demands, holds_within_share
from seamhold_messages.errors import WorkspaceLimit
from seamhold_messages.work import Call, Priority, Work

ONE = Work(1, 100)


class Fleet:
    """Boxes that tell each other their usage on a hand-set clock."""

    def __init__(self, count: int, caps: WorkspaceCaps, seed: int = 1, lost: float = 0.0):
        self.now = 0.0
        self.lost = lost
        self.sent = Counter()
        #: The last message of the first that the second heard.
        self.got = Counter()
        self.chance = random.Random(seed)
        self.names = [f'box-{number}' for number in range(count)]
        self.boxes = {name: WorkspaceLimits(name) for name in self.names}
        for box in self.boxes.values():
            box.set_caps({'w': caps})
            box.set_boxes(self.names)
        self.next_tell = {name: self.chance.uniform(0, 0.5) for name in self.names}
        self.held = dict.fromkeys(self.names, 0)

    def step(self, seconds: float) -> None:
        self.now += seconds
        for name in self.names:
            if self.now >= self.next_tell[name]:
                self.tell(name)
                self.next_tell[name] = self.now + self.chance.uniform(0.4, 0.6)

    def tell(self, name: str) -> None:
        usage = self.boxes[name].usage(self.now)
        for peer in self.names:
            if peer == name:
                continue
            self.sent[name, peer] += 1
            seq = self.sent[name, peer]
            self.boxes[name].digest_sent(peer, seq, usage)
            if self.chance.random() < self.lost:
                continue
            self.boxes[peer].set_peer(name, usage, self.got[peer, name])
            self.got[name, peer] = seq

    def ask(self, name: str) -> bool:
        try:
            self.boxes[name].admit('w', ONE, self.now)
        except WorkspaceLimit:
            return False
        self.held[name] += 1
        return True

    def end(self, name: str) -> None:
        self.held[name] -= 1
        self.boxes[name].release('w', ONE)

    @property
    def total(self) -> int:
        return sum(self.held.values())


class TestShares(testtools.TestCase):
    @given(
        st.integers(0, 1000),
        st.dictionaries(st.text(min_size=1), st.floats(0, 1e6), min_size=1, max_size=20),
    )
    def test_shares_add_up_to_the_limit(self, limit, demands):
        shares = split_limit(limit, demands)
        self.assertEqual(limit, sum(shares.values()))
        self.assertTrue(all(share >= 0 for share in shares.values()))

    @given(st.integers(0, 10_000))
    def test_whether_a_share_is_held_takes_no_other_shares(self, seed):
        chance = random.Random(seed)
        limit, idle = chance.randint(1, 40), chance.randint(0, 4)
        own, *told = [chance.uniform(0, 10) for _ in range(chance.randint(1, 6))]
        demands = dict(enumerate([own, *told, *[0.0] * idle]))
        share = split_limit(limit, {str(box): demand for box, demand in demands.items()})['0']
        found = Demands(own, tuple(told), idle)
        self.assertTrue(share == 0 or holds_within_share(limit, share, found))
        self.assertFalse(holds_within_share(limit, share + 1, found))

    @given(st.integers(0, 10_000))
    def test_boxes_that_believe_more_of_others_take_no_more_than_the_limit(self, seed):
        # A box believes of another at least what that one counts on for itself.
        chance = random.Random(seed)
        for _ in range(100):
            limit = chance.randint(1, 40)
            demands = {name: chance.uniform(0, 10) for name in 'abcdef'[: chance.randint(2, 6)]}
            total = 0
            for me in demands:
                believed = {
                    name: own + chance.choice((0, chance.uniform(0, 0.5)))
                    for name, own in demands.items()
                }
                total += split_limit(limit, believed | {me: demands[me]})[me]
            self.assertLessEqual(total, limit)


#: Seeds of rushes that passed the limit by one.
RUSHES = (1476, 1761, 1835, 2232, 2375, 18, 1223, 1590, 2199, 5433)


class TestWorkspaceLimits(testtools.TestCase):
    @given(st.integers(0, 10_000), st.integers(1, 40), st.integers(2, 6), st.sampled_from((0, 0.3)))
    def test_boxes_together_never_pass_the_limit(self, seed, limit, count, lost):
        fleet = Fleet(count, WorkspaceCaps(requests_in_flight=limit), seed, lost)
        chance = random.Random(seed)
        for _ in range(400):
            fleet.step(0.05)
            # Demand moves: some boxes surge while others fall quiet.
            busy = fleet.names[int(fleet.now) % count]
            for name in fleet.names:
                for _ in range(3 if name == busy else 1):
                    fleet.ask(name)
                if fleet.held[name] and chance.random() < 0.5:
                    fleet.end(name)
            self.assertLessEqual(fleet.total, limit)

    def test_a_rush_that_begins_everywhere_stays_within_the_limit(self):
        # 7 calls of a workspace ran where its limit is 6.  Each box rounded its share among
        # demands of its own hearing, and two rounded up for the same call.  Of 6,000 such
        # rushes eight passed the limit.
        for seed in RUSHES:
            chance = random.Random(seed)
            limit = chance.choice((5, 6, 7, 8, 10))
            fleet = Fleet(chance.choice((3, 3, 4, 5)), WorkspaceCaps(limit), seed)
            fleet.next_tell = {name: chance.uniform(0, 0.1) for name in fleet.names}
            self.rush(fleet, chance)
            self.assertLessEqual(fleet.total, limit, seed)

    def rush(self, fleet: Fleet, chance: random.Random) -> None:
        for _ in range(40):
            fleet.now += 0.05
            for name in fleet.names:
                if fleet.now >= fleet.next_tell[name]:
                    fleet.tell(name)
                    fleet.next_tell[name] = fleet.now + chance.uniform(0.05, 0.25)
            fleet.ask(chance.choice(fleet.names))

    def test_a_limit_can_be_used_whole_by_one_box(self):
        fleet = Fleet(4, WorkspaceCaps(requests_in_flight=20))
        for _ in range(200):
            fleet.step(0.05)
            fleet.ask('box-0')
        self.assertGreaterEqual(fleet.total, 17)

    def test_the_share_of_a_lost_box_comes_back(self):
        fleet = Fleet(2, WorkspaceCaps(requests_in_flight=10))
        for _ in range(100):
            fleet.step(0.05)
            fleet.ask('box-0')
            fleet.ask('box-1')
        self.assertLess(fleet.held['box-0'], 10)
        fleet.boxes['box-0'].set_boxes(['box-0'])
        for _ in range(20):
            fleet.ask('box-0')
        self.assertEqual(10, fleet.held['box-0'])

    def test_tokens_are_limited_too(self):
        limits = WorkspaceLimits('box-0')
        limits.set_caps({'w': WorkspaceCaps(tokens_in_flight=250)})
        limits.admit('w', ONE, 0.0)
        limits.admit('w', ONE, 0.0)
        self.assertRaises(WorkspaceLimit, limits.admit, 'w', ONE, 0.0)

    def test_a_call_larger_than_the_limit_runs_alone(self):
        limits = WorkspaceLimits('box-0')
        limits.set_caps({'w': WorkspaceCaps(tokens_in_flight=250)})
        limits.admit('w', Work(1, 400), 0.0)
        self.assertRaises(WorkspaceLimit, limits.admit, 'w', ONE, 0.0)

    def test_calls_a_second(self):
        limits = WorkspaceLimits('box-0')
        limits.set_caps({'w': WorkspaceCaps(requests_per_second=2)})
        granted = 0
        for step in range(100):
            try:
                limits.admit('w', ONE, step / 10)
                granted += 1
            except WorkspaceLimit as error:
                self.assertGreater(error.retry_after, 0)
        self.assertAlmostEqual(21, granted, delta=2)


class TestTokenBucket(testtools.TestCase):
    def test_it_says_how_long_to_wait(self):
        bucket = TokenBucket(2.0, 1.0, 0.0)
        self.assertTrue(bucket.take(1, 0.0))
        self.assertAlmostEqual(0.5, bucket.wait(1, 0.0))
        self.assertTrue(bucket.take(1, 0.5))

    def test_a_clock_that_goes_back_grants_nothing(self):
        bucket = TokenBucket(2.0, 1.0, 10.0)
        bucket.take(1, 10.0)
        self.assertFalse(bucket.take(1, 5.0))


def call(name, workspace='w', deadline=100.0, priority=Priority.NORMAL, tokens=100):
    return Call(name, workspace, 's', 'chat', Work(1, tokens), deadline, priority)


class TestWaitQueue(testtools.TestCase):
    def order(self, queue, now):
        return [waiting.id for waiting in queue.peek(now)]

    def test_short_questions_pass_bundles(self):
        queue = WaitQueue()
        queue.offer(call('bundle', priority=Priority.BULK), 0.0)
        queue.offer(call('question', priority=Priority.INTERACTIVE), 0.1)
        self.assertEqual(['question', 'bundle'], self.order(queue, 0.2))

    def test_bundles_do_not_starve(self):
        queue = WaitQueue(aging_seconds=5)
        queue.offer(call('bundle', priority=Priority.BULK), 0.0)
        queue.offer(call('question', priority=Priority.INTERACTIVE), 11.0)
        self.assertEqual('bundle', self.order(queue, 11.0)[0])

    def test_workspaces_take_turns(self):
        queue = WaitQueue()
        for number in range(3):
            queue.offer(call(f'a{number}', 'a'), 0.0)
        queue.offer(call('b0', 'b'), 0.1)
        self.assertEqual(['a0', 'b0', 'a1', 'a2'], self.order(queue, 0.2))

    def test_a_full_queue_gives_a_small_workspace_its_part(self):
        queue = WaitQueue(size=3)
        for number in range(3):
            queue.offer(call(f'a{number}', 'a'), number)
        refused = queue.offer(call('b0', 'b'), 3.0)
        self.assertEqual(['a2'], [refusal.call_id for refusal in refused])
        refused = queue.offer(call('a3', 'a'), 4.0)
        self.assertEqual([('a3', 'fleet_full')], [(item.call_id, item.code) for item in refused])

    def test_expired_calls_are_skipped(self):
        queue = WaitQueue()
        queue.offer(call('late', deadline=1.0), 0.0)
        queue.offer(call('later', deadline=9.0), 0.0)
        refused = queue.expire(1.0)
        self.assertEqual([('late', 'deadline_passed')], [(r.call_id, r.code) for r in refused])
        self.assertEqual(['later'], self.order(queue, 1.0))

    def test_an_arrival_that_cannot_be_served_in_time_is_refused(self):
        queue = WaitQueue()
        for number in range(6):
            queue.offer(call(f'a{number}'), 0.0)
        for number in range(4):
            queue.remove(f'a{number}', float(number))
        refused = queue.offer(call('b', deadline=4.5), 4.0)
        self.assertEqual([('b', 'deadline_unmeetable')], [(r.call_id, r.code) for r in refused])
