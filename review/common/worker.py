"""A backend server as the pages describe it, which records when each request reached it."""

import socket
import threading
import time
from dataclasses import dataclass

from seamhold_kusina import headers as names
from standins.httpd import Handler, StandIn


@dataclass(frozen=True)
class Arrival:
    """A request that the worker ran, on this process's steady clock."""

    at: float
    request_id: str


@dataclass(frozen=True)
class NoFaults:
    """The worker has no faults of its own."""


class _Handler(Handler):
    def do_GET(self):
        """Run a request without a body."""
        self._run()

    def do_POST(self):
        """Run a request with a body."""
        self.read_body()
        self._run()

    def _run(self) -> None:
        worker = self.server
        request_id = self.headers.get(names.REQUEST_ID, '')
        if not request_id:
            self.send_json(400, {}, **{names.NOT_RUN: '1'})
            return
        if self.headers.get(names.EXPECTED_INSTANCE) not in (None, worker.id):
            self.send_json(421, {}, **{names.NOT_RUN: '1', names.REQUEST_ID: request_id})
            return
        worker.record_arrival(request_id)
        time.sleep(worker.work_seconds)
        signed = {names.SIGNATURE: f'{worker.id}.1', names.REQUEST_ID: request_id}
        self.send_json(200, {'by': worker.id}, **signed)


class Worker(StandIn):
    """A backend server on a loopback port; each start has its own id."""

    def __init__(self, worker_id: str, work_seconds: float = 0.02):
        super().__init__(0, _Handler, NoFaults())
        self.id = worker_id
        self.work_seconds = work_seconds
        self._arrivals: list[Arrival] = []
        self._arrivals_lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._ended = False

    def verify_request(self, request, client_address):
        """Return whether to serve a new connection: not once the worker has ended."""
        return not self._ended

    def process_request(self, request, client_address):
        """Register and serve a new connection."""
        self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        """Unregister and close a connection."""
        self._connections.discard(request)
        super().shutdown_request(request)

    def end(self) -> None:
        """End as a process does: break off all connections and close the port."""
        self._ended = True
        for connection in list(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The other end has closed it already.
                pass
        self.stop()

    def record_arrival(self, request_id: str) -> None:
        """Record that a request begins to run."""
        with self._arrivals_lock:
            self._arrivals.append(Arrival(time.monotonic(), request_id))

    @property
    def arrivals(self) -> list[Arrival]:
        """The requests that this worker ran, in order."""
        with self._arrivals_lock:
            return list(self._arrivals)

    def entry(self, service: str, state: str = 'ready') -> dict:
        """Return the entry that this worker writes into the platform's store."""
        return {
            'service': service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'a',
            'version': 'v1',
            'slots': 32,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': 1,
        }
