"""Tests the callers' port: bad input gets a clear answer and leaves no state behind."""

import json
import socket
import time
import unittest.mock

import testtools

from seamhold.metrics import Metrics
from tests.utils.stack import HOST, KEY, Stack

CHAT = '/v1/chat/completions'


class TestSlowCallers(testtools.TestCase):
    def setUp(self):
        super().setUp()
        patch = unittest.mock.patch('seamhold.pages.CALLER_IDLE_SECONDS', 0.5)
        patch.start()
        self.addCleanup(patch.stop)
        self.stack = Stack()
        self.addCleanup(self.stack.close)

    def connect(self) -> socket.socket:
        caller = socket.create_connection((HOST, int(self.stack.url.rpartition(':')[2])))
        self.addCleanup(caller.close)
        caller.settimeout(10)
        return caller

    def test_timeout_while_reading_the_body(self):
        caller = self.connect()
        caller.sendall(
            f'POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n'
            'Content-Length: 500\r\n\r\n{"model": '.encode()
        )
        answer = caller.makefile('rb').read()
        self.assertIn(b' 408 ', answer.partition(b'\r\n')[0])
        self.assertIn(b'"code": "caller_too_slow"', answer)
        self.assertIn(b'"ran": "no"', answer)
        self.assertEqual([], self.stack.engine.ledger)
        self.assertEqual(0, self.stack.box.gate.active)

    def test_slow_reader_gets_the_whole_answer(self):
        body = json.dumps(self.stack.chat(stream=True, max_tokens=300)).encode()
        caller = self.connect()
        caller.sendall(
            f'POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n'
            f'Connection: close\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        time.sleep(1.5)
        answer = caller.makefile('rb').read()
        self.assertIn(b'data: [DONE]', answer)
        self.assertTrue(answer.endswith(b'0\r\n\r\n'))


class TestEntry(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.stack = Stack()
        self.addCleanup(self.stack.close)

    def refused(self, answer) -> str:
        self.assertEqual('application/problem+json', answer.headers['Content-Type'])
        problem = answer.json()
        self.assertEqual(answer.status, problem['status'])
        self.assertEqual(0, self.stack.box.gate.active)
        return f'{answer.status} {problem["code"]} {problem["ran"]}'

    def test_bad_json(self):
        for body in (b'{', b'[]', b'\xff\xfe', b'', b'[' * 100_000):
            self.assertEqual('400 bad_json no', self.refused(self.stack.post(CHAT, body)))

    def test_wrong_types(self):
        for body in ({}, {'model': 1, 'messages': []}, {'model': 'm', 'messages': 'hi'}):
            self.assertEqual('400 bad_request no', self.refused(self.stack.post(CHAT, body)))
        for tokens in (0, -1, 1.5, '9', True):
            body = self.stack.chat(max_tokens=tokens)
            expected = '400 bad_request no' if tokens != 0 else None
            if expected:
                self.assertEqual(expected, self.refused(self.stack.post(CHAT, body)))

    def test_unknown_model_and_page(self):
        body = self.stack.chat(model='other-model')
        self.assertEqual('404 unknown_model no', self.refused(self.stack.post(CHAT, body)))
        self.assertEqual('404 unknown_service no', self.refused(self.stack.post('/nope', {})))
        answer = self.stack.post('/services/chat/x', {})
        self.assertEqual('404 unknown_service no', self.refused(answer))

    def test_wrong_key(self):
        for key in ('', 'Bearer', 'Bearer wrong', f'Basic {KEY}'):
            answer = self.stack.post(CHAT, self.stack.chat(), Authorization=key)
            self.assertEqual('401 unauthorized no', self.refused(answer))

    def test_body_larger_than_its_route_allows(self):
        body = self.stack.chat(user='x' * 400)
        headers = {'Seamhold-Route': 'small'}
        answer = self.stack.post(CHAT, body, **headers)
        self.assertEqual('413 body_too_large no', self.refused(answer))
        self.assertEqual(200, self.stack.post(CHAT, body).status)

    def test_bad_headers(self):
        cases = (
            {'Seamhold-Timeout': 'soon'},
            {'Seamhold-Timeout': '-1'},
            {'Seamhold-Timeout': 'nan'},
            {'Seamhold-Repeatable': 'maybe'},
            {'Idempotency-Key': 'k' * 300},
        )
        for headers in cases:
            answer = self.stack.post(CHAT, self.stack.chat(), **headers)
            self.assertEqual('400 bad_request no', self.refused(answer))

    def test_bad_tickets(self):
        for ticket in ('x', 'a.b', 'box-1.nope.secret', 'box-9.a.b'):
            answer = self.stack.post(CHAT, self.stack.chat(), **{'Seamhold-Ticket': ticket})
            self.assertEqual('unknown', answer.json()['ran'])
        self.assertEqual([], self.stack.engine.ledger)

    def test_ticket_counts(self):
        self.assertEqual(3, len(self.stack.post('/v1/tickets?count=3', {}).json()['tickets']))
        for count in ('0', '-1', '99999', 'x'):
            answer = self.stack.post(f'/v1/tickets?count={count}', {})
            self.assertEqual('400 bad_request no', self.refused(answer))

    def test_truncated_body_reaches_no_engine(self):
        address = (HOST, int(self.stack.url.rpartition(':')[2]))
        with socket.create_connection(address) as caller:
            caller.sendall(
                f'POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n'
                'Content-Length: 500\r\n\r\n{"model": '.encode()
            )
            caller.shutdown(socket.SHUT_WR)
            caller.recv(4096)
        self.assertEqual([], self.stack.engine.ledger)
        self.assertEqual(0, self.stack.box.gate.active)

    def test_disconnected_caller_frees_the_gate_and_cancels_the_call(self):
        self.stack.engine.set_faults({'token_seconds': 0.02})
        body = json.dumps(self.stack.chat(stream=True, max_tokens=500)).encode()
        address = (HOST, int(self.stack.url.rpartition(':')[2]))
        with socket.create_connection(address) as caller:
            caller.sendall(
                f'POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'.encode()
                + body
            )
            caller.recv(1024)
        self.wait_for(lambda: self.stack.box.gate.active == 0)
        self.wait_for(lambda: self.stack.engine.ledger[0].state == 'cancelled')

    def wait_for(self, condition):
        deadline = time.monotonic() + 10
        while not condition() and time.monotonic() < deadline:
            time.sleep(0.02)
        self.assertTrue(condition())

    def test_path_and_query_are_passed_on_unchanged(self):
        answer = self.stack.http.request(
            'GET',
            f'{self.stack.url}/services/plain/stock?a=%20b',
            headers={'Authorization': f'Bearer {KEY}'},
        )
        self.assertEqual('/stock?a=%20b', answer.json()['path'])

    def test_idempotency_key_at_a_plain_service(self):
        headers = {'Idempotency-Key': 'order-7'}
        first = self.stack.post('/services/plain/orders/7', {'eggs': 6}, **headers)
        again = self.stack.post('/services/plain/orders/7', {'eggs': 6}, **headers)
        other = self.stack.post('/services/plain/orders/7', {'eggs': 12}, **headers)
        self.assertEqual(200, first.status)
        self.assertEqual('409 key_in_use unknown', self.refused(again))
        self.assertEqual('422 key_mismatch unknown', self.refused(other))
        self.assertEqual(1, len(self.stack.service.ledger))

    def test_call_that_may_have_run_is_not_retried(self):
        self.stack.service.set_faults({'hang_up': True})
        answer = self.stack.post('/services/plain/orders/8', {'eggs': 6})
        self.assertEqual('502 engine_failed unknown', self.refused(answer))
        self.assertEqual(1, len(self.stack.service.ledger))

    def test_repeatable_call_without_another_server_is_not_retried(self):
        self.stack.service.set_faults({'hang_up': True})
        answer = self.stack.post('/services/plain/stock', {})
        self.assertEqual('unknown', answer.json()['ran'])
        # The service has no other server.
        self.assertEqual(1, len(self.stack.service.ledger))

    def test_header_cannot_make_a_call_repeatable(self):
        self.stack.service.set_faults({'hang_up': True})
        headers = {'Seamhold-Repeatable': 'yes'}
        answer = self.stack.post('/services/plain/orders/9', {}, **headers)
        self.assertEqual('502 engine_failed unknown', self.refused(answer))
        self.assertEqual(1, len(self.stack.service.ledger))

    def test_timeout_header_is_respected(self):
        self.stack.service.set_faults({'answer_seconds': 3.0})
        headers = {'Seamhold-Timeout': '0.3'}
        answer = self.stack.post('/services/plain/orders/10', {}, **headers)
        self.assertEqual('504 answer_timeout unknown', self.refused(answer))

    def test_keys_and_prompts_are_not_logged(self):
        self.stack.post(
            CHAT, self.stack.chat(messages=[{'role': 'user', 'content': 'secret-text'}])
        )
        self.stack.post(CHAT, b'secret-text')
        logs = self.stack.logs.getvalue()
        self.assertNotIn('secret-text', logs)
        self.assertNotIn(KEY, logs)
        self.assertIn('request_id', logs)

    def test_refusals_are_counted_and_sent_to_statsd(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener:
            listener.bind((HOST, 0))
            listener.settimeout(5)
            metrics = Metrics(f'{HOST}:{listener.getsockname()[1]}')
            metrics.count('refused.fleet_full')
            self.assertEqual(b'seamhold.refused.fleet_full:1|c', listener.recv(100))
        self.stack.post(CHAT, b'{')
        self.assertEqual(1, self.stack.box.metrics.counts()['refused.bad_json'])

    def test_calls_above_the_thread_limit_are_refused(self):
        self.stack.box.gate.limit = 0
        answer = self.stack.post(CHAT, self.stack.chat())
        self.assertEqual('503 box_full no', self.refused(answer))
        self.assertIn('Retry-After', answer.headers)
