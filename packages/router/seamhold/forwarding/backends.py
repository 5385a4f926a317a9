"""One attempt at a backend server, on a connection of its own.

A new connection for each attempt costs about a millisecond and rules out
what kept ones bring: a late answer to the request before, a reset by a server
that has forgotten the connection, and so a call that may or may not have run.
"""

import math
import socket
from collections.abc import Callable, Iterator
from http.client import HTTPException

import urllib3
from urllib3.connection import HTTPConnection

from seamhold_attempts.retry import Outcome
from seamhold_messages.errors import (
    AnswerCut,
    AnswerMismatch,
    AnswerTimeout,
    EngineFailed,
    EngineMisdirected,
    EngineRefused,
    EngineUnreachable,
)
from seamhold_messages.work import Placed

from ..clock import boot_seconds
from ..ports import (
    Answer,
    AttemptFailed,
    AttemptMetadata,
    BackendDialect,
    Cancellation,
    EngineLoad,
    EngineRequest,
)
from ..probing import refuses_connections, was_refused
from .events import EventCheck

#: How long a connection may take, in seconds.  Nothing was sent until then, so the call
#: goes elsewhere; a sound server accepts within some round trips, of 16 ms between
#: regions.  The rest of a call's objective, 0.16 s and more, must be enough elsewhere.
#: On a day of 65 boxes on which nothing passed between two failure domains for six
#: seconds 234 calls were late in these with 0.4 s, and 69 so (one run each).
CONNECT_SECONDS = 0.15
#: Unacknowledged data is given up after this, in milliseconds.
USER_TIMEOUT_MS = 2000
#: A connection on which nothing comes is probed after so many seconds, and so often.
#: One that went silent without a reset is noticed within 3 s, not at the call's
#: deadline, which is 8 s and more for streams.
PROBE_AFTER_SECONDS = 1
PROBE_EACH_SECONDS = 1
PROBES_MAX = 2
READ_BYTES = 64 * 1024
#: A read may take so much of the time that was left when its socket was last told.
#: Telling it anew before each event costs a system call each, 30 calls for a stream of
#: 30 events where now there is one; a server that stalls holds its call 5 % of the time
#: left longer at most.
TOLD_TIME_KEPT = 0.95
RETRY_AFTER_SECONDS = 0.25
#: Headers that urllib3 would add by itself.
SKIPPED = dict.fromkeys(('Accept-Encoding', 'User-Agent'), urllib3.util.SKIP_HEADER)
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EACH_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_MAX),
)
BROKEN = (urllib3.exceptions.HTTPError, HTTPException, OSError, ValueError)
TIMED_OUT = (TimeoutError, urllib3.exceptions.TimeoutError)


class BackendAnswer:
    """An answer that has begun: status, headers and the bytes to come."""

    def __init__(
        self,
        connection: HTTPConnection,
        connected: socket.socket,
        response,
        ends: float,
        clock: Callable[[], float],
    ):
        self._connection = connection
        self._clock = clock
        self._response = response
        self._deadline = ends
        #: The time-out that the socket was told, in seconds.
        self._told_time = math.inf
        # A connection forgets its socket when the answer ends with it.
        self._socket = connected
        self.status = response.status
        self.headers = response.headers
        self.load: EngineLoad | None = None

    def chunks(self) -> Iterator[bytes]:
        """The body as it comes; raises AttemptFailed if it is cut."""
        try:
            while data := self._read():
                yield data
        except TIMED_OUT as error:
            raise AttemptFailed(Outcome.BROKEN, AnswerTimeout('the time ran out')) from error
        except BROKEN as error:
            raise AttemptFailed(Outcome.BROKEN, AnswerCut(f'cut: {error}')) from error

    def _read(self) -> bytes:
        left = self._deadline - self._clock()
        if left <= 0:
            raise TimeoutError
        if left < self._told_time * TOLD_TIME_KEPT:
            self._told_time = left
            self._socket.settimeout(left)
        return self._response.read1(READ_BYTES)

    def whole(self) -> bytes:
        """The complete body; raises AttemptFailed if it is cut."""
        return b''.join(self.chunks())

    def close(self) -> None:
        """Close the connection, which cancels what has not ended."""
        self._response.close()
        self._connection.close()


