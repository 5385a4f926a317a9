"""A whole set of processes on loopback: stand-ins and boxes.

Used by the demo, the scenarios and the measurements.  Everything it starts
it also ends, by process id.
"""

import fcntl
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import IO

import urllib3
import yaml

HOST = '127.0.0.1'
API = '/apis/seamhold/v1'
START_SECONDS = 20.0
STOP_SECONDS = 15.0
POLL_SECONDS = 0.05
PORTS = (15_000, 32_000)
#: Two sets beside each other took a port from one another between its choice and its use.
RESERVATIONS = Path(tempfile.gettempdir()) / 'seamhold-ports'

_chance = random.Random()
_given: set[int] = set()


class FleetError(Exception):
    """A process of the set did not do what it was started for."""


def free_port() -> int:
    """A port that nobody listens on now.

    It lies below the range that outgoing connections use, so that none of
    them takes it before its process listens, and is given only once: to this
    process, of all that ask here.
    """
    while True:
        port = _chance.randrange(*PORTS)
        if port in _given or not _reserve(port):
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _given.add(port)
        return port


def _reserve(port: int) -> bool:
    """Whether the port is this process's until it ends: a lock on a byte of a file of all."""
    try:
        fcntl.lockf(_reservations(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


@cache
def _reservations() -> IO:
    """The file, open for as long as this process lives: closing it would free all."""
    return RESERVATIONS.open('w')


def wait_until(condition, seconds: float = START_SECONDS, what: str = 'condition') -> None:
    """Poll until `condition()` is true; FleetError after `seconds`."""
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        if condition():
            return
        time.sleep(POLL_SECONDS)
    raise FleetError(f'waited {seconds:g} s for {what}')


@dataclass
class Process:
    """One process of the set; `operator_port` only on boxes."""

    name: str
    kind: str
    popen: subprocess.Popen
    port: int
    operator_port: int = 0
    peer_port: int = 0
    config: dict = field(default_factory=dict)

    @property
    def url(self) -> str:
        """Where callers, boxes or tests reach it."""
        return f'http://{HOST}:{self.port}'

    @property
    def operator_url(self) -> str:
        """Where operators reach a box."""
        return f'http://{HOST}:{self.operator_port}'

    @property
    def alive(self) -> bool:
        """Whether the process still runs."""
        return self.popen.poll() is None


class LocalFleet:
    """Starts, breaks and stops a set of processes."""

    def __init__(self, folder: str | None = None):
        self._temporary = tempfile.TemporaryDirectory(prefix='seamhold-') if not folder else None
        self.folder = Path(folder or self._temporary.name)
        self.processes: dict[str, Process] = {}
        self.http = urllib3.PoolManager(retries=False, timeout=10.0, maxsize=32)

    def __enter__(self) -> 'LocalFleet':
        return self

    def __exit__(self, *_) -> None:
        self.stop_all()

    # Starting.

    def _spawn(self, name: str, arguments: list[str]) -> subprocess.Popen:
        log = (self.folder / f'{name}.log').open('ab')
        environment = dict(os.environ, PYTHONUNBUFFERED='1')
        try:
            return subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environment,
                start_new_session=True,
            )
        finally:
            log.close()

    def _stand_in(self, name: str, kind: str, *arguments: str, port: int = 0) -> Process:
        popen = self._spawn(name, [f'standins.{kind}', '--port', str(port), *arguments])
        line = popen.stdout.readline()
        if not line:
            raise FleetError(f'{name} did not start: {self.log_of(name)}')
        process = Process(name, kind, popen, int(line))
        self.processes[name] = process
        return process

    def start_platform(self) -> Process:
        """The platform's stand-in."""
        return self._stand_in('platform', 'platform')

    def start_engine(
        self,
        name: str,
        service: str,
        slots: int = 64,
        token_seconds: float = 0.005,
        failure_domain: str = 'domain-a',
    ) -> Process:
        """A model engine, listed in the platform."""
        process = self._stand_in(
            name,
            'engine',
            '--name',
            name,
            '--slots',
            str(slots),
            '--token-seconds',
            str(token_seconds),
        )
        self.list_engine(process, service, slots, failure_domain=failure_domain)
        return process

    def start_service(self, name: str, service: str, slots: int = 64) -> Process:
        """A plain service, listed in the platform."""
        process = self._stand_in(name, 'service')
        self.list_engine(process, service, slots)
        return process

    def start_box(self, name: str, wait: bool = True, **config) -> Process:
        """A router box, listed in the platform."""
        ports = [free_port() for _ in range(3)]
        values = {
            'box': name,
            'failure_domain': 'domain-a',
            'listen': f'{HOST}:{ports[0]}',
            'peer_listen': f'{HOST}:{ports[1]}',
            'operator_listen': f'{HOST}:{ports[2]}',
            'platform_url': self.platform.url,
            'threads': 32,
            'drain_grace': 0.5,
        } | config
        return self.run_box(name, values, wait)

    def run_box(self, name: str, values: dict, wait: bool = True) -> Process:
        """Start a box from its settings; again after it ended, too."""
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(values), encoding='utf-8')
        popen = self._spawn(name, ['seamhold', 'serve', '--settings', str(path)])
        ports = [
            int(values[key].rpartition(':')[2])
            for key in ('listen', 'operator_listen', 'peer_listen')
        ]
        process = Process(name, 'box', popen, *ports, values)
        self.processes[name] = process
        if self.platform.alive:
            self.write('boxes', name, {'peer_address': values['peer_listen']}, tolerant=True)
        if wait:
            wait_until(lambda: self.ready(name), what=f'{name} to be ready')
        return process

    # The platform's side.

    @property
    def platform(self) -> Process:
        """The platform's stand-in."""
        return self.processes['platform']

    def list_engine(self, process: Process, service: str, slots: int, **extra) -> None:
        """Put an engine into the platform's list."""
        spec = {
            'service': service,
            'address': f'{HOST}:{process.port}',
            'slots': slots,
            'incarnation': str(process.popen.pid),
            'phase': 'live',
        } | extra
        self.write('engines', process.name, spec)

    def write(self, kind: str, name: str, spec: dict, tolerant: bool = False) -> None:
        """Create or replace an object, as the platform itself would."""
        base = f'{self.platform.url}{API}/{kind}'
        body = {'metadata': {'name': name}, 'spec': spec}
        try:
            answer = self.http.request('PUT', f'{base}/{name}', json=body)
            if answer.status == 404:
                answer = self.http.request('POST', base, json=body)
        except urllib3.exceptions.HTTPError as error:
            if not tolerant:
                raise FleetError(f'{kind}/{name}: {error}') from error
            return
        if answer.status >= 300 and not tolerant:
            raise FleetError(f'{kind}/{name}: {answer.status}')

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.http.request('DELETE', f'{self.platform.url}{API}/{kind}/{name}')

    def update_engine(self, name: str, **changes) -> None:
        """Change an engine's listing."""
        url = f'{self.platform.url}{API}/engines/{name}'
        spec = self.http.request('GET', url).json()['spec']
        self.write('engines', name, spec | changes)

    def apply(self, tree: dict) -> None:
        """Apply a tree of settings by the command line."""
        path = self.folder / 'tree.yaml'
        path.write_text(yaml.safe_dump(tree), encoding='utf-8')
        result = self.command('settings', 'apply', str(path), '--platform', self.platform.url)
        if result.returncode != 0:
            raise FleetError(f'settings apply: {result.stderr}')

    @staticmethod
    def command(*arguments: str) -> subprocess.CompletedProcess:
        """Run the command line."""
        return subprocess.run(
            [sys.executable, '-m', 'seamhold', *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    # Looking.

    def log_of(self, name: str) -> str:
        """The end of a process's log."""
        path = self.folder / f'{name}.log'
        return path.read_text(errors='replace')[-4000:] if path.exists() else ''

    def ready(self, name: str) -> bool:
        """Whether a box would get work from a balancer."""
        process = self.processes[name]
        if not process.alive:
            raise FleetError(f'{name} ended: {self.log_of(name)}')
        try:
            answer = self.http.request('GET', f'{process.operator_url}/readyz', timeout=1.0)
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def status(self, name: str) -> dict:
        """A box's status page."""
        url = f'{self.processes[name].operator_url}/status'
        answer = self.http.request('GET', url, timeout=10.0)
        if answer.status != 200:
            raise FleetError(f'{name}: status page {answer.status}: {answer.data[:500]!r}')
        return answer.json()

    def faults(self, name: str, **values) -> None:
        """Switch faults of a stand-in."""
        url = f'{self.processes[name].url}/standin/faults'
        self.http.request('POST', url, json=values)

    def ledger(self, name: str) -> list[dict]:
        """What a stand-in ran."""
        return self.http.request('GET', f'{self.processes[name].url}/standin/ledger').json()

    def ledgers(self) -> list[dict]:
        """What all living engines and services ran."""
        rows = []
        for process in self.processes.values():
            if process.kind in ('engine', 'service') and process.alive:
                rows += self.ledger(process.name)
        return rows

    # Breaking and stopping.

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this set."""
        process = self.processes[name]
        if process.alive:
            os.kill(process.popen.pid, number)

    def kill(self, name: str) -> None:
        """End a process at once, as a failing box would."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].popen.wait(STOP_SECONDS)

    def freeze(self, name: str) -> None:
        """Stop a process without its noticing."""
        self.signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self.signal(name, signal.SIGCONT)

    def terminate(self, name: str, seconds: float = STOP_SECONDS) -> int:
        """Ask a process to end in good order; its exit status."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name].popen.wait(seconds)

    def stop_all(self) -> None:
        """End all processes, boxes first and in good order."""
        boxes = [process for process in self.processes.values() if process.kind == 'box']
        for process in boxes:
            self.signal(process.name, signal.SIGCONT)
            self.signal(process.name, signal.SIGTERM)
        for process in boxes:
            self._reap(process)
        for process in self.processes.values():
            self.signal(process.name, signal.SIGCONT)
            self.signal(process.name, signal.SIGTERM)
            self._reap(process)
        self.processes.clear()
        self.http.clear()
        if self._temporary:
            self._temporary.cleanup()

    @staticmethod
    def _reap(process: Process) -> None:
        try:
            process.popen.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.popen.kill()
            process.popen.wait()
        if process.popen.stdout:
            process.popen.stdout.close()
