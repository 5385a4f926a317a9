"""A stand-in for the platform's object API, in the style of Kubernetes'.

It keeps collections of objects in memory.  `boxes` and `engines` can lag.
Faults: outage, slowness, a write that takes effect but whose answer is lost,
a cap on calls a second, and a reset to an older copy.
"""

import argparse
import copy
import json
import threading
import time
from collections import Counter, defaultdict, deque
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from .httpd import Handler, StandIn

API_PREFIX = '/apis/seamhold/v1/'
HISTORY = 1000
LAGGING_KINDS = ('boxes', 'engines')
WATCH_STEP_SECONDS = 0.05
#: Longest hold of a write; a writer waits a little longer for its answer.
GATHER_SECONDS = 2.5


@dataclass(frozen=True)
class PlatformFaults:
    """What can go wrong; times in seconds, rates in calls a second.

    With `gather_writes` writes are held until so many have come, so that all
    their writers have read before the first of them lands.
    """

    down: bool = False
    slow: float = 0.0
    lose_answers: int = 0
    list_lag: float = 0.0
    writes_per_second: int = 100
    reads_per_second: int = 2000
    frozen_watch: bool = False
    gather_writes: int = 0


class Store:
    """Versioned collections with a bounded history for watches."""

    def __init__(self):
        self.changed = threading.Condition()
        self.version = 0
        self.objects: dict[str, dict[str, dict]] = defaultdict(dict)
        self.history: deque = deque(maxlen=HISTORY)
        self.copies: dict[str, tuple] = {}

    def write(self, kind: str, value: dict, create: bool) -> tuple[int, dict]:
        """Conditional write: the status and the object or the reason."""
        name = value.get('metadata', {}).get('name', '')
        wanted = str(value.get('metadata', {}).get('resourceVersion', ''))
        with self.changed:
            held = self.objects[kind].get(name)
            current = held['metadata']['resourceVersion'] if held else ''
            if create and held:
                return 409, {'reason': 'AlreadyExists'}
            if not create and not held:
                return 404, {'reason': 'NotFound'}
            if wanted and wanted != current:
                return 409, {'reason': 'Conflict'}
            self.version += 1
            item = {
                'metadata': {'name': name, 'resourceVersion': str(self.version)},
                'spec': value.get('spec') or {},
            }
            self.objects[kind][name] = item
            self._note(kind, 'MODIFIED' if held else 'ADDED', item)
            return 200 if held else 201, item

    def delete(self, kind: str, name: str, wanted: str = '') -> tuple[int, dict]:
        """Remove an object, if it is still at version `wanted` where that is told."""
        with self.changed:
            held = self.objects[kind].get(name)
            if held is None:
                return 404, {'reason': 'NotFound'}
            if wanted and wanted != held['metadata']['resourceVersion']:
                return 409, {'reason': 'Conflict'}
            del self.objects[kind][name]
            self.version += 1
            item = copy.deepcopy(held)
            item['metadata']['resourceVersion'] = str(self.version)
            self._note(kind, 'DELETED', item)
            return 200, item

    def _note(self, kind: str, verb: str, item: dict) -> None:
        self.history.append((self.version, time.monotonic(), kind, verb, item))
        self.changed.notify_all()

    def since(self, kind: str, version: int, before: float) -> list:
        """Changes of `kind` after `version` that are older than `before`."""
        return [
            row for row in self.history if row[0] > version and row[2] == kind and row[1] <= before
        ]

    def oldest(self) -> int:
        """The oldest version that a watch may begin from."""
        if len(self.history) < HISTORY:
            return 0
        return self.history[0][0] - 1

    def copy_as(self, name: str) -> None:
        """Keep a copy of all objects, for a later reset."""
        with self.changed:
            self.copies[name] = (self.version, copy.deepcopy(dict(self.objects)))

    def reset_to(self, name: str) -> None:
        """Go back to an older copy, versions included, and end all watches."""
        with self.changed:
            self.version, objects = copy.deepcopy(self.copies[name])
            self.objects = defaultdict(dict, objects)
            self.history.clear()
            self.changed.notify_all()


