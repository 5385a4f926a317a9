"""A stand-in for a model engine: deterministic answers, a prefix cache, a ledger.

The text of an answer depends on the request alone, so that a stream can be
resumed at another engine.  The ledger says what the engine ran, and is what
proofs read.  Faults are switched on over HTTP.
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
    """What can go wrong; times in seconds.

    A request whose last message is `ends_on` ends the whole process.
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
    """One request that the engine began to run."""

    request_id: str
    body_hash: str
    mark: str
    tokens: int = 0
    state: str = 'running'


class PrefixCache:
    """Prompt prefixes by salt, the least recently used thrown out first."""

    def __init__(self, tokens_max: int):
        self.tokens_max = tokens_max
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self._held = 0

    def reuse(self, salt: str, messages: list[dict]) -> tuple[int, int]:
        """Tokens of the prompt, and how many of them were cached."""
        digest = hashlib.sha256(salt.encode())
        total = cached = 0
        unbroken = True
        for message in messages:
            text = json.dumps(message, sort_keys=True)
            digest.update(text.encode())
            size = max(1, len(text) // BYTES_PER_TOKEN)
            key = digest.hexdigest()
            total += size
            if key in self._sizes:
                self._sizes.move_to_end(key)
            else:
                unbroken = False
                self._sizes[key] = size
                self._held += size
            if unbroken:
                cached += size
        while self._held > self.tokens_max:
            _, size = self._sizes.popitem(last=False)
            self._held -= size
        return total, cached


def streamed_words(body: bytes) -> str:
    """The words of an answer that came as events, as its caller puts them together."""
    words = []
    for line in body.decode().splitlines():
        if line.startswith('data: {"id"'):
            delta = json.loads(line.removeprefix('data: '))['choices'][0]['delta']
            words.append(delta.get('content', ''))
    return ''.join(words)


@dataclass
class Job:
    """One request as the engine runs it."""

    request_id: str
    answer_id: str
    model: str
    words: list[str]
    prompt_tokens: int
    cached_tokens: int
    row: LedgerRow
    offset: int = 0
    #: What the last message says.
    asked: str = ''

    def event(self, word: str) -> bytes:
        """One token as a server-sent event."""
        choice = {'index': 0, 'delta': {'content': word}, 'finish_reason': None}
        return self._sse({'choices': [choice]})

    def last_event(self) -> bytes:
        """The event that tells why the answer ended, and its use."""
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

    def whole(self) -> dict:
        """The answer that is not streamed."""
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
        """Tokens read, written and reused."""
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': len(self.words),
            'total_tokens': self.prompt_tokens + len(self.words),
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }


class EngineHandler(Handler):
    """Chat completions, the load report, and the stand-in's own pages."""

    def do_GET(self):
        """Models, load, or the stand-in's own pages."""
        if self.handle_fault_request():
            return
        if self.path == '/load':
            self.send_json(200, self.server.load_report())
        elif self.path == '/standin/ledger':
            self.send_json(200, self.server.ledger_rows())
        else:
            self.send_json(404, {'error': {'message': 'no such page'}})

    def do_POST(self):
        """Run a chat completion."""
        if self.handle_fault_request():
            return
        body = self.read_body()
        faults = self.server.faults
        if faults.refuse or faults.leaving or not self.server.enter():
            reason = 'leaving' if faults.leaving else 'busy'
            self.server.refused += 1
            self.send_json(503, {'error': {'code': reason}}, X_Ran='no', X_Reason=reason)
            return
        try:
            self._run(body, faults)
        finally:
            self.server.leave()

    def _run(self, body: bytes, faults: EngineFaults) -> None:
        job = self.server.job(body, self.headers, faults)
        if faults.fail_500:
            job.row.state = 'failed'
            self.send_json(500, {'error': {'message': 'the engine broke'}})
            return
        time.sleep(faults.first_token_seconds)
        if faults.ends_on and job.asked == faults.ends_on:
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
        self.send_json(200, job.whole(), X_Request_Id=job.answer_id)
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
        self.send_chunk(job.last_event())
        if not faults.end_without_done:
            self.send_chunk(b'data: [DONE]\n\n')
        self.send_chunk(b'')
        job.row.state = 'done'


@dataclass
class _Load:
    running: int = 0
    reports: list = field(default_factory=list)


class Engine(StandIn):
    """The stand-in's server; `slots` calls run at once."""

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
        self.most_running = 0
        self.refused = 0
        self._counter = threading.Lock()

    def enter(self) -> bool:
        """Take a slot if one is free."""
        with self._counter:
            if self.load.running >= self.slots:
                return False
            self.load.running += 1
            self.most_running = max(self.most_running, self.load.running)
            return True

    def leave(self) -> None:
        """Give a slot back."""
        with self._counter:
            self.load.running -= 1

    def load_report(self) -> dict:
        """Calls that run, as seen `report_lag` seconds ago."""
        now = time.monotonic()
        reports = self.load.reports
        reports.append((now, self.load.running))
        while len(reports) > 1 and reports[1][0] <= now - self.faults.report_lag:
            reports.pop(0)
        return {
            'running': reports[0][1],
            'slots': self.slots,
            'most_running': self.most_running,
            'refused': self.refused,
        }

    def ledger_rows(self) -> list[dict]:
        """What the engine ran, in the order it began."""
        return [row.__dict__ for row in self.ledger]

    def _note(self, row: LedgerRow) -> None:
        """Write down what begins, for whoever reads after this process was killed."""
        if self._ledger_file:
            line = json.dumps({'mark': row.mark, 'at': time.time()})
            with open(self._ledger_file, 'a', encoding='utf-8') as file:
                file.write(line + '\n')

    def job(self, body: bytes, headers, faults: EngineFaults) -> Job:
        """Note the request in the ledger and work out its answer."""
        request = json.loads(body)
        request_id = headers.get('X-Request-Id', '')
        row = LedgerRow(
            request_id, hashlib.sha256(body).hexdigest(), str(request.get('user') or '')
        )
        with self.lock:
            self.ledger.append(row)
            self._note(row)
            prompt, cached = self.cache.reuse(
                request.get('cache_salt', ''), request.get('messages', [])
            )
        count = request.get('max_tokens') or request.get('max_completion_tokens') or DEFAULT_TOKENS
        last = request.get('messages', [])[-1:]
        said = json.dumps(last)
        seed = hashlib.sha256(said.encode()).hexdigest()[:6]
        words = [f'{seed}-{number} ' for number in range(count)]
        answer_id = faults.wrong_id or request_id
        offset = int(headers.get('X-Resume-Offset') or 0)
        asked = str(last[0].get('content', '')) if last else ''
        model = request.get('model', '')
        return Job(request_id, answer_id, model, words, prompt, cached, row, offset, asked)


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(description='stand-in for a model engine')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--name', default='engine')
    parser.add_argument('--slots', type=int, default=64)
    parser.add_argument('--token-seconds', type=float, default=0.005)
    parser.add_argument('--ledger', default='', help='file in which to note what begins to run')
    options = parser.parse_args()
    server = Engine(options.port, options.name, options.slots, ledger_file=options.ledger)
    server.set_faults({'token_seconds': options.token_seconds})
    print(server.port, flush=True)
    server.serve_forever()


if __name__ == '__main__':
    main()
