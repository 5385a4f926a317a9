"""A stand-in for a model engine with deterministic answers, a prefix cache and a ledger.

The text of an answer depends only on the request, so another engine can resume
a stream.  The ledger records the requests that the engine ran; tests check
at-most-once execution against it.  Faults are injected over HTTP.
"""

import argparse
import hashlib
import json
import os
import threading
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import islice

from .httpd import Handler, StandIn

BYTES_PER_TOKEN = 4
DEFAULT_TOKENS = 16


@dataclass(frozen=True)
class EngineFaults:
    """The faults that can be injected; times in seconds.

    A request whose last message is `ends_on` terminates the process.
    """

    first_token_seconds: float = 0.0
    token_seconds: float = 0.005
    refuse: bool = False
    fail_500: bool = False
    die_before_first: bool = False
    ends_on: str = ''
    die_after_tokens: int = -1
    end_without_done: bool = False
    wrong_id: str = ''
    leaving: bool = False
    report_lag: float = 0.0


@dataclass
class LedgerRow:
    """One request that the engine started to run."""

    request_id: str
    body_hash: str
    mark: str
    tokens: int = 0
    state: str = 'running'


class PrefixCache:
    """An LRU cache of prompt prefixes, separated by salt; sizes in tokens."""

    def __init__(self, max_tokens: int):
        self.max_tokens = max_tokens
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self._size = 0

    def count_and_cache(self, salt: str, messages: list[dict]) -> tuple[int, int]:
        """Cache the prompt and return its tokens and how many of them were cached before."""
        digest = hashlib.sha256(salt.encode())
        total = cached = 0
        contiguous = True
        for message in messages:
            text = json.dumps(message, sort_keys=True)
            digest.update(text.encode())
            size = max(1, len(text) // BYTES_PER_TOKEN)
            key = digest.hexdigest()
            total += size
            if key in self._sizes:
                self._sizes.move_to_end(key)
            else:
                contiguous = False
                self._sizes[key] = size
                self._size += size
            if contiguous:
                cached += size
        while self._size > self.max_tokens:
            _, size = self._sizes.popitem(last=False)
            self._size -= size
        return total, cached


def join_stream_text(body: bytes) -> str:
    """Return the text of a streamed answer, joined from its events."""
    words = []
    for line in body.decode().splitlines():
        if line.startswith('data: {"id"'):
            delta = json.loads(line.removeprefix('data: '))['choices'][0]['delta']
            words.append(delta.get('content', ''))
    return ''.join(words)


@dataclass
class Job:
    """A request and its precomputed answer."""

    request_id: str
    answer_id: str
    model: str
    words: list[str]
    prompt_tokens: int
    cached_tokens: int
    row: LedgerRow
    offset: int = 0
    #: Content of the request's last message.
    last_message: str = ''

    def event(self, word: str) -> bytes:
        """Return one token as a server-sent event."""
        choice = {'index': 0, 'delta': {'content': word}, 'finish_reason': None}
        return self._sse({'choices': [choice]})

    def final_event(self) -> bytes:
        """Return the event with the finish reason and the token usage."""
        choice = {'index': 0, 'delta': {}, 'finish_reason': 'stop'}
        return self._sse({'choices': [choice], 'usage': self.usage()})

    def _sse(self, extra: dict) -> bytes:
        value = {
            'id': f'chatcmpl-{self.answer_id}',
            'object': 'chat.completion.chunk',
            'created': 0,
            'model': self.model,
        } | extra
        return b'data: ' + json.dumps(value).encode() + b'\n\n'

    def completion(self) -> dict:
        """Return the response body of a call that is not streamed."""
        message = {'role': 'assistant', 'content': ''.join(self.words)}
        return {
            'id': f'chatcmpl-{self.answer_id}',
            'object': 'chat.completion',
            'created': 0,
            'model': self.model,
            'choices': [{'index': 0, 'message': message, 'finish_reason': 'stop'}],
            'usage': self.usage(),
        }

    def usage(self) -> dict:
        """Return the token counts: prompt, completion and cached."""
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': len(self.words),
            'total_tokens': self.prompt_tokens + len(self.words),
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }


