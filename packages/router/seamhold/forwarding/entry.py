"""The callers' port for forwarded requests, on cheroot's worker threads.

A thread carries a request from its head to its last byte.  Nothing is decided
here: the request becomes a job, the runner runs it, and its answer or its
failure is written out.
"""

import json
from collections.abc import Callable, Iterator
from http import HTTPStatus

from cheroot.server import Gateway, HTTPConnection, HTTPRequest, HTTPServer

from seamhold_messages.errors import (
    BadRequest,
    BodyTooLarge,
    CallerLeft,
    CallerTooSlow,
    Internal,
    NotReady,
    Ran,
    SeamholdError,
)
from seamhold_messages.hashing import hash32
from seamhold_settings.forwarding import RouteTable

from ..config import split_address
from ..context import Environment
from ..gate import Gate
from ..job import Job
from ..listening import ACCEPT_QUEUE, SHUTDOWN_SECONDS
from ..logs import logger
from ..metrics import Metrics
from ..ports import Answer, CallerDialect
from ..problems import CONTENT_TYPE, problem
from ..runner import Runner
from .caller_watch import CallerWatch
from .calls import find_route, prepare
from .heads import HOP_BY_HOP, RequestHead, StrictHeaderReader, read_head
from .thread_keeper import STARTING_THREADS, ThreadKeeper

READ_BYTES = 64 * 1024
#: A box that stops or starts asks its callers back after this.
NOT_READY_SECONDS = 0.5
#: Statuses that tell a caller that its request has not run.
PROMISES = frozenset({408, 421, 429, 503})


