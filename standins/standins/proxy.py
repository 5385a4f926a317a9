"""A proxy on loopback that breaks the connections that pass through it."""

import asyncio
import random
import socket
import struct
import threading
from enum import StrEnum

HOST = '127.0.0.1'
READ_BYTES = 64 * 1024
START_SECONDS = 5.0
#: Makes a close send a reset.
RESET_AT_CLOSE = struct.pack('ii', 1, 0)


class Mode(StrEnum):
    """What happens to connections; one way is named by who is not heard."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    SILENCE = 'silence'
    CLIENT_UNHEARD = 'client-unheard'
    SERVER_UNHEARD = 'server-unheard'


#: Modes in which what one end sends does not arrive.
UNHEARD = {
    'client': {Mode.SILENCE, Mode.CLIENT_UNHEARD},
    'server': {Mode.SILENCE, Mode.SERVER_UNHEARD},
}


class FaultProxy:
    """Passes connections on to `target` (`ip:port`), or breaks them.

    Bytes that are not heard are held and arrive when the mode passes, as on a
    link that is cut for a while.
    """

    def __init__(self, target: str, loop: asyncio.AbstractEventLoop, chance: random.Random):
        self.target = target
        self.delay = 0.0
        self._mode = Mode.PASS
        self._loop = loop
        self._chance = chance
        self._changed = asyncio.Event()
        self._open: set[asyncio.StreamWriter] = set()
        server = asyncio.run_coroutine_threadsafe(self._listen(), loop).result(START_SECONDS)
        self.address = '{}:{}'.format(*server.sockets[0].getsockname())

    async def _listen(self) -> asyncio.Server:
        return await asyncio.start_server(self._accept, HOST, 0)

    def set_mode(self, mode: Mode, delay: float = 0.0) -> None:
        """Change what happens from now on, from any thread."""
        self._loop.call_soon_threadsafe(self._set_mode, mode, delay)

    def _set_mode(self, mode: Mode, delay: float) -> None:
        self._mode, self.delay = mode, delay
        if mode is Mode.RESET:
            for writer in list(self._open):
                self._reset(writer)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._mode is Mode.RESET:
            self._reset(writer)
            return
        host, _, port = self.target.rpartition(':')
        try:
            there = await asyncio.open_connection(host, int(port))
        except OSError:
            self._reset(writer)
            return
        ends = {writer, there[1]}
        if self._mode is Mode.RESET:
            # It came while this connection was being opened.
            for end in ends:
                self._reset(end)
            return
        self._open |= ends
        try:
            await asyncio.gather(
                self._pump(reader, there[1], 'client'), self._pump(there[0], writer, 'server')
            )
        except (OSError, asyncio.CancelledError):
            # A connection broke, or the run is over.
            pass
        finally:
            self._open -= ends
            for end in ends:
                end.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, speaker: str
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self._mode is Mode.DELAY:
                await asyncio.sleep(self.delay * self._chance.uniform(0.5, 1.5))
            while self._mode in UNHEARD[speaker]:
                await self._changed.wait()
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    @staticmethod
    def _reset(writer: asyncio.StreamWriter) -> None:
        raw = writer.get_extra_info('socket')
        if raw is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        writer.transport.abort()


class ProxyLoop:
    """The thread that carries all proxies of a run."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, name='proxies', daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the thread; open connections break."""
        asyncio.run_coroutine_threadsafe(self._cancel_all(), self.loop).result(START_SECONDS)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(START_SECONDS)
        self.loop.close()

    @staticmethod
    async def _cancel_all() -> None:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
