"""Runs stand-ins and boxes as processes on loopback.

The demo, the scenarios and the measurements use it.  It ends every process
that it started, by process id.
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
#: Locks reserve ports across processes: without them, two fleets on one machine took a port
#: from each other between its choice and its use.
RESERVATIONS = Path(tempfile.gettempdir()) / 'seamhold-ports'

_rng = random.Random()
_allocated: set[int] = set()


class FleetError(Exception):
    """A process of the fleet failed or did not respond as expected."""


def free_port() -> int:
    """Return a port that no process listens on.

    The port lies below the ephemeral range, so no outgoing connection takes it
    before its process listens.  Each port is returned once, and only to one of
    the processes that call this function.
    """
    while True:
        port = _rng.randrange(*PORTS)
        if port in _allocated or not _reserve(port):
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _allocated.add(port)
        return port


def _reserve(port: int) -> bool:
    """Reserve the port until this process ends, by a lock on one byte of a shared file."""
    try:
        fcntl.lockf(_reservations(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


@cache
def _reservations() -> IO:
    """Open the lock file once; closing it would release all reservations."""
    return RESERVATIONS.open('w')


def wait_until(condition, seconds: float = START_SECONDS, description: str = 'condition') -> None:
    """Poll until `condition()` is true; raise FleetError after `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(POLL_SECONDS)
    raise FleetError(f'waited {seconds:g} s for {description}')


@dataclass
class Process:
    """One process of the fleet; only boxes have `operator_port` and `peer_port`."""

    name: str
    kind: str
    popen: subprocess.Popen
    port: int
    operator_port: int = 0
    peer_port: int = 0
    config: dict = field(default_factory=dict)

    @property
    def url(self) -> str:
        """The URL for callers, boxes and tests."""
        return f'http://{HOST}:{self.port}'

    @property
    def operator_url(self) -> str:
        """The URL of a box's operator endpoints."""
        return f'http://{HOST}:{self.operator_port}'

    @property
    def alive(self) -> bool:
        """Whether the process is still running."""
        return self.popen.poll() is None


class LocalFleet:
    """Starts and stops a fleet of processes and injects faults."""

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

    def _start_stand_in(self, name: str, kind: str, *arguments: str, port: int = 0) -> Process:
        popen = self._spawn(name, [f'standins.{kind}', '--port', str(port), *arguments])
        line = popen.stdout.readline()
        if not line:
            raise FleetError(f'{name} did not start: {self.log_of(name)}')
        process = Process(name, kind, popen, int(line))
        self.processes[name] = process
        return process

    def start_platform(self) -> Process:
        """Start the platform's stand-in."""
        return self._start_stand_in('platform', 'platform')

    def start_engine(
        self,
        name: str,
        service: str,
        slots: int = 64,
        token_seconds: float = 0.005,
        failure_domain: str = 'domain-a',
    ) -> Process:
        """Start a model engine and list it in the platform."""
        process = self._start_stand_in(
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
        """Start a plain service and list it in the platform."""
        process = self._start_stand_in(name, 'service')
        self.list_engine(process, service, slots)
        return process

    def start_box(self, name: str, wait: bool = True, **config) -> Process:
        """Start a router box with default settings, changed by `config`, and list it."""
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
        """Start or restart a box from its settings."""
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
            self.write('boxes', name, {'peer_address': values['peer_listen']}, ignore_errors=True)
        if wait:
            wait_until(lambda: self.ready(name), description=f'{name} to be ready')
        return process

    # The platform.

    @property
    def platform(self) -> Process:
        """The process of the platform's stand-in."""
        return self.processes['platform']

    def list_engine(self, process: Process, service: str, slots: int, **extra) -> None:
        """Add an engine to the platform's list."""
        spec = {
            'service': service,
            'address': f'{HOST}:{process.port}',
            'slots': slots,
            'incarnation': str(process.popen.pid),
            'phase': 'live',
        } | extra
        self.write('engines', process.name, spec)

    def write(self, kind: str, name: str, spec: dict, ignore_errors: bool = False) -> None:
        """Create or replace an object in the platform."""
        base = f'{self.platform.url}{API}/{kind}'
        body = {'metadata': {'name': name}, 'spec': spec}
        try:
            answer = self.http.request('PUT', f'{base}/{name}', json=body)
            if answer.status == 404:
                answer = self.http.request('POST', base, json=body)
        except urllib3.exceptions.HTTPError as error:
            if not ignore_errors:
                raise FleetError(f'{kind}/{name}: {error}') from error
            return
        if answer.status >= 300 and not ignore_errors:
            raise FleetError(f'{kind}/{name}: {answer.status}')

    def delete(self, kind: str, name: str) -> None:
        """Delete an object from the platform."""
        self.http.request('DELETE', f'{self.platform.url}{API}/{kind}/{name}')

    def update_engine(self, name: str, **changes) -> None:
        """Change fields of an engine's listing."""
        url = f'{self.platform.url}{API}/engines/{name}'
        spec = self.http.request('GET', url).json()['spec']
        self.write('engines', name, spec | changes)

    def apply(self, tree: dict) -> None:
        """Apply a tree of settings with the command line."""
        path = self.folder / 'tree.yaml'
        path.write_text(yaml.safe_dump(tree), encoding='utf-8')
        result = self.command('settings', 'apply', str(path), '--platform', self.platform.url)
        if result.returncode != 0:
            raise FleetError(f'settings apply: {result.stderr}')

    @staticmethod
    def command(*arguments: str) -> subprocess.CompletedProcess:
        """Run a seamhold command."""
        return subprocess.run(
            [sys.executable, '-m', 'seamhold', *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    # Inspecting.

    def log_of(self, name: str) -> str:
        """Return the last 4000 characters of a process's log."""
        path = self.folder / f'{name}.log'
        return path.read_text(errors='replace')[-4000:] if path.exists() else ''

    def ready(self, name: str) -> bool:
        """Whether a box reports that it is ready; raise FleetError if its process ended."""
        process = self.processes[name]
        if not process.alive:
            raise FleetError(f'{name} ended: {self.log_of(name)}')
        try:
            answer = self.http.request('GET', f'{process.operator_url}/readyz', timeout=1.0)
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def status(self, name: str) -> dict:
        """Return a box's status page."""
        url = f'{self.processes[name].operator_url}/status'
        answer = self.http.request('GET', url, timeout=10.0)
        if answer.status != 200:
            raise FleetError(f'{name}: status page {answer.status}: {answer.data[:500]!r}')
        return answer.json()

    def faults(self, name: str, **values) -> None:
        """Change the injected faults of a stand-in."""
        url = f'{self.processes[name].url}/standin/faults'
        self.http.request('POST', url, json=values)

    def ledger(self, name: str) -> list[dict]:
        """Return the requests that a stand-in ran."""
        return self.http.request('GET', f'{self.processes[name].url}/standin/ledger').json()

    def ledgers(self) -> list[dict]:
        """Return the requests that all running engines and services ran."""
        rows = []
        for process in self.processes.values():
            if process.kind in ('engine', 'service') and process.alive:
                rows += self.ledger(process.name)
        return rows

    # Injecting faults and stopping.

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process if it is running."""
        process = self.processes[name]
        if process.alive:
            os.kill(process.popen.pid, number)

    def kill(self, name: str) -> None:
        """Kill a process, as if it crashed."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].popen.wait(STOP_SECONDS)

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process."""
        self.signal(name, signal.SIGCONT)

    def terminate(self, name: str, seconds: float = STOP_SECONDS) -> int:
        """Stop a process with SIGTERM and return its exit status."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name].popen.wait(seconds)

    def stop_all(self) -> None:
        """Stop all processes with SIGTERM, boxes first."""
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