class ForwardingEntry:
    """Answers forwarded requests."""

    def __init__(
        self,
        dialect: CallerDialect,
        runner: Runner,
        gate: Gate,
        environment: Environment,
        metrics: Metrics,
        has_state: Callable[[], bool],
    ):
        self._dialect = dialect
        self._runner = runner
        self._gate = gate
        self._environment = environment
        self._metrics = metrics
        self._has_state = has_state
        self._log = logger('entry')
        self.watch = CallerWatch()
        #: Replaced whole when a tree comes into force.
        self.table: RouteTable | None = None
        self.settings_version = 0
        self.body_bytes = 0

    def answer(self, request: HTTPRequest) -> None:
        """Answer one request; its connection closes if nothing can be told."""
        began = self._environment.monotonic()
        exchange = _Exchange(request, self._gate.draining, self._environment.monotonic)
        try:
            self._gate.enter()
        except SeamholdError as error:
            exchange.request_id = self._request_id(request)
            self._refuse(exchange, None, error, began)
            return
        request.in_gate = True
        self._answer(exchange, began)

    def written(self, request: 'ForwardingRequest') -> None:
        """The last byte of an answer is out, or its connection is broken."""
        if request.in_gate:
            self._gate.leave()

    def _answer(self, exchange: '_Exchange', began: float) -> None:
        job = None
        try:
            table = self.table if self._has_state() else None
            if table is None:
                raise NotReady('this box has no settings yet', NOT_READY_SECONDS)
            head = read_head(exchange.request)
            metadata = self._dialect.read(head.by_name)
            exchange.request_id = metadata.request_id
            found = find_route(table, metadata, head)
            body = self._read_body(exchange.request, head)
            exchange.body_read = True
            now = self._environment.monotonic()
            job = prepare(table, self._dialect, found, head, body, now)
            self._run(exchange, job)
        except SeamholdError as error:
            self._refuse(exchange, job, error, began)
        except Exception:
            self._log.exception('entry.error', request_id=exchange.request_id)
            self._refuse(exchange, job, Internal('a fault of this box'), began)
        else:
            self._note_end(exchange, job, began)

    def _request_id(self, request: HTTPRequest) -> str:
        """The id of a request that is refused unread, '' if it cannot be told."""
        try:
            return self._dialect.read(read_head(request).by_name).request_id
        except SeamholdError:
            return ''

    def _run(self, exchange: '_Exchange', job: Job) -> None:
        connection = exchange.request.conn.socket
        self.watch.add(connection, job.cancellation)
        try:
            answer = self._runner.run(job)
            if isinstance(answer.body, bytes):
                exchange.whole(answer)
            else:
                exchange.stream(answer, answer.body)
        finally:
            self.watch.remove(connection)

    def _read_body(self, request: HTTPRequest, head: RequestHead) -> bytes:
        """The whole body, of no more bytes than the tree allows."""
        declared = head.by_name.get('content-length')
        if declared is not None and int(declared) > self.body_bytes:
            raise BodyTooLarge(f'at most {self.body_bytes} bytes')
        parts = []
        size = 0
        try:
            while data := request.rfile.read(READ_BYTES):
                parts.append(data)
                size += len(data)
                if size > self.body_bytes:
                    raise BodyTooLarge(f'at most {self.body_bytes} bytes')
            if request.chunked_read:
                # Trailers are not passed on, but they must not be left either.
                list(request.rfile.read_trailer_lines())
        except ValueError as error:
            raise BadRequest(f'the body cannot be read: {error}') from error
        except OSError as error:
            raise CallerTooSlow('the body did not come') from error
        if declared is not None and size != int(declared):
            raise CallerLeft('the body ended early')
        return b''.join(parts)

    def _refuse(
        self, exchange: '_Exchange', job: Job | None, error: SeamholdError, began: float
    ) -> None:
        self._metrics.count(f'refused.{error.code}')
        told = told_status(error)
        if exchange.sent or isinstance(error, CallerLeft):
            exchange.break_off()
        else:
            exchange.problem(told, error, self._retry_after(told, error))
        self._log.info(
            'call.failed',
            request_id=exchange.request_id,
            code=error.code,
            status=told,
            ran=error.ran,
            detail=error.detail,
            cut=exchange.sent and not exchange.complete,
            retry_after=error.retry_after,
            **self._told_job(job),
            seconds=round(self._environment.monotonic() - began, 3),
        )

    def _told_job(self, job: Job | None) -> dict:
        """What decided a call, as plain values for its last line."""
        told = {'settings': self.settings_version}
        if job is None:
            return told
        return told | {
            'workspace': job.call.workspace,
            'service': job.call.service,
            'repeatable': job.rule.repeatable,
            'chat': f'{hash32(job.call.chat):08x}' if job.call.sticky else '',
            'shared_tokens': job.shared_tokens,
            'attempts': [attempt.as_log() for attempt in job.attempts],
        }

    def _retry_after(self, status: int, error: SeamholdError) -> str | None:
        if status not in PROMISES or error.retry_after is None:
            return None
        return self._dialect.retry_after(error.retry_after)

    def _note_end(self, exchange: '_Exchange', job: Job, began: float) -> None:
        self._metrics.count(f'answered.{exchange.status // 100}xx')
        now = self._environment.monotonic()
        self._metrics.latency('whole', job.call.service, now - began)
        if exchange.first_byte_at:
            first = exchange.first_byte_at - began
            self._metrics.latency('first_byte', job.call.service, first)
        self._log.info(
            'call.answered',
            request_id=exchange.request_id,
            status=exchange.status,
            **self._told_job(job),
            seconds=round(now - began, 3),
        )


def told_status(error: SeamholdError) -> int:
    """The status a caller is told: no promise where the call may have run."""
    if error.ran is Ran.UNKNOWN and error.status in PROMISES:
        return HTTPStatus.BAD_GATEWAY
    return error.status


