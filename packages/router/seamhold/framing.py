"""How the end of an answer's body is marked in HTTP/1.1."""

from enum import StrEnum

import urllib3


class Framing(StrEnum):
    """What marks the end of a body: its length, its last chunk, or the end of its connection."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


def framing_of(response: urllib3.BaseHTTPResponse) -> Framing:
    """Return the framing of a response whose body is unread."""
    if response.chunked:
        return Framing.CHUNKS
    return Framing.CONNECTION if response.length_remaining is None else Framing.LENGTH
