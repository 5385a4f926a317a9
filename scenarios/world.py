"""The fleet of a scenario and the calls made to it."""

import json
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

import urllib3
import yaml

from standins.engine import join_stream_text
from standins.fleet import LocalFleet, wait_until

KEY = 'kusina-demo-key'
KEYS = {'kusina': KEY, 'port-louis': 'port-louis-demo-key'}
MODEL = 'cook-large'
TREE = Path('examples/tree.yaml')
CALL_SECONDS = 30.0
LOG_LINES = 30


@dataclass
class CallRecord:
    """One call as its caller sees it; `seconds` is its duration."""

    name: str
    mark: str
    thread: threading.Thread | None = None
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b''
    connection_error: str = ''
    response: object = None
    seconds: float = 0.0

    @property
    def error_document(self) -> dict:
        """The box's error: the body of an error response, or a stream's last event."""
        if self.status >= 400:
            return json.loads(self.body)
        lines = [line for line in self.body.split(b'\n') if line.startswith(b'data: {"type"')]
        return json.loads(lines[-1].removeprefix(b'data: ')) if lines else {}

    @property
    def text(self) -> str:
        """The text of the answer, streamed or not."""
        if b'data: ' not in self.body:
            return json.loads(self.body)['choices'][0]['message']['content']
        return join_stream_text(self.body)

    @property
    def complete(self) -> bool:
        """Whether the answer is complete as far as its caller can tell."""
        if self.status != 200 or self.connection_error:
            return False
        return b'data: ' not in self.body or b'data: [DONE]' in self.body


class World:
    """The state of one scenario: its fleet, calls and tickets."""

    def __init__(self):
        self.fleet = LocalFleet()
        self.calls: dict[str, CallRecord] = {}
        #: The last of several copies of one request.
        self.last_copy_record: CallRecord | None = None
        self.tickets: dict[str, str] = {}
        self.tree = yaml.safe_load(TREE.read_text(encoding='utf-8'))
        self.load = None
        self.http = urllib3.PoolManager(retries=False, timeout=CALL_SECONDS, maxsize=64)

    def close(self) -> None:
        """Stop all processes."""
        self.fleet.stop_all()

    def show_logs(self) -> None:
        """Print the end of each box's log to explain a failure."""
        for process in list(self.fleet.processes.values()):
            if process.kind == 'box':
                lines = self.fleet.log_of(process.name).splitlines()[-LOG_LINES:]
                print(f'--- {process.name}', *lines, sep='\n')

    def start(self, boxes: int, engines: int, **engine_options) -> None:
        """Start a platform, engines and boxes, apply the settings and wait until all are ready."""
        self.fleet.start_platform()
        for number in range(1, engines + 1):
            self.fleet.start_engine(f'engine-{number}', 'recipes', **engine_options)
        self.fleet.apply(self.tree)
        names = [f'box-{number}' for number in range(1, boxes + 1)]
        for name in names:
            self.fleet.start_box(name, wait=False)
        for name in names:
            wait_until(lambda name=name: self.fleet.ready(name), description=f'{name} to be ready')
        wait_until(
            lambda: all(self.knows_all_peers(name, boxes) for name in names), description='peers'
        )

    def knows_all_peers(self, box: str, boxes: int) -> bool:
        """Whether a box has received a digest from every other box."""
        known_peers = [peer for peer in self.fleet.status(box)['boxes'] if peer['incarnation']]
        return len(known_peers) == boxes - 1

    # Calls.

    def send(self, name: str, box: str, **options) -> CallRecord:
        """Start a call in a new thread."""
        record = CallRecord(name, options.get('mark') or name)
        record.thread = threading.Thread(target=self.call, args=(record, box, options), daemon=True)
        self.calls[name] = record
        record.thread.start()
        return record

    def call(self, record: CallRecord, box: str, options: dict) -> None:
        """Make one call and read its whole response into `record`."""
        body = {
            'model': options.get('model') or MODEL,
            'messages': [{'role': 'user', 'content': options.get('content') or record.mark}],
            'max_tokens': int(options.get('tokens') or 8),
            'stream': options.get('stream') == 'yes',
            'user': record.mark,
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
        started = time.monotonic()
        try:
            url = self.fleet.processes[box].url + '/v1/chat/completions'
            response = self.http.request(
                'POST', url, json=body, headers=headers, preload_content=False
            )
            record.response = response
            record.status = response.status
            record.headers = dict(response.headers)
            while data := response.read1():
                record.body += data
        except (urllib3.exceptions.HTTPError, OSError, ValueError, AttributeError) as error:
            record.connection_error = f'{type(error).__name__}: {error}'
        record.seconds = time.monotonic() - started

    def wait_for_call(self, name: str) -> CallRecord:
        """Wait until the call has ended and return it."""
        record = self.calls[name]
        record.thread.join(CALL_SECONDS + 5)
        assert not record.thread.is_alive(), f'{name} never ended'
        return record

    def issue_ticket(self, name: str, box: str) -> None:
        """Get a ticket from a box and store it under `name`."""
        answer = self.http.request(
            'POST',
            self.fleet.processes[box].url + '/v1/tickets',
            headers={'Authorization': f'Bearer {KEY}'},
        )
        self.tickets[name] = answer.json()['tickets'][0]

    def ran(self, mark: str) -> list[dict]:
        """Return the ledger rows of running engines for the calls with this mark."""
        return [row for row in self.fleet.ledgers() if row.get('mark') == mark]

    def has_started(self, mark: str) -> bool:
        """Whether an engine has started to answer the call."""
        return any(row['tokens'] > 0 for row in self.ran(mark))
