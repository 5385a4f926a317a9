"""Runs one attempt at a backend server, on a connection of its own, or one that a peer carries.

A new connection for each attempt costs about a millisecond and rules out the faults of
reused connections: a late answer to the previous request, or a reset by a server that
has dropped the connection, which leaves it unknown whether the call ran.
"""

import math
import socket
from collections.abc import Callable, Iterator
from http.client import HTTPException

import urllib3
from urllib3.connection import HTTPConnection

from seamhold_attempts.event_steps import EventSteps
from seamhold_attempts.retry import Outcome
from seamhold_messages.errors import (
    AnswerCut,
    AnswerMismatch,
    AnswerTimeout,
    AnswerUnreadable,
    EngineFailed,
    EngineMisdirected,
    EngineRefused,
    EngineUnreachable,
)
from seamhold_messages.work import Placed
from seamhold_platform import BoundedSocket, StrictResponse

from ..answer_ends import confirm_end
from ..clock import boot_seconds
from ..framing import Framing, framing_of, is_readable, unreadable_answer
from ..ports import (
    Answer,
    AttemptFailed,
    AttemptMetadata,
    BackendDialect,
    Cancellation,
    EngineLoad,
    EngineRequest,
    Verdict,
    whole_body,
)
from ..probing import Liveness, liveness_at, refuses_connections, was_refused
from .engine_access import EngineAccess
from .events import EventCheck
from .tunnel_socket import TunnelSocket
from .tunnels import EngineNotReached, Tunnels

#: Limit on connecting, in seconds.  Nothing has been sent by then, so the call can go to
#: another engine.  A healthy server accepts within a few round trips (16 ms between
#: regions), and the rest of a call's objective, at least 0.16 s, must be enough for
#: another engine.  In a fleet of 65 boxes, a network partition of six seconds between two
#: failure domains made 234 calls late with a limit of 0.4 s, and 69 with 0.15 s.
CONNECT_SECONDS = 0.15
#: The connection fails if sent data stays unacknowledged for this long, in milliseconds.  Keepalive
#: gives up at this time, too, so it must leave time for all probes.
USER_TIMEOUT_MS = 3000
#: TCP keepalive: idle time before the first probe and between probes, in seconds, and
#: the number of unanswered probes.  A connection that went silent without a reset fails
#: within 3 s rather than at the call's deadline, which is at least 8 s for streams.
PROBE_AFTER_SECONDS = 1
PROBE_EACH_SECONDS = 1
PROBES_MAX = 2
READ_BYTES = 64 * 1024
#: Limit on the head of an answer with its interim answers, in bytes.
HEAD_MAX_BYTES = 256 * 1024
#: Limit on the body of a server's own failure, which is read whole.
FAILURE_MAX_BYTES = 1024 * 1024
#: The socket's timeout is set again once the time left falls below this share of it.
#: Setting it before each read costs a system call per event, 30 for a stream of 30
#: events instead of one.  A server that stalls holds its call longer by at most 5 % of
#: the time left.
TIMEOUT_REUSE_SHARE = 0.95
RETRY_AFTER_SECONDS = 0.25
#: Prevents the headers that urllib3 adds by default.
SKIPPED_HEADERS = dict.fromkeys(('Accept-Encoding', 'User-Agent'), urllib3.util.SKIP_HEADER)
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EACH_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_MAX),
)
#: What a carrier found out about a server's process, and not only tried to.
KNOWN_LIVENESS = frozenset({Liveness.ALIVE, Liveness.ENDED})
CONNECTION_ERRORS = (urllib3.exceptions.HTTPError, HTTPException, OSError, ValueError)
TIMEOUT_ERRORS = (TimeoutError, urllib3.exceptions.TimeoutError)


