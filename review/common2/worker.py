"""A stand-in for a backend server that runs requests in a number of slots."""

import asyncio
import time

from .http import Message, encode, read_message
from .store import HOST, Store


class Worker:
    """A backend server.  `work` seconds is how long a request takes; `queue` may wait."""

    def __init__(
        self, name: str, service: str, zone: str = 'a', slots: int = 2, work: float = 0.02
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work = work
        self.queue = 4 * slots
        #: Requests in the order in which they arrived, with their monotonic times.
        self.arrived: list[tuple[float, str, str, dict]] = []
        #: Requests that were run: when each began, and its id.
        self.ran: list[tuple[float, str]] = []
        #: Returns an answer's status before the work, None for a good one.
        self.fault = lambda request: None
        self.address = ''
        self._free = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._server: asyncio.Server | None = None

    async def start(self, store: Store) -> 'Worker':
        """Listen, and write this server's entry into the store."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f'{HOST}:{self._server.sockets[0].getsockname()[1]}'
        self.list_in(store, 'ready')
        return self

    def list_in(self, store: Store, state: str) -> int:
        """Write this server's entry; return the store's revision."""
        entry = {'service': self.service, 'address': self.address, 'zone': self.zone}
        entry |= {'version': 'v1', 'slots': self.slots, 'state': state}
        entry |= {'coldRemainingMs': 0, 'sequence': 1}
        return store.put('servers', self.name, entry)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                answering = asyncio.create_task(self._answer(request))
                # Work is dropped when its connection closes.
                leaving = asyncio.create_task(reader.read(1))
                done, _ = await asyncio.wait(
                    (answering, leaving), return_when=asyncio.FIRST_COMPLETED
                )
                if answering not in done:
                    answering.cancel()
                    return
                leaving.cancel()
                writer.write(answering.result())
                await writer.drain()
                return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The box has closed the connection, or the case ends.
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        headers = request.headers
        request_id = headers.get('x-seamhold-attempt-id', '')
        if request.target == '/seamhold/kv-list':
            return encode('HTTP/1.1 200 OK', {'Connection': 'close'}, b'{"epoch":1,"held":[]}')
        self.arrived.append((time.monotonic(), request_id, request.target, headers))
        if headers.get('x-seamhold-expected-instance') not in (None, self.name):
            return self._reply(421, request_id, {'X-Seamhold-Not-Executed': '1'})
        if self._running >= self.slots and self._waiting >= self.queue:
            return self._reply(503, request_id, {'X-Seamhold-Not-Executed': '1'})
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self.ran.append((time.monotonic(), request_id))
            await asyncio.sleep(self.work)
            status = self.fault(request) or 200
            return self._reply(status, request_id, {'X-Seamhold-Server-Signature': self.name})
        finally:
            self._running -= 1
            self._free.release()

    def _reply(self, status: int, request_id: str, extra: dict[str, str]) -> bytes:
        headers = {'X-Seamhold-Attempt-Id': request_id, 'Connection': 'close'}
        headers['X-Seamhold-Worker-Load'] = f'{self._running},{self._waiting},{self.slots}'
        return encode(f'HTTP/1.1 {status} S', headers | extra, self.name.encode())
