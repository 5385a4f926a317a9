"""Starts boxes with the command of the deploy file, and stops every process it started."""

import http.client
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from dialect_tests.box_file import FIELDS, fill_template

ROOT = Path(__file__).parents[2]
DEPS = ROOT / 'target' / 'deps'
HOST = '127.0.0.1'
#: `run` of deploy/system.toml, without the path of the settings file.
COMMAND = ('python3', '-S', '-m', 'seamhold.forwarding')
READY_PATH = '/seamhold/ready'
READY_SECONDS = 40.0
PORTS = (15_000, 32_000)


class CannotRun(Exception):
    """The case could not be set up, which says nothing about the rule."""


def exit_on_sigterm() -> None:
    """Let SIGTERM end the case like an exception, so that its processes are ended too."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


def free_port() -> int:
    """Return a free port below the range from which outgoing connections take theirs.

    A box that starts again finds its ports free.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as probe, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                probe.bind((HOST, port))
                datagrams.bind((HOST, port))
            except OSError:
                continue
        return port


@dataclass
class Box:
    """One box: its settings file, its ports and its current process."""

    name: str
    file: Path
    port: int
    ready_port: int
    log: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the box as the deploy file says, with the variables that it would inherit."""
        kept = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [*COMMAND, str(self.file)],
                cwd=ROOT,
                env=kept | {'PYTHONPATH': str(DEPS)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_ready(self) -> bool:
        """Whether the box's readiness check succeeds."""
        connection = http.client.HTTPConnection(HOST, self.ready_port, timeout=1.0)
        try:
            connection.request('GET', READY_PATH)
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Fleet:
    """The boxes of a case, before one address of the platform's store each."""

    def __init__(self, store_ports: dict[str, int], zones: tuple[str, ...] = ('a', 'b')):
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = Path(self._folder.name)
        names = list(store_ports)
        #: The ports at which boxes reach each other, by box name.
        self.control_ports = {name: free_port() for name in names}
        seeds = tuple(f'{HOST}:{self.control_ports[name]}' for name in names[:3])
        self.boxes = [
            self._box(name, zones[number % len(zones)], store_ports[name], seeds)
            for number, name in enumerate(names)
        ]

    def _box(self, name: str, zone: str, store: int, seeds: tuple[str, ...]) -> Box:
        port, ready_port = free_port(), free_port()
        control = self.control_ports[name]
        fields = FIELDS | {
            'nodeName': name,
            'zone': zone,
            'listen.front': f'{HOST}:{port}',
            'listen.ready': f'{HOST}:{ready_port}',
            'listen.control': f'{HOST}:{control}',
            'platform.address': f'{HOST}:{store}',
            'bounds.capacityFactor': 2,
        }
        file = self.folder / f'{name}.yaml'
        file.write_text(fill_template(fields, seeds))
        return Box(name, file, port, ready_port, self.folder / f'{name}.log')

    def start(self) -> None:
        """Start all boxes and wait until each is ready."""
        for box in self.boxes:
            box.start()
        deadline = time.monotonic() + READY_SECONDS
        for box in self.boxes:
            while not box.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRun(f'{box.name} did not become ready')
                time.sleep(0.1)

    def kill(self) -> None:
        """Kill the processes that were started here."""
        for box in self.boxes:
            if box.process is not None:
                box.process.kill()
        for box in self.boxes:
            if box.process is not None:
                box.process.wait()

    def stop(self) -> None:
        """Kill the processes that were started here and delete their files."""
        self.kill()
        self._folder.cleanup()
