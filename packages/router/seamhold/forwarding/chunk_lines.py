"""Rejects chunked bodies of callers whose chunks could be read in more than one way.

cheroot takes a chunk of negative size for the last one, and sizes such as 0x10 and 1_0.
"""

from typing import Any

from seamhold_platform.http_lines import BLANK_LINES, CHUNK_LINE, CRLF, FIELD_LINE


class ChunkLines:
    """A file that checks the lines before and behind the chunks that are read from it."""

    def __init__(self, file: Any):
        self._file = file
        self._in_trailers = False

    def readline(self) -> bytes:
        """Return the line of a chunk or a trailer; raises ValueError if it is not allowed."""
        line = self._file.readline()
        if not line.endswith(CRLF):
            raise ValueError('a line between chunks is cut')
        if self._in_trailers:
            if line not in BLANK_LINES and not FIELD_LINE.fullmatch(line):
                raise ValueError('a trailer is not allowed')
            return line
        size = CHUNK_LINE.fullmatch(line)
        if size is None:
            raise ValueError('the size of a chunk is not allowed')
        self._in_trailers = int(size[1], 16) == 0
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)
