"""How the end of an answer's body is marked in HTTP/1.1."""

from enum import StrEnum

import urllib3


class Framing(StrEnum):
    """What marks the end of a body: its length, its last chunk, or the end of its connection."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


#: Transfer codings that a body can be read with.
READABLE_CODINGS = frozenset({'', 'identity', 'chunked'})


def framing_of(response: urllib3.BaseHTTPResponse) -> Framing:
    """Return the framing of a response whose body is unread."""
    if response.chunked:
        return Framing.CHUNKS
    return Framing.CONNECTION if response.length_remaining is None else Framing.LENGTH


def is_readable(response: urllib3.BaseHTTPResponse) -> bool:
    """Whether the end of a body can be found: its coding is known, and its length a number.

    An unreadable length would count as none, and chunks under another coding as the body itself.
    """
    # With a space around it, http.client does not know the coding.
    if response.headers.get('Transfer-Encoding', '').lower() not in READABLE_CODINGS:
        return False
    has_length = 'Content-Length' in response.headers and not response.chunked
    return not has_length or response.length_remaining is not None
