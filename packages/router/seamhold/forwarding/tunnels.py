"""Connections to engines through a peer, while this box's own links to them are cut."""

import asyncio
import random
from collections.abc import Callable

from seamhold_messages.work import Placed
from seamhold_peers import LivenessQuery, PeerClient, TunnelFailed, TunnelRequest
from seamhold_peers.client import FIND_LIVENESS_SECONDS, PEER_ERRORS

from ..decider import Decider
from ..logs import logger
from ..metrics import Metrics
from ..peering import Peering
from ..probing import Liveness
from .tunnel_socket import TunnelSocket

#: Limit on a peer's reply, in seconds: its own limit on connecting and a few round trips.
TUNNEL_SECONDS = 0.25
#: Time for a result to pass from one thread to another, in seconds.
SLACK_SECONDS = 0.1
#: Peers that are asked for one attempt.
CARRIERS_MAX = 3
#: A peer that did not carry a connection is asked last for this long, in seconds.
AVOID_SECONDS = 1.0


class EngineNotReached(Exception):
    """A peer could not connect to the engine either; `refused` as by `TunnelReply`."""

    def __init__(self, refused: bool):
        super().__init__('no peer reaches the engine')
        self.refused = refused


class Tunnels:
    """Chooses the peers that carry connections, and opens tunnels through them."""

    def __init__(
        self,
        failure_domain: str,
        decider: Decider,
        peering: Peering,
        clock: Callable[[], float],
        metrics: Metrics,
        rng: random.Random,
    ):
        self._failure_domain = failure_domain
        self._decider = decider
        self._peering = peering
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._log = logger('tunnels')
        #: Until when peers that did not carry a connection are asked last.
        self._avoided_until: dict[str, float] = {}

    def open(self, placed: Placed) -> TunnelSocket | None:
        """Return a connection to an engine through a peer, None if no peer carries one.

        Raises EngineNotReached if a peer could not connect either.
        """
        request = TunnelRequest(placed.engine, placed.incarnation)
        for box, client in self._carriers():
            opening = self._peering.submit(_open(box, client, request))
            try:
                tunnel = opening.result(TUNNEL_SECONDS + SLACK_SECONDS)
            except (TunnelFailed, *PEER_ERRORS) as error:
                opening.cancel()
                self._avoided_until[box] = self._clock() + AVOID_SECONDS
                self._metrics.count('tunnels.failed')
                self._log.info('tunnel.failed', peer=box, engine=placed.engine, detail=str(error))
                if isinstance(error, TunnelFailed) and error.reply.engine_failed:
                    raise EngineNotReached(error.reply.refused) from error
            else:
                self._metrics.count('tunnels.opened')
                return tunnel
        return None

    def find_liveness(self, placed: Placed) -> Liveness:
        """Ask some peers whether an engine is alive; UNKNOWN if none of them knows."""
        query = LivenessQuery(placed.engine, placed.incarnation)
        clients = [client for _, client in self._carriers()]
        asking = self._peering.submit(_first_known(clients, query))
        try:
            liveness = asking.result(FIND_LIVENESS_SECONDS + SLACK_SECONDS)
        except TimeoutError:
            asking.cancel()
            liveness = Liveness.UNKNOWN
        if liveness is Liveness.UNKNOWN:
            self._log.info('liveness.unknown', engine=placed.engine, peers=len(clients))
        return liveness

    def _carriers(self) -> list[tuple[str, PeerClient]]:
        """Return some live peers, in the order in which to ask them: near ones, any of them."""
        now = self._clock()
        clients = self._peering.live_clients()
        domains = {box.name: box.failure_domain for box in self._decider.boxes.items or ()}
        names = sorted(clients)
        self._rng.shuffle(names)
        names.sort(
            key=lambda name: (
                self._avoided_until.get(name, now) > now,
                domains.get(name) != self._failure_domain,
            )
        )
        return [(name, clients[name]) for name in names[:CARRIERS_MAX]]


async def _open(box: str, client: PeerClient, request: TunnelRequest) -> TunnelSocket:
    return TunnelSocket(await client.open_tunnel(request, TUNNEL_SECONDS), box)


async def _first_known(clients: list[PeerClient], query: LivenessQuery) -> Liveness:
    """Ask all of these peers at once, and return the first answer that tells something."""
    for reply in asyncio.as_completed([_ask(client, query) for client in clients]):
        liveness = await reply
        if liveness is not Liveness.UNKNOWN:
            return liveness
    return Liveness.UNKNOWN


async def _ask(client: PeerClient, query: LivenessQuery) -> Liveness:
    try:
        reply = await client.find_liveness(query)
        return Liveness(reply.liveness or Liveness.UNKNOWN)
    except (ValueError, *PEER_ERRORS):
        # A peer that cannot tell is as one that was not asked.
        return Liveness.UNKNOWN
