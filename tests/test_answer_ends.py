"""Whether the end of an answer's bytes is taken for the end of the answer."""

import io
import subprocess
import sys
from types import SimpleNamespace

import testtools
import urllib3

from seamhold.answer_ends import confirm_end
from seamhold.engines import REQUEST_ID_HEADER, EngineClient
from seamhold.framing import Framing, is_readable
from seamhold.ports import AttemptFailed, Cancellation, EngineRequest
from seamhold.probing import Liveness, find_liveness
from seamhold_messages.errors import AnswerEndUnproven
from seamhold_messages.work import Placed

BODY_MAX_BYTES = 1024
ASKED = EngineRequest('asked', 'GET', '/', {}, b'')
#: An engine, as a process, that sends a body without length or chunks and then does `sys.argv[1]`.
ENGINE = f"""
import os, signal, socket, sys
listener = socket.create_server(('127.0.0.1', 0))
print(listener.getsockname()[1], flush=True)
connection = listener.accept()[0]
connection.recv(65536)
connection.sendall(b'HTTP/1.1 200 OK\\r\\n{REQUEST_ID_HEADER}: asked\\r\\n\\r\\nbody')
if sys.argv[1] == 'die':
    os.kill(os.getpid(), signal.SIGKILL)
connection.close()
kept = listener.accept()
sys.stdin.read()
"""


class TestConfirmEnd(testtools.TestCase):
    def test_a_body_with_a_length_or_chunks_is_whole_without_a_probe(self):
        for framing in (Framing.LENGTH, Framing.CHUNKS):
            confirm_end(framing, Cancellation(), lambda: self.fail('the server was probed'))

    def test_a_server_that_is_not_shown_to_live_did_not_end_its_answer(self):
        confirm_end(Framing.CONNECTION, Cancellation(), lambda: Liveness.ALIVE)
        for find in (lambda: Liveness.ENDED, lambda: Liveness.UNKNOWN):
            failed = self.assertRaises(
                AttemptFailed, confirm_end, Framing.CONNECTION, Cancellation(), find
            )
            self.assertIsInstance(failed.error, AnswerEndUnproven)

    def test_a_cancelled_call_did_not_end_its_answer(self):
        cancellation = Cancellation()
        cancellation.cancel()
        self.assertRaises(
            AttemptFailed, confirm_end, Framing.CONNECTION, cancellation, lambda: Liveness.ALIVE
        )


class TestFraming(testtools.TestCase):
    def assert_readable(self, readable: bool, **headers: str) -> None:
        fields = {name.replace('_', '-'): value for name, value in headers.items()}
        response = urllib3.HTTPResponse(io.BytesIO(), headers=fields, preload_content=False)
        self.assertIs(readable, is_readable(response), headers)

    def test_a_body_whose_end_cannot_be_found_is_not_taken_for_one_without_a_length(self):
        for length in ('x', '-1', '1.5'):
            self.assert_readable(False, Content_Length=length)
        for coding in ('gzip, chunked', 'gzip', 'chunked, identity'):
            self.assert_readable(False, Transfer_Encoding=coding)

    def test_a_body_with_a_length_chunks_or_neither_can_be_read(self):
        self.assert_readable(True)
        self.assert_readable(True, Content_Length='3')
        self.assert_readable(True, Transfer_Encoding='Chunked', Content_Length='x')


class TestCodings(testtools.TestCase):
    def test_a_coding_that_the_parser_of_chunks_does_not_know_is_unreadable(self):
        for coding, readable in (('chunked', True), ('Chunked', True), ('chunked ', False)):
            headers = {'Transfer-Encoding': coding}
            response = SimpleNamespace(headers=headers, chunked=True, length_remaining=None)
            self.assertEqual(readable, is_readable(response), coding)


class TestFindLiveness(testtools.TestCase):
    def test_a_connection_that_times_out_shows_no_life(self):
        def connect():
            raise TimeoutError

        self.assertIs(Liveness.UNKNOWN, find_liveness(connect))


class TestEngines(testtools.TestCase):
    def read(self, then: str) -> bytes:
        command = [sys.executable, '-c', ENGINE, then]
        engine = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.addCleanup(engine.communicate)
        self.addCleanup(engine.kill)
        address = f'127.0.0.1:{int(engine.stdout.readline())}'
        placed = Placed('asked', 'e1', address, rank=0, spilled=False)
        return EngineClient().open(placed, ASKED, 3.0, Cancellation()).whole(BODY_MAX_BYTES)

    def test_a_plain_body_that_ends_with_its_connection_is_whole(self):
        self.assertEqual(b'body', self.read('close'))

    def test_a_plain_body_of_a_killed_engine_is_not_whole(self):
        failed = self.assertRaises(AttemptFailed, self.read, 'die')
        self.assertIsInstance(failed.error, AnswerEndUnproven)
