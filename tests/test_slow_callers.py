"""Decides who is dropped when threads or memory run short, without connections."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from seamhold.forwarding.slow_callers import (
    BLOCKED_SECONDS_MIN,
    COMPLETE_STALL_SECONDS,
    FAST_BYTES_PER_SECOND,
    DropReason,
    ReadRate,
    Shortage,
    SlowCaller,
    choose_dropped,
)

STALL_SECONDS = 30.0
KIB = 1024


def caller(key: int, **more) -> SlowCaller:
    values = {
        'key': key,
        'blocked_for': 1.0,
        'stalled_for': 1.0,
        'rate': 0.0,
        'held_bytes': 100 * KIB,
        'waits': False,
        'complete': False,
    }
    return SlowCaller(**values | more)


CALLERS = st.lists(
    st.builds(
        SlowCaller,
        key=st.integers(0, 10_000),
        blocked_for=st.floats(0, 60),
        stalled_for=st.floats(0, 29),
        rate=st.floats(0, 3 * FAST_BYTES_PER_SECOND),
        held_bytes=st.integers(1, 300 * KIB),
        waits=st.booleans(),
        complete=st.booleans(),
    ),
    max_size=30,
    unique_by=lambda slow: slow.key,
)


class TestChoice(testtools.TestCase):
    @given(CALLERS, st.integers(0, 20), st.integers(0, 2000 * KIB))
    def test_no_fast_caller_is_dropped_nor_one_before_a_slower_one(self, callers, threads, memory):
        dropped = choose_dropped(callers, Shortage(threads, memory), STALL_SECONDS)
        by_key = {slow.key: slow for slow in callers}
        for key, reason in dropped.items():
            chosen = by_key[key]
            self.assertLess(chosen.rate, FAST_BYTES_PER_SECOND)
            self.assertGreaterEqual(chosen.blocked_for, BLOCKED_SECONDS_MIN)
            for kept in callers:
                comparable = reason is DropReason.MEMORY or kept.waits
                if kept.key not in dropped and comparable and kept.blocked_for > chosen.blocked_for:
                    self.assertGreaterEqual(kept.rate, chosen.rate)

    @given(CALLERS, st.integers(0, 20), st.integers(0, 2000 * KIB))
    def test_no_more_are_dropped_than_the_shortage_needs(self, callers, threads, memory):
        dropped = choose_dropped(callers, Shortage(threads, memory), STALL_SECONDS)
        for_threads = [key for key, reason in dropped.items() if reason is DropReason.THREADS]
        self.assertLessEqual(len(for_threads), threads)
        held = {slow.key: slow.held_bytes for slow in callers}
        freed = [held[key] for key in dropped]
        if DropReason.MEMORY in dropped.values():
            self.assertLess(sum(freed[:-1]), memory)

    def test_of_callers_that_read_nothing_the_one_blocked_for_longest_goes_first(self):
        callers = [caller(1, blocked_for=2.0), caller(2, blocked_for=9.0), caller(3, rate=10.0)]
        dropped = choose_dropped(callers, Shortage(memory=1), STALL_SECONDS)
        self.assertEqual({2: DropReason.MEMORY}, dropped)

    def test_only_callers_that_hold_a_thread_are_dropped_for_threads(self):
        callers = [caller(1, blocked_for=9.0), caller(2, waits=True)]
        dropped = choose_dropped(callers, Shortage(threads=2), STALL_SECONDS)
        self.assertEqual({2: DropReason.THREADS}, dropped)

    def test_a_complete_response_outlasts_the_limit_of_one_that_is_read(self):
        callers = [
            caller(1, stalled_for=STALL_SECONDS),
            caller(2, stalled_for=STALL_SECONDS, complete=True),
            caller(3, stalled_for=COMPLETE_STALL_SECONDS, complete=True),
        ]
        dropped = choose_dropped(callers, Shortage(), STALL_SECONDS)
        self.assertEqual({1: DropReason.STALLED, 3: DropReason.STALLED}, dropped)


class TestReadRate(testtools.TestCase):
    def test_a_caller_that_stops_reading_is_soon_slow_however_much_it_read_before(self):
        rate = ReadRate(0.0)
        for tenth in range(100):
            rate.add(100 * KIB, tenth / 10)
        self.assertGreater(rate.per_second(10.0), FAST_BYTES_PER_SECOND)
        self.assertEqual(0.0, rate.per_second(14.5))

    def test_a_steady_reader_keeps_its_rate(self):
        rate = ReadRate(0.0)
        for tenth in range(1, 200):
            rate.add(10 * KIB, tenth / 10)
            if tenth > 10:
                self.assertAlmostEqual(100 * KIB, rate.per_second(tenth / 10), delta=15 * KIB)
