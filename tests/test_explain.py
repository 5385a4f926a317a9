"""Tests explanations of requests from the log lines of boxes."""

import json
import tempfile
from pathlib import Path

import testtools

from seamhold.cli.definition import Commands
from seamhold.explaining import explain, read_line
from seamhold.status import ExitStatus

ATTEMPT = {'engine': 'e1', 'outcome': 'done', 'code': '', 'seconds': 0.2}


def line(event: str, at: str = '2026-12-02T10:00:00Z', **fields) -> str:
    return json.dumps({'event': event, 'timestamp': at} | fields)


def verdict(event: str, **fields) -> str:
    return explain('r1', [read_line(line(event, request_id='r1', **fields), 'box-1')]).verdict


class TestExplain(testtools.TestCase):
    def test_answered(self):
        text = verdict('call.answered', status=200, attempts=[ATTEMPT], seconds=0.3)
        self.assertIn('Answered with 200 by e1 after 1 attempts', text)

    def test_refused_before_anything_was_sent(self):
        text = verdict('call.failed', code='no_engine', ran='no', cut=False, attempts=[])
        self.assertEqual(
            'Refused, nothing ran (no_engine): no engine of the service was live.', text
        )

    def test_refused_by_the_engines(self):
        refused = ATTEMPT | {'outcome': 'engine_refused'}
        text = verdict('call.failed', code='engine_refused', ran='no', attempts=[refused])
        self.assertIn('no engine accepted it: e1 (engine_refused)', text)

    def test_may_have_run(self):
        failed = ATTEMPT | {'outcome': 'failed'}
        text = verdict(
            'call.failed',
            code='engine_failed',
            ran='unknown',
            attempts=[failed],
            repeatable=False,
        )
        self.assertIn('may have run', text)
        self.assertIn('e1 ended as failed', text)
        self.assertIn('the call is not repeatable', text)

    def test_cut_by_the_engine_and_by_the_caller(self):
        cut = {'ran': 'unknown', 'cut': True, 'attempts': [ATTEMPT]}
        self.assertIn('e1 ended the answer early', verdict('call.failed', code='answer_cut', **cut))
        self.assertIn('the caller disconnected', verdict('call.failed', code='caller_left', **cut))

    def test_lines_of_many_boxes_and_beliefs_are_in_time_order(self):
        texts = [
            line(
                'call.answered',
                '2026-12-02T10:00:02Z',
                request_id='r1',
                status=200,
                attempts=[ATTEMPT],
            ),
            line('call.retry', '2026-12-02T10:00:01Z', request_id='r1', engine='e1'),
            line(
                'belief.changed',
                '2026-12-02T10:00:00Z',
                subject='e1',
                phase='suspect',
                source='compared',
            ),
            line(
                'belief.changed',
                '2026-12-02T10:00:00Z',
                subject='e9',
                phase='suspect',
                source='list',
            ),
            line('call.answered', '2026-12-02T10:00:03Z', request_id='r2', status=200),
            line('belief.changed', '2026-12-02T09:50:00Z', subject='e1', phase='live'),
            'not a line of a log',
        ]
        read = [found for text in texts if (found := read_line(f'  1.5 box-3 {text}', 'x.log'))]
        explanation = explain('r1', read)
        self.assertEqual(
            ['belief.changed', 'call.retry', 'call.answered'],
            [item.event for item in explanation.lines],
        )
        self.assertEqual({'box-3'}, {item.where for item in explanation.lines})

    def test_missing_end_and_dropped_lines_are_reported(self):
        lines = [
            read_line(line('call.retry', request_id='r1', engine='e1'), 'x'),
            read_line(line('logs.dropped', lines=7), 'x'),
        ]
        self.assertEqual(
            'The end of the request is not in these logs; 7 lines were dropped.',
            explain('r1', lines).verdict,
        )
        self.assertIsNone(explain('r9', lines))


class TestCommand(testtools.TestCase):
    def test_exit_codes_and_json(self):
        printed = []

        class FakeEnvironment:
            print_line = staticmethod(printed.append)

        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = f'{folder.name}/box-1.log'
        Path(path).write_text(line('call.answered', request_id='r1', status=200) + '\n')
        commands = Commands(FakeEnvironment())
        self.assertEqual(ExitStatus.SUCCESS, commands.explain('r1', path, json=True))
        self.assertEqual('r1', json.loads(printed[-1])['request_id'])
        self.assertEqual(ExitStatus.NOT_FOUND, commands.explain('r2', path))
        self.assertIn('another box may have served it', printed[-1])
