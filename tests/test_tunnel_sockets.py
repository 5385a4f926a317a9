"""Sockets over a connection to an engine that a peer carries."""

import asyncio
import socket
import threading

import testtools

from seamhold.forwarding.tunnel_socket import TunnelSocket

READ_SECONDS = 2.0


class FakeTunnel:
    """A tunnel that brings these parts, and then nothing until it is closed."""

    def __init__(self, *parts: bytes):
        self._parts = list(parts)

    async def receive(self) -> bytes:
        if not self._parts:
            await asyncio.Event().wait()
        return self._parts.pop(0)

    async def close(self) -> None:
        """Close the tunnel."""


class TestTunnelSockets(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = asyncio.new_event_loop()
        thread = threading.Thread(target=self.loop.run_forever)
        thread.start()
        self.addCleanup(self.loop.close)
        self.addCleanup(thread.join)
        self.addCleanup(self.loop.call_soon_threadsafe, self.loop.stop)
        self.addCleanup(self.end_tasks)

    def end_tasks(self) -> None:
        async def end() -> None:
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(end(), self.loop).result(READ_SECONDS)

    def open(self, *parts: bytes) -> TunnelSocket:
        async def create() -> TunnelSocket:
            return TunnelSocket(FakeTunnel(*parts), 'box-1')

        opened = asyncio.run_coroutine_threadsafe(create(), self.loop).result()
        opened.settimeout(READ_SECONDS)
        self.addCleanup(opened.close)
        return opened

    def test_a_reader_that_waits_as_the_box_shuts_down_sees_no_end(self):
        opened = self.open()
        timer = threading.Timer(0.1, opened.shutdown, [socket.SHUT_RDWR])
        timer.start()
        self.addCleanup(timer.join)
        self.assertRaises(ConnectionAbortedError, opened.makefile().read)

    def test_a_reader_after_a_shutdown_gets_what_arrived_and_no_end(self):
        opened = self.open(b'half')
        file = opened.makefile()
        self.assertEqual(b'ha', file.read1(2))
        opened.shutdown(socket.SHUT_RDWR)
        self.assertEqual(b'lf', file.read1())
        self.assertRaises(ConnectionAbortedError, file.read1)

    def test_a_reader_that_waits_as_the_socket_is_closed_sees_no_end(self):
        opened = self.open()
        timer = threading.Timer(0.1, opened.close)
        timer.start()
        self.addCleanup(timer.join)
        self.assertRaises(ConnectionAbortedError, opened.recv_into, memoryview(bytearray(8)))

    def test_a_shutdown_after_the_end_leaves_no_end_to_read(self):
        opened = self.open(b'')
        self.assertEqual(0, opened.recv_into(memoryview(bytearray(8))))
        opened.shutdown(socket.SHUT_RDWR)
        self.assertRaises(ConnectionAbortedError, opened.recv_into, memoryview(bytearray(8)))

    def test_an_idle_connection_times_out(self):
        opened = self.open()
        opened.settimeout(0.05)
        self.assertRaises(TimeoutError, opened.recv, 8)
