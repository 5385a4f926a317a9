"""One attempt at an engine over urllib3: what was sent and how it ended."""

from collections.abc import Iterator
from dataclasses import dataclass

import urllib3

from seamhold_attempts.retry import Outcome
from seamhold_messages.errors import (
    AnswerCut,
    AnswerMismatch,
    AnswerTimeout,
    EngineFailed,
    EngineRefused,
    EngineUnreachable,
    SeamholdError,
)

REQUEST_ID_HEADER = 'X-Request-Id'
RAN_HEADER = 'X-Ran'
REASON_HEADER = 'X-Reason'
RESUME_HEADER = 'X-Resume-Offset'
LEAVING_REASON = 'leaving'
CONNECT_SECONDS = 1.0
#: The longest pause inside an answer that has begun.
STALL_SECONDS = 30.0
READ_BYTES = 64 * 1024
CONNECTIONS_PER_ENGINE = 64
POOLS_MAX = 512


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """What is sent to an engine; `offset` resumes a stream after so many tokens."""

    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    offset: int = 0


class AttemptFailed(Exception):
    """An attempt that ended without an answer.

    `outcome` tells whether it may have run, `error` is what a caller is
    told if nothing else is tried.
    """

    def __init__(self, outcome: Outcome, error: SeamholdError, leaving: bool = False):
        super().__init__(str(error))
        self.outcome = outcome
        self.error = error
        self.leaving = leaving


class EngineAnswer:
    """An answer that has begun: status, headers and the bytes to come."""

    def __init__(self, response: urllib3.BaseHTTPResponse):
        self._response = response
        self.status = response.status
        self.headers = response.headers

    def chunks(self) -> Iterator[bytes]:
        """The body as it comes; raises AttemptFailed if it is cut."""
        try:
            while data := self._response.read1(READ_BYTES):
                yield data
        except urllib3.exceptions.ReadTimeoutError as error:
            raise AttemptFailed(Outcome.BROKEN, AnswerTimeout('the answer stalled')) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise AttemptFailed(Outcome.BROKEN, AnswerCut(f'cut: {error}')) from error

    def whole(self) -> bytes:
        """The complete body; raises AttemptFailed if it is cut."""
        return b''.join(self.chunks())

    def close(self) -> None:
        """Let go: a body read to its end frees its connection for others,
        anything less drops it, which cancels the call at the engine."""
        if not self._response.isclosed():
            self._response.close()
        self._response.release_conn()


class EngineClient:
    """Sends requests to engines, with bounded pools and times."""

    def __init__(self):
        self._pools = urllib3.PoolManager(
            num_pools=POOLS_MAX,
            maxsize=CONNECTIONS_PER_ENGINE,
            retries=False,
        )

    def open(self, address: str, request: EngineRequest, remaining: float) -> EngineAnswer:
        """Send the request and wait for the head of the answer.

        `remaining` is in seconds.  Raises AttemptFailed.
        """
        headers = request.headers | {REQUEST_ID_HEADER: request.request_id}
        if request.offset:
            headers[RESUME_HEADER] = str(request.offset)
        timeout = urllib3.Timeout(connect=min(CONNECT_SECONDS, remaining), read=remaining)
        try:
            response = self._pools.request(
                request.method,
                f'http://{address}{request.path}',
                body=request.body or None,
                headers=headers,
                timeout=timeout,
                preload_content=False,
                redirect=False,
                decode_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise self._failure(error) from error
        self._set_stall_timeout(response, remaining)
        return self._checked(response, request)

    @staticmethod
    def _failure(error: Exception) -> AttemptFailed:
        if isinstance(
            error, (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)
        ):
            return AttemptFailed(Outcome.NOT_SENT, EngineUnreachable('no connection'))
        if isinstance(error, urllib3.exceptions.TimeoutError):
            return AttemptFailed(Outcome.FAILED, AnswerTimeout('no answer in time'))
        return AttemptFailed(Outcome.FAILED, EngineFailed('the connection broke'))

    @staticmethod
    def _set_stall_timeout(response, remaining: float) -> None:
        connection = response.connection
        if connection is not None and connection.sock is not None:
            connection.sock.settimeout(min(STALL_SECONDS, remaining))

    def _checked(self, response, request: EngineRequest) -> EngineAnswer:
        answer = EngineAnswer(response)
        failed = self._refusal(answer, request)
        if failed is not None:
            answer.close()
            raise failed
        return answer

    @staticmethod
    def _refusal(answer: EngineAnswer, request: EngineRequest) -> AttemptFailed | None:
        status, headers = answer.status, answer.headers
        if status in (429, 503) and headers.get(RAN_HEADER) == 'no':
            reason = headers.get(REASON_HEADER, '')
            refused = EngineRefused(f'the engine refused: {reason or status}', 1.0)
            return AttemptFailed(Outcome.ENGINE_REFUSED, refused, reason == LEAVING_REASON)
        if status >= 500:
            return AttemptFailed(Outcome.FAILED, EngineFailed(f'the engine answered {status}'))
        if headers.get(REQUEST_ID_HEADER) != request.request_id and status < 400:
            mismatch = AnswerMismatch('the answer carries the id of another request')
            return AttemptFailed(Outcome.FAILED, mismatch)
        if request.offset and headers.get(RESUME_HEADER) != str(request.offset):
            return AttemptFailed(Outcome.FAILED, AnswerCut('the engine cannot resume'))
        return None

    def close(self) -> None:
        """Drop all connections."""
        self._pools.clear()
