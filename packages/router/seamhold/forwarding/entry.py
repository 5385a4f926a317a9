"""Serves callers' requests on cheroot's worker threads.

One thread handles a request from its head to the last byte of its answer.  It turns the
request into a job, lets the runner run it, and writes the answer or the error.
"""

import json
import socket
import struct
from collections.abc import Callable, Iterator
from http import HTTPStatus

from cheroot.errors import MaxSizeExceeded
from cheroot.server import Gateway, HTTPConnection, HTTPRequest, HTTPServer, SizeCheckWrapper

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
from ..gate import Gate, stopping
from ..job import Job
from ..listening import ACCEPT_QUEUE, SHUTDOWN_SECONDS
from ..logs import logger
from ..metrics import Metrics
from ..ports import Answer, CallerDialect
from ..problems import CONTENT_TYPE, problem
from ..runner import Runner
from ..stream_origins import StreamOrigins
from .caller_watch import CallerWatch, has_left, is_readable
from .calls import RoutedRequest, can_be_taken_up, find_route, follow_origin, prepare, seconds_left
from .chunk_lines import ChunkLines
from .heads import HOP_BY_HOP, RequestHead, StrictHeaderReader, read_head
from .read_deadlines import ReadDeadlines, ReadLimit
from .response_buffers import ResponseBuffers, ResponseWriter
from .thread_pool_grower import STARTING_THREADS, ThreadPoolGrower

