"""Reads an answer's head and chunks as RFC 9112 defines them.

The parser of the standard library stops at a line that it cannot read, and takes the rest of the
head for the body: what was to frame the body is then missing.
"""

from http import HTTPStatus
from http.client import HTTPException, HTTPResponse, IncompleteRead
from typing import Any

from .http_lines import BLANK_LINES, CHUNK_LINE, CRLF, FIELD_LINE, STATUS_LINE

#: Limit on the line of a chunk or trailer, in bytes.
LINE_MAX_BYTES = 65_536


class UnreadableResponse(HTTPException):
    """A line of an answer's head, or between its chunks, is not as RFC 9112 defines it."""


class StrictResponse(HTTPResponse):
    """A response that fails if a line of its framing cannot be read, or is cut."""

    def begin(self) -> None:
        """Read the head; raises IncompleteRead if it is cut, or UnreadableResponse."""
        if self.headers is not None:
            return
        file: Any = self.fp
        head: Any = _HeadLines(file)
        self.fp = head
        try:
            super().begin()
        finally:
            # Closed, and None, after some errors.
            if self.fp is head:
                self.fp = file

    def _read_status(self) -> tuple[str, int, str]:
        version, status, reason = super()._read_status()
        if status == HTTPStatus.SWITCHING_PROTOCOLS:
            raise UnreadableResponse('the server switches to a protocol that was not asked for')
        # The caller of this method skips interim answers of this status only.
        interim = status < HTTPStatus.OK
        return version, HTTPStatus.CONTINUE if interim else status, reason

    def _get_chunk_left(self) -> int | None:
        """Return the unread bytes of a chunk, after reading its line; None after the last one."""
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left == 0 and self._safe_read(len(CRLF)) != CRLF:
            raise UnreadableResponse('a chunk is longer than its line says')
        size = CHUNK_LINE.fullmatch(self._framing_line())
        if size is None:
            raise UnreadableResponse('the line of a chunk cannot be read')
        self.chunk_left = int(size[1], 16)
        if self.chunk_left == 0:
            self._skip_trailers()
            self._close_conn()
            self.chunk_left = None
        return self.chunk_left

    def _skip_trailers(self) -> None:
        while (line := self._framing_line()) not in BLANK_LINES:
            if not FIELD_LINE.fullmatch(line):
                raise UnreadableResponse('a trailer cannot be read')

    def _framing_line(self) -> bytes:
        line = self.fp.readline(LINE_MAX_BYTES)
        if not line.endswith(b'\n'):
            raise IncompleteRead(line)
        return line


class _HeadLines:
    """A file of which only lines of heads are read; each of them is checked."""

    def __init__(self, file: Any):
        self._file = file
        self._expected = STATUS_LINE

    def readline(self, max_bytes: int) -> bytes:
        """Return the next line; raises IncompleteRead if it is cut, or UnreadableResponse."""
        line = self._file.readline(max_bytes)
        nothing_sent = not line and self._expected is STATUS_LINE
        if nothing_sent or len(line) >= max_bytes:
            # The reader of the head has errors of its own for these.
            return line
        if not line.endswith(b'\n'):
            raise IncompleteRead(line)
        if line in BLANK_LINES:
            self._expected = STATUS_LINE
        elif self._expected.fullmatch(line):
            self._expected = FIELD_LINE
        else:
            raise UnreadableResponse('a line of the head cannot be read')
        return line

    def close(self) -> None:
        """Close the file."""
        self._file.close()
