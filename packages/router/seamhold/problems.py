"""Problem documents for callers (RFC 9457)."""

import json
import math

from seamhold_messages.errors import SeamholdError

CONTENT_TYPE = 'application/problem+json'


def problem(error: SeamholdError, request_id: str) -> dict:
    """Return the problem document of an error.

    Its key `error` repeats the error in the form that clients of model services read.
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
    """Return the title of an error: the first line of its class's docstring."""
    return (type(error).__doc__ or error.code).splitlines()[0]


def retry_after_seconds(error: SeamholdError) -> int:
    """Return the value for Retry-After: whole seconds, from 1 to 3600."""
    return max(1, min(3600, math.ceil(error.retry_after)))


def problem_headers(error: SeamholdError, request_id: str) -> dict[str, str]:
    """Return the headers of a problem document's response."""
    headers = {'Content-Type': CONTENT_TYPE, 'X-Request-Id': request_id}
    if error.retry_after is not None:
        headers['Retry-After'] = str(retry_after_seconds(error))
    return headers


def problem_event(error: SeamholdError, request_id: str) -> bytes:
    """Return the last event of a stream that failed after it began."""
    return b'data: ' + json.dumps(problem(error, request_id)).encode() + b'\n\n'
