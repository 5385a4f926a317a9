"""Answers whose framing is cut or cannot be read, as bytes from a socket."""

import math
import socket
from http.client import HTTPException, IncompleteRead

import testtools

from seamhold_platform import BoundedSocket, StrictResponse, UnreadableResponse

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


def read(answer: bytes) -> bytes:
    """Return the body of an answer whose server closes behind it."""
    here, there = socket.socketpair()
    with here, there:
        there.sendall(answer)
        there.shutdown(socket.SHUT_WR)
        bounded = BoundedSocket(here, lambda: 0.0)
        bounded.limit(math.inf, math.inf)
        response = StrictResponse(bounded, method='GET')
        response.begin()
        return b''.join(iter(lambda: response.read1(64), b''))


class TestStrictResponses(testtools.TestCase):
    def test_chunks_with_extensions_and_trailers_are_whole(self):
        body = b'3;a=b\r\nabc\r\n002 \r\nde\r\n0\r\nX-Sum: 1\r\n\r\n'
        self.assertEqual(b'abcde', read(HEAD + body))

    def test_a_chunk_line_that_is_cut_is_no_last_chunk(self):
        for line in (b'0', b'00', b'0\r', b'0;a'):
            self.assertRaises(IncompleteRead, read, HEAD + b'3\r\nabc\r\n' + line)

    def test_trailers_that_are_cut_do_not_end_a_body(self):
        for end in (b'0\r\n', b'0\r\nX-Sum: 1\r\n', b'0\r\nX-S'):
            self.assertRaises(IncompleteRead, read, HEAD + b'3\r\nabc\r\n' + end)

    def test_sizes_of_chunks_are_digits_alone(self):
        for line in (b'-0', b'+3', b'0x3', b'3_0', b'', b'3 3', b' 3', b'g'):
            self.assertRaises(UnreadableResponse, read, HEAD + line + b'\r\nabc\r\n0\r\n\r\n')

    def test_a_chunk_that_is_longer_than_its_size_is_unreadable(self):
        self.assertRaises(UnreadableResponse, read, HEAD + b'3\r\nabcd\r\n0\r\n\r\n')

    def test_a_head_that_is_cut_anywhere_is_no_answer(self):
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Other: 1\r\n\r\n'
        for length in range(len(head)):
            self.assertRaises(HTTPException, read, head[:length])
            self.assertRaises(HTTPException, read, b'HTTP/1.1 100 Wait\r\n\r\n' + head[:length])
        self.assertEqual(b'', read(head))

    def test_status_lines_are_as_http_defines_them(self):
        for line in (b'HTTP/1.1  200 OK', b'HTTP/1.1 20 OK', b'HTTP/2 200', b'ICY 200 OK', b'200'):
            self.assertRaises(HTTPException, read, line + b'\r\nContent-Length: 0\r\n\r\n')
        self.assertEqual(b'', read(b'HTTP/1.0 200\r\nContent-Length: 0\r\n\r\n'))

    def test_a_protocol_that_was_not_asked_for_is_unreadable(self):
        self.assertRaises(UnreadableResponse, read, b'HTTP/1.1 101 Switching\r\n\r\n')
