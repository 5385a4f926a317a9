"""Tests the non-blocking log stream and the metrics page."""

import io
import json
import threading

import testtools

from seamhold.logs import BoundedStream
from seamhold.metrics import Metrics


class StuckStream(io.StringIO):
    """A stream whose writes block until `reading` is set."""

    def __init__(self):
        super().__init__()
        self.reading = threading.Event()
        self.begun = threading.Event()

    def write(self, text: str) -> int:
        self.begun.set()
        self.reading.wait(10)
        return super().write(text)


class TestBoundedStream(testtools.TestCase):
    def test_lines_are_written_in_order(self):
        out = io.StringIO()
        stream = BoundedStream(out)
        for number in range(500):
            stream.write(f'{number}\n')
        stream.drain(5)
        self.assertEqual([str(number) for number in range(500)], out.getvalue().split())

    def test_blocked_reader_drops_lines_and_never_blocks_a_writer(self):
        stuck = StuckStream()
        stream = BoundedStream(stuck, max_lines=10)
        stream.write('first\n')
        self.assertTrue(stuck.begun.wait(5))
        for number in range(30):
            stream.write(f'{number}\n')
        self.assertEqual(20, stream.dropped)
        stuck.reading.set()
        stream.drain(5)
        *lines, report = stuck.getvalue().splitlines()
        self.assertEqual(['first', *map(str, range(10))], lines)
        self.assertEqual(
            (20, 'logs.dropped'), (json.loads(report)['lines'], json.loads(report)['event'])
        )

    def test_closed_stream_does_not_stop_the_thread(self):
        out = io.StringIO()
        stream = BoundedStream(out)
        out.close()
        stream.write('lost\n')
        stream.drain(5)
        stream.write('lost too\n')
        stream.drain(5)
        self.assertEqual(0, stream.dropped)


class TestMetricsPage(testtools.TestCase):
    def test_counters_gauges_and_latencies_are_on_the_page(self):
        metrics = Metrics()
        metrics.count('refused.fleet_full', 3)
        metrics.gauge('calls_in_flight', 7)
        metrics.latency('whole', 'llm', 0.07)
        metrics.belief_error('llm', 3)
        page = metrics.page().decode()
        self.assertIn('seamhold_events_total{what="refused",why="fleet_full"} 3.0', page)
        self.assertIn('seamhold_calls_in_flight 7.0', page)
        self.assertIn(
            'seamhold_call_seconds_bucket{le="0.1",service="llm",stage="whole"} 1.0', page
        )
        self.assertIn('seamhold_belief_error_calls_bucket{le="2.0",service="llm"} 0.0', page)
        self.assertIn('seamhold_belief_error_calls_bucket{le="4.0",service="llm"} 1.0', page)
