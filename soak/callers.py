"""Callers that send calls throughout a run, and their record of each call."""

import http.client
import itertools
import json
import random
import threading
import time
from dataclasses import dataclass, field

from standins.engine import join_stream_text

from .fleet import SoakFleet

KEY = 'kusina-demo-key'
MODEL = 'cook-large'
PATH = '/v1/chat/completions'
#: A route of the example tree whose calls run at most once.
AT_MOST_ONCE_ROUTE = 'substitution'
CALL_SECONDS = 8
#: A caller gives up if a box sends nothing for this long after the call's deadline.
SLACK_SECONDS = 4.0
PAUSE_SECONDS = 0.03
CHATS = 30


@dataclass
class CallRecord:
    """One call as its caller saw it; times in unix seconds.

    `sent` is set once the whole request was sent.  `connection_error` is the error
    that ended its connection, or ''.
    """

    mark: str
    box: str
    at_most_once: bool
    streamed: bool
    tokens: int
    started: float
    ended: float = 0.0
    sent: bool = False
    status: int = 0
    body: bytes = b''
    connection_error: str = ''

    @property
    def error_document(self) -> dict:
        """The box's error: the body of an error response, or a stream's last event."""
        if self.status >= 400:
            try:
                return json.loads(self.body)
            except ValueError:
                return {}
        lines = [line for line in self.body.split(b'\n') if line.startswith(b'data: {"type"')]
        return json.loads(lines[-1].removeprefix(b'data: ')) if lines else {}

    @property
    def looks_complete(self) -> bool:
        """Whether the answer is complete as far as its caller can tell."""
        if self.status != 200 or self.connection_error:
            return False
        return not self.streamed or b'data: [DONE]' in self.body

    @property
    def text(self) -> str:
        """The text of a complete answer."""
        if not self.streamed:
            return json.loads(self.body)['choices'][0]['message']['content']
        return join_stream_text(self.body)


@dataclass
class Callers:
    """Threads that call random boxes, each over its own persistent connections."""

    fleet: SoakFleet
    seed: int
    records: list[CallRecord] = field(default_factory=list)

    def __post_init__(self):
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, count: int) -> None:
        """Start `count` callers."""
        for number in range(count):
            rng = random.Random(f'{self.seed}-{number}')
            thread = threading.Thread(target=self._run, args=(rng,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Start no more calls and wait for those in flight."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(CALL_SECONDS + 2 * SLACK_SECONDS)

    def call_each_box(self, times: int) -> list[CallRecord]:
        """Make `times` calls to each box, one after the other."""
        rng = random.Random(self.seed)
        return [self._call(rng, box, {}) for box in self.fleet.boxes for _ in range(times)]

    def _run(self, rng: random.Random) -> None:
        connections: dict[str, http.client.HTTPConnection] = {}
        while not self._stopped.wait(PAUSE_SECONDS * rng.uniform(0.2, 2.0)):
            self._call(rng, rng.choice(self.fleet.boxes), connections)

    def _call(self, rng: random.Random, box: str, connections: dict) -> CallRecord:
        mark = f'{self.seed}-{next(self._numbers)}'
        streamed = rng.random() < 0.5
        at_most_once = rng.random() < 0.4
        record = CallRecord(mark, box, at_most_once, streamed, rng.randrange(1, 25), time.time())
        content = f'{rng.randrange(CHATS)}'
        try:
            self._send(record, content, connections)
        except (OSError, http.client.HTTPException, ValueError) as error:
            record.connection_error = f'{type(error).__name__}: {error}'
            connections.pop(box, None)
        record.ended = time.time()
        self.records.append(record)
        return record

    def _send(self, record: CallRecord, content: str, connections: dict) -> None:
        connection = connections.get(record.box)
        if connection is None:
            port = self.fleet.processes[record.box].port
            timeout = CALL_SECONDS + SLACK_SECONDS
            connection = http.client.HTTPConnection('127.0.0.1', port, timeout=timeout)
            connections[record.box] = connection
        headers = {'Authorization': f'Bearer {KEY}', 'Seamhold-Timeout': str(CALL_SECONDS)}
        if record.at_most_once:
            headers['Seamhold-Route'] = AT_MOST_ONCE_ROUTE
        connection.request('POST', PATH, json.dumps(self._request_body(record, content)), headers)
        record.sent = True
        answer = connection.getresponse()
        record.status = answer.status
        while data := answer.read1():
            record.body += data
        if answer.length:
            raise http.client.IncompleteRead(b'', answer.length)
        # Frees the connection for the next call.
        answer.close()

    @staticmethod
    def _request_body(record: CallRecord, content: str) -> dict:
        return {
            'model': MODEL,
            'messages': [
                {'role': 'user', 'content': content},
                {'role': 'user', 'content': record.mark},
            ],
            'max_tokens': record.tokens,
            'stream': record.streamed,
            'user': record.mark,
        }