READ_BYTES = 64 * 1024
#: Time for the head of a request before the settings are known, in seconds.
HEAD_SECONDS = 10.0
#: A chunk of one byte takes six with its lines; the other bytes are for extensions and trailers.
FRAMED_BYTES_PER_BYTE = 6
FRAMING_BYTES = 8 * 1024
LAST_CHUNK = b'0\r\n\r\n'
REQUEST_TIMEOUT = '408 Request Timeout'
#: The text of cheroot's OSError for a chunk beyond the limit.
CHUNK_TOO_LARGE = 'Request Entity Too Large'
#: Retry-After of a box that has no state yet, in seconds.
NOT_READY_SECONDS = 0.5
#: Limit on what the kernel takes of a response beyond what it has sent, in bytes, where responses
#: are buffered: it would take up to 4 MB for each caller that does not read.
UNSENT_BYTES = 128 * 1024
#: SO_LINGER that discards what the kernel still holds for a connection, and resets it.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
CLOSE_IN_ORDER = struct.pack('ii', 0, 0)
#: Without a length, answers in this protocol have chunks, and in an older one neither.
CHUNKING_PROTOCOL = 'HTTP/1.1'
#: Statuses that guarantee to the caller that its request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class ForwardingEntry:
    """Answers callers' requests: reads them, runs them as jobs, and logs the result."""

    def __init__(
        self,
        dialect: CallerDialect,
        runner: Runner,
        gate: Gate,
        environment: Environment,
        metrics: Metrics,
        has_state: Callable[[], bool],
        origins: StreamOrigins,
    ):
        self._dialect = dialect
        self._runner = runner
        self._gate = gate
        self._environment = environment
        self._metrics = metrics
        self._has_state = has_state
        self._origins = origins
        self._log = logger('entry')
        self.watch = CallerWatch()
        self.read_deadlines = ReadDeadlines(environment.monotonic)
        #: Replaced as a whole when a new settings tree becomes active.
        self.table: RouteTable | None = None
        self.settings_version = 0
        self.body_bytes = 0

    def answer(self, request: HTTPRequest) -> None:
        """Answer one request; close its connection if no answer can be sent."""
        started_at = self._environment.monotonic()
        exchange = _Exchange(request, self._gate.draining, self._environment.monotonic, started_at)
        try:
            self._gate.enter()
        except SeamholdError as error:
            exchange.request_id = self._request_id(request)
            self._refuse(exchange, error)
            return
        request.in_gate = True
        self._conclude(exchange, self._answer)

    def resume(self, exchange: '_Exchange') -> None:
        """Continue a paused answer, whose caller has read some of it or was dropped."""
        self._gate.resume()
        self._conclude(exchange, self._continue)

    def answer_written(self, request: 'ForwardingRequest') -> None:
        """Leave the gate, after an answer's last byte is written or its connection broke."""
        if request.conn.paused is not None:
            self._gate.pause()
        elif request.in_gate:
            self._gate.leave()

    def _conclude(self, exchange: '_Exchange', step: Callable[['_Exchange'], None]) -> None:
        """Take a step of an answer, and record how the answer ended unless it is paused."""
        try:
            step(exchange)
        except SeamholdError as error:
            self._refuse(exchange, error)
        except Exception:
            self._log.exception('entry.error', request_id=exchange.request_id)
            self._refuse(exchange, Internal('internal error in this box'))
        else:
            if exchange.complete:
                self._record_end(exchange, exchange.job)

    def _answer(self, exchange: '_Exchange') -> None:
        table = self.table if self._has_state() else None
        if table is None:
            raise NotReady('this box has no settings yet', NOT_READY_SECONDS)
        head = read_head(exchange.request)
        metadata = self._dialect.read(head.by_name)
        exchange.request_id = metadata.request_id
        found = find_route(table, metadata, head)
        body = self._read_body_in_time(exchange.request, head, found)
        exchange.body_read = True
        now = self._environment.monotonic()
        exchange.job = self._prepare(table, found, head, body, now)
        self._run(exchange, exchange.job)

    def _prepare(
        self, table: RouteTable, found: RoutedRequest, head: RequestHead, body: bytes, now: float
    ) -> Job:
        """Return the job of a request, bound to the origin of the stream that it takes up."""
        metadata = found.metadata
        version = None
        if metadata.resume_after and can_be_taken_up(found):
            origin = self._origins.find(
                found.workspace,
                found.route.host,
                metadata.resumes,
                found.service,
                seconds_left(found),
            )
            found = follow_origin(table, found, origin)
            version = origin.version
        return prepare(table, self._dialect, found, head, body, now, version)

    def _request_id(self, request: HTTPRequest) -> str:
        """Return the id of a request that is refused unread, '' if it cannot be read."""
        try:
            return self._dialect.read(read_head(request).by_name).request_id
        except SeamholdError:
            return ''

    def _run(self, exchange: '_Exchange', job: Job) -> None:
        connection = exchange.request.conn.socket
        self.watch.add(connection, job.cancellation)
        try:
            if has_left(connection):
                # It may have closed before a thread read its request.
                raise CallerLeft('the caller closed its connection')
            answer = self._runner.run(job)
            if isinstance(answer.body, bytes):
                exchange.send_whole(answer)
            else:
                exchange.send_stream(answer, answer.body)
        finally:
            if not exchange.paused:
                self.watch.remove(connection)

    def _continue(self, exchange: '_Exchange') -> None:
        try:
            exchange.send_rest()
        finally:
            if not exchange.paused:
                self.watch.remove(exchange.request.conn.socket)

    def _read_body_in_time(
        self, request: HTTPRequest, head: RequestHead, found: RoutedRequest
    ) -> bytes:
        """Return the whole body; raises CallerTooSlow once the request could not be served.

        Raises NotReady if the box stops before the body has arrived.
        """
        with self.read_deadlines.limit(request.conn.socket, seconds_left(found)) as limit:
            try:
                return self._read_body(request, head)
            except SeamholdError as error:
                if not limit.passed:
                    raise
                if self._gate.closed:
                    raise stopping() from error
                raise CallerTooSlow('the body was not received in time') from error

    def _read_body(self, request: HTTPRequest, head: RequestHead) -> bytes:
        """Return the whole body; raises BodyTooLarge above the limit of the settings."""
        declared = head.by_name.get('content-length')
        if declared is not None and int(declared) > self.body_bytes:
            raise BodyTooLarge(f'the body exceeds {self.body_bytes} bytes')
        parts = []
        size = 0
        if request.chunked_read:
            _limit_chunks(request, FRAMED_BYTES_PER_BYTE * self.body_bytes + FRAMING_BYTES)
        try:
            while data := request.rfile.read(READ_BYTES):
                parts.append(data)
                size += len(data)
                if size > self.body_bytes:
                    raise BodyTooLarge(f'the body exceeds {self.body_bytes} bytes')
            if request.chunked_read:
                # Trailers are not forwarded, but unread ones would be taken for the next request.
                list(request.rfile.read_trailer_lines())
        except ValueError as error:
            raise BadRequest(f'the body cannot be read: {error}') from error
        except MaxSizeExceeded as error:
            raise BodyTooLarge('the body and its chunk lines exceed the limit') from error
        except OSError as error:
            if str(error) == CHUNK_TOO_LARGE:
                raise BodyTooLarge(f'the body exceeds {self.body_bytes} bytes') from error
            raise CallerTooSlow('the body was not received in time') from error
        if declared is not None and size != int(declared):
            raise CallerLeft('the body is shorter than its Content-Length')
        return b''.join(parts)

    def _refuse(self, exchange: '_Exchange', error: SeamholdError) -> None:
        self._metrics.count(f'refused.{error.code}')
        status = caller_status(error)
        if exchange.sent or isinstance(error, CallerLeft):
            exchange.abort()
        else:
            exchange.send_problem(status, error, self._retry_after(status, error))
        self._log.info(
            'call.failed',
            request_id=exchange.request_id,
            code=error.code,
            status=status,
            ran=error.ran,
            detail=error.detail,
            cut=exchange.sent and not exchange.complete,
            retry_after=error.retry_after,
            **self._job_fields(exchange.job),
            seconds=round(self._environment.monotonic() - exchange.started_at, 3),
        )

    def _job_fields(self, job: Job | None) -> dict:
        """Return the inputs and attempts of a call as fields of its last log line."""
        fields = {'settings': self.settings_version}
        if job is None:
            return fields
        return fields | {
            'workspace': job.call.workspace,
            'service': job.call.service,
            'repeatable': job.rule.repeatable,
            'resumes': job.resumes,
            'chat': f'{hash32(job.call.chat):08x}' if job.call.sticky else '',
            'shared_tokens': job.shared_tokens,
            'attempts': [attempt.as_log() for attempt in job.attempts],
        }

    def _retry_after(self, status: int, error: SeamholdError) -> str | None:
        if status not in NOT_RUN_STATUSES or error.retry_after is None:
            return None
        return self._dialect.retry_after(error.retry_after)

    def _record_end(self, exchange: '_Exchange', job: Job) -> None:
        started_at = exchange.started_at
        self._metrics.count(f'answered.{exchange.status // 100}xx')
        now = self._environment.monotonic()
        self._metrics.latency('whole', job.call.service, now - started_at)
        if exchange.first_byte_at:
            first = exchange.first_byte_at - started_at
            self._metrics.latency('first_byte', job.call.service, first)
        self._log.info(
            'call.answered',
            request_id=exchange.request_id,
            status=exchange.status,
            **self._job_fields(job),
            seconds=round(now - started_at, 3),
        )


