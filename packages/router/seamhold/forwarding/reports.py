"""Serves readiness, metrics and status to the platform and its operators."""

import json
from collections.abc import Callable
from urllib.parse import parse_qs

from cheroot.server import Gateway, HTTPRequest, HTTPServer

from ..config import split_address
from ..listening import SHUTDOWN_SECONDS
from ..metrics import Metrics

METRICS_PATH = b'/metrics'
STATUS_PATH = b'/status'
LIFT_PATH = b'/lift'
LIFTED_FIELD = 'request'
THREADS = 2
QUEUE_SIZE = 64
TEXT = b'text/plain; version=0.0.4; charset=utf-8'
JSON = b'application/json'


class Reports:
    """Answers HTTP requests for the readiness, metrics and status of this box.

    `ready` is called for each request.  `status` returns values that JSON can hold.
    `lift` lifts the quarantine of a request and returns whether it was known.
    """

    def __init__(
        self,
        ready_path: str,
        ready: Callable[[], bool],
        status: Callable[[], dict],
        metrics: Metrics,
        lift: Callable[[str], bool],
    ):
        self._lift = lift
        self._ready_path = ready_path.encode('ascii')
        self._ready = ready
        self._status = status
        self._metrics = metrics

    def answer(self, request: HTTPRequest) -> None:
        """Answer one request."""
        path = request.uri.partition(b'?')[0]
        if path == self._ready_path:
            ready = self._ready()
            status = b'200 OK' if ready else b'503 Service Unavailable'
            self._write(request, status, JSON, json.dumps({'ready': ready}).encode())
        elif path == METRICS_PATH:
            self._write(request, b'200 OK', TEXT, self._metrics.page())
        elif path == STATUS_PATH:
            self._write(request, b'200 OK', JSON, json.dumps(self._status()).encode())
        elif path == LIFT_PATH and request.method == b'POST':
            self._answer_lift(request)
        else:
            self._write(request, b'404 Not Found', TEXT, b'there is no such page\n')

    def _answer_lift(self, request: HTTPRequest) -> None:
        fields = parse_qs(request.uri.partition(b'?')[2].decode('latin-1'))
        lifted = self._lift(fields.get(LIFTED_FIELD, [''])[0])
        status = b'200 OK' if lifted else b'404 Not Found'
        self._write(request, status, JSON, json.dumps({'lifted': lifted}).encode())

    @staticmethod
    def _write(request: HTTPRequest, status: bytes, content_type: bytes, body: bytes) -> None:
        request.status = status
        request.outheaders = [
            (b'Content-Type', content_type),
            (b'Content-Length', str(len(body)).encode('ascii')),
        ]
        request.ensure_headers_sent()
        request.write(body)


class ReportServer(HTTPServer):
    """cheroot's server that answers with a Reports object."""

    shutdown_timeout = SHUTDOWN_SECONDS

    def __init__(self, address: str, reports: Reports):
        split = split_address(address)
        super().__init__(
            (split.host, split.port), _ReportGateway, minthreads=THREADS, maxthreads=THREADS
        )
        self.request_queue_size = QUEUE_SIZE
        self.reports = reports

    def error_log(self, msg='', level=20, traceback=False):
        """Log nothing: the errors reported here are clients' broken connections."""


class _ReportGateway(Gateway):
    """Passes each request to the server's reports."""

    def respond(self):
        """Answer one request."""
        self.req.server.reports.answer(self.req)
