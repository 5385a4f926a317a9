"""Proxies between boxes, whose open connections can go silent while new ones work."""

import asyncio
import threading

HOST = '127.0.0.1'
READ_BYTES = 64 * 1024
START_SECONDS = 5.0


class _Connection:
    """One connection through a proxy; once silent it drops all data and stays open."""

    def __init__(self):
        self.silent = False

    async def copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass data on in one direction until the connection ends."""
        while data := await reader.read(READ_BYTES):
            if not self.silent:
                writer.write(data)
                await writer.drain()


class _Datagrams(asyncio.DatagramProtocol):
    """Forwards datagrams to a port."""

    def __init__(self, target: int):
        self._target = (HOST, target)
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport; called by the event loop."""
        self._transport = transport

    def datagram_received(self, data: bytes, _address) -> None:
        """Forward a datagram; called by the event loop."""
        self._transport.sendto(data, self._target)


class Proxy:
    """Forwards connections and datagrams at one port of its own to the port `target`."""

    def __init__(self, target: int, loop: asyncio.AbstractEventLoop):
        self.port = 0
        self._target = target
        self._open: set[_Connection] = set()
        asyncio.run_coroutine_threadsafe(self._listen(loop), loop).result(START_SECONDS)

    async def _listen(self, loop: asyncio.AbstractEventLoop) -> None:
        server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._target), local_addr=(HOST, self.port)
        )

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _Connection()
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self._target)
        except OSError:
            writer.close()
            return
        self._open.add(connection)
        directions = [
            asyncio.create_task(connection.copy(reader, far_writer)),
            asyncio.create_task(connection.copy(far_reader, writer)),
        ]
        try:
            # The end of one direction ends the connection, as a reset does.
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._open.discard(connection)
            for direction in directions:
                direction.cancel()
            for end in (writer, far_writer):
                end.close()

    def silence(self) -> int:
        """Let all open connections go silent for good; return their number."""
        loud = [connection for connection in self._open if not connection.silent]
        for connection in loud:
            connection.silent = True
        return len(loud)


class Links:
    """The proxies before the control ports of boxes, by box name."""

    def __init__(self, ports: dict[str, int]):
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        self._ports = ports
        self._proxies = {name: Proxy(port, self._loop) for name, port in ports.items()}

    def address_for(self, sender: str, receiver: str) -> str:
        """Return the address at which `sender` reaches `receiver`; its own is not proxied."""
        if sender == receiver or receiver not in self._ports:
            return f'{HOST}:{self._ports.get(receiver, 0)}'
        return f'{HOST}:{self._proxies[receiver].port}'

    def silence(self) -> int:
        """Let all connections between boxes that are open now go silent; return their number."""

        async def silence() -> int:
            return sum(proxy.silence() for proxy in self._proxies.values())

        return asyncio.run_coroutine_threadsafe(silence(), self._loop).result(START_SECONDS)
