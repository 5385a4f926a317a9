"""The fleet of a scenario, and the calls that are under way in it."""

import json
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

import urllib3
import yaml

from standins.engine import streamed_words
from standins.fleet import LocalFleet, wait_until

KEY = 'kusina-demo-key'
KEYS = {'kusina': KEY, 'port-louis': 'port-louis-demo-key'}
MODEL = 'cook-large'
TREE = Path('examples/tree.yaml')
CALL_SECONDS = 30.0
LOG_LINES = 30


@dataclass
class Sent:
    """One call as its caller sees it."""

    name: str
    mark: str
    thread: threading.Thread | None = None
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b''
    broken: str = ''
    response: object = None
    seconds: float = 0.0

    @property
    def problem(self) -> dict:
        """The refusal's document, also from the end of a stream."""
        if self.status >= 400:
            return json.loads(self.body)
        lines = [line for line in self.body.split(b'\n') if line.startswith(b'data: {"type"')]
        return json.loads(lines[-1].removeprefix(b'data: ')) if lines else {}

    @property
    def text(self) -> str:
        """The words of the answer, streamed or not."""
        if b'data: ' not in self.body:
            return json.loads(self.body)['choices'][0]['message']['content']
        return streamed_words(self.body)

    @property
    def whole(self) -> bool:
        """Whether the answer is complete as far as its caller can tell."""
        if self.status != 200 or self.broken:
            return False
        return b'data: ' not in self.body or b'data: [DONE]' in self.body


class World:
    """One scenario's fleet, calls and notes."""

    def __init__(self):
        self.fleet = LocalFleet()
        self.calls: dict[str, Sent] = {}
        #: The last of the copies of one request.
        self.last_copy: Sent | None = None
        self.tickets: dict[str, str] = {}
        self.tree = yaml.safe_load(TREE.read_text(encoding='utf-8'))
        self.load = None
        self.http = urllib3.PoolManager(retries=False, timeout=CALL_SECONDS, maxsize=64)

    def close(self) -> None:
        """End all that was started."""
        self.fleet.stop_all()

    def show_logs(self) -> None:
        """The end of each box's log, for whoever reads a failure."""
        for process in list(self.fleet.processes.values()):
            if process.kind == 'box':
                lines = self.fleet.log_of(process.name).splitlines()[-LOG_LINES:]
                print(f'--- {process.name}', *lines, sep='\n')

    def start(self, boxes: int, engines: int, **engine_options) -> None:
        """A platform, engines, settings and boxes, all ready."""
        self.fleet.start_platform()
        for number in range(1, engines + 1):
            self.fleet.start_engine(f'engine-{number}', 'recipes', **engine_options)
        self.fleet.apply(self.tree)
        names = [f'box-{number}' for number in range(1, boxes + 1)]
        for name in names:
            self.fleet.start_box(name, wait=False)
        for name in names:
            wait_until(lambda name=name: self.fleet.ready(name), description=f'{name} to be ready')
        wait_until(lambda: all(self.knows_all(name, boxes) for name in names), description='peers')

    def knows_all(self, box: str, boxes: int) -> bool:
        """Whether a box has heard every other one."""
        heard = [peer for peer in self.fleet.status(box)['boxes'] if peer['incarnation']]
        return len(heard) == boxes - 1

    # Calls.

    def send(self, name: str, box: str, **options) -> Sent:
        """Begin a call in a thread of its own."""
        sent = Sent(name, options.get('mark') or name)
        sent.thread = threading.Thread(target=self.call, args=(sent, box, options), daemon=True)
        self.calls[name] = sent
        sent.thread.start()
        return sent

    def call(self, sent: Sent, box: str, options: dict) -> None:
        """Make one call and wait for all that comes of it."""
        body = {
            'model': options.get('model') or MODEL,
            'messages': [{'role': 'user', 'content': options.get('content') or sent.mark}],
            'max_tokens': int(options.get('tokens') or 8),
            'stream': options.get('stream') == 'yes',
            'user': sent.mark,
        }
        if options.get('chat'):
            body['prompt_cache_key'] = options['chat']
        headers = {'Authorization': f'Bearer {KEYS[options.get("workspace") or "kusina"]}'}
        if options.get('route'):
            headers['Seamhold-Route'] = options['route']
        if options.get('key'):
            headers['Idempotency-Key'] = options['key']
        if options.get('ticket'):
            headers['Seamhold-Ticket'] = self.tickets[options['ticket']]
        if options.get('timeout'):
            headers['Seamhold-Timeout'] = options['timeout']
        began = time.monotonic()
        try:
            url = self.fleet.processes[box].url + '/v1/chat/completions'
            response = self.http.request(
                'POST', url, json=body, headers=headers, preload_content=False
            )
            sent.response = response
            sent.status = response.status
            sent.headers = dict(response.headers)
            while data := response.read1():
                sent.body += data
        except (urllib3.exceptions.HTTPError, OSError, ValueError, AttributeError) as error:
            sent.broken = f'{type(error).__name__}: {error}'
        sent.seconds = time.monotonic() - began

    def finished(self, name: str) -> Sent:
        """The call, once its caller has all that comes."""
        sent = self.calls[name]
        sent.thread.join(CALL_SECONDS + 5)
        assert not sent.thread.is_alive(), f'{name} never ended'
        return sent

    def mint(self, name: str, box: str) -> None:
        """A ticket of a box, under a name."""
        answer = self.http.request(
            'POST',
            self.fleet.processes[box].url + '/v1/tickets',
            headers={'Authorization': f'Bearer {KEY}'},
        )
        self.tickets[name] = answer.json()['tickets'][0]

    def ran(self, mark: str) -> list[dict]:
        """Ledger rows of living engines for the calls with a mark."""
        return [row for row in self.fleet.ledgers() if row.get('mark') == mark]

    def begun(self, mark: str) -> bool:
        """Whether an engine has begun to answer the call."""
        return any(row['tokens'] > 0 for row in self.ran(mark))
