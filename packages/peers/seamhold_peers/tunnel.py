"""Connections to engines that a peer opens and carries for a box that cannot reach them itself.

A tunnel is a gRPC stream in both directions.  The box names an engine; once the peer is connected
to it and says so, the stream carries the bytes of that connection.  Nothing reaches the engine
before, so a tunnel that does not open has sent nothing.

The end of the stream is not the end of the connection: a stream also ends as the peer stops, fails
or is killed.  The peer says in a message of its own that the engine closed the connection, and
whether the engine was alive then: a peer that stops tells so of the connections that it still has.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack
from typing import NamedTuple

from grpclib.exceptions import StreamTerminatedError
from msgspec import Struct

from .engine_connection import EngineReader

READ_BYTES = 64 * 1024


async def not_checked() -> str:
    """Return that it is not known whether an engine is alive."""
    return ''


class Connection(NamedTuple):
    """A connection to an engine; `find_liveness` returns whether the engine is alive now.

    The liveness is a value of `seamhold.probing.Liveness`, or '' if it was not checked.
    """

    reader: EngineReader
    writer: asyncio.StreamWriter
    find_liveness: Callable[[], Awaitable[str]] = not_checked


class TunnelRequest(Struct, frozen=True, tag='open'):
    """Request for a connection to this start of an engine."""

    engine: str
    incarnation: str


class TunnelData(Struct, frozen=True, tag='data'):
    """Bytes of the carried connection."""

    data: bytes


class TunnelReply(Struct, frozen=True, tag='reply'):
    """Result of a request; `error` is '' if the peer is connected to the engine.

    `refused` is whether the engine refused the connection.  `engine_failed` is whether the error
    is the engine's and not the peer's.
    """

    error: str = ''
    refused: bool = False
    engine_failed: bool = False


class TunnelEnd(Struct, frozen=True, tag='end'):
    """The end of the carried connection; `error` is '' if the engine closed it in order.

    The kernel of an engine that was killed does so, too: the end says nothing of an answer.
    `liveness` is what the peer found at an end in order, as in `Connection`.
    """

    error: str
    liveness: str = ''


#: A box sends one request and then data; the peer sends one reply, then data and one end.
TunnelMessage = TunnelRequest | TunnelReply | TunnelData | TunnelEnd


class TunnelFailed(Exception):
    """The peer carries no connection to the engine; nothing was sent."""

    def __init__(self, reply: TunnelReply):
        super().__init__(reply.error)
        self.reply = reply


class Tunnel:
    """The box's end of a tunnel, used on the loop of the peer connections."""

    def __init__(self, stream):
        self._stream = stream
        self._resources = AsyncExitStack()
        #: Whether the engine was alive when it closed the connection, '' if nobody checked.
        self.liveness = ''

    def keep(self, resources: AsyncExitStack) -> None:
        """Hold what the tunnel uses until it is closed."""
        self._resources = resources

    async def send(self, data: bytes) -> None:
        """Send bytes to the engine; raises one of PEER_ERRORS if the tunnel is broken."""
        await self._stream.send_message(TunnelData(data))

    async def receive(self) -> bytes:
        """Return bytes of the engine, b'' once it has closed the connection in order.

        Raises one of PEER_ERRORS if the tunnel, or the connection behind it, is broken.
        """
        message = await self._stream.recv_message()
        if isinstance(message, TunnelData) and message.data:
            return message.data
        if not isinstance(message, TunnelEnd):
            raise ConnectionResetError('the peer did not say that the engine ended')
        if message.error:
            raise ConnectionResetError(message.error)
        self.liveness = message.liveness
        return b''

    async def close(self) -> None:
        """Close the tunnel, which closes the connection to the engine."""
        # An error resets the stream instead of waiting for its regular end.
        closed = ConnectionAbortedError('the tunnel was closed')
        await self._resources.__aexit__(type(closed), closed, None)


async def open_tunnel(stream, request: TunnelRequest) -> Tunnel:
    """Request a tunnel on an open stream; raises TunnelFailed or one of PEER_ERRORS."""
    await stream.send_message(request)
    reply = await stream.recv_message()
    if not isinstance(reply, TunnelReply):
        raise TunnelFailed(TunnelReply('the peer closed the stream'))
    if reply.error:
        raise TunnelFailed(reply)
    return Tunnel(stream)


async def serve_tunnel(
    stream, connect: Callable[[TunnelRequest], AbstractAsyncContextManager[Connection]]
) -> None:
    """Serve the peer's end of a tunnel; entering `connect` raises TunnelFailed."""
    request = await stream.recv_message()
    try:
        async with connect(request) as connection:
            await _carry(stream, connection)
    except TunnelFailed as failure:
        await stream.send_message(failure.reply)


async def _carry(stream, connection: Connection) -> None:
    """Pass bytes on in both directions until the connection to the engine ends."""
    sending = asyncio.create_task(_send_to_engine(stream, connection.writer))
    try:
        await stream.send_message(TunnelReply())
        await stream.send_message(await _send_to_box(stream, connection))
    finally:
        sending.cancel()


async def _send_to_box(stream, connection: Connection) -> TunnelEnd:
    """Pass the engine's bytes on to the box; return how its connection ended."""
    try:
        while data := await connection.reader.read(READ_BYTES):
            await stream.send_message(TunnelData(data))
    except OSError as error:
        return TunnelEnd(f'the connection to the engine broke: {error}')
    return TunnelEnd('', await connection.find_liveness())


async def _send_to_engine(stream, writer: asyncio.StreamWriter) -> None:
    """Pass the box's bytes on to the engine until the box closes the tunnel."""
    try:
        while (message := await stream.recv_message()) is not None:
            writer.write(message.data)
            await writer.drain()
    except (OSError, StreamTerminatedError):
        # The other direction meets the error, too, and reports it.
        return
    # The reader takes this for an error, unless the engine has ended before.
    writer.close()
