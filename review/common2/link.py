"""A machine's path to one server: a proxy that can be cut."""

import asyncio
import socket
import struct

HOST = '127.0.0.1'
READ_BYTES = 64 * 1024
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
FILL_MAX = 8
FILL_SECONDS = 0.05


class Link:
    """Forwards connections of one machine to one server.

    After `cut`, new connections do not come up: the queue of the listening socket is full, so
    that the kernel drops their first packet.
    """

    def __init__(self, target: str):
        self._target = target
        self._socket = socket.socket()
        self._socket.bind((HOST, 0))
        self._socket.listen(0)
        self._socket.setblocking(False)
        self._fillers: list[socket.socket] = []
        self._accepting: asyncio.Task | None = None
        #: The ports from which this has connected to the server.
        self.ports: set[int] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """The address of the server for this machine."""
        return f'{HOST}:{self._socket.getsockname()[1]}'

    def start(self) -> None:
        """Accept connections."""
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._socket)
            task = asyncio.create_task(self._serve(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        host, _, port = self._target.rpartition(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self.ports.add(far_writer.get_extra_info('sockname')[1])
        copies = [
            asyncio.create_task(_copy(reader, far_writer)),
            asyncio.create_task(_copy(far_reader, writer)),
        ]
        try:
            # HTTP closes no half of a connection.
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            for end in (writer, far_writer):
                end.close()

    async def cut(self) -> None:
        """Let no new connection come up."""
        self._accepting.cancel()
        loop = asyncio.get_running_loop()
        for _ in range(FILL_MAX):
            filler = socket.socket()
            filler.setblocking(False)
            self._fillers.append(filler)
            try:
                connecting = loop.sock_connect(filler, self._socket.getsockname())
                await asyncio.wait_for(connecting, FILL_SECONDS)
            except TimeoutError:
                return

    def heal(self) -> None:
        """Let new connections come up again."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.start()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
    except OSError:
        reset(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw = writer.get_extra_info('socket')
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
