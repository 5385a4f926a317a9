"""Ends of connections to engines, at a carrier and at the box for which it carries them."""

import asyncio
import socket
from contextlib import asynccontextmanager
from typing import Any

import testtools

from seamhold_peers import PeerClient, PeerServer, TunnelRequest
from seamhold_peers.client import PEER_ERRORS
from seamhold_peers.engine_connection import connect_to_engine
from seamhold_peers.tunnel import Connection

HOST = '127.0.0.1'
#: Time for what an engine does to reach the carrier, in seconds.
ARRIVAL_SECONDS = 0.05
SILENT_SECONDS = 0.3
RESET_ON_CLOSE = b'\x01\x00\x00\x00\x00\x00\x00\x00'
#: Stands for an error of a read.
BROKEN = 'broken'


async def read(reader: asyncio.StreamReader) -> bytes | str:
    """Return what a connection brings next, `BROKEN` for an error."""
    try:
        return await reader.read(8)
    except OSError:
        return BROKEN


class Engine:
    """An engine with one connection."""

    def __init__(self) -> None:
        self._listener = socket.create_server((HOST, 0))
        self.port = self._listener.getsockname()[1]

    @asynccontextmanager
    async def carry(self, _: TunnelRequest | None = None):
        reader, writer = await connect_to_engine(HOST, self.port)
        self._connection, _ = self._listener.accept()
        try:
            yield Connection(reader, writer)
        finally:
            writer.close()

    async def send(self, data: bytes) -> None:
        self._connection.sendall(data)
        await asyncio.sleep(ARRIVAL_SECONDS)

    async def end(self) -> None:
        self._connection.shutdown(socket.SHUT_WR)
        await asyncio.sleep(ARRIVAL_SECONDS)

    async def reset(self) -> None:
        self._connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._connection.close()
        await asyncio.sleep(ARRIVAL_SECONDS)

    def close(self) -> None:
        for opened in (self._connection, self._listener):
            opened.close()


class TestEngineReaders(testtools.TestCase):
    def run_with(self, scenario) -> None:
        async def run() -> None:
            engine = Engine()
            async with engine.carry() as (reader, writer, _):
                await scenario(engine, reader, writer)
            engine.close()

        asyncio.run(run())

    def test_bytes_before_a_reset_are_read_and_then_the_error(self):
        async def scenario(engine, reader, _):
            await engine.send(b'half')
            await engine.reset()
            self.assertEqual(b'half', await read(reader))
            self.assertEqual(BROKEN, await read(reader))

        self.run_with(scenario)

    def test_a_reset_while_the_carrier_writes_is_no_end(self):
        async def scenario(engine, reader, writer):
            writer.write(b'x' * 16_000_000)
            await engine.reset()
            self.assertEqual(BROKEN, await read(reader))

        self.run_with(scenario)

    def test_a_connection_closed_by_the_carrier_itself_has_no_end(self):
        async def scenario(engine, reader, writer):
            await engine.send(b'half')
            writer.close()
            await writer.wait_closed()
            self.assertEqual(b'half', await read(reader))
            self.assertEqual(BROKEN, await read(reader))

        self.run_with(scenario)

    def test_an_end_in_order_stays_one_if_the_engine_reads_no_more(self):
        async def scenario(engine, reader, writer):
            await engine.send(b'whole')
            await engine.end()
            await engine.reset()
            writer.write(b'more')
            await asyncio.sleep(ARRIVAL_SECONDS)
            self.assertEqual([b'whole', b''], [await read(reader), await read(reader)])

        self.run_with(scenario)


class TestEndsBehindPeers(testtools.TestCase):
    def assert_ends(self, whole: bool, end) -> None:
        """Check what a box receives after an engine's 'half', as `end` ends the tunnel."""

        async def run() -> None:
            engine: Any = Engine()
            server = PeerServer(engine)
            await server.start(HOST, 0)
            listener: Any = server._server._server
            client = PeerClient(f'{HOST}:{listener.sockets[0].getsockname()[1]}')
            tunnel = await client.open_tunnel(TunnelRequest('i-1', ''), 2.0)
            await engine.send(b'half')
            await end(engine, tunnel, server)
            self.assertEqual(b'half', await tunnel.receive())
            try:
                async with asyncio.timeout(SILENT_SECONDS):
                    received = await tunnel.receive()
            except PEER_ERRORS:
                received = None
            self.assertEqual(b'' if whole else None, received)
            await tunnel.close()
            client.close()
            await server.stop()
            engine.close()

        asyncio.run(run())

    def test_an_engine_that_ends_in_order_is_seen_to_end(self):
        self.assert_ends(True, lambda engine, tunnel, server: engine.end())

    def test_an_engine_that_resets_is_not_seen_to_end(self):
        self.assert_ends(False, lambda engine, tunnel, server: engine.reset())

    def test_a_box_that_sends_no_more_does_not_see_the_engine_end(self):
        self.assert_ends(False, lambda engine, tunnel, server: tunnel._stream.end())

    def test_a_carrier_that_stops_does_not_make_the_engine_seem_to_end(self):
        self.assert_ends(False, lambda engine, tunnel, server: server.stop())
