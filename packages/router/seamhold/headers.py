"""Names of the headers that callers and boxes use, and which of them are forwarded."""

from collections.abc import Iterable, Mapping

IDEMPOTENCY_KEY = 'Idempotency-Key'
TICKET = 'Seamhold-Ticket'
ROUTE = 'Seamhold-Route'
REPEATABLE = 'Seamhold-Repeatable'
CHAT = 'Seamhold-Chat'
CHAT_HINT = 'Seamhold-Chat-Hint'
SERVED_BY = 'Seamhold-Served-By'
TIMEOUT = 'Seamhold-Timeout'
WORKSPACE = 'Seamhold-Workspace'

#: Headers of a single connection, which are never forwarded (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'content-length',
        'expect',
    }
)
PRIVATE_PREFIX = 'seamhold-'
NEVER_TO_ENGINES = frozenset({'authorization', 'cookie', 'x-request-id', 'x-resume-offset'})
FROM_ENGINES = frozenset({'content-type', 'cache-control', 'etag', 'location', 'content-encoding'})


def headers_for_engine(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the caller's headers that are forwarded to an engine."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in NEVER_TO_ENGINES
        and not name.lower().startswith(PRIVATE_PREFIX)
    }


def headers_for_caller(headers: Iterable[tuple[str, str]]) -> dict[str, str]:
    """Return the engine's headers that are forwarded to a caller."""
    return {name: value for name, value in headers if name.lower() in FROM_ENGINES}
