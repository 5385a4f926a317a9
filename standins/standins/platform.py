"""A stand-in for the platform's object API, which follows the style of Kubernetes.

It keeps collections of objects in memory.  Watches of `boxes` and `engines` can lag.
Faults: an outage, slow answers, a write that takes effect but whose answer is lost,
a rate limit, and a reset to an older snapshot.
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
#: A write is held for at most this long; clients wait slightly longer for the answer.
GATHER_SECONDS = 2.5


@dataclass(frozen=True)
class PlatformFaults:
    """The faults that can be injected; times in seconds, rates in calls per second.

    `gather_writes` holds writes until that many have arrived, so that all their
    clients have read the object before the first write takes effect.
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
    """Versioned collections of objects, with a bounded history for watches."""

    def __init__(self):
        self.changed = threading.Condition()
        self.version = 0
        self.objects: dict[str, dict[str, dict]] = defaultdict(dict)
        self.history: deque = deque(maxlen=HISTORY)
        self.snapshots: dict[str, tuple] = {}

    def write(self, kind: str, value: dict, create: bool) -> tuple[int, dict]:
        """Write an object conditionally; return the status and the object or the reason."""
        name = value.get('metadata', {}).get('name', '')
        expected_version = str(value.get('metadata', {}).get('resourceVersion', ''))
        with self.changed:
            existing = self.objects[kind].get(name)
            current = existing['metadata']['resourceVersion'] if existing else ''
            if create and existing:
                return 409, {'reason': 'AlreadyExists'}
            if not create and not existing:
                return 404, {'reason': 'NotFound'}
            if expected_version and expected_version != current:
                return 409, {'reason': 'Conflict'}
            self.version += 1
            item = {
                'metadata': {'name': name, 'resourceVersion': str(self.version)},
                'spec': value.get('spec') or {},
            }
            self.objects[kind][name] = item
            self._record_change(kind, 'MODIFIED' if existing else 'ADDED', item)
            return 200 if existing else 201, item

    def delete(self, kind: str, name: str, expected_version: str = '') -> tuple[int, dict]:
        """Delete an object; a non-empty `expected_version` must match its version."""
        with self.changed:
            existing = self.objects[kind].get(name)
            if existing is None:
                return 404, {'reason': 'NotFound'}
            if expected_version and expected_version != existing['metadata']['resourceVersion']:
                return 409, {'reason': 'Conflict'}
            del self.objects[kind][name]
            self.version += 1
            item = copy.deepcopy(existing)
            item['metadata']['resourceVersion'] = str(self.version)
            self._record_change(kind, 'DELETED', item)
            return 200, item

    def _record_change(self, kind: str, verb: str, item: dict) -> None:
        self.history.append((self.version, time.monotonic(), kind, verb, item))
        self.changed.notify_all()

    def changes_since(self, kind: str, version: int, before: float) -> list:
        """Return the changes of `kind` after `version` that were made by the time `before`."""
        return [
            row for row in self.history if row[0] > version and row[2] == kind and row[1] <= before
        ]

    def oldest_watchable_version(self) -> int:
        """Return the oldest version from which a watch can start."""
        if len(self.history) < HISTORY:
            return 0
        return self.history[0][0] - 1

    def save_snapshot(self, name: str) -> None:
        """Save a snapshot of all objects for a later reset."""
        with self.changed:
            self.snapshots[name] = (self.version, copy.deepcopy(dict(self.objects)))

    def restore_snapshot(self, name: str) -> None:
        """Restore a snapshot, versions included, and end all watches."""
        with self.changed:
            self.version, objects = copy.deepcopy(self.snapshots[name])
            self.objects = defaultdict(dict, objects)
            self.history.clear()
            self.changed.notify_all()