class BackendConnections:
    """Sends requests to backend servers in a dialect."""

    def __init__(self, dialect: BackendDialect, clock: Callable[[], float] = boot_seconds):
        self._dialect = dialect
        self._clock = clock

    def stream_check(self, request: EngineRequest) -> EventCheck:
        """What watches over a stream that answers `request`."""
        return EventCheck(request.resume_after)

    def open(
        self,
        placed: Placed,
        request: EngineRequest,
        remaining: float,
        cancellation: Cancellation,
    ) -> BackendAnswer:
        """Send the request and wait for the head of the answer.

        `remaining` is in seconds.  Raises AttemptFailed.
        """
        deadline = self._clock() + remaining
        connection = self._connect(placed, remaining)
        connected = connection.sock
        cancellation.attach(lambda: _break_off(connected))
        try:
            response = self._exchange(connection, placed, request, deadline)
            answer = BackendAnswer(connection, connected, response, deadline, self._clock)
            self._check(answer, request)
        except BaseException:
            connection.close()
            raise
        return answer

    def _connect(self, placed: Placed, remaining: float) -> HTTPConnection:
        host, _, port = placed.address.rpartition(':')
        timeout = max(0.001, min(CONNECT_SECONDS, remaining))
        connection = HTTPConnection(host, int(port), timeout=timeout, socket_options=SOCKET_OPTIONS)
        try:
            connection.connect()
        except BROKEN as error:
            connection.close()
            unreachable = EngineUnreachable('no connection', RETRY_AFTER_SECONDS)
            refused = was_refused(error)
            raise AttemptFailed(
                Outcome.NOT_SENT, unreachable, connection_refused=refused
            ) from error
        return connection

    def _exchange(
        self, connection: HTTPConnection, placed: Placed, request: EngineRequest, deadline: float
    ):
        remaining = max(0.001, deadline - self._clock())
        # Until now it was the time for connecting.
        connection.timeout = remaining
        connection.sock.settimeout(remaining)
        metadata = AttemptMetadata(
            request.request_id,
            request.workspace,
            placed.incarnation,
            remaining,
            request.resume_after,
            request.urgency,
            placed.fetch_from,
        )
        headers = SKIPPED | request.headers | self._dialect.headers(metadata)
        try:
            connection.request(
                request.method,
                request.path,
                body=request.body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            return connection.getresponse()
        except TIMED_OUT as error:
            raise AttemptFailed(Outcome.FAILED, AnswerTimeout('no answer in time')) from error
        except BROKEN as error:
            failed = EngineFailed(f'the connection broke: {error}')
            raise AttemptFailed(Outcome.FAILED, failed) from error

    def _check(self, answer: BackendAnswer, request: EngineRequest) -> None:
        """Raise AttemptFailed unless the answer is one to pass on."""
        verdict = self._dialect.verdict(answer.status, answer.headers, request.request_id)
        answer.load = verdict.load
        if verdict.misdirected:
            error = EngineMisdirected('it is not the one expected', RETRY_AFTER_SECONDS)
            raise AttemptFailed(Outcome.MISDIRECTED, error)
        if verdict.refused:
            error = EngineRefused(f'it answered {answer.status}', RETRY_AFTER_SECONDS)
            full = verdict.load is not None and verdict.load.is_full
            refused = Outcome.ENGINE_FULL if full else Outcome.ENGINE_REFUSED
            raise AttemptFailed(refused, error, load=verdict.load)
        if not verdict.genuine:
            mismatch = AnswerMismatch(f'a {answer.status} that is not of this request')
            raise AttemptFailed(Outcome.FAILED, mismatch)
        if answer.status >= 500:
            own = Answer(answer.status, dict(answer.headers), answer.whole())
            failed = EngineFailed(f'it answered {answer.status}')
            raise AttemptFailed(Outcome.ANSWERED_FAILURE, failed, answer=own)

    def has_ended(self, placed: Placed) -> bool:
        """Whether the server's process ended, as far as a connection tells."""
        return refuses_connections(placed.address)

    def close(self) -> None:
        """Nothing is kept between attempts."""


def _break_off(connection: socket.socket) -> None:
    """Wake whoever reads from a connection; the other end sees it closed."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
