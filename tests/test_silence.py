"""Connections on which the other side stops answering without a reset."""

import asyncio
import socket
import time
from typing import ClassVar

import testtools

from seamhold.forwarding.backends import (
    PROBE_AFTER_SECONDS,
    PROBE_EACH_SECONDS,
    PROBES_MAX,
    BackendAnswer,
    BackendConnections,
)
from seamhold_messages.work import Placed
from seamhold_peers import PeerClient, client

DETECTION_SECONDS = 3


class SilentPeer:
    """Accepts connections and never answers."""

    def __init__(self):
        self.connections = 0

    async def start(self) -> asyncio.Server:
        return await asyncio.start_server(self._accept, '127.0.0.1', 0)

    async def _accept(self, reader, writer) -> None:
        self.connections += 1
        await reader.read()
        writer.close()


class ScriptedSocket:
    """Records the timeouts that are set on it."""

    def __init__(self):
        self.timeouts: list[float] = []

    def settimeout(self, seconds: float) -> None:
        self.timeouts.append(seconds)


class EventStream:
    """An answer that consists of `events` events."""

    status = 200
    headers: ClassVar[dict] = {}
    chunked = True

    def __init__(self, events: int):
        self.left = events

    def read1(self, _size: int) -> bytes:
        self.left -= 1
        return b'data: x\n\n' if self.left >= 0 else b''


class TestReading(testtools.TestCase):
    def test_a_stream_sets_the_socket_timeout_once_and_not_for_each_event(self):
        scripted = ScriptedSocket()
        ends = time.monotonic() + 8.0
        answer = BackendAnswer(
            None, scripted, EventStream(30), ends, time.monotonic, lambda *_: None
        )
        self.assertEqual(30, len([*answer.chunks()]))
        self.assertEqual(1, len(scripted.timeouts))

    def test_the_socket_timeout_follows_the_time_left(self):
        scripted = ScriptedSocket()
        now = time.monotonic()
        answer = BackendAnswer(
            None, scripted, EventStream(1), now + 8.0, time.monotonic, lambda *_: None
        )
        answer._read()
        answer._deadline = now + 4.0
        answer._read()
        self.assertEqual([8, 4], [round(seconds) for seconds in scripted.timeouts])
        answer._deadline = now
        self.assertRaises(TimeoutError, answer._read)


class TestSilence(testtools.TestCase):
    def test_the_next_call_to_a_silent_peer_uses_a_new_connection(self):
        self.patch(client, 'PULL_SECONDS', 0.1)
        # A call that is sent again opens further connections.
        self.patch(client, 'HEDGES_MAX', 0)

        async def pull_twice() -> int:
            peer = SilentPeer()
            async with await peer.start() as server:
                host, port = server.sockets[0].getsockname()
                caller = PeerClient(f'{host}:{port}')
                for _ in range(2):
                    try:
                        await caller.pull_lists()
                    except client.PEER_ERRORS:
                        pass
                await asyncio.sleep(0.05)
                caller.close()
            return peer.connections

        self.assertEqual(2, asyncio.run(pull_twice()))

    def test_a_silent_backend_server_is_detected_within_seconds(self):
        with socket.create_server(('127.0.0.1', 0)) as server:
            host, port = server.getsockname()
            placed = Placed('call', 'engine', f'{host}:{port}', 0, False)
            connection = BackendConnections(None)._connect(placed, 1.0)
            self.addCleanup(connection.close)
            probes = [
                connection.sock.getsockopt(socket.IPPROTO_TCP, option)
                for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
            ]
            self.assertEqual([PROBE_AFTER_SECONDS, PROBE_EACH_SECONDS, PROBES_MAX], probes)
            self.assertTrue(connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
            limit = connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        detected = PROBE_AFTER_SECONDS + PROBE_EACH_SECONDS * PROBES_MAX
        self.assertLessEqual(detected, DETECTION_SECONDS)
        # Linux gives up at the user timeout although fewer probes are unanswered.
        self.assertGreaterEqual(limit / 1000, detected)
        self.assertLessEqual(limit / 1000, DETECTION_SECONDS)
