"""Callers behind a load balancer: each call goes to a box that reports ready."""

import itertools
import threading
import time

import urllib3

from scenarios.world import CallRecord, World

CHECK_SECONDS = 0.1


class Load:
    """Closed-loop callers that call until they are stopped."""

    def __init__(self, world: World, callers: int, **options):
        self._world = world
        self.callers = callers
        self._options = options
        self._stopped = threading.Event()
        self._ready: list[str] = []
        self._numbers = itertools.count()
        self.records: list[CallRecord] = []
        self._threads = [
            threading.Thread(target=self._call_until_stopped, daemon=True) for _ in range(callers)
        ]
        self._checker = threading.Thread(target=self._check_until_stopped, daemon=True)

    def start(self) -> None:
        """Start the readiness checks and the callers."""
        self._check_ready_boxes()
        self._checker.start()
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[CallRecord]:
        """Wait for the calls in flight; return all calls that were made."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(60)
        return self.records

    def _check_until_stopped(self) -> None:
        while not self._stopped.is_set():
            self._check_ready_boxes()
            time.sleep(CHECK_SECONDS)

    def _check_ready_boxes(self) -> None:
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

    def _call_until_stopped(self) -> None:
        while not self._stopped.is_set():
            number = next(self._numbers)
            ready = self._ready
            if not ready:
                time.sleep(CHECK_SECONDS)
                continue
            mark = f'load-{number}'
            record = CallRecord(mark, mark)
            self._world.call(record, ready[number % len(ready)], self._options)
            self.records.append(record)
