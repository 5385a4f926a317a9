"""Connects to engines for peers that cannot reach them."""

import asyncio
import functools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from seamhold_messages.errors import SeamholdError
from seamhold_messages.fleet import Engine
from seamhold_peers import (
    LivenessQuery,
    LivenessReply,
    TunnelFailed,
    TunnelReply,
    TunnelRequest,
)
from seamhold_peers.engine_connection import connect_to_engine
from seamhold_peers.tunnel import Connection

from ..gate import Gate
from ..metrics import Metrics
from .backends import CONNECT_SECONDS, SOCKET_OPTIONS
from .engine_access import EngineAccess

NOT_LISTED = TunnelReply('this box does not list the engine')
CUT_OFF = TunnelReply('this box does not reach the engine either')


class Carrier:
    """Opens connections to listed engines, and counts each as a call in progress.

    At the end of a connection it finds out whether the engine is alive, also while this box stops:
    the box that asked may reach nobody else who could.
    """

    def __init__(self, access: EngineAccess, gate: Gate, metrics: Metrics):
        self._access = access
        self._gate = gate
        self._metrics = metrics

    @asynccontextmanager
    async def connect(self, request: TunnelRequest) -> AsyncIterator[Connection]:
        """Connect to an engine, and close the connection at the end; raises TunnelFailed."""
        try:
            self._gate.enter()
        except SeamholdError as error:
            raise TunnelFailed(TunnelReply(error.detail)) from error
        try:
            connection = await self._connect(request)
            self._metrics.count('tunnels.carried')
            try:
                yield connection
            finally:
                connection.writer.close()
        finally:
            self._gate.leave()

    async def find_liveness(self, query: LivenessQuery) -> LivenessReply:
        """Find out whether an engine is alive, as far as this box reaches it."""
        engine = self._listed(query.engine, query.incarnation)
        if engine is None:
            return LivenessReply()
        return LivenessReply(await self._check_liveness(engine))

    async def _check_liveness(self, engine: Engine) -> str:
        return await asyncio.to_thread(self._access.find_liveness, engine.name, engine.address)

    def _listed(self, name: str, incarnation: str) -> Engine | None:
        engine = self._access.engine(name)
        return engine if engine is not None and engine.incarnation == incarnation else None

    async def _connect(self, request: TunnelRequest) -> Connection:
        engine = self._listed(request.engine, request.incarnation)
        if engine is None:
            raise TunnelFailed(NOT_LISTED)
        if self._access.is_cut_off(engine.name):
            raise TunnelFailed(CUT_OFF)
        host, _, port = engine.address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                reader, writer = await connect_to_engine(host, int(port))
        except OSError as error:
            self._access.record_unreachable(engine.name)
            refused = isinstance(error, ConnectionRefusedError)
            reply = TunnelReply('could not connect', refused, engine_failed=True)
            raise TunnelFailed(reply) from error
        self._access.record_connected(engine.name)
        connected = writer.get_extra_info('socket')
        for level, option, value in SOCKET_OPTIONS:
            connected.setsockopt(level, option, value)
        return Connection(reader, writer, functools.partial(self._check_liveness, engine))
