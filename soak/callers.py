"""Callers that send calls all the while, and what they saw of each."""

import http.client
import itertools
import json
import random
import threading
import time
from dataclasses import dataclass, field

from standins.engine import streamed_words

from .fleet import SoakFleet

KEY = 'kusina-demo-key'
MODEL = 'cook-large'
PATH = '/v1/chat/completions'
#: A route of the example tree whose calls run at most once.
ONCE_ROUTE = 'substitution'
CALL_SECONDS = 8
#: A caller gives up on a box that says nothing for so long after that.
SLACK_SECONDS = 4.0
PAUSE_SECONDS = 0.03
CHATS = 30


@dataclass
class Seen:
    """One call as its caller saw it; times are in unix seconds.

    `sent` tells that the whole request went out, `broken` how its connection
    failed, '' if it did not.
    """

    mark: str
    box: str
    once: bool
    streamed: bool
    tokens: int
    began: float
    ended: float = 0.0
    sent: bool = False
    status: int = 0
    body: bytes = b''
    broken: str = ''

    @property
    def problem(self) -> dict:
        """The box's own failure: the answer's document, or a stream's last event."""
        if self.status >= 400:
            try:
                return json.loads(self.body)
            except ValueError:
                return {}
        lines = [line for line in self.body.split(b'\n') if line.startswith(b'data: {"type"')]
        return json.loads(lines[-1].removeprefix(b'data: ')) if lines else {}

    @property
    def looks_whole(self) -> bool:
        """Whether its caller takes the answer for a complete one."""
        if self.status != 200 or self.broken:
            return False
        return not self.streamed or b'data: [DONE]' in self.body

    @property
    def text(self) -> str:
        """The words of a good answer."""
        if not self.streamed:
            return json.loads(self.body)['choices'][0]['message']['content']
        return streamed_words(self.body)


@dataclass
class Callers:
    """Threads that call random boxes, each on kept connections."""

    fleet: SoakFleet
    seed: int
    seen: list[Seen] = field(default_factory=list)

    def __post_init__(self):
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, count: int) -> None:
        """Begin to call with `count` callers."""
        for number in range(count):
            chance = random.Random(f'{self.seed}-{number}')
            thread = threading.Thread(target=self._run, args=(chance,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Begin no more calls, and wait for those under way."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(CALL_SECONDS + 2 * SLACK_SECONDS)

    def call_each_box(self, times: int) -> list[Seen]:
        """Some calls to each box, one after the other."""
        chance = random.Random(self.seed)
        return [self._call(chance, box, {}) for box in self.fleet.boxes for _ in range(times)]

    def _run(self, chance: random.Random) -> None:
        connections: dict[str, http.client.HTTPConnection] = {}
        while not self._stopped.wait(PAUSE_SECONDS * chance.uniform(0.2, 2.0)):
            self._call(chance, chance.choice(self.fleet.boxes), connections)

    def _call(self, chance: random.Random, box: str, connections: dict) -> Seen:
        mark = f'{self.seed}-{next(self._numbers)}'
        streamed = chance.random() < 0.5
        once = chance.random() < 0.4
        seen = Seen(mark, box, once, streamed, chance.randrange(1, 25), time.time())
        content = f'{chance.randrange(CHATS)}'
        try:
            self._exchange(seen, content, connections)
        except (OSError, http.client.HTTPException, ValueError) as error:
            seen.broken = f'{type(error).__name__}: {error}'
            connections.pop(box, None)
        seen.ended = time.time()
        self.seen.append(seen)
        return seen

    def _exchange(self, seen: Seen, content: str, connections: dict) -> None:
        connection = connections.get(seen.box)
        if connection is None:
            port = self.fleet.processes[seen.box].port
            timeout = CALL_SECONDS + SLACK_SECONDS
            connection = http.client.HTTPConnection('127.0.0.1', port, timeout=timeout)
            connections[seen.box] = connection
        headers = {'Authorization': f'Bearer {KEY}', 'Seamhold-Timeout': str(CALL_SECONDS)}
        if seen.once:
            headers['Seamhold-Route'] = ONCE_ROUTE
        connection.request('POST', PATH, json.dumps(self._body(seen, content)), headers)
        seen.sent = True
        answer = connection.getresponse()
        seen.status = answer.status
        while data := answer.read1():
            seen.body += data
        if answer.length:
            raise http.client.IncompleteRead(b'', answer.length)
        # Frees the connection for the next call.
        answer.close()

    @staticmethod
    def _body(seen: Seen, content: str) -> dict:
        return {
            'model': MODEL,
            'messages': [
                {'role': 'user', 'content': content},
                {'role': 'user', 'content': seen.mark},
            ],
            'max_tokens': seen.tokens,
            'stream': seen.streamed,
            'user': seen.mark,
        }
