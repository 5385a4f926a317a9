"""Boxes as deployed, their files, clients, and the record of a case."""

import asyncio
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path

from .http import encode, read_message
from .store import HOST, Door, Store

ROOT = Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / 'deploy' / 'box.yaml.tmpl'
READY_SECONDS = 40.0
PORTS = (12_000, 31_000)
BOUNDS = {
    'bounds.capacityFactor': 2,
    'bounds.retryBudgetRatio': 0.2,
    'bounds.budgetWindowS': 10,
    'bounds.budgetSlack': 56,
}
HOST_NAME = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


_given_ports: set[int] = set()


def free_port() -> int:
    """Return a port that is free now, below those that the kernel gives to connections."""
    while True:
        port = random.randint(*PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


def route(prefix: str, service: str, kind: str = 'safe', **fields) -> dict:
    """Return a route of a configuration."""
    values = {'name': prefix.strip('/'), 'host': HOST_NAME, 'pathPrefix': prefix, 'kind': kind}
    values |= {'service': service, 'timeoutMs': 10000, 'targetLatencyMs': 400, 'priority': 1}
    return values | {'attempts': 2} | fields


def configuration(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a configuration with one tenant."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'healthPath': '/health', 'maxConnections': 370} for name in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'hule930', 'apiKeys': [KEY], 'priority': 1}],
    }


def fill_template(fields: dict[str, object], seeds: list[str]) -> str:
    """Fill the template of the box file as the platform does."""
    text = TEMPLATE.read_text()
    quoted = ','.join(f'"{seed}"' for seed in seeds)
    text = re.sub(r'\{\{#seeds\}\}.*?\{\{/seeds\}\}', quoted, text)
    text = re.sub(
        r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', lambda m: m[2] if m[1] in fields else '', text
    )
    text = re.sub(
        r'\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}', lambda m: '' if m[1] in fields else m[2], text
    )

    def value(match: re.Match) -> str:
        found = fields[match[1]]
        return f'"{found}"' if match[2] and isinstance(found, str) else str(found)

    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', value, text)


class Box:
    """A box: its ports, its file, its path to the store, and its process."""

    def __init__(self, name: str, zone: str, folder: Path, door: Door):
        self.name = name
        self.zone = zone
        self.door = door
        self.folder = folder
        self.front = free_port()
        self.ready_port = free_port()
        self.control = free_port()
        self.process: subprocess.Popen | None = None

    def write_file(self, seeds: list[str]) -> None:
        """Write the box file."""
        fields = BOUNDS | {
            'nodeName': self.name,
            'zone': self.zone,
            'listen.front': f'{HOST}:{self.front}',
            'listen.ready': f'{HOST}:{self.ready_port}',
            'listen.control': f'{HOST}:{self.control}',
            'platform.address': self.door.address,
        }
        (self.folder / f'{self.name}.yaml').write_text(fill_template(fields, seeds))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        log = (self.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            ['python3', '-S', '-m', 'seamhold.forwarding', str(self.folder / f'{self.name}.yaml')],
            cwd=ROOT,
            env=os.environ | {'PYTHONPATH': str(ROOT / 'target' / 'deps'), 'MALLOC_ARENA_MAX': '2'},
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        os.kill(self.process.pid, number)

    def is_ready(self) -> bool:
        """Whether the box says that it is ready."""
        url = f'http://{HOST}:{self.ready_port}/seamhold/ready'
        try:
            with urllib.request.urlopen(url, timeout=1.0) as answer:
                return answer.status == 200
        except OSError:
            return False

    def kill(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class CannotRun(Exception):
    """The case could not run, which says nothing of the rule."""


class Fleet:
    """All processes of a case."""

    def __init__(self):
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = Path(self._folder.name)
        self.store = Store()
        self.boxes: list[Box] = []

    async def start_boxes(
        self,
        count: int,
        zones: tuple[str, ...] = ('a', 'b', 'c', 'd'),
        prepare: Callable[[Box], Awaitable[None]] | None = None,
        with_seeds: bool = True,
    ) -> None:
        """Start boxes, each after `prepare`, and wait until all are ready.

        Without seeds, each box has only its own address as one.
        """
        for number in range(count):
            zone = zones[number % len(zones)]
            name = f'front-{zone}-{number // len(zones) + 1}'
            self.boxes.append(Box(name, zone, self.folder, await self.store.door()))
        seeds = [f'{HOST}:{box.control}' for box in self.boxes[:3]]
        for box in self.boxes:
            if prepare is not None:
                await prepare(box)
            box.write_file(seeds if with_seeds else [f'{HOST}:{box.control}'])
            box.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until all boxes are ready; raises CannotRun."""
        ends = time.monotonic() + READY_SECONDS
        for box in self.boxes:
            while not await asyncio.to_thread(box.is_ready):
                if time.monotonic() > ends:
                    log = (self.folder / f'{box.name}.log').read_text()[-2000:]
                    raise CannotRun(f'{box.name} is not ready: {log}')
                await asyncio.sleep(0.1)

    def close(self) -> None:
        """End all processes and remove their files."""
        for box in self.boxes:
            box.kill()
        self._folder.cleanup()


class Call:
    """One client attempt, with what the client saw of it; times are monotonic."""

    def __init__(self, box: Box, path: str, deadline_ms: int):
        self.id = uuid.uuid4().hex[:16]
        self.box = box
        self.path = path
        self.deadline_ms = deadline_ms
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.error = ''

    async def run(self, method: str = 'GET', body: bytes = b'', key: str = KEY) -> 'Call':
        """Send the request on a new connection and wait for its answer."""
        headers = {'Host': HOST_NAME, 'X-Seamhold-Attempt-Id': self.id}
        headers['X-Seamhold-Deadline-Remaining-Ms'] = str(self.deadline_ms)
        headers['Authorization'] = f'Bearer {key}'
        writer = None
        try:
            reader, writer = await asyncio.open_connection(HOST, self.box.front)
            writer.write(encode(f'{method} {self.path} HTTP/1.1', headers, body))
            self.sent_at = time.monotonic()
            async with asyncio.timeout(self.deadline_ms / 1000):
                answer = await read_message(reader)
            if answer is None:
                self.error = 'closed without an answer'
            else:
                self.status, self.headers, self.body = answer.status, answer.headers, answer.body
        except TimeoutError:
            self.error = 'no answer within the deadline'
        except (OSError, asyncio.IncompleteReadError) as error:
            self.error = f'closed without a whole answer: {type(error).__name__}'
        finally:
            self.ended_at = time.monotonic()
            if writer is not None:
                writer.close()
        return self


class Record:
    """The file that lists what was sent, answered and run."""

    def __init__(self, folder: Path):
        self._file = (folder / 'record.txt').open('w')
        self._began = time.monotonic()

    def line(self, text: str, at: float | None = None) -> None:
        """Write one line with the seconds since the start."""
        seconds = (time.monotonic() if at is None else at) - self._began
        print(f'{seconds:9.3f} {text}', file=self._file, flush=True)


def play(folder: Path, scenario) -> int:
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    if not (ROOT / 'target' / 'deps').is_dir():
        print('build first: sh deploy/build.sh', file=sys.stderr)
        return 2
    # Ends the processes of the case, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    record.line(f'trouble: {TROUBLE}')

    async def run() -> int:
        fleet = Fleet()
        try:
            broken = await scenario(fleet, record)
        except CannotRun as error:
            record.line(f'could not run: {error}')
            return 2
        finally:
            fleet.close()
        record.line('the rule was broken' if broken else 'the rule held')
        return int(broken)

    try:
        return asyncio.run(run())
    except OSError as error:
        record.line(f'could not run: {error!r}')
        return 2