def caller_status(error: SeamholdError) -> int:
    """Return the status for the caller: 502 replaces a not-run status if the call may have run."""
    if error.ran is Ran.UNKNOWN and error.status in NOT_RUN_STATUSES:
        return HTTPStatus.BAD_GATEWAY
    return error.status


class _Exchange:
    """One request and the state of its answer."""

    def __init__(
        self, request: HTTPRequest, closing: bool, clock: Callable[[], float], started_at: float
    ):
        self.request = request
        self._clock = clock
        self.started_at = started_at
        self.job: Job | None = None
        #: Whether the answer goes on when its caller has read some of it.
        self.paused = False
        self._events: Iterator[bytes] = iter(())
        self._chunked = False
        self.first_byte_at = 0.0
        self.request_id = ''
        self.status = 0
        self.body_read = False
        self.sent = False
        self.complete = False
        if closing:
            request.close_connection = True

    def send_whole(self, answer: Answer) -> None:
        """Write an answer whose length is known."""
        try:
            self._head(answer.status, answer.headers, len(answer.body))
            if self.request.method != b'HEAD':
                self.request.conn.write_whole(answer.body)
        except OSError as error:
            raise CallerLeft(f'the connection broke: {error}') from error
        self.complete = True

    def send_stream(self, answer: Answer, events: Iterator[bytes]) -> None:
        """Write events as they are received; the head is written with the first event."""
        self._events = events
        try:
            first = next(events, b'')
            self._head(answer.status, answer.headers, None)
            self._write(first)
        except OSError as error:
            events.close()
            raise CallerLeft(f'the connection broke: {error}') from error
        except BaseException:
            events.close()
            raise
        self._chunked = self.request.chunked_write
        self.send_rest()

    def send_rest(self) -> None:
        """Write the events that are left; pause if more of them would exceed the buffer."""
        connection = self.request.conn
        self.paused = False
        self.request.chunked_write = self._chunked
        try:
            for data in self._events:
                self._write(data)
                if connection.is_full:
                    self._pause()
                    return
        except OSError as error:
            raise CallerLeft(f'the connection broke: {error}') from error
        finally:
            if not self.paused:
                self._events.close()
        self.complete = True
        connection.resets = False

    def _pause(self) -> None:
        self.paused = True
        # cheroot ends a chunked answer after the gateway returns.
        self.request.chunked_write = False
        self.request.conn.paused = self

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
        if length is None and request.response_protocol != CHUNKING_PROTOCOL:
            request.conn.reset_unless_whole()
        request.send_headers()

    def send_problem(self, status: int, error: SeamholdError, retry_after: str | None) -> None:
        """Write an error of this box as a problem document."""
        headers = {'Content-Type': CONTENT_TYPE}
        if retry_after is not None:
            headers['Retry-After'] = retry_after
        if error.status in (400, 408, 413) or (self.request.chunked_read and not self.body_read):
            # The unread rest of the body would be read as the next request.
            self.request.close_connection = True
        body = json.dumps(problem(error, self.request_id)).encode() + b'\n'
        try:
            self.send_whole(Answer(status, headers, body))
        except CallerLeft:
            self.abort()

    def abort(self) -> None:
        """Close the connection without ending the answer, which the caller sees as cut."""
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


