"""Sends one attempt to an engine over urllib3, and classifies how it ended."""

import math
from collections.abc import Callable, Iterator

import urllib3

from seamhold_attempts.retry import Outcome
from seamhold_messages.errors import (
    AnswerCut,
    AnswerMismatch,
    AnswerTimeout,
    AnswerUnreadable,
    EngineFailed,
    EngineRefused,
    EngineUnreachable,
)
from seamhold_messages.work import Placed
from seamhold_platform import bounded_pools

from .answer_ends import confirm_end
from .clock import boot_seconds
from .framing import Framing, framing_of, is_readable, unreadable_answer
from .ports import AttemptFailed, Cancellation, EngineLoad, EngineRequest, whole_body
from .probing import liveness_at, refuses_connections, was_refused
from .streams import EventStreamCheck

REQUEST_ID_HEADER = 'X-Request-Id'
RAN_HEADER = 'X-Ran'
REASON_HEADER = 'X-Reason'
RESUME_HEADER = 'X-Resume-Offset'
#: Streams of this type end with an event, which their check demands.
STREAM_TYPE = 'text/event-stream'
LEAVING_REASON = 'leaving'
FULL_REASON = 'busy'
CONNECT_SECONDS = 1.0
#: Maximum pause inside an answer that has begun, in seconds.
STALL_SECONDS = 30.0
READ_BYTES = 64 * 1024
CONNECTIONS_PER_ENGINE = 64
POOLS_MAX = 512


class EngineAnswer:
    """An answer that has begun: status, headers and the rest of the body."""

    def __init__(self, response: urllib3.BaseHTTPResponse, confirm: Callable[[Framing], None]):
        self._response = response
        #: Called at the end of a body without an end mark of its own; raises AttemptFailed.
        self._confirm = confirm
        self.status = response.status
        self.headers = response.headers
        #: These servers do not report their load.
        self.load: EngineLoad | None = None
        self.load_unreadable = False
        #: Only refusals of these servers say that they leave.
        self.leaving = False
        self.brittle = False
        self.framing = framing_of(response)
        self.readable = is_readable(response)
        self.carrier = ''

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives; raises AttemptFailed if it is cut."""
        try:
            while data := self._response.read1(READ_BYTES):
                yield data
        except urllib3.exceptions.ReadTimeoutError as error:
            raise AttemptFailed(Outcome.BROKEN, AnswerTimeout('the answer stalled')) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            cut = AnswerCut(f'the answer was cut: {error}')
            raise AttemptFailed(Outcome.BROKEN, unreadable_answer(error) or cut) from error
        if not self.headers.get('Content-Type', '').startswith(STREAM_TYPE):
            self._confirm(self.framing)

    def whole(self, max_bytes: int) -> bytes:
        """Return the complete body; raises AttemptFailed if it is cut or longer than this."""
        return whole_body(self.chunks(), max_bytes)

    def close(self) -> None:
        """Release the answer.

        After a body that was read to its end the connection is reused; otherwise it is
        closed, which cancels the call at the engine.
        """
        if not self._response.isclosed():
            self._response.close()
        self._response.release_conn()


class EngineClient:
    """Sends requests to engines, with bounded connection pools and timeouts."""

    def __init__(self):
        self._pools = bounded_pools(
            boot_seconds,
            math.inf,
            num_pools=POOLS_MAX,
            maxsize=CONNECTIONS_PER_ENGINE,
            retries=False,
        )

    def stream_check(self, request: EngineRequest, _service: str) -> EventStreamCheck:
        """Return a check for a stream that answers `request`."""
        return EventStreamCheck(request.request_id)

    def open(
        self,
        placed: Placed,
        request: EngineRequest,
        remaining: float,
        cancellation: Cancellation,
    ) -> EngineAnswer:
        """Send the request and return when the head of the answer has arrived.

        `remaining` is in seconds.  Raises AttemptFailed.
        """
        headers = request.headers | {REQUEST_ID_HEADER: request.request_id}
        if request.resume_after:
            headers[RESUME_HEADER] = request.resume_after
        timeout = urllib3.Timeout(connect=min(CONNECT_SECONDS, remaining), read=remaining)
        try:
            response = self._pools.request(
                request.method,
                f'http://{placed.address}{request.path}',
                body=request.body or None,
                headers=headers,
                timeout=timeout,
                preload_content=False,
                redirect=False,
                decode_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise self._connection_failure(error) from error
        self._set_stall_timeout(response, remaining)

        def confirm(framing: Framing) -> None:
            confirm_end(framing, cancellation, lambda: liveness_at(placed.address))

        return self._check_answer(EngineAnswer(response, confirm), request)

    @staticmethod
    def _connection_failure(error: Exception) -> AttemptFailed:
        if isinstance(
            error, (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)
        ):
            unreachable = EngineUnreachable('could not connect to the engine')
            refused = was_refused(error)
            return AttemptFailed(Outcome.NOT_SENT, unreachable, connection_refused=refused)
        if isinstance(error, urllib3.exceptions.TimeoutError):
            return AttemptFailed(Outcome.FAILED, AnswerTimeout('no answer before the deadline'))
        failed = unreadable_answer(error) or EngineFailed('the connection broke')
        return AttemptFailed(Outcome.FAILED, failed)

    @staticmethod
    def _set_stall_timeout(response, remaining: float) -> None:
        connection = response.connection
        if connection is not None and connection.sock is not None:
            connection.sock.settimeout(min(STALL_SECONDS, remaining))

    def _check_answer(self, answer: EngineAnswer, request: EngineRequest) -> EngineAnswer:
        failed = self._answer_failure(answer, request)
        if failed is not None:
            answer.close()
            raise failed
        return answer

    @staticmethod
    def _answer_failure(answer: EngineAnswer, request: EngineRequest) -> AttemptFailed | None:
        status, headers = answer.status, answer.headers
        if status in (429, 503) and headers.get(RAN_HEADER) == 'no':
            reason = headers.get(REASON_HEADER, '')
            refused = EngineRefused(f'the engine refused: {reason or status}', 1.0)
            full = reason == FULL_REASON
            outcome = Outcome.ENGINE_FULL if full else Outcome.ENGINE_REFUSED
            return AttemptFailed(outcome, refused, reason == LEAVING_REASON)
        if status >= 500:
            return AttemptFailed(Outcome.FAILED, EngineFailed(f'the engine answered {status}'))
        if headers.get(REQUEST_ID_HEADER) != request.request_id and status < 400:
            mismatch = AnswerMismatch('the answer carries the id of another request')
            return AttemptFailed(Outcome.FAILED, mismatch)
        if not answer.readable:
            unreadable = AnswerUnreadable('the length or coding of the body cannot be read')
            return AttemptFailed(Outcome.FAILED, unreadable)
        if request.resume_after and headers.get(RESUME_HEADER) != request.resume_after:
            return AttemptFailed(Outcome.FAILED, AnswerCut('the engine did not resume the stream'))
        return None

    def has_ended(self, placed: Placed) -> bool:
        """Whether the server's process has ended, judged by a connection attempt."""
        return refuses_connections(placed.address)

    def close(self) -> None:
        """Close all connections."""
        self._pools.clear()
