"""Connections to engines whose readers know an end in order from any other end."""

import asyncio


class EngineReader(asyncio.StreamReader):
    """Reads all bytes that arrived, then the engine's own end, or the error that came first."""

    def __init__(self) -> None:
        super().__init__()
        self._ended = False
        self._broken: Exception | None = None

    def feed_eof(self) -> None:
        """Record that the engine closed the connection in order."""
        self._ended = True
        super().feed_eof()

    def set_exception(self, exc: Exception) -> None:
        """Record that the connection broke; what was received before can still be read."""
        if not self._ended:
            self._broken = exc
            self.feed_eof()

    async def read(self, n: int = -1) -> bytes:
        """Return up to `n` bytes, b'' if the engine ended in order; raises what broke it."""
        data = await super().read(n)
        if not data and self._broken is not None:
            raise self._broken
        return data


class _EngineProtocol(asyncio.StreamReaderProtocol):
    def __init__(self, reader: EngineReader):
        super().__init__(reader)
        self._engine_reader = reader

    def connection_lost(self, exc: Exception | None) -> None:
        """Record an end that the engine did not send, which asyncio takes for one in order."""
        closed_here = ConnectionAbortedError('the connection was closed by this box')
        self._engine_reader.set_exception(exc or closed_here)
        super().connection_lost(exc)


async def connect_to_engine(host: str, port: int) -> tuple[EngineReader, asyncio.StreamWriter]:
    """Connect to an engine; raises OSError."""
    loop = asyncio.get_running_loop()
    reader = EngineReader()
    protocol = _EngineProtocol(reader)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
