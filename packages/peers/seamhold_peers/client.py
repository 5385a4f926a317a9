"""gRPC client for one peer.

A connection can stop delivering without a reset while new ones work, and a call on it would
wait until its time limit.  Calls that may safely arrive twice are therefore hedged: one that is
not answered soon is sent again on a new connection, up to a few times, and the first answer counts.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import AsyncExitStack
from typing import TypeVar

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from seamhold_attempts.claims import ClaimState
from seamhold_attempts.streams import StreamPage, StreamRecord
from seamhold_messages.errors import ClaimsUnavailable, TicketUnreachable
from seamhold_messages.work import BoxRetries, Holding
from seamhold_quarantine import Case, EndReport, Permission, TrialRequest, TrialResult
from seamhold_settings.versions import Candidate

from . import codec
from .calls import (
    AnswerPart,
    ClaimRequest,
    FleetLists,
    LivenessQuery,
    LivenessReply,
    RelayedCall,
    StreamQuery,
    StreamRecordsQuery,
    StreamReply,
)
from .service import PeerStub
from .tunnel import Tunnel, TunnelRequest, open_tunnel

#: Exceptions raised for a refused or broken connection to a peer, an unreadable answer, or a
#: message that cannot be encoded.
PEER_ERRORS = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    asyncio.TimeoutError,
    codec.UnreadablePart,
    codec.UnencodableMessage,
)
#: The part of them that shows that a connection is of no use any more.
CONNECTION_ERRORS = (OSError, ProtocolError, StreamTerminatedError)
PULL_SECONDS = 1.5
#: Callers wait for the answer.  A peer needs a few round trips, 16 ms each between regions.
REPORT_SECONDS = 0.15
#: Longer than for reports: if a slow peer were skipped, two boxes could each permit a trial run
#: of the same suspect request, and each run could end an engine.
TRIAL_REQUEST_SECONDS = 0.5
#: A caller waits for the answer.  Without it the stream cannot be taken up.
FIND_STREAM_SECONDS = 0.5
#: A peer tells about an engine within its own limits on connecting to it.
FIND_LIVENESS_SECONDS = 0.5
#: A call without an answer is sent again on a new connection after this long, in seconds, or
#: after this share of its time limit if that is less.  Where it had to open the first connection,
#: which takes some round trips, it waits longer.
HEDGE_SECONDS = 0.2
HEDGE_SHARE = 0.3
NEW_CONNECTION_HEDGE_SECONDS = 0.4
NEW_CONNECTION_HEDGE_SHARE = 0.6
#: Limit on the new connections for one call; each wait is twice the one before.
HEDGES_MAX = 3
#: Relayed answers and tunnels last long and are sent only once: while there are any, pings find
#: out within 3 s that their connection went silent.
STREAM_CONFIG = Configuration(
    _keepalive_time=1.0,
    _keepalive_timeout=1.5,
    _http2_max_pings_without_data=0,
    _http2_min_sent_ping_interval_without_data=0.5,
)

Reply = TypeVar('Reply')


class _Connection:
    """A gRPC channel, closed once it is retired and its last call has ended."""

    def __init__(self, host: str, port: int, config: Configuration | None = None):
        self._channel = Channel(host, port, codec=codec.MessageCodec(), config=config)
        self.stub = PeerStub(self._channel)
        self._calls = 0
        self._retired = False

    @property
    def is_closing(self) -> bool:
        """Whether a connection was opened and is closed or about to be.

        A connection that went silent with unsent data stays so until the kernel gives up; the
        library takes it for open and fails with an error of its own.
        """
        protocol = self._channel._protocol
        return protocol is not None and protocol.processor.connection.is_closing()

    def __enter__(self) -> PeerStub:
        """Begin a call; raises ConnectionResetError on a connection that closes."""
        if self.is_closing:
            raise ConnectionResetError('the connection to the peer closes')
        self._calls += 1
        return self.stub

    def __exit__(self, _, error: BaseException | None, __) -> None:
        """End a call; raises ConnectionResetError if the library met a closed connection."""
        lost = isinstance(error, AttributeError) and self.is_closing
        self._calls -= 1
        if self._retired and not self._calls:
            self.close()
        if lost:
            # The library drops its transport when it closes, and uses it for the next stream.
            raise ConnectionResetError('the connection to the peer was closed') from error

    def retire(self) -> None:
        """Close the channel once no call uses it."""
        self._retired = True
        if not self._calls:
            self.close()

    def close(self) -> None:
        """Close the channel; calls that still use it fail."""
        self._channel.close()


class PeerClient:
    """Client for the box at `address` (`ip:port`)."""

    def __init__(self, address: str):
        host, _, port = address.rpartition(':')
        self.address = address
        self._host, self._port = host, int(port)
        self._connection: _Connection | None = None
        #: The connection for answers and tunnels that last.
        self._streams: _Connection | None = None
        #: When the peer last answered a call, on the loop's clock; None before the first answer.
        self.answered_at: float | None = None
        self.unreadable_objects = 0

    async def pull_settings(self, revisions: dict[str, int]) -> list[Candidate]:
        """Return the settings objects that are newer at the peer; raises one of PEER_ERRORS.

        Objects that cannot be decoded are left out and counted in `unreadable_objects`.
        """
        request = codec.SettingsRequest(revisions)
        page = await self._call(lambda stub: stub.pull_settings(request), PULL_SECONDS)
        candidates = []
        for part in page.objects:
            try:
                candidates.append(codec.decode_candidate(part))
            except codec.UnreadablePart:
                self.unreadable_objects += 1
        return candidates

    async def pull_lists(self, holdings: bool = False) -> FleetLists:
        """Return the platform's lists as known to the peer; raises one of PEER_ERRORS.

        With `holdings`, include which engines the peer assumes to cache which chats.
        """
        request = codec.ListsRequest(holdings)
        return codec.decode_lists(
            await self._call(lambda stub: stub.pull_lists(request), PULL_SECONDS)
        )

    async def pull_learned(self) -> tuple[Holding, ...]:
        """Return the holdings that engines reported to the peer; raises one of PEER_ERRORS."""
        request = codec.LearnedRequest()
        return codec.decode_holdings(
            await self._call(lambda stub: stub.pull_learned(request), PULL_SECONDS)
        )

    async def pull_retries(self, box: str, incarnation: str) -> BoxRetries:
        """Return what a box spent of its retry budgets before this start, as the peer knows it.

        Raises one of PEER_ERRORS.
        """
        request = codec.RetriesRequest(box, incarnation)
        return await self._call(lambda stub: stub.pull_retries(request), PULL_SECONDS)

    async def relay(self, call: RelayedCall) -> AsyncIterator[AnswerPart]:
        """Relay a call to the box that holds its ticket and yield the parts of the answer.

        Raises TicketUnreachable if the peer does not answer or the stream breaks.
        """
        try:
            async with asyncio.timeout(call.remaining):
                with self._stream_connection() as stub:
                    async with stub.dispatch.open() as stream:
                        await stream.send_message(call, end=True)
                        async for part in stream:
                            yield codec.decode_answer(part)
        except PEER_ERRORS as error:
            raise TicketUnreachable('the box that holds the ticket does not answer') from error

    async def claim(self, request: ClaimRequest) -> ClaimState:
        """Request that the peer write a claim; raises ClaimsUnavailable."""
        try:
            reply = await self._call(lambda stub: stub.claim(request), request.wait)
        except PEER_ERRORS as error:
            raise ClaimsUnavailable(f'the box that writes the bucket failed: {error}') from error
        return ClaimState(reply.state)

    async def pull_cases(self) -> codec.CasesPage:
        """Return the peer's cases of requests that end engines; raises one of PEER_ERRORS."""
        request = codec.CasesRequest()
        return await self._call(lambda stub: stub.pull_cases(request), PULL_SECONDS)

    async def send_cases(self, cases: tuple[Case, ...]) -> None:
        """Send cases of requests that end engines; raises one of PEER_ERRORS."""
        page = codec.CasesPage(cases)
        await self._call(lambda stub: stub.send_cases(page), REPORT_SECONDS)

    async def engine_ended(self, reports: tuple[EndReport, ...]) -> codec.EndReportsReply:
        """Report that an engine ended and return the peer's state; raises one of PEER_ERRORS."""
        message = codec.EndReports(reports)
        return await self._call(lambda stub: stub.engine_ended(message), REPORT_SECONDS)

    async def request_trial(self, trial: TrialRequest) -> Permission:
        """Ask whether a suspect request may run now; raises one of PEER_ERRORS."""
        return await self._call(lambda stub: stub.request_trial(trial), TRIAL_REQUEST_SECONDS)

    async def end_trial(self, result: TrialResult) -> None:
        """Report that a trial run has ended; raises one of PEER_ERRORS.

        No caller waits for this call, so it may take longer than the other reports.
        """
        await self._call(lambda stub: stub.end_trial(result), PULL_SECONDS)

    async def record_streams(self, records: tuple[StreamRecord, ...]) -> None:
        """Let the peer keep records of streams; raises one of PEER_ERRORS."""
        message = codec.StreamRecords(records)
        await self._call(lambda stub: stub.record_streams(message), PULL_SECONDS)

    async def pull_streams(self, query: StreamRecordsQuery) -> StreamPage:
        """Return a page of the peer's records of streams; raises one of PEER_ERRORS."""
        return await self._call(lambda stub: stub.pull_streams(query), PULL_SECONDS)

    async def find_stream(self, query: StreamQuery) -> StreamReply:
        """Return what the peer knows of a stream's origin; raises one of PEER_ERRORS."""
        return await self._call(lambda stub: stub.find_stream(query), FIND_STREAM_SECONDS)

    async def find_liveness(self, query: LivenessQuery) -> LivenessReply:
        """Return whether an engine is alive, as the peer finds it; raises one of PEER_ERRORS."""
        return await self._call(lambda stub: stub.find_liveness(query), FIND_LIVENESS_SECONDS)

    async def open_tunnel(self, request: TunnelRequest, seconds: float) -> Tunnel:
        """Let the peer connect to an engine; raises TunnelFailed or one of PEER_ERRORS.

        Without a reply within `seconds` later calls use a new connection.
        """
        connection = self._stream_connection()
        try:
            async with asyncio.timeout(seconds), AsyncExitStack() as resources:
                stub = resources.enter_context(connection)
                stream = await resources.enter_async_context(stub.tunnel.open())
                tunnel = await open_tunnel(stream, request)
                tunnel.keep(resources.pop_all())
        except TimeoutError:
            connection.retire()
            if self._streams is connection:
                self._streams = None
            raise
        self.answered_at = asyncio.get_running_loop().time()
        return tunnel

    async def _call(self, send: Callable[[PeerStub], Awaitable[Reply]], seconds: float) -> Reply:
        """Return the reply to a call that may safely arrive twice, within `seconds`.

        Raises one of PEER_ERRORS.  After a timeout, later calls use a new connection.
        """
        patience = min(HEDGE_SECONDS, HEDGE_SHARE * seconds)
        if self._connection is not None and self._connection.is_closing:
            self._retire(self._connection)
        is_new = self._connection is None
        if is_new:
            patience = min(NEW_CONNECTION_HEDGE_SECONDS, NEW_CONNECTION_HEDGE_SHARE * seconds)
        connection = self._open_connection()
        try:
            async with asyncio.timeout(seconds):
                reply = await self._hedge(send, connection, patience, is_new)
        except TimeoutError:
            self._retire(connection)
            raise
        self.answered_at = asyncio.get_running_loop().time()
        return reply

    async def _hedge(
        self,
        send: Callable[[PeerStub], Awaitable[Reply]],
        connection: _Connection,
        patience: float,
        is_new: bool,
    ) -> Reply:
        """Return the first reply, on `connection` or on one that is opened after a wait.

        If an older connection turns out to be closed, a new one is opened without a wait.
        """
        attempts = {asyncio.create_task(_send_on(connection, send)): connection}
        opened: list[_Connection] = []
        try:
            while True:
                wait_seconds = patience if len(opened) < HEDGES_MAX else None
                done, _ = await asyncio.wait(
                    attempts, timeout=wait_seconds, return_when=asyncio.FIRST_COMPLETED
                )
                broken = None
                for task in done:
                    used = attempts.pop(task)
                    broken = task.exception()
                    if not isinstance(broken, CONNECTION_ERRORS):
                        self._replace(connection, used)
                        return task.result()
                if broken is not None and attempts:
                    continue
                if broken is not None and (opened or is_new):
                    raise broken
                fresh = self._new_connection()
                opened.append(fresh)
                attempts[asyncio.create_task(_send_on(fresh, send))] = fresh
                patience *= 2
        finally:
            _discard(attempts)
            for fresh in opened:
                if fresh is not self._connection:
                    fresh.retire()

    def _new_connection(self) -> _Connection:
        return _Connection(self._host, self._port)

    def _open_connection(self) -> _Connection:
        if self._connection is None:
            self._connection = self._new_connection()
        return self._connection

    def _stream_connection(self) -> _Connection:
        if self._streams is not None and self._streams.is_closing:
            self._streams.retire()
            self._streams = None
        if self._streams is None:
            self._streams = _Connection(self._host, self._port, STREAM_CONFIG)
        return self._streams

    def _retire(self, connection: _Connection) -> None:
        """Open a new connection for the next call."""
        if self._connection is connection:
            connection.retire()
            self._connection = None

    def _replace(self, silent: _Connection, fresh: _Connection) -> None:
        """Use `fresh` for later calls, unless another call has replaced `silent` already."""
        if self._connection is silent and fresh is not silent:
            silent.retire()
            self._connection = fresh

    def retire(self) -> None:
        """Close each connection once the calls, answers and tunnels on it have ended."""
        for connection in (self._connection, self._streams):
            if connection is not None:
                connection.retire()
        self._connection = self._streams = None

    def close(self) -> None:
        """Close all connections at once."""
        for connection in (self._connection, self._streams):
            if connection is not None:
                connection.close()
        self._connection = self._streams = None


async def _send_on(connection: _Connection, send: Callable[[PeerStub], Awaitable[Reply]]) -> Reply:
    with connection as stub:
        return await send(stub)


def _discard(tasks: Iterable[asyncio.Task]) -> None:
    """Cancel the tasks that still run, and drop the errors of the others."""
    for task in tasks:
        task.cancel()
        task.add_done_callback(_retrieve_error)


def _retrieve_error(task: asyncio.Task) -> None:
    """Keep the loop from reporting an error that nobody waits for.

    A call that is cancelled as its connection closes ends with the connection's error.
    """
    if not task.cancelled():
        task.exception()
