"""What request threads ask of other boxes: ticketed calls and claims."""

import asyncio
import queue
from collections.abc import Iterator

from seamhold_attempts.claims import ClaimState
from seamhold_attempts.tickets import TicketName
from seamhold_messages.errors import ClaimsUnavailable, TicketUnknown, TicketUnreachable
from seamhold_peers import AnswerEnd, AnswerPart, ClaimRequest, PeerClient, RelayedCall
from seamhold_placement.rank import owners

from .claims import ClaimWriter, WantClaim
from .metrics import Metrics
from .peering import Peering

#: Parts of a relayed answer that wait for a slow caller.
BUFFER_PARTS = 32
#: Slack for a claim's answer after its own wait.
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

        Raises TicketUnknown when the box is known to have started anew,
        TicketUnreachable when it cannot be asked now.
        """
        if ticket.box == self._box:
            raise TicketUnknown('this box started anew since it gave the ticket')
        roster = {box.name: box for box in self._peering.roster.boxes}
        peer = roster.get(ticket.box)
        if peer is None:
            # The list lags, so a box that is not on it may yet come.
            raise TicketUnreachable('the box that holds the ticket is not listed', 1.0)
        if peer.incarnation and peer.incarnation != ticket.incarnation:
            raise TicketUnknown('the box that held the ticket started anew')
        client = self._peering.client(ticket.box)
        if client is None:
            raise TicketUnreachable('the box that holds the ticket is not connected', 1.0)
        return self._pump(client, call)

    def _pump(self, client: PeerClient, call: RelayedCall) -> Iterator[AnswerPart]:
        """Parts as they come; closing the iterator cancels the call."""
        parts: queue.Queue = queue.Queue()
        credits = asyncio.Semaphore(BUFFER_PARTS)
        work = self._peering.submit(self._fetch(client, call, parts, credits))
        try:
            while True:
                part = parts.get(timeout=call.remaining)
                self._peering.loop.call_soon_threadsafe(credits.release)
                yield part
                if isinstance(part, AnswerEnd):
                    return
        except queue.Empty as error:
            raise TicketUnreachable('the box that holds the ticket went silent') from error
        finally:
            work.cancel()

    @staticmethod
    async def _fetch(client: PeerClient, call: RelayedCall, parts: queue.Queue, credits) -> None:
        try:
            async for part in client.relay(call):
                # A slow caller slows the peer down through this.
                await credits.acquire()
                parts.put(part)
        except TicketUnreachable as error:
            parts.put(AnswerEnd(error))
        else:
            parts.put(AnswerEnd(TicketUnreachable('the box that holds the ticket broke off')))

    def claim(self, ask: ClaimRequest) -> ClaimState:
        """Own a key: the box that ranks first for its bucket writes it.

        When that box cannot be asked this one writes the bucket itself; the
        platform's condition decides between them.  The claim's owner is the
        call, so asking twice does no harm.
        """
        live = self._peering.roster.live_boxes
        writer = owners(f'claims-{ask.bucket}', live)[0]
        client = self._peering.client(writer)
        if writer != self._box and client is not None:
            try:
                work = self._peering.submit(client.claim(ask))
                return work.result(ask.wait + CLAIM_SLACK_SECONDS)
            except ClaimsUnavailable:
                self._metrics.count('claims.writer_unreachable')
        return self._claims.ask(WantClaim(ask)).result(ask.wait + CLAIM_SLACK_SECONDS)
