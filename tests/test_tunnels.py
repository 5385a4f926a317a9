"""Connections to engines that a peer carries."""

import asyncio
from contextlib import asynccontextmanager
from typing import Any
from unittest import mock

import testtools
from grpclib.client import Channel

from seamhold_peers import (
    LivenessQuery,
    LivenessReply,
    PeerClient,
    PeerServer,
    TunnelFailed,
    TunnelReply,
    TunnelRequest,
)
from seamhold_peers.client import PEER_ERRORS
from seamhold_peers.engine_connection import EngineReader
from seamhold_peers.tunnel import Connection, Tunnel, TunnelData, TunnelEnd

HOST = '127.0.0.1'
REQUEST = TunnelRequest('i-1', '')
OPEN_SECONDS = 2.0


class CarryingPeer:
    """A peer whose connections to engines yield `parts`, and then an error or the end."""

    def __init__(self, parts: tuple[bytes, ...] = (), error: OSError | None = None):
        self._parts = parts
        self._error = error
        self.refuses = ''
        self.closed = asyncio.Event()

    @asynccontextmanager
    async def carry(self, request: TunnelRequest):
        if self.refuses:
            raise TunnelFailed(TunnelReply(self.refuses))
        reader = EngineReader()
        for part in self._parts:
            reader.feed_data(part)
        if self._error is not None:
            asyncio.get_running_loop().call_later(0.05, reader.set_exception, self._error)
        elif self._parts:
            reader.feed_eof()
        try:
            writer: Any = self
            yield Connection(reader, writer, self.find_liveness)
        finally:
            self.closed.set()

    async def find_liveness(self, query: LivenessQuery | None = None) -> Any:
        return 'alive' if query is None else LivenessReply('alive')

    def write(self, data: bytes) -> None:
        """Take the box's bytes."""

    async def drain(self) -> None:
        """Have room for more."""

    def close(self) -> None:
        """Close the connection."""


class TestTunnels(testtools.TestCase):
    def run_with(self, peer_options: dict, scenario) -> None:
        async def run() -> None:
            peer: Any = CarryingPeer(**peer_options)
            server = PeerServer(peer)
            await server.start(HOST, 0)
            listener: Any = server._server._server
            port = listener.sockets[0].getsockname()[1]
            client = PeerClient(f'{HOST}:{port}')
            try:
                await scenario(peer, client)
            finally:
                client.close()
                await server.stop()

        asyncio.run(run())

    def test_the_end_of_a_connection_is_its_end(self):
        async def scenario(_, client):
            tunnel = await client.open_tunnel(REQUEST, OPEN_SECONDS)
            self.assertEqual(b'whole', await tunnel.receive())
            self.assertEqual('', tunnel.liveness)
            self.assertEqual(b'', await tunnel.receive())
            self.assertEqual('alive', tunnel.liveness)
            await tunnel.close()

        self.run_with({'parts': (b'whole',)}, scenario)

    def test_a_connection_that_breaks_does_not_look_ended(self):
        async def scenario(_, client):
            tunnel = await client.open_tunnel(REQUEST, OPEN_SECONDS)
            self.assertEqual(b'half', await tunnel.receive())
            try:
                received = await tunnel.receive()
            except PEER_ERRORS:
                received = None
            self.assertIsNone(received)
            await tunnel.close()

        self.run_with({'parts': (b'half',), 'error': ConnectionResetError()}, scenario)

    def test_a_refused_tunnel_says_why(self):
        async def scenario(peer, client):
            peer.refuses = 'no room'
            with testtools.ExpectedException(TunnelFailed, 'no room'):
                await client.open_tunnel(REQUEST, OPEN_SECONDS)

        self.run_with({}, scenario)

    def test_a_box_that_closes_its_end_closes_the_connection(self):
        async def scenario(peer, client):
            tunnel = await client.open_tunnel(REQUEST, OPEN_SECONDS)
            await tunnel.close()
            async with asyncio.timeout(OPEN_SECONDS):
                await peer.closed.wait()

        self.run_with({}, scenario)

    def test_a_box_that_is_gone_closes_the_connection(self):
        async def scenario(peer, client):
            await client.open_tunnel(REQUEST, OPEN_SECONDS)
            client.close()
            async with asyncio.timeout(OPEN_SECONDS):
                await peer.closed.wait()

        self.run_with({}, scenario)


class SentMessages:
    """A stream that brings these messages, and then its end."""

    def __init__(self, *messages):
        self._messages = iter(messages)

    async def recv_message(self):
        return next(self._messages, None)


class TestEndsOfTunnels(testtools.TestCase):
    def assert_broken_after_data(self, *ends) -> None:
        async def run() -> None:
            tunnel = Tunnel(SentMessages(TunnelData(b'half'), *ends))
            self.assertEqual(b'half', await tunnel.receive())
            with testtools.ExpectedException(ConnectionResetError):
                self.assertEqual('an error', await tunnel.receive())

        asyncio.run(run())

    def test_a_stream_that_just_ends_does_not_look_ended_by_the_engine(self):
        self.assert_broken_after_data()

    def test_a_connection_that_broke_behind_the_peer_does_not_look_ended(self):
        self.assert_broken_after_data(TunnelEnd('reset'))

    def test_data_without_bytes_does_not_look_like_the_end(self):
        self.assert_broken_after_data(TunnelData(b''))


class TestClosingConnections(testtools.TestCase):
    """Connections that the box closes, as pings were not answered, and that have unsent data."""

    def run_with(self, scenario) -> None:
        async def run() -> None:
            peer: Any = CarryingPeer((b'whole',))
            server = PeerServer(peer)
            await server.start(HOST, 0)
            listener: Any = server._server._server
            client = PeerClient(f'{HOST}:{listener.sockets[0].getsockname()[1]}')
            try:
                await scenario(client)
            finally:
                client.close()
                await server.stop()

        asyncio.run(run())

    @staticmethod
    def close(connection: Any) -> None:
        """Close a connection without the loss that is reported once its data was sent."""
        connection._channel._protocol.processor.connection.close()

    def test_a_tunnel_opens_beside_a_connection_that_closes(self):
        """Guards against 500 for calls that a peer could carry."""

        async def scenario(client):
            tunnel = await client.open_tunnel(REQUEST, OPEN_SECONDS)
            self.close(client._streams)
            other = await client.open_tunnel(REQUEST, OPEN_SECONDS)
            self.assertEqual(b'whole', await other.receive())
            await other.close()
            await tunnel.close()

        self.run_with(scenario)

    def test_a_call_is_answered_beside_a_connection_that_closes(self):
        async def scenario(client):
            query = LivenessQuery('i-1', '')
            for _ in range(2):
                self.assertEqual('alive', (await client.find_liveness(query)).liveness)
                self.close(client._connection)

        self.run_with(scenario)

    def test_a_connection_lost_before_its_first_stream_is_an_error_of_the_peer(self):
        async def scenario(client):
            connect = Channel.__connect__

            async def connect_and_lose(channel):
                protocol = await connect(channel)
                protocol.processor.connection.close()
                return protocol

            with mock.patch.object(Channel, '__connect__', connect_and_lose):
                for call in (
                    client.open_tunnel(REQUEST, OPEN_SECONDS),
                    client.find_liveness(LivenessQuery('i-1', '')),
                ):
                    with self.assertRaisesRegex(ConnectionResetError, 'closed'):
                        await call

        self.run_with(scenario)