class EngineHandler(Handler):
    """Serves chat completions, the load report and the control endpoints."""

    def do_GET(self):
        """Serve the load report or a control endpoint."""
        if self.handle_fault_request():
            return
        if self.path == '/load':
            self.send_json(200, self.server.load_report())
        elif self.path == '/standin/ledger':
            self.send_json(200, self.server.ledger_rows())
        else:
            self.send_json(404, {'error': {'message': 'no such endpoint'}})

    def do_POST(self):
        """Run a chat completion."""
        if self.handle_fault_request():
            return
        body = self.read_body()
        faults = self.server.faults
        if faults.refuse or faults.leaving or not self.server.acquire_slot():
            reason = 'leaving' if faults.leaving else 'busy'
            self.server.refused += 1
            self.send_json(503, {'error': {'code': reason}}, X_Ran='no', X_Reason=reason)
            return
        try:
            self._run(body, faults)
        finally:
            self.server.release_slot()

    def _run(self, body: bytes, faults: EngineFaults) -> None:
        job = self.server.create_job(body, self.headers, faults)
        if faults.fail_500:
            job.row.state = 'failed'
            self.send_json(500, {'error': {'message': 'the engine failed'}})
            return
        time.sleep(faults.first_token_seconds)
        if faults.ends_on and job.last_message == faults.ends_on:
            os._exit(1)
        if faults.die_before_first:
            job.row.state = 'broken'
            self.hang_up()
            return
        try:
            if json.loads(body).get('stream'):
                self._stream(job, faults)
            else:
                self._answer(job, faults)
        except OSError:
            job.row.state = 'cancelled'

    def _answer(self, job: Job, faults: EngineFaults) -> None:
        for number, _ in enumerate(job.words):
            if number == faults.die_after_tokens:
                job.row.state = 'broken'
                self.hang_up()
                return
            time.sleep(faults.token_seconds)
            job.row.tokens += 1
        self.send_json(200, job.completion(), X_Request_Id=job.answer_id)
        job.row.state = 'done'

    def _stream(self, job: Job, faults: EngineFaults) -> None:
        offset = {'X_Resume_Offset': str(job.offset)} if job.offset else {}
        self.begin_chunks('text/event-stream', X_Request_Id=job.answer_id, **offset)
        for number, word in enumerate(islice(job.words, job.offset, None)):
            if number == faults.die_after_tokens:
                job.row.state = 'broken'
                self.hang_up()
                return
            time.sleep(faults.token_seconds)
            self.send_chunk(job.event(word))
            job.row.tokens += 1
        self.send_chunk(job.final_event())
        if not faults.end_without_done:
            self.send_chunk(b'data: [DONE]\n\n')
        self.send_chunk(b'')
        job.row.state = 'done'


@dataclass
class _Load:
    running: int = 0
    reports: list = field(default_factory=list)


class Engine(StandIn):
    """The engine's server; at most `slots` calls run at once."""

    def __init__(
        self,
        port: int = 0,
        name: str = 'engine',
        slots: int = 64,
        cache: int = 200_000,
        ledger_file: str = '',
    ):
        super().__init__(port, EngineHandler, EngineFaults())
        self._ledger_file = ledger_file
        self.name = name
        self.slots = slots
        self.cache = PrefixCache(cache)
        self.ledger: list[LedgerRow] = []
        self.load = _Load()
        self.max_running = 0
        self.refused = 0
        self._counter = threading.Lock()

    def acquire_slot(self) -> bool:
        """Take a slot; return False if none is free."""
        with self._counter:
            if self.load.running >= self.slots:
                return False
            self.load.running += 1
            self.max_running = max(self.max_running, self.load.running)
            return True

    def release_slot(self) -> None:
        """Free a slot."""
        with self._counter:
            self.load.running -= 1

    def load_report(self) -> dict:
        """Return the load as it was `report_lag` seconds ago."""
        now = time.monotonic()
        reports = self.load.reports
        reports.append((now, self.load.running))
        while len(reports) > 1 and reports[1][0] <= now - self.faults.report_lag:
            reports.pop(0)
        return {
            'running': reports[0][1],
            'slots': self.slots,
            'most_running': self.max_running,
            'refused': self.refused,
        }

    def ledger_rows(self) -> list[dict]:
        """Return the requests that the engine ran, in the order of their start."""
        return [row.__dict__ for row in self.ledger]

    def _append_to_ledger_file(self, row: LedgerRow) -> None:
        """Append the request to the ledger file, which outlives a killed process."""
        if self._ledger_file:
            line = json.dumps({'mark': row.mark, 'at': time.time()})
            with open(self._ledger_file, 'a', encoding='utf-8') as file:
                file.write(line + '\n')

    def create_job(self, body: bytes, headers, faults: EngineFaults) -> Job:
        """Record the request in the ledger and compute its answer."""
        request = json.loads(body)
        request_id = headers.get('X-Request-Id', '')
        row = LedgerRow(
            request_id, hashlib.sha256(body).hexdigest(), str(request.get('user') or '')
        )
        with self.lock:
            self.ledger.append(row)
            self._append_to_ledger_file(row)
            prompt, cached = self.cache.count_and_cache(
                request.get('cache_salt', ''), request.get('messages', [])
            )
        count = request.get('max_tokens') or request.get('max_completion_tokens') or DEFAULT_TOKENS
        last = request.get('messages', [])[-1:]
        last_json = json.dumps(last)
        seed = hashlib.sha256(last_json.encode()).hexdigest()[:6]
        words = [f'{seed}-{number} ' for number in range(count)]
        answer_id = faults.wrong_id or request_id
        offset = int(headers.get('X-Resume-Offset') or 0)
        last_message = str(last[0].get('content', '')) if last else ''
        model = request.get('model', '')
        return Job(request_id, answer_id, model, words, prompt, cached, row, offset, last_message)


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(description='stand-in for a model engine')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--name', default='engine')
    parser.add_argument('--slots', type=int, default=64)
    parser.add_argument('--token-seconds', type=float, default=0.005)
    parser.add_argument('--ledger', default='', help='file to append started requests to')
    options = parser.parse_args()
    server = Engine(options.port, options.name, options.slots, ledger_file=options.ledger)
    server.set_faults({'token_seconds': options.token_seconds})
    print(server.port, flush=True)
    server.serve_forever()


if __name__ == '__main__':
    main()
