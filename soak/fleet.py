"""The processes of a run, with a proxy before each engine and each box's platform."""

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
#: How long the run's own writes are tried again while the platform fails.
WRITE_SECONDS = 10.0
WRITE_PAUSE_SECONDS = 0.2
#: The setting that a change of the tree counts up; it binds nobody here.
COUNTED_WORKSPACE = 'port-louis'


class SoakFleet(LocalFleet):
    """Boxes, engines and a platform whose connections can be broken."""

    def __init__(self, chance: random.Random):
        super().__init__()
        self._proxies = ProxyLoop()
        self._chance = chance
        self.engine_links: dict[str, FaultProxy] = {}
        self.platform_links: dict[str, FaultProxy] = {}
        self.tree = yaml.safe_load(TREE.read_text(encoding='utf-8'))

    def start(self, boxes: int, engines: int) -> None:
        """Everything up and ready."""
        self.start_platform()
        for number in range(1, engines + 1):
            self.start_soak_engine(f'engine-{number}')
        self.apply(self.tree)
        names = [f'box-{number}' for number in range(1, boxes + 1)]
        for name in names:
            link = FaultProxy(f'{HOST}:{self.platform.port}', self._proxies.loop, self._chance)
            self.platform_links[name] = link
            url = f'http://{link.address}'
            self.start_box(name, wait=False, platform_url=url, drain_limit=10.0)
        for name in names:
            wait_until(lambda name=name: self.ready(name), READY_SECONDS, f'{name} to be ready')

    def start_soak_engine(self, name: str) -> Process:
        """An engine behind its proxy, also again after it ended."""
        ledger = self.ledger_file(name)
        options = ['--name', name, '--slots', str(SLOTS), '--ledger', str(ledger)]
        options += ['--token-seconds', str(TOKEN_SECONDS)]
        process = self._stand_in(name, 'engine', *options)
        target = f'{HOST}:{process.port}'
        if name in self.engine_links:
            self.engine_links[name].target = target
        else:
            self.engine_links[name] = FaultProxy(target, self._proxies.loop, self._chance)
        address = self.engine_links[name].address
        self.list_engine(process, SERVICE, SLOTS, address=address)
        return process

    def write(self, kind: str, name: str, spec: dict, tolerant: bool = False) -> None:
        """Create or replace an object, also while the platform fails for a while."""
        write = super().write
        _until_taken(lambda: write(kind, name, spec, tolerant))

    def update_engine(self, name: str, **changes) -> None:
        """Change an engine's listing, also while the platform fails for a while."""
        update = super().update_engine
        _until_taken(lambda: update(name, **changes))

    def ledger_file(self, name: str) -> Path:
        """Where an engine notes what it begins to run; it outlives the process."""
        return self.folder / f'{name}.ledger'

    def ran(self) -> list[dict]:
        """Everything that engines began to run, with the time and the engine."""
        rows = []
        for path in sorted(self.folder.glob('*.ledger')):
            for line in path.read_text(encoding='utf-8').splitlines():
                rows.append(json.loads(line) | {'engine': path.stem})
        return rows

    def change_settings(self, number: int) -> float:
        """Apply one more version of the tree; when it was accepted."""
        limits = self.tree['workspaces'][COUNTED_WORKSPACE].setdefault('limits', {})
        limits['requests_in_flight'] = number
        self.apply(self.tree)
        return time.time()

    @property
    def boxes(self) -> list[str]:
        """Names of the boxes."""
        return sorted(self.platform_links)

    @property
    def engines(self) -> list[str]:
        """Names of the engines."""
        return sorted(self.engine_links)

    def stop_all(self) -> None:
        """End all processes and the proxies."""
        super().stop_all()
        self._proxies.stop()


def _until_taken(write: Callable[[], None]) -> None:
    """Try a write again until the platform takes it."""
    ends = time.monotonic() + WRITE_SECONDS
    while True:
        try:
            write()
            return
        except (FleetError, urllib3.exceptions.HTTPError) as error:
            if time.monotonic() > ends:
                raise FleetError(f'the platform does not take a write: {error}') from error
            time.sleep(WRITE_PAUSE_SECONDS)