class BackendAnswer:
    """An answer whose head was received: status, headers and an unread body."""

    def __init__(
        self,
        connection: HTTPConnection,
        connected: socket.socket | TunnelSocket,
        response,
        deadline: float,
        clock: Callable[[], float],
        confirm: Callable[[Framing], None],
    ):
        self._connection = connection
        #: Called at the end of the bytes, with the framing; raises AttemptFailed.
        self._confirm = confirm
        self._clock = clock
        self._response = response
        self._deadline = deadline
        #: The timeout that was last set on the socket, in seconds.
        self._socket_timeout = math.inf
        # HTTPConnection drops its socket once the answer is read to its end.
        self._socket = connected
        self.status = response.status
        self.headers = response.headers
        self.load: EngineLoad | None = None
        self.load_unreadable = False
        self.leaving = False
        self.brittle = False
        self.framing = framing_of(response)
        self.readable = is_readable(response)
        self.carrier = connected.carrier if isinstance(connected, TunnelSocket) else ''

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it is received; raises AttemptFailed if it is cut."""
        try:
            while data := self._read():
                yield data
        except TIMEOUT_ERRORS as error:
            raise AttemptFailed(
                Outcome.BROKEN, AnswerTimeout('the deadline passed during the answer')
            ) from error
        except CONNECTION_ERRORS as error:
            cut = AnswerCut(f'the answer was cut: {error}')
            raise AttemptFailed(Outcome.BROKEN, unreadable_answer(error) or cut) from error
        self._confirm(self.framing)

    def _read(self) -> bytes:
        left = self._deadline - self._clock()
        if left <= 0:
            raise TimeoutError
        if left < self._socket_timeout * TIMEOUT_REUSE_SHARE:
            self._socket_timeout = left
            self._socket.settimeout(left)
        return self._response.read1(READ_BYTES)

    def whole(self, max_bytes: int) -> bytes:
        """Return the complete body; raises AttemptFailed if it is cut or longer than this."""
        return whole_body(self.chunks(), max_bytes)

    def close(self) -> None:
        """Close the connection, which cancels a request that still runs."""
        self._response.close()
        self._connection.close()


class BackendConnections:
    """Sends requests to backend servers in the platform's dialect.

    Without `access` and `tunnels` it connects to them directly only.
    """

    def __init__(
        self,
        dialect: BackendDialect,
        clock: Callable[[], float] = boot_seconds,
        access: EngineAccess | None = None,
        tunnels: Tunnels | None = None,
    ):
        self._dialect = dialect
        self._clock = clock
        self._access = access
        self._tunnels = tunnels
        self._steps = EventSteps()

    def stream_check(self, request: EngineRequest, service: str) -> EventCheck:
        """Return the check for the event stream that answers `request`."""
        return EventCheck(request.resume_after, service, self._steps)

    def open(
        self,
        placed: Placed,
        request: EngineRequest,
        remaining: float,
        cancellation: Cancellation,
    ) -> BackendAnswer:
        """Send the request and wait for the head of the answer.

        `remaining` is the time until the deadline, in seconds.  Raises AttemptFailed.
        """
        deadline = self._clock() + remaining
        connection = self._connect(placed, remaining)
        connected = connection.sock
        cancellation.attach(lambda: _abort(connected))
        try:
            response = self._exchange(connection, placed, request, deadline)
        except BaseException:
            connection.close()
            raise

        def confirm(framing: Framing) -> None:
            confirm_end(framing, cancellation, lambda: self._liveness_of(placed, connected))

        answer = BackendAnswer(connection, connected, response, deadline, self._clock, confirm)
        try:
            self._check(answer, request)
        except BaseException:
            # An unread answer keeps its connection open, also after that was closed.
            answer.close()
            raise
        return answer

    def _connect(self, placed: Placed, remaining: float) -> HTTPConnection:
        """Connect to the server, through a peer while this box cannot reach its service."""
        host, _, port = placed.address.rpartition(':')
        timeout = max(0.001, min(CONNECT_SECONDS, remaining))
        connection = HTTPConnection(host, int(port), timeout=timeout, socket_options=SOCKET_OPTIONS)
        carried = self._carry(connection, placed)
        if carried:
            return connection
        try:
            connection.connect()
        except CONNECTION_ERRORS as error:
            connection.close()
            if self._access is not None:
                self._access.record_unreachable(placed.engine)
                self._access.try_another(placed.engine)
                # Without a carrier before there is none now.
                if carried is None and self._carry(connection, placed):
                    return connection
            raise _not_sent(was_refused(error)) from error
        if self._access is not None:
            self._access.record_connected(placed.engine)
        return connection

    def _carry(self, connection: HTTPConnection, placed: Placed) -> bool | None:
        """Let a peer carry the connection if this box is cut off from the server's service.

        None if it is not cut off, False if no peer carries it.  Raises AttemptFailed if a peer
        could not connect to the server.
        """
        if self._access is None or self._tunnels is None:
            return None
        if not self._access.is_cut_off(placed.engine):
            return None
        try:
            connection.sock = self._tunnels.open(placed)
        except EngineNotReached as error:
            raise _not_sent(error.refused) from error
        return connection.sock is not None

    def _exchange(
        self, connection: HTTPConnection, placed: Placed, request: EngineRequest, deadline: float
    ):
        remaining = max(0.001, deadline - self._clock())
        # Replaces the timeout for connecting.
        connection.timeout = remaining
        bounded = BoundedSocket(connection.sock, self._clock)
        connection.sock = bounded
        connection.response_class = StrictResponse
        bounded.settimeout(remaining)
        bounded.limit(deadline, HEAD_MAX_BYTES)
        metadata = AttemptMetadata(
            request.request_id,
            request.workspace,
            placed.incarnation,
            remaining,
            request.resume_after,
            request.urgency,
            placed.fetch_from,
        )
        headers = SKIPPED_HEADERS | request.headers | self._dialect.headers(metadata)
        try:
            connection.request(
                request.method,
                request.path,
                body=request.body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            response = connection.getresponse()
            bounded.limit(deadline, math.inf)
            return response
        except TIMEOUT_ERRORS as error:
            raise AttemptFailed(
                Outcome.FAILED, AnswerTimeout('no answer before the deadline')
            ) from error
        except CONNECTION_ERRORS as error:
            failed = EngineFailed(f'the connection broke: {error}')
            raise AttemptFailed(Outcome.FAILED, unreadable_answer(error) or failed) from error

    def _check(self, answer: BackendAnswer, request: EngineRequest) -> None:
        """Raise AttemptFailed unless the answer may be passed on to the caller."""
        verdict = self._dialect.verdict(answer.status, answer.headers, request.request_id)
        answer.load = verdict.load
        answer.load_unreadable = verdict.load_unreadable
        answer.leaving = verdict.leaving
        answer.brittle = verdict.brittle
        try:
            self._raise_failure(answer, verdict)
        except AttemptFailed as failure:
            # A body that is cut does not change what the head says of the server.
            failure.leaving = verdict.leaving
            failure.load_unreadable = verdict.load_unreadable
            failure.rest_seconds = verdict.rest_seconds
            failure.brittle = None if verdict.misdirected else verdict.brittle
            raise

    @staticmethod
    def _raise_failure(answer: BackendAnswer, verdict: Verdict) -> None:
        """Raise AttemptFailed if the server refused or failed, or answered another request."""
        if verdict.misdirected:
            error = EngineMisdirected(
                'the server is not the expected instance', RETRY_AFTER_SECONDS
            )
            raise AttemptFailed(Outcome.MISDIRECTED, error)
        if verdict.refused:
            error = EngineRefused(f'the server answered {answer.status}', RETRY_AFTER_SECONDS)
            # An engine that is full or asks for rest does not fail.
            is_full = verdict.load is not None and verdict.load.is_full
            full = is_full or verdict.rest_seconds > 0
            refused = Outcome.ENGINE_FULL if full else Outcome.ENGINE_REFUSED
            raise AttemptFailed(refused, error, load=verdict.load)
        if not verdict.genuine:
            mismatch = AnswerMismatch(f'the {answer.status} answer is not for this request')
            raise AttemptFailed(Outcome.FAILED, mismatch)
        if not answer.readable:
            unreadable = AnswerUnreadable('the length or coding of the body cannot be read')
            raise AttemptFailed(Outcome.FAILED, unreadable)
        if answer.status >= 500:
            own = Answer(answer.status, dict(answer.headers), answer.whole(FAILURE_MAX_BYTES))
            failed = EngineFailed(f'the server answered {answer.status}')
            raise AttemptFailed(Outcome.ANSWERED_FAILURE, failed, answer=own)

    def has_ended(self, placed: Placed) -> bool:
        """Whether the server's process ended: its port refuses connections, and others do not."""
        if not refuses_connections(placed.address):
            return False
        return self._access is None or self._access.reaches_others(placed.engine)

    def _liveness_of(self, placed: Placed, connected: socket.socket | TunnelSocket) -> Liveness:
        """Return whether the server's process is alive.

        The peer that carried the connection found out at its end.  Otherwise this box does, and
        if it does not reach the server, its peers do.
        """
        if isinstance(connected, TunnelSocket) and connected.liveness in KNOWN_LIVENESS:
            return Liveness(connected.liveness)
        if self._access is None:
            liveness = liveness_at(placed.address)
        else:
            liveness = self._access.find_liveness(placed.engine, placed.address)
        if liveness is Liveness.UNKNOWN and self._tunnels is not None:
            return self._tunnels.find_liveness(placed)
        return liveness

    def close(self) -> None:
        """Do nothing: no connection is kept between attempts."""


def _not_sent(refused: bool) -> AttemptFailed:
    unreachable = EngineUnreachable('could not connect', RETRY_AFTER_SECONDS)
    return AttemptFailed(Outcome.NOT_SENT, unreachable, connection_refused=refused)


def _abort(connection: socket.socket) -> None:
    """Shut a connection down, which wakes the thread that reads from it."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