class _Exchange:
    """One request on a connection and what was written back to it."""

    def __init__(self, request: HTTPRequest, closing: bool, clock: Callable[[], float]):
        self.request = request
        self._clock = clock
        self.first_byte_at = 0.0
        self.request_id = ''
        self.status = 0
        self.body_read = False
        self.sent = False
        self.complete = False
        if closing:
            request.close_connection = True

    def whole(self, answer: Answer) -> None:
        """Write an answer with its length."""
        self._head(answer.status, answer.headers, len(answer.body))
        if self.request.method != b'HEAD':
            self.request.write(answer.body)
        self.complete = True

    def stream(self, answer: Answer, events: Iterator[bytes]) -> None:
        """Write events as they come; the head waits for the first of them."""
        try:
            first = next(events, b'')
            self._head(answer.status, answer.headers, None)
            self._write(first)
            for data in events:
                self._write(data)
        except OSError as error:
            raise CallerLeft(f'the connection broke: {error}') from error
        finally:
            events.close()
        self.complete = True

    def _write(self, data: bytes) -> None:
        if data:
            self.request.write(data)

    def _head(self, status: int, headers: dict[str, str], length: int | None) -> None:
        fields = [
            (name, value) for name, value in headers.items() if name.lower() not in HOP_BY_HOP
        ]
        if length is not None:
            fields.append(('Content-Length', str(length)))
        request = self.request
        request.status = _status_line(status)
        request.outheaders = [
            (name.encode('latin-1'), value.encode('latin-1')) for name, value in fields
        ]
        self.status = status
        self.first_byte_at = self._clock()
        self.sent = True
        request.sent_headers = True
        request.send_headers()

    def problem(self, status: int, error: SeamholdError, retry_after: str | None) -> None:
        """Write a failure of the box's own."""
        headers = {'Content-Type': CONTENT_TYPE}
        if retry_after is not None:
            headers['Retry-After'] = retry_after
        if error.status in (400, 408, 413) or (self.request.chunked_read and not self.body_read):
            # What is left of the body would be read as the next request.
            self.request.close_connection = True
        body = json.dumps(problem(error, self.request_id)).encode() + b'\n'
        try:
            self.whole(Answer(status, headers, body))
        except OSError:
            self.break_off()

    def break_off(self) -> None:
        """Close the connection so that nothing on it looks complete."""
        request = self.request
        request.close_connection = True
        request.sent_headers = True
        request.chunked_write = False


def _status_line(status: int) -> bytes:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Unknown'
    return f'{status} {phrase}'.encode('ascii')


class ForwardingRequest(HTTPRequest):
    """cheroot's request with the strict reader of headers."""

    header_reader = StrictHeaderReader()
    #: Whether the gate counts it as a call in progress.
    in_gate = False

    def respond(self):
        """Answer; cheroot writes the end of a stream after the gateway's part."""
        try:
            super().respond()
        finally:
            self.server.written(self)


class ForwardingConnection(HTTPConnection):
    """cheroot's connection for such requests."""

    RequestHandlerClass = ForwardingRequest


class ForwardingServer(HTTPServer):
    """cheroot's server, bound to an entry."""

    ConnectionClass = ForwardingConnection
    keep_alive_conn_limit = None
    shutdown_timeout = SHUTDOWN_SECONDS

    def __init__(self, address: str, threads: int, entry: ForwardingEntry):
        split = split_address(address)
        super().__init__(
            (split.host, split.port),
            _EntryGateway,
            minthreads=min(STARTING_THREADS, threads),
            maxthreads=threads,
        )
        self.request_queue_size = ACCEPT_QUEUE
        self._settings_task = ThreadKeeper(self.requests)
        self._settings_task.start()
        self.answer = entry.answer
        self.written = entry.written

    def process_conn(self, conn):
        """A connection has something to be read: hand it to a thread."""
        super().process_conn(conn)
        self._settings_task.look()

    def stop(self) -> None:
        """Close the port and end the threads."""
        self._settings_task.stop()
        super().stop()

    def expire_idle(self) -> None:
        """Close the connections on which no request waits or runs.

        cheroot's own task closes them at its next look, within half a second;
        one that brings a request before is served.
        """
        for _, connection in list(self._connections._selector.connections):
            if connection is not self:
                connection.last_used = 0.0

    def error_log(self, msg='', level=20, traceback=False):
        """What ends here is a caller's broken connection."""


class _EntryGateway(Gateway):
    """Hands each request to the server's entry."""

    def respond(self):
        """Answer one request."""
        self.req.server.answer(self.req)
