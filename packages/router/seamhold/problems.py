"""Failures as callers see them: problem documents (RFC 9457)."""

import json
import math

from seamhold_messages.errors import SeamholdError

CONTENT_TYPE = 'application/problem+json'


def problem(error: SeamholdError, request_id: str) -> dict:
    """The document for a failure.

    `error` repeats it in the shape that clients of model services read.
    """
    document = {
        'type': f'urn:seamhold:{error.code}',
        'title': title(error),
        'status': error.status,
        'code': error.code,
        'detail': error.detail,
        'ran': error.ran,
        'request_id': request_id,
    }
    message = f'{document["title"]} {error.detail}'.strip()
    document['error'] = {'message': message, 'type': error.code, 'code': error.code}
    if error.retry_after is not None:
        document['retry_after'] = retry_after_seconds(error)
    return document


def title(error: SeamholdError) -> str:
    """What a person reads first."""
    return (type(error).__doc__ or error.code).splitlines()[0]


def retry_after_seconds(error: SeamholdError) -> int:
    """Whole seconds, at least one, as Retry-After wants them."""
    return max(1, min(3600, math.ceil(error.retry_after)))


def problem_headers(error: SeamholdError, request_id: str) -> dict[str, str]:
    """The headers that go with the document."""
    headers = {'Content-Type': CONTENT_TYPE, 'X-Request-Id': request_id}
    if error.retry_after is not None:
        headers['Retry-After'] = str(retry_after_seconds(error))
    return headers


def problem_event(error: SeamholdError, request_id: str) -> bytes:
    """The last event of a stream that failed after it began."""
    return b'data: ' + json.dumps(problem(error, request_id)).encode() + b'\n\n'