def _limit_chunks(request: HTTPRequest, max_bytes: int) -> None:
    """Limit the bytes of a chunked body with its chunk lines and trailers, and check these.

    Without a limit cheroot reads a chunk of any size, and a line of any length, into memory.
    """
    request.rfile.maxlen = max_bytes
    request.rfile.rfile = ChunkLines(SizeCheckWrapper(request.rfile.rfile, max_bytes))


class ForwardingRequest(HTTPRequest):
    """cheroot's request with the strict header reader."""

    header_reader = StrictHeaderReader()
    #: Whether the gate counts this request as a call in progress.
    in_gate = False
    _head_limit: ReadLimit | None = None

    def parse_request(self):
        """Read the head, within its time from the first byte on."""
        self.conn.rfile.peek(1)
        server = self.server
        with server.read_deadlines.limit(self.conn.socket, server.head_seconds) as limit:
            self._head_limit = limit
            super().parse_request()

    def simple_response(self, status, msg=''):
        """Refuse a head that cannot be read, because it is invalid or did not arrive in time."""
        if self._head_limit is not None and self._head_limit.passed:
            status, msg = REQUEST_TIMEOUT, 'The head was not received in time.'
        super().simple_response(status, msg)

    def resume(self, exchange: _Exchange) -> bool:
        """Continue a paused answer; return whether the connection stays open."""
        try:
            self.server.resume(exchange)
            if self.chunked_write:
                self.conn.wfile.write(LAST_CHUNK)
        except OSError:
            return False
        finally:
            self.server.answer_written(self)
        return not self.close_connection

    def respond(self):
        """Answer, then leave the gate: cheroot ends a chunked answer after the gateway returns."""
        try:
            super().respond()
        finally:
            self.server.answer_written(self)


