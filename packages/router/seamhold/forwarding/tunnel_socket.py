"""The part of a socket's interface that an HTTP client uses, over a tunnel to a peer.

Request threads use the socket; the loop of the peer connections moves the bytes.
"""

import asyncio
import io
import threading

from seamhold_peers import Tunnel
from seamhold_peers.client import PEER_ERRORS

#: Received bytes that wait for a slow caller before the tunnel stops reading.
BUFFER_BYTES = 256 * 1024


class TunnelSocket:
    """A connection to an engine, carried by the peer `carrier`; created on the loop."""

    def __init__(self, tunnel: Tunnel, carrier: str):
        self._tunnel = tunnel
        self.carrier = carrier
        self._loop = asyncio.get_running_loop()
        self._timeout: float | None = None
        self._changed = threading.Condition()
        self._received = bytearray()
        self._ended = False
        self._error: OSError | None = None
        #: Set while there is room for more received bytes; used on the loop only.
        self._room = asyncio.Event()
        self._closed = False
        self._files = 0
        self._receiving = self._loop.create_task(self._receive())

    @property
    def liveness(self) -> str:
        """Whether the engine was alive as it ended, as the carrier found; '' if not checked."""
        return self._tunnel.liveness

    # On the loop.

    async def _receive(self) -> None:
        error: OSError | None = ConnectionAbortedError('the tunnel was closed')
        try:
            while data := await self._tunnel.receive():
                self._put(data)
                await self._room.wait()
            error = None
        except PEER_ERRORS as broken:
            error = ConnectionResetError(f'the tunnel broke: {broken}')
        finally:
            self._end(error)

    def _put(self, data: bytes) -> None:
        with self._changed:
            self._received += data
            # Cleared under the lock: a reader that makes room sets it after that.
            if len(self._received) < BUFFER_BYTES:
                self._room.set()
            else:
                self._room.clear()
            self._changed.notify_all()

    async def _close_tunnel(self) -> None:
        self._receiving.cancel()
        await self._tunnel.close()

    # On the request's thread.

    def settimeout(self, seconds: float | None) -> None:
        """Limit each send and receive that follows; None for no limit."""
        self._timeout = seconds

    def sendall(self, data: bytes) -> None:
        """Send all bytes; raises OSError."""
        sending = asyncio.run_coroutine_threadsafe(self._tunnel.send(bytes(data)), self._loop)
        try:
            sending.result(self._timeout)
        except TimeoutError:
            sending.cancel()
            raise
        except PEER_ERRORS as error:
            raise ConnectionResetError(f'the tunnel broke: {error}') from error

    def recv(self, max_bytes: int) -> bytes:
        """Receive bytes; b'' at the end, raises OSError."""
        buffer = bytearray(max_bytes)
        return bytes(buffer[: self.recv_into(memoryview(buffer))])

    def recv_into(self, buffer: memoryview) -> int:
        """Receive bytes into a buffer; 0 once the engine has ended, raises OSError."""
        with self._changed:
            if not self._changed.wait_for(lambda: self._received or self._ended, self._timeout):
                raise TimeoutError('timed out')
            if not self._received and self._error is not None:
                raise self._error
            count = min(len(buffer), len(self._received))
            buffer[:count] = self._received[:count]
            was_full = len(self._received) >= BUFFER_BYTES
            del self._received[:count]
        if was_full:
            self._loop.call_soon_threadsafe(self._room.set)
        return count

    def makefile(self, _mode: str = 'rb', buffering: int = -1) -> io.BufferedReader | io.RawIOBase:
        """Return a file to read from; the connection stays open until it is closed, too."""
        self._files += 1
        file = _TunnelFile(self)
        return file if buffering == 0 else io.BufferedReader(file)

    def shutdown(self, _how: int) -> None:
        """Close the connection to the engine; whoever reads from it gets an error."""
        self._closed = True
        self._close_now()

    def close(self) -> None:
        """Close the connection once all files made of it are closed."""
        self._closed = True
        if not self._files:
            self._close_now()

    def file_closed(self) -> None:
        """Record that a file made of this socket was closed."""
        self._files -= 1
        if self._closed and not self._files:
            self._close_now()

    def _end(self, error: OSError | None) -> None:
        with self._changed:
            self._ended = True
            # An error stands, also beside an end in order that came before or comes after it.
            self._error = self._error or error
            self._changed.notify_all()

    def _close_now(self) -> None:
        self._end(ConnectionAbortedError('the connection was closed by this box'))
        if not self._loop.is_closed():
            asyncio.run_coroutine_threadsafe(self._close_tunnel(), self._loop)


class _TunnelFile(io.RawIOBase):
    """A readable file over a tunnel."""

    def __init__(self, connection: TunnelSocket):
        self._connection = connection

    def readable(self) -> bool:
        """Tell the buffered reader that this file can be read."""
        return True

    def readinto(self, buffer) -> int:
        """Read into a buffer; 0 at the end, raises OSError."""
        return self._connection.recv_into(memoryview(buffer))

    def close(self) -> None:
        """Close the file."""
        if not self.closed:
            super().close()
            self._connection.file_closed()
