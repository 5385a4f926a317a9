"""Sends ticketed calls and claims from request threads to other boxes."""

import asyncio
import queue
from collections.abc import Iterator

from seamhold_attempts.claims import ClaimState
from seamhold_attempts.tickets import TicketName
from seamhold_messages.errors import ClaimsUnavailable, TicketUnknown, TicketUnreachable
from seamhold_peers import AnswerEnd, AnswerPart, ClaimRequest, PeerClient, RelayedCall
from seamhold_placement.rank import owners

from .claims import AcquireClaim, ClaimWriter
from .metrics import Metrics
from .peering import Peering

#: Parts of a relayed answer buffered for a slow caller.
RELAY_BUFFER_PARTS = 32
#: Time for a claim's answer to arrive after the claim's own wait.
CLAIM_SLACK_SECONDS = 0.5


class PeerCalls:
    """Bridges request threads to the peering task's loop."""

    def __init__(self, box: str, peering: Peering, claims: ClaimWriter, metrics: Metrics):
        self._box = box
        self._peering = peering
        self._claims = claims
        self._metrics = metrics

    def relay(self, ticket: TicketName, call: RelayedCall) -> Iterator[AnswerPart]:
        """Pass a call to the box that holds its ticket.

        Raises TicketUnknown when that box is known to have restarted, and
        TicketUnreachable when it cannot be reached now.
        """
        if ticket.box == self._box:
            raise TicketUnknown('this box has restarted since it issued the ticket')
        roster = {box.name: box for box in self._peering.roster.boxes}
        peer = roster.get(ticket.box)
        if peer is None:
            # The list lags: a box that is not on it yet may have started.
            raise TicketUnreachable('the box that holds the ticket is not listed', 1.0)
        if peer.incarnation and peer.incarnation != ticket.incarnation:
            raise TicketUnknown('the box that held the ticket has restarted')
        client = self._peering.client(ticket.box)
        if client is None:
            raise TicketUnreachable('no connection to the box that holds the ticket', 1.0)
        return self._pump(client, call)

    def _pump(self, client: PeerClient, call: RelayedCall) -> Iterator[AnswerPart]:
        """Yield the parts as they arrive; closing the iterator cancels the call."""
        parts: queue.Queue = queue.Queue()
        credits = asyncio.Semaphore(RELAY_BUFFER_PARTS)
        future = self._peering.submit(self._fetch(client, call, parts, credits))
        try:
            while True:
                part = parts.get(timeout=call.remaining)
                self._peering.loop.call_soon_threadsafe(credits.release)
                yield part
                if isinstance(part, AnswerEnd):
                    return
        except queue.Empty as error:
            raise TicketUnreachable(
                'the box that holds the ticket did not answer in time'
            ) from error
        finally:
            future.cancel()

    @staticmethod
    async def _fetch(client: PeerClient, call: RelayedCall, parts: queue.Queue, credits) -> None:
        try:
            async for part in client.relay(call):
                # Backpressure: a slow caller slows down the peer.
                await credits.acquire()
                parts.put(part)
        except TicketUnreachable as error:
            parts.put(AnswerEnd(error))
        else:
            parts.put(
                AnswerEnd(TicketUnreachable('the box that holds the ticket ended the answer early'))
            )

    def claim(self, request: ClaimRequest) -> ClaimState:
        """Claim a key through the box that ranks first for its bucket.

        When that box cannot be reached this one writes the bucket itself; the platform's
        conditional write decides between them.  The claim's owner is the call, so a
        repeated request is harmless.
        """
        live = self._peering.roster.live_boxes
        writer = owners(f'claims-{request.bucket}', live)[0]
        client = self._peering.client(writer)
        if writer != self._box and client is not None:
            try:
                future = self._peering.submit(client.claim(request))
                return future.result(request.wait + CLAIM_SLACK_SECONDS)
            except ClaimsUnavailable:
                self._metrics.count('claims.writer_unreachable')
        return self._claims.query(AcquireClaim(request)).result(request.wait + CLAIM_SLACK_SECONDS)
