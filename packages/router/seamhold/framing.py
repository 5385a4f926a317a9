"""How the end of an answer's body is marked in HTTP/1.1."""

import re
from enum import StrEnum

import urllib3

from seamhold_messages.errors import AnswerUnreadable
from seamhold_platform import UnreadableResponse

from .causes import caused_by


class Framing(StrEnum):
    """What marks the end of a body: its length, its last chunk, or the end of its connection."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


#: Transfer codings that a body can be read with.
READABLE_CODINGS = frozenset({'', 'identity', 'chunked'})
#: A length, which may be repeated; the library takes more than digits for a number.
LENGTHS = re.compile(r'[0-9]+(?:, *[0-9]+)*')


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
    length = response.headers.get('Content-Length')
    return length is None or response.chunked or LENGTHS.fullmatch(length) is not None


def unreadable_answer(error: Exception) -> AnswerUnreadable | None:
    """Return the error of an answer that is not as HTTP defines it, None for any other error."""
    return AnswerUnreadable(str(error)) if caused_by(error, UnreadableResponse) else None
