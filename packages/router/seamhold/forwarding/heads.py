"""Reads the head of a caller's request and rejects ambiguous ones.

Two servers that disagree on where a request ends allow request smuggling (RFC 9112,
11.2).  Folded lines, repeated lengths, and a length together with a transfer coding are
therefore refused, although cheroot accepts them.  So is what could not be sent on to a backend
server, which would count as the server's failure.
"""

from cheroot.server import HeaderReader, HTTPRequest
from msgspec import Struct

from seamhold_messages.errors import BadRequest
from seamhold_platform.http_lines import BLANK_LINES, FIELD_LINE, METHOD, TARGET

#: Headers that may occur only once in a head.
UNIQUE_HEADERS = frozenset({b'content-length', b'transfer-encoding', b'host'})
CONTENT_LENGTH = b'Content-Length'
TRANSFER_ENCODING = b'Transfer-Encoding'
CHUNKED = b'chunked'
FOLD_STARTS = (b' ', b'\t')
PROTOCOLS = frozenset({b'HTTP/1.0', b'HTTP/1.1'})

#: Hop-by-hop headers, which are never forwarded (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    }
)


class RequestHead(Struct, frozen=True):
    """A request without its body.

    `target` is the path and query as sent.  `headers` has the names as sent, `by_name`
    the same headers by lower-case names.
    """

    method: str
    target: str
    headers: dict[str, str]
    by_name: dict[str, str]

    @property
    def host(self) -> str:
        """The Host header, or an empty string."""
        return self.by_name.get('host', '')


class _StrictLines:
    """Reads the lines of a head and checks each of them."""

    def __init__(self, lines):
        self._lines = lines
        self._seen: set[bytes] = set()

    def readline(self) -> bytes:
        """Return the next line; raises ValueError if it is not allowed."""
        line = self._lines.readline()
        if line[:1] in FOLD_STARTS:
            raise ValueError('Folded header lines are not accepted.')
        name = line.partition(b':')[0].lower()
        if name != name.strip() and line.strip():
            raise ValueError('Whitespace around a header name is not accepted.')
        if line not in BLANK_LINES and not FIELD_LINE.fullmatch(line):
            raise ValueError('A header line is not as RFC 9112 defines it.')
        if name in UNIQUE_HEADERS:
            if name in self._seen:
                raise ValueError(f'{name.decode()} may occur only once.')
            self._seen.add(name)
        return line


class StrictHeaderReader(HeaderReader):
    """cheroot's header reader that rejects ambiguous message lengths."""

    def __call__(self, rfile, hdict=None):
        """Read headers into `hdict`, or raise ValueError."""
        headers = super().__call__(_StrictLines(rfile), hdict)
        length = headers.get(CONTENT_LENGTH)
        coding = headers.get(TRANSFER_ENCODING)
        if length is not None and coding is not None:
            raise ValueError('Content-Length and Transfer-Encoding exclude each other.')
        if length is not None and not length.isdigit():
            raise ValueError('Content-Length is not a number.')
        if coding is not None and coding.strip().lower() != CHUNKED:
            raise ValueError('The only accepted transfer coding is chunked.')
        return headers


def read_head(request: HTTPRequest) -> RequestHead:
    """Return the head that cheroot has read; raises BadRequest unless it can be sent on."""
    if not TARGET.fullmatch(request.uri):
        raise BadRequest('the target must be a path of visible ASCII characters')
    if not METHOD.fullmatch(request.method):
        raise BadRequest('the method must be a token')
    if request.request_protocol not in PROTOCOLS:
        raise BadRequest('the protocol must be HTTP/1.0 or HTTP/1.1')
    target = request.uri.decode('ascii')
    headers = {
        name.decode('latin-1'): value.decode('latin-1') for name, value in request.inheaders.items()
    }
    by_name = {name.lower(): value for name, value in headers.items()}
    return RequestHead(request.method.decode('latin-1'), target, headers, by_name)


def end_to_end(headers: dict[str, str], dropped: frozenset[str]) -> dict[str, str]:
    """Return the headers to forward: no hop-by-hop headers and none of `dropped`."""
    connection_options = set()
    for name, value in headers.items():
        if name.lower() == 'connection':
            connection_options = {token.strip().lower() for token in value.split(',')}
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in connection_options
        and name.lower() not in dropped
    }