class PlatformHandler(Handler):
    """Lists, gets, conditional writes and watches."""

    def _route(self):
        """Kind, name and query of the request's path, or None."""
        parts = urlsplit(self.path)
        if not parts.path.startswith(API_PREFIX):
            return None
        kind, _, name = parts.path.removeprefix(API_PREFIX).partition('/')
        return kind, name, parse_qs(parts.query)

    def _broken(self, verb: str) -> bool:
        """Apply the faults that hit before anything is done."""
        faults = self.server.faults
        kind, _, _ = self._route()
        self.server.counts[f'{verb}.{kind}'] += 1
        if faults.slow:
            time.sleep(faults.slow)
        if self.server.faults.down:
            self.hang_up()
            return True
        if not self.server.within_rate(verb):
            self.read_body()
            self.send_json(429, {'reason': 'TooManyRequests'}, Retry_After='1')
            return True
        return False

    def do_GET(self):
        """List, get, watch, or the stand-in's own pages."""
        if self.handle_fault_request():
            return
        if self.path == '/standin/counts':
            self.send_json(200, dict(self.server.counts))
            return
        if self.path == '/standin/waiting':
            self.send_json(200, dict(self.server.waiting))
            return
        kind, name, query = self._route()
        if 'watch' in query:
            if not self._broken('watch'):
                self._watch(kind, int(query.get('resourceVersion', ['0'])[0]), query)
        elif not self._broken('get' if name else 'list'):
            self._get(kind, name) if name else self._list(kind)

    def _get(self, kind: str, name: str) -> None:
        item = self.server.store.objects[kind].get(name)
        if item is None:
            self.send_json(404, {'reason': 'NotFound'})
        else:
            self.send_json(200, item)

    def _list(self, kind: str) -> None:
        store = self.server.store
        with store.changed:
            items = list(store.objects[kind].values())
            version = str(store.version)
        self.send_json(200, {'metadata': {'resourceVersion': version}, 'items': items})

    def _watch(self, kind: str, version: int, query: dict) -> None:
        self.begin_chunks('application/json')
        self.server.waiting[kind] += 1
        try:
            self._watch_from(kind, version, query)
        finally:
            self.server.waiting[kind] -= 1

    def _watch_from(self, kind: str, version: int, query: dict) -> None:
        store = self.server.store
        if version < store.oldest() or version > store.version:
            self._send_event('ERROR', {'metadata': {}, 'spec': {'code': 410}})
            self.send_chunk(b'')
            return
        ends = time.monotonic() + float(query.get('timeoutSeconds', ['30'])[0])
        while time.monotonic() < ends and not self.server.faults.down:
            with store.changed:
                store.changed.wait(WATCH_STEP_SECONDS)
                if version > store.version:
                    break
                rows = store.since(kind, version, self._visible_before(kind))
            for row_version, _, _, verb, item in rows:
                self._send_event(verb, item)
                version = row_version
        self.send_chunk(b'')

    def _visible_before(self, kind: str) -> float:
        faults = self.server.faults
        if faults.frozen_watch:
            return 0.0
        lag = faults.list_lag if kind in LAGGING_KINDS else 0.0
        return time.monotonic() - lag

    def _send_event(self, verb: str, item: dict) -> None:
        self.send_chunk(json.dumps({'type': verb, 'object': item}).encode() + b'\n')

    def do_POST(self):
        """Create an object, or drive the stand-in."""
        if self.handle_fault_request():
            return
        action = self.path.removeprefix('/standin/')
        if action in ('copy', 'reset'):
            store = self.server.store
            (store.copy_as if action == 'copy' else store.reset_to)('kept')
            self.send_json(200, {})
            return
        self._write(create=True)

    def do_PUT(self):
        """Write an object under a condition."""
        self._write(create=False)

    def do_DELETE(self):
        """Remove an object."""
        kind, name, _ = self._route()
        conditions = self.read_json().get('preconditions', {})
        if not self._broken('write'):
            wanted = conditions.get('resourceVersion', '')
            self.send_json(*self.server.store.delete(kind, name, wanted))

    def _write(self, create: bool) -> None:
        if self._broken('write'):
            return
        self.server.gather_writes()
        kind, _, _ = self._route()
        status, value = self.server.store.write(kind, self.read_json(), create)
        if status < 300 and self.server.loses_answer():
            self.hang_up()
            return
        self.send_json(status, value)


class Platform(StandIn):
    """The stand-in's server."""

    def __init__(self, port: int = 0):
        super().__init__(port, PlatformHandler, PlatformFaults())
        self.store = Store()
        self.counts: Counter[str] = Counter()
        self.waiting: Counter[str] = Counter()
        self.gathered = threading.Condition()
        self.held_writes = 0
        self._windows: dict[str, tuple[int, int]] = {}

    def within_rate(self, verb: str) -> bool:
        """Whether the cap on calls a second allows one more."""
        writes = verb == 'write'
        cap = self.faults.writes_per_second if writes else self.faults.reads_per_second
        group = 'write' if writes else 'read'
        second = int(time.monotonic())
        with self.lock:
            at, count = self._windows.get(group, (second, 0))
            count = count + 1 if at == second else 1
            self._windows[group] = (second, count)
        return count <= cap

    def gather_writes(self) -> None:
        """Hold a write until as many have come as the faults say."""
        wanted = self.faults.gather_writes
        if not wanted:
            return
        with self.gathered:
            self.held_writes += 1
            self.gathered.notify_all()
            self.gathered.wait_for(lambda: self.held_writes >= wanted, GATHER_SECONDS)

    def loses_answer(self) -> bool:
        """Whether this write's answer is to be lost."""
        with self.lock:
            if self.faults.lose_answers <= 0:
                return False
            self.set_faults({'lose_answers': self.faults.lose_answers - 1})
            return True


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(description='stand-in for the platform')
    parser.add_argument('--port', type=int, default=0)
    options = parser.parse_args()
    server = Platform(options.port)
    print(server.port, flush=True)
    server.serve_forever()


if __name__ == '__main__':
    main()
