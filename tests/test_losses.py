"""The tables that show where calls lose time, cached prompts and answers."""

import testtools

from measure import losses
from seamhold.explaining import LogLine


def answered(second: float, engine: str, **more) -> LogLine:
    """Return the last log line of a call that an engine answered at `second`, after one second."""
    attempt = {
        'engine': engine,
        'fetched_from': more.pop('fetched_from', ''),
        'holders': more.pop('holders', 0),
        'spilled': more.pop('spilled', False),
        'outcome': 'done',
        'answered': 0.2,
        'seconds': 1.0,
    }
    fields = {'status': 200, 'chat': 'c1', 'shared_tokens': 100, 'attempts': [attempt]} | more
    return LogLine(f'2026-01-01T23:59:{second:09.6f}Z', 'box-1', 'call.answered', fields)


class TestLosses(testtools.TestCase):
    def causes(self, *lines: LogLine) -> dict[str, int]:
        found = losses.causes_of_reading(losses.readings(lines))
        return {cause: sums.tokens for cause, sums in found.items()}

    def test_a_first_reading_is_reused_and_moved(self):
        causes = self.causes(
            answered(1, 'e1'),
            answered(3, 'e1', holders=1),
            answered(5, 'e2', holders=1, fetched_from='e1', spilled=True),
        )
        expected = {'first reading': 100, 'found here': 100, 'moved: spilled, holder known': 100}
        self.assertEqual(expected, causes)

    def test_a_repeated_reading_gives_its_cause(self):
        causes = self.causes(
            answered(1, 'e1'),
            answered(3, 'e2', fetched_from='e9'),
            answered(3.1, 'e3', holders=1, fetched_from='e2', spilled=True),
            answered(3.1, 'e2', holders=1),
        )
        expected = {
            'first reading': 100,
            'read again: by rank, no holder known, source never held it': 100,
            'read again: spilled, holder known, source still reads it': 100,
            'being read here': 100,
        }
        self.assertEqual(expected, causes)

    def test_failures_and_waits_before_refusals_are_counted(self):
        refused = {'status': 503, 'code': 'fleet_full', 'detail': 'full', 'ran': 'no'}
        line = LogLine('2026-01-01T00:00:00Z', 'box-1', 'call.failed', refused | {'seconds': 0.3})
        self.assertEqual({'call: 503 fleet_full: full': 1}, losses.failures([line]))
        self.assertEqual({'fleet_full': [0.3]}, losses.held_before_refusal([line]))

    def test_windows_continue_after_midnight(self):
        before = answered(59.5, 'e1')
        after = LogLine('2026-01-02T00:00:01Z', 'box-1', before.event, before.fields)
        rows = losses.by_window([before, after])
        self.assertEqual(1, max(rows) - min(rows))
