"""Buffers of responses whose callers read slowly."""

import socket
import threading
import time
from collections import deque

import testtools

from seamhold.forwarding.response_buffers import ResponseBuffers, ResponseWriter
from seamhold.gate import Gate
from seamhold.metrics import Metrics


class WrittenWhenCleared(deque):
    """A backlog; the request's thread writes in the moment in which it is cleared."""

    def clear(self):
        """Remove all parts."""
        super().clear()
        self.write()


class TestDroppedCallers(testtools.TestCase):
    def test_nothing_is_sent_after_a_part_that_was_dropped(self):
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        ours.settimeout(1)
        buffers = ResponseBuffers(10**6, Gate(8), time.monotonic, lambda: 0.0, Metrics())
        writer = ResponseWriter(buffers, ours, ours.close)
        cleared, sent = threading.Event(), []

        def write_later() -> None:
            theirs.recv(10**7)
            try:
                sent.append(len(writer.send(memoryview(b'later'))))
            except OSError:
                sent.append(None)
            cleared.set()

        writer.backlog = WrittenWhenCleared()
        writer.backlog.write = write_later
        buffers.start()
        self.addCleanup(buffers.stop)
        writer.write(b'x' * 10**6)
        self.assertTrue(cleared.wait(5))
        self.assertEqual([None], sent)
