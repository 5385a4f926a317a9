"""The processes of a run; proxies connect boxes to each engine and to the platform."""

import json
import random
import time
from collections.abc import Callable
from pathlib import Path

import urllib3
import yaml

from standins.fleet import HOST, FleetError, LocalFleet, Process, wait_until
from standins.proxy import FaultProxy, ProxyLoop

SERVICE = 'recipes'
TREE = Path('examples/tree.yaml')
TOKEN_SECONDS = 0.01
SLOTS = 16
READY_SECONDS = 40.0
#: How long the run's own writes are retried while the platform fails.
WRITE_SECONDS = 10.0
WRITE_PAUSE_SECONDS = 0.2
#: Each change of the settings increments this workspace's limit; the run makes no calls for it.
CHANGED_WORKSPACE = 'port-louis'


class SoakFleet(LocalFleet):
    """Boxes, engines and a platform whose connections can be disrupted."""

    def __init__(self, rng: random.Random):
        super().__init__()
        self._proxies = ProxyLoop()
        self._rng = rng
        self.engine_links: dict[str, FaultProxy] = {}
        self.platform_links: dict[str, FaultProxy] = {}
        self.tree = yaml.safe_load(TREE.read_text(encoding='utf-8'))

    def start(self, boxes: int, engines: int) -> None:
        """Start all processes and wait until every box is ready."""
        self.start_platform()
        for number in range(1, engines + 1):
            self.start_soak_engine(f'engine-{number}')
        self.apply(self.tree)
        names = [f'box-{number}' for number in range(1, boxes + 1)]
        for name in names:
            link = FaultProxy(f'{HOST}:{self.platform.port}', self._proxies.loop, self._rng)
            self.platform_links[name] = link
            url = f'http://{link.address}'
            self.start_box(name, wait=False, platform_url=url, drain_limit=10.0)
        for name in names:
            wait_until(lambda name=name: self.ready(name), READY_SECONDS, f'{name} to be ready')

    def start_soak_engine(self, name: str) -> Process:
        """Start or restart an engine behind its proxy."""
        ledger = self.ledger_path(name)
        options = ['--name', name, '--slots', str(SLOTS), '--ledger', str(ledger)]
        options += ['--token-seconds', str(TOKEN_SECONDS)]
        process = self._start_stand_in(name, 'engine', *options)
        target = f'{HOST}:{process.port}'
        if name in self.engine_links:
            self.engine_links[name].target = target
        else:
            self.engine_links[name] = FaultProxy(target, self._proxies.loop, self._rng)
        address = self.engine_links[name].address
        self.list_engine(process, SERVICE, SLOTS, address=address)
        return process

    def write(self, kind: str, name: str, spec: dict, ignore_errors: bool = False) -> None:
        """Create or replace an object; retry while the platform fails."""
        write = super().write
        _retry_until_accepted(lambda: write(kind, name, spec, ignore_errors))

    def update_engine(self, name: str, **changes) -> None:
        """Change an engine's listing; retry while the platform fails."""
        update = super().update_engine
        _retry_until_accepted(lambda: update(name, **changes))

    def ledger_path(self, name: str) -> Path:
        """The file to which an engine appends started requests; it outlives the process."""
        return self.folder / f'{name}.ledger'

    def started_requests(self) -> list[dict]:
        """Return every request that engines started to run, with its time and engine."""
        rows = []
        for path in sorted(self.folder.glob('*.ledger')):
            for line in path.read_text(encoding='utf-8').splitlines():
                rows.append(json.loads(line) | {'engine': path.stem})
        return rows

    def change_settings(self, number: int) -> float:
        """Apply a new version of the settings; return when it was accepted, in unix seconds."""
        limits = self.tree['workspaces'][CHANGED_WORKSPACE].setdefault('limits', {})
        limits['requests_in_flight'] = number
        self.apply(self.tree)
        return time.time()

    @property
    def boxes(self) -> list[str]:
        """The sorted names of the boxes."""
        return sorted(self.platform_links)

    @property
    def engines(self) -> list[str]:
        """The sorted names of the engines."""
        return sorted(self.engine_links)

    def stop_all(self) -> None:
        """Stop all processes and the proxies."""
        super().stop_all()
        self._proxies.stop()


def _retry_until_accepted(write: Callable[[], None]) -> None:
    """Retry a write until the platform accepts it; raise FleetError after WRITE_SECONDS."""
    deadline = time.monotonic() + WRITE_SECONDS
    while True:
        try:
            write()
            return
        except (FleetError, urllib3.exceptions.HTTPError) as error:
            if time.monotonic() > deadline:
                raise FleetError(f'the platform did not accept a write: {error}') from error
            time.sleep(WRITE_PAUSE_SECONDS)