class PlatformHandler(Handler):
    """Serves lists, gets, conditional writes and watches."""

    def _parse_path(self):
        """Return kind, name and query of the request's path, or None."""
        parts = urlsplit(self.path)
        if not parts.path.startswith(API_PREFIX):
            return None
        kind, _, name = parts.path.removeprefix(API_PREFIX).partition('/')
        return kind, name, parse_qs(parts.query)

    def _apply_faults(self, verb: str) -> bool:
        """Apply outage, delay and rate limit; return whether the request was ended."""
        faults = self.server.faults
        kind, _, _ = self._parse_path()
        self.server.counts[f'{verb}.{kind}'] += 1
        if faults.slow:
            time.sleep(faults.slow)
        if self.server.faults.down:
            self.hang_up()
            return True
        if not self.server.within_rate_limit(verb):
            self.read_body()
            self.send_json(429, {'reason': 'TooManyRequests'}, Retry_After='1')
            return True
        return False

    def do_GET(self):
        """List, get or watch objects, or serve a control endpoint."""
        if self.handle_fault_request():
            return
        if self.path == '/standin/counts':
            self.send_json(200, dict(self.server.counts))
            return
        if self.path == '/standin/waiting':
            self.send_json(200, dict(self.server.open_watches))
            return
        kind, name, query = self._parse_path()
        if 'watch' in query:
            if not self._apply_faults('watch'):
                self._watch(kind, int(query.get('resourceVersion', ['0'])[0]), query)
        elif not self._apply_faults('get' if name else 'list'):
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
        self.server.open_watches[kind] += 1
        try:
            self._watch_from(kind, version, query)
        finally:
            self.server.open_watches[kind] -= 1

    def _watch_from(self, kind: str, version: int, query: dict) -> None:
        store = self.server.store
        if version < store.oldest_watchable_version() or version > store.version:
            self._send_event('ERROR', {'metadata': {}, 'spec': {'code': 410}})
            self.send_chunk(b'')
            return
        deadline = time.monotonic() + float(query.get('timeoutSeconds', ['30'])[0])
        while time.monotonic() < deadline and not self.server.faults.down:
            with store.changed:
                store.changed.wait(WATCH_STEP_SECONDS)
                if version > store.version:
                    break
                rows = store.changes_since(kind, version, self._visible_before(kind))
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
        """Create an object, or save or restore a snapshot."""
        if self.handle_fault_request():
            return
        action = self.path.removeprefix('/standin/')
        if action in ('copy', 'reset'):
            store = self.server.store
            (store.save_snapshot if action == 'copy' else store.restore_snapshot)('kept')
            self.send_json(200, {})
            return
        self._write(create=True)

    def do_PUT(self):
        """Replace an object conditionally."""
        self._write(create=False)

    def do_DELETE(self):
        """Delete an object conditionally."""
        kind, name, _ = self._parse_path()
        conditions = self.read_json().get('preconditions', {})
        if not self._apply_faults('write'):
            expected_version = conditions.get('resourceVersion', '')
            self.send_json(*self.server.store.delete(kind, name, expected_version))

    def _write(self, create: bool) -> None:
        if self._apply_faults('write'):
            return
        self.server.hold_write()
        kind, _, _ = self._parse_path()
        status, value = self.server.store.write(kind, self.read_json(), create)
        if status < 300 and self.server.drops_answer():
            self.hang_up()
            return
        self.send_json(status, value)


class Platform(StandIn):
    """The platform's server."""

    def __init__(self, port: int = 0):
        super().__init__(port, PlatformHandler, PlatformFaults())
        self.store = Store()
        self.counts: Counter[str] = Counter()
        self.open_watches: Counter[str] = Counter()
        self.write_arrived = threading.Condition()
        self.held_writes = 0
        self._windows: dict[str, tuple[int, int]] = {}

    def within_rate_limit(self, verb: str) -> bool:
        """Count a call and return whether it is within the rate limit."""
        writes = verb == 'write'
        rate_limit = self.faults.writes_per_second if writes else self.faults.reads_per_second
        group = 'write' if writes else 'read'
        second = int(time.monotonic())
        with self.lock:
            window_second, count = self._windows.get(group, (second, 0))
            count = count + 1 if window_second == second else 1
            self._windows[group] = (second, count)
        return count <= rate_limit

    def hold_write(self) -> None:
        """Hold a write until `gather_writes` writes have arrived."""
        expected_writes = self.faults.gather_writes
        if not expected_writes:
            return
        with self.write_arrived:
            self.held_writes += 1
            self.write_arrived.notify_all()
            self.write_arrived.wait_for(lambda: self.held_writes >= expected_writes, GATHER_SECONDS)

    def drops_answer(self) -> bool:
        """Whether to drop the answer of this write; count it off `lose_answers`."""
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
