"""A stand-in for the platform's store: objects, revisions, lists and watches."""

import asyncio
import json
import socket
from urllib.parse import parse_qs, unquote, urlsplit

from .http import Message, encode, read_message

HOST = '127.0.0.1'
PREFIX = '/seamhold/objects/'
FILL_MAX = 8
FILL_SECONDS = 0.05


class Store:
    """Objects by kind and name.  Each machine reaches them through a `Door` of its own."""

    def __init__(self):
        self.revision = 1
        self.kinds: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Event()
        self.doors: list[Door] = []

    async def door(self) -> 'Door':
        """Open another address of the store."""
        door = Door(self)
        await door.open()
        self.doors.append(door)
        return door

    def put(self, kind: str, name: str, spec: dict) -> int:
        """Write an object as the operator or a server does; return its revision."""
        self.revision += 1
        metadata = {'name': name, 'revision': self.revision, 'finalizers': []}
        item = {'metadata': metadata, 'spec': spec, 'status': None}
        self.kinds.setdefault(kind, {})[name] = item
        self._record(kind, item, False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.kinds[kind].pop(name)
        self.revision += 1
        self._record(kind, item, True)

    def _record(self, kind: str, item: dict, gone: bool) -> None:
        self.history.append((self.revision, kind, item, gone))
        self.changed.set()
        self.changed = asyncio.Event()

    def events(self, kind: str, after: int) -> list[dict]:
        """Return the changes of a kind after a revision."""
        return [
            {'object': item, 'gone': gone}
            for revision, of_kind, item, gone in self.history
            if of_kind == kind and revision > after
        ]

    async def answer(self, request: Message) -> tuple[int, dict]:
        """Answer one call."""
        parts = urlsplit(request.target)
        kind, _, name = unquote(parts.path.removeprefix(PREFIX)).partition('/')
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        objects = self.kinds.setdefault(kind, {})
        if request.method == 'GET' and name:
            return (200, objects[name]) if name in objects else (404, {})
        if request.method == 'GET' and 'watch' in query:
            return await self._watch(kind, int(query['watch']), int(query['waitMs']) / 1000)
        if request.method == 'GET':
            items = [objects[one] for one in sorted(objects)]
            return 200, {'items': items, 'more': False, 'at': self.revision}
        return self._write(request, kind, name, query)

    async def _watch(self, kind: str, after: int, seconds: float) -> tuple[int, dict]:
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds
        while not self.events(kind, after) and loop.time() < ends:
            try:
                await asyncio.wait_for(self.changed.wait(), ends - loop.time())
            except TimeoutError:
                break
        return 200, {'events': self.events(kind, after), 'at': self.revision}

    def _write(self, request: Message, kind: str, name: str, query: dict) -> tuple[int, dict]:
        body = json.loads(request.body) if request.body else {}
        metadata = body.get('metadata', {})
        name = name or metadata.get('name', '')
        held = self.kinds[kind].get(name)
        expected = metadata.get('revision', query.get('revision'))
        if held is not None and request.method == 'POST':
            return 409, held
        if held is None and request.method != 'POST':
            return 404, {}
        if held is not None and expected is not None:
            if int(expected) != held['metadata']['revision']:
                return 409, held
        if request.method == 'DELETE':
            self.remove(kind, name)
            return 200, held
        if held is None or held['spec'] != body['spec']:
            self.put(kind, name, body['spec'])
        return 200, self.kinds[kind][name]


class Door:
    """One machine's path to the store, which can be cut without a word.

    Behind a cut nothing is answered on open connections, and new ones do not come up: the
    queue of the listening socket is full, so that the kernel drops their first packet.
    """

    def __init__(self, store: Store):
        self._store = store
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((HOST, 0))
        self._socket.listen(0)
        self._socket.setblocking(False)
        self._fillers: list[socket.socket] = []
        self._connections: set[asyncio.Task] = set()
        self._accepting: asyncio.Task | None = None
        self._uncut = asyncio.Event()
        self._uncut.set()
        #: The addresses at which this machine reaches servers, by name, where they are its own.
        self.server_addresses: dict[str, str] = {}
        #: For some kinds of objects: when their lists and their watches are answered.
        self.lists: dict[str, asyncio.Event] = {}
        self.watched: dict[str, asyncio.Event] = {}
        #: The kinds of which a list has been asked for, and answered.
        self.asked: set[str] = set()
        self.listed: set[str] = set()
        self.watches = 0
        self.last_watch_at = 0.0
        self.last_watch_seconds = 0.0

    @property
    def address(self) -> str:
        """The address of the store for this machine."""
        return f'{HOST}:{self._socket.getsockname()[1]}'

    async def open(self) -> None:
        """Accept connections."""
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._socket)
            task = asyncio.create_task(self._serve(connection))
            self._connections.add(task)
            task.add_done_callback(self._connections.discard)

    async def _serve(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            while (request := await read_message(reader)) is not None:
                await self._uncut.wait()
                query = parse_qs(urlsplit(request.target).query)
                if 'watch' in query:
                    self.watches += 1
                    self.last_watch_at = asyncio.get_running_loop().time()
                    self.last_watch_seconds = int(query['waitMs'][0]) / 1000
                kind = urlsplit(request.target).path.removeprefix(PREFIX)
                if request.method == 'GET':
                    self.asked.add(kind)
                    held = self.watched if 'watch' in query else self.lists
                    if kind in held:
                        await held[kind].wait()
                status, value = await self._store.answer(request)
                await self._uncut.wait()
                body = json.dumps(self._shown(value)).encode()
                headers = {'Content-Type': 'application/json'}
                writer.write(encode(f'HTTP/1.1 {status} S', headers, body))
                await writer.drain()
                if request.method == 'GET':
                    self.listed.add(kind)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _shown(self, value: dict) -> dict:
        """Return an answer with this machine's addresses of the servers."""
        if 'items' in value:
            return value | {'items': [self._shown(item) for item in value['items']]}
        if 'events' in value:
            events = [event | {'object': self._shown(event['object'])} for event in value['events']]
            return value | {'events': events}
        address = self.server_addresses.get(value.get('metadata', {}).get('name', ''))
        if address is None:
            return value
        return value | {'spec': value['spec'] | {'address': address}}

    async def cut(self) -> None:
        """Let nothing through any more, in either direction."""
        self._uncut.clear()
        self._accepting.cancel()
        for _ in range(FILL_MAX):
            filler = socket.socket()
            filler.setblocking(False)
            self._fillers.append(filler)
            try:
                connecting = asyncio.get_running_loop().sock_connect(
                    filler, self._socket.getsockname()
                )
                await asyncio.wait_for(connecting, FILL_SECONDS)
            except TimeoutError:
                return

    async def heal(self) -> None:
        """Let everything through again."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._uncut.set()
        await self.open()
