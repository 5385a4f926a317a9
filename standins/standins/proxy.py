"""A TCP proxy on loopback that injects connection faults, before and after connecting."""

import asyncio
import random
import socket
import struct
import threading
from collections.abc import Iterable
from enum import StrEnum

HOST = '127.0.0.1'
READ_BYTES = 64 * 1024
START_SECONDS = 5.0
#: Connections that fill the queue of a listener without a backlog.
QUEUE_CONNECTIONS = 2
#: SO_LINGER value that makes close() send a reset.
RESET_AT_CLOSE = struct.pack('ii', 1, 0)


class Mode(StrEnum):
    """The fault that the proxy injects; a one-way cut is named by the end whose data is held."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    SILENCE = 'silence'
    CLIENT_HELD_BACK = 'client-unheard'
    SERVER_HELD_BACK = 'server-unheard'


#: Modes in which the data that one end sends does not arrive.
HELD_BACK = {
    'client': {Mode.SILENCE, Mode.CLIENT_HELD_BACK},
    'server': {Mode.SILENCE, Mode.SERVER_HELD_BACK},
}


class FaultProxy:
    """Forwards connections to `target` (`ip:port`), or injects faults into them.

    Data that a mode holds back is kept and delivered once the mode ends, as on a
    network link that is interrupted for a while.
    """

    def __init__(self, target: str, loop: asyncio.AbstractEventLoop, rng: random.Random):
        self.target = target
        self.delay = 0.0
        self._mode = Mode.PASS
        self._loop = loop
        self._rng = rng
        self._mode_changed = asyncio.Event()
        self._open_writers: set[asyncio.StreamWriter] = set()
        #: Ends of connections that stay open and deliver nothing any more.
        self._silenced_writers: set[asyncio.StreamWriter] = set()
        server = asyncio.run_coroutine_threadsafe(self._listen(), loop).result(START_SECONDS)
        self.address = '{}:{}'.format(*server.sockets[0].getsockname())

    async def _listen(self) -> asyncio.Server:
        return await asyncio.start_server(self._accept, HOST, 0)

    def set_mode(self, mode: Mode, delay: float = 0.0) -> None:
        """Change the mode; `delay` in seconds.  Safe to call from any thread."""
        self._loop.call_soon_threadsafe(self._set_mode, mode, delay)

    def silence_open(self) -> int:
        """Silence the open connections for good while new ones work; return their number.

        Safe to call from any thread but that of the loop.
        """
        silencing = asyncio.run_coroutine_threadsafe(silence_all([self]), self._loop)
        return silencing.result(START_SECONDS)

    def silence_on_loop(self) -> int:
        """Silence the open connections; called on the loop."""
        newly = self._open_writers - self._silenced_writers
        self._silenced_writers |= newly
        return len(newly) // 2

    def _set_mode(self, mode: Mode, delay: float) -> None:
        self._mode, self.delay = mode, delay
        if mode is Mode.RESET:
            for writer in list(self._open_writers):
                self._reset(writer)
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._mode is Mode.RESET:
            self._reset(writer)
            return
        host, _, port = self.target.rpartition(':')
        try:
            server_end = await asyncio.open_connection(host, int(port))
        except OSError:
            self._reset(writer)
            return
        ends = {writer, server_end[1]}
        if self._mode is Mode.RESET:
            # The mode changed while this connection was being opened.
            for end in ends:
                self._reset(end)
            return
        self._open_writers |= ends
        try:
            await asyncio.gather(
                self._copy_data(reader, server_end[1], 'client'),
                self._copy_data(server_end[0], writer, 'server'),
            )
        except (OSError, asyncio.CancelledError):
            # A connection broke, or the proxy is stopping.
            pass
        finally:
            self._open_writers -= ends
            self._silenced_writers -= ends
            for end in ends:
                end.close()

    async def _copy_data(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sender: str
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self._mode is Mode.DELAY:
                await asyncio.sleep(self.delay * self._rng.uniform(0.5, 1.5))
            while self._mode in HELD_BACK[sender]:
                await self._mode_changed.wait()
            if writer not in self._silenced_writers:
                writer.write(data)
                await writer.drain()
        if writer not in self._silenced_writers and writer.can_write_eof():
            writer.write_eof()

    @staticmethod
    def _reset(writer: asyncio.StreamWriter) -> None:
        raw = writer.get_extra_info('socket')
        if raw is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        writer.transport.abort()


async def silence_all(proxies: Iterable[FaultProxy]) -> int:
    """Silence the open connections of several proxies at one moment; return their number."""
    return sum(proxy.silence_on_loop() for proxy in proxies)


class ProxyLoop:
    """The thread and event loop that run all proxies of a fleet."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, name='proxies', daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and break open connections."""
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


class Access(StrEnum):
    """What becomes of new connections to a port; open ones live on."""

    OPEN = 'open'
    REFUSED = 'refused'
    #: Connecting is not answered, as where packets are dropped.
    HANGING = 'hanging'


class GuardedPort:
    """A port that forwards to `target` (`ip:port`), and can refuse or ignore new connections."""

    def __init__(self, target: str, loop: asyncio.AbstractEventLoop):
        self._target = target
        self._loop = loop
        self._access = Access.OPEN
        self._server: asyncio.Server | None = None
        #: Holds the port while connecting hangs; its queue is full.
        self._full: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self._run(self._open())

    @property
    def address(self) -> str:
        """The address that forwards to the target."""
        return f'{HOST}:{self.port}'

    def set_access(self, access: Access, reset: bool = False) -> None:
        """Change what becomes of new connections; with `reset`, break the open ones.

        Safe to call from any thread but that of the loop.
        """
        self._run(self._set_access(access, reset))

    def _run(self, work) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result(START_SECONDS)

    async def _set_access(self, access: Access, reset: bool) -> None:
        if reset:
            for writer in list(self._writers):
                FaultProxy._reset(writer)
        if access is self._access:
            return
        self._access = access
        if self._server is not None:
            self._server.close()
            self._server = None
        for one in self._full:
            one.close()
        self._full.clear()
        if access is Access.OPEN:
            await self._open()
        elif access is Access.HANGING:
            self._fill_queue()

    async def _open(self) -> None:
        self._server = await asyncio.start_server(self._accept, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def _fill_queue(self) -> None:
        """Listen without accepting, and fill the queue: the kernel drops further attempts."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self.port))
        listener.listen(0)
        self._full.append(listener)
        for _ in range(QUEUE_CONNECTIONS):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex((HOST, self.port))
            self._full.append(one)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            FaultProxy._reset(writer)
            return
        ends = {writer, far_writer}
        self._writers |= ends
        copies = [
            asyncio.create_task(_copy_until_end(reader, far_writer)),
            asyncio.create_task(_copy_until_end(far_reader, writer)),
        ]
        try:
            # The end of one direction ends the connection: HTTP closes no half of one.
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._writers -= ends
            for copy in copies:
                copy.cancel()
            for end in ends:
                end.close()


async def _copy_until_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
    except OSError:
        # The connection was reset, which ends it.
        return
