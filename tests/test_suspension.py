"""A machine that is suspended for seconds: the steady clock stands, all else goes on.

What a box would do by the steady clock: send calls whose callers had given up, take what
engines told before for fresh, and hold leases and rests that others know to be over.
"""

import re
import time
from pathlib import Path
from typing import ClassVar

import testtools

from seamhold.clock import boot_seconds
from seamhold.context import Environment
from seamhold.forwarding.backends import BackendAnswer
from seamhold.ports import AttemptFailed
from seamhold_attempts.retry import Outcome
from seamhold_messages.errors import AnswerTimeout

PACKAGES = Path(__file__).parent.parent / 'packages'
STEADY = re.compile(r'time\.monotonic|perf_counter|CLOCK_MONOTONIC')


class Events:
    """An answer's stream that always has an event more."""

    status = 200
    headers: ClassVar[dict[str, str]] = {}

    def read1(self, _: int) -> bytes:
        return b'data: more\n\n'


class Connection:
    """A connection whose time-outs do not matter."""

    def settimeout(self, _: float) -> None:
        pass


class TestSuspension(testtools.TestCase):
    def test_the_boxs_clock_counts_it(self):
        # The two clocks differ by all suspensions since the machine started.
        clocks = {time.CLOCK_BOOTTIME: 500.0, time.CLOCK_MONOTONIC: 100.0}
        self.patch(time, 'clock_gettime', clocks.__getitem__)
        self.assertEqual(500.0, boot_seconds())
        self.assertEqual(500.0, Environment().monotonic())

    def test_nothing_goes_by_another_clock(self):
        found = [
            f'{path.relative_to(PACKAGES)}: {match[0]}'
            for path in sorted(PACKAGES.rglob('*.py'))
            for match in STEADY.finditer(path.read_text(encoding='utf-8'))
        ]
        self.assertEqual([], found)

    def test_an_answer_whose_time_is_over_is_read_no_further(self):
        clock = [0.0]
        answer = BackendAnswer(None, Connection(), Events(), 8.0, lambda: clock[0])
        events = answer.chunks()
        self.assertEqual(b'data: more\n\n', next(events))
        clock[0] = 9.0
        failed = self.assertRaises(AttemptFailed, next, events)
        self.assertIs(Outcome.BROKEN, failed.outcome)
        self.assertIsInstance(failed.error, AnswerTimeout)
