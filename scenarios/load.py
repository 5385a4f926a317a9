"""Callers behind a balancer: each call goes to a box that says it is ready."""

import itertools
import threading
import time

import urllib3

from scenarios.world import Sent, World

CHECK_SECONDS = 0.1


class Load:
    """Callers that go on until told to stop; each waits for its answer."""

    def __init__(self, world: World, callers: int, **options):
        self._world = world
        self.callers = callers
        self._options = options
        self._stopped = threading.Event()
        self._ready: list[str] = []
        self._number = itertools.count()
        self.done: list[Sent] = []
        self._threads = [
            threading.Thread(target=self._call_on, daemon=True) for _ in range(callers)
        ]
        self._checker = threading.Thread(target=self._check_on, daemon=True)

    def start(self) -> None:
        """Begin to check boxes and to call."""
        self._check()
        self._checker.start()
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[Sent]:
        """Let the last calls end; all that were made."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(60)
        return self.done

    def _check_on(self) -> None:
        while not self._stopped.is_set():
            self._check()
            time.sleep(CHECK_SECONDS)

    def _check(self) -> None:
        fleet = self._world.fleet
        ready = []
        for process in list(fleet.processes.values()):
            if process.kind != 'box' or not process.alive:
                continue
            try:
                url = f'{process.operator_url}/readyz'
                if fleet.http.request('GET', url, timeout=0.5).status == 200:
                    ready.append(process.name)
            except urllib3.exceptions.HTTPError:
                continue
        self._ready = ready

    def _call_on(self) -> None:
        while not self._stopped.is_set():
            number = next(self._number)
            ready = self._ready
            if not ready:
                time.sleep(CHECK_SECONDS)
                continue
            mark = f'load-{number}'
            sent = Sent(mark, mark)
            self._world.call(sent, ready[number % len(ready)], self._options)
            self.done.append(sent)
