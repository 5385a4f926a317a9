"""The machine is suspended for seconds: the monotonic clock stops, everything else goes on.

A box that used the monotonic clock would send calls whose callers had given up, treat load
readings from before the suspension as fresh, and hold leases and refusals that have expired.
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
MONOTONIC = re.compile(r'time\.monotonic|perf_counter|CLOCK_MONOTONIC')


class Events:
    """The stream of an answer that never ends."""

    status = 200
    headers: ClassVar[dict[str, str]] = {}
    chunked = True

    def read1(self, _: int) -> bytes:
        return b'data: more\n\n'


class Connection:
    """A connection that ignores timeouts."""

    def settimeout(self, _: float) -> None:
        pass


class TestSuspension(testtools.TestCase):
    def test_the_clock_of_a_box_counts_suspensions(self):
        # The two clocks differ by the time suspended since the machine booted.
        clocks = {time.CLOCK_BOOTTIME: 500.0, time.CLOCK_MONOTONIC: 100.0}
        self.patch(time, 'clock_gettime', clocks.__getitem__)
        self.assertEqual(500.0, boot_seconds())
        self.assertEqual(500.0, Environment().monotonic())

    def test_no_package_uses_another_clock(self):
        found = [
            f'{path.relative_to(PACKAGES)}: {match[0]}'
            for path in sorted(PACKAGES.rglob('*.py'))
            for match in MONOTONIC.finditer(path.read_text(encoding='utf-8'))
        ]
        self.assertEqual([], found)

    def test_an_answer_is_not_read_beyond_its_deadline(self):
        clock = [0.0]
        answer = BackendAnswer(None, Connection(), Events(), 8.0, lambda: clock[0], lambda *_: None)
        events = answer.chunks()
        self.assertEqual(b'data: more\n\n', next(events))
        clock[0] = 9.0
        failed = self.assertRaises(AttemptFailed, next, events)
        self.assertIs(Outcome.BROKEN, failed.outcome)
        self.assertIsInstance(failed.error, AnswerTimeout)