class ForwardingConnection(HTTPConnection):
    """cheroot's connection that reads ForwardingRequest objects."""

    RequestHandlerClass = ForwardingRequest

    def __init__(self, server, sock, *makefile):
        super().__init__(server, sock, *makefile)
        #: The answer that goes on when its caller has read some of it; None if there is none.
        self.paused: _Exchange | None = None
        #: Whether a close in order would be the end of an answer that is not whole.
        self.resets = False
        self._lingers = False
        #: Whether it has just been accepted.
        self.is_new = True
        self._writer: ResponseWriter | None = None
        if server.buffers is not None:
            self._writer = ResponseWriter(server.buffers, sock, self._close_now)
            self.wfile = self._writer

    def communicate(self):
        """Serve the next request, or continue a paused answer; whether to stay open."""
        if self.paused is None:
            return super().communicate()
        exchange, self.paused = self.paused, None
        return exchange.request.resume(exchange)

    @property
    def is_full(self) -> bool:
        """Whether no more may be buffered for the caller now."""
        return self._writer is not None and self._writer.is_full

    def write_whole(self, body: bytes) -> None:
        """Write a body that is complete; it does not hold the thread while there is room."""
        if self._writer is None:
            self.wfile.write(body)
        else:
            self._writer.write(body, whole=True)

    def when_sent(self, action: Callable[[], None]) -> None:
        """Call `action` once the caller's connection has taken everything.

        It is the last call of a request's thread.  A paused answer is queued for a thread
        when there is room, and `action` is not called.
        """
        if self._writer is None:
            action()
        elif self.paused is not None:
            self._writer.when_room(lambda: self.server.process_conn(self))
        else:
            self._writer.when_sent(action)

    def close(self):
        """Close the connection once it has taken everything."""
        self.when_sent(self._close_now)

    def _close_now(self) -> None:
        self.resets = self.resets or (self._writer is not None and bool(self._writer.dropped))
        if self.resets or self._lingers:
            self._set_linger(RESET_ON_CLOSE if self.resets else CLOSE_IN_ORDER)
        super().close()

    def reset_unless_whole(self) -> None:
        """Reset the connection when it is closed, also by the end of this process.

        It holds until `resets` is False at the close.
        """
        self.resets = True
        self._set_linger(RESET_ON_CLOSE)

    def _set_linger(self, linger: bytes) -> None:
        self._lingers = True
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _close_kernel_socket(self):
        """Shut the connection down, unless that would end it in order before it is reset."""
        if not self.resets:
            super()._close_kernel_socket()


class ForwardingServer(HTTPServer):
    """cheroot's server that answers with a ForwardingEntry."""

    ConnectionClass = ForwardingConnection
    keep_alive_conn_limit = None
    shutdown_timeout = SHUTDOWN_SECONDS

    def __init__(
        self,
        address: str,
        threads: int,
        entry: ForwardingEntry,
        buffers: ResponseBuffers | None = None,
    ):
        split = split_address(address)
        super().__init__(
            (split.host, split.port),
            _EntryGateway,
            minthreads=min(STARTING_THREADS, threads),
            maxthreads=threads,
        )
        self.request_queue_size = ACCEPT_QUEUE
        self._pool_grower = ThreadPoolGrower(self.requests)
        self._pool_grower.start()
        #: None if responses are not buffered.
        self.buffers = buffers
        self.answer = entry.answer
        self.read_deadlines = entry.read_deadlines
        #: Limit on the time of a request's head, in seconds.
        self.head_seconds = HEAD_SECONDS
        self.answer_written = entry.answer_written
        self.resume = entry.resume

    def prepare(self):
        """Bind and listen."""
        super().prepare()
        if self.buffers is not None:
            # Accepted connections inherit it.
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES)

    def put_conn(self, conn):
        """Keep a connection for the next request once it has taken this one's response."""
        conn.when_sent(lambda: super(ForwardingServer, self).put_conn(conn))

    def process_conn(self, conn):
        """Hand a connection to a worker thread, and grow the pool if needed.

        A new connection gets a thread once the first bytes of its request are there.
        """
        if conn.is_new and not is_readable(conn.socket):
            conn.is_new = False
            self._connections.put(conn)
            return
        conn.is_new = False
        super().process_conn(conn)
        self._pool_grower.check()

    def stop(self) -> None:
        """Close the port and stop all threads."""
        self._pool_grower.stop()
        super().stop()

    def expire_idle(self) -> None:
        """Mark idle connections as expired.

        cheroot closes them at its next check, within half a second.  A request that
        arrives on one of them before that is still served.
        """
        for _, connection in list(self._connections._selector.connections):
            if connection is not self:
                connection.last_used = 0.0

    def error_log(self, msg='', level=20, traceback=False):
        """Log nothing: the errors reported here are callers' broken connections."""


class _EntryGateway(Gateway):
    """Passes each request to the server's entry."""

    def respond(self):
        """Answer one request."""
        self.req.server.answer(self.req)
