"""Digests as UDP datagrams: small, many, and no harm if one is lost."""

import asyncio
from collections.abc import Callable

from msgspec.structs import replace

from seamhold_membership import Digest

from .digest_codec import MESSAGE_OVERHEAD_BYTES, DigestReader, encode_digest
from .names import NameTable

#: Larger ones are split on the way, and one lost part loses the whole.
DATAGRAM_MAX_BYTES = 1400
#: UDP carries no more.
UDP_MAX_BYTES = 65_000


class EncodedDigest:
    """A digest ready to be sent; `size` counts the headers.

    `digest` is what is told: of one that does not fit a datagram the news that
    comes again or that others tell too is left out.
    """

    def __init__(self, digest: Digest):
        self.digest = digest
        self.data = encode_digest(digest)
        if len(self.data) > DATAGRAM_MAX_BYTES:
            self.digest = replace(digest, events=[], held=(), reports=())
            self.data = encode_digest(self.digest)
        self.size = len(self.data) + MESSAGE_OVERHEAD_BYTES


class DigestPort(asyncio.DatagramProtocol):
    """Sends and hears digests on one UDP port; belongs to one loop."""

    def __init__(self, names: NameTable, heard: Callable[[Digest], None]):
        self._reader = DigestReader(names)
        self._heard = heard
        self._transport: asyncio.DatagramTransport | None = None
        #: Datagrams that were no digest, or of a start not known.
        self.unread = 0

    async def listen(self, host: str, port: int) -> None:
        """Begin to hear; raises OSError if the port is taken."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Called by the loop when the port is open."""
        self._transport = transport

    def datagram_received(self, data: bytes, _address) -> None:
        """Called by the loop for each datagram."""
        digest = self._reader.read(data)
        if digest is None:
            self.unread += 1
        else:
            self._heard(digest)

    def error_received(self, error: OSError) -> None:
        """A peer that is not there is no error of this port."""

    def send(self, encoded: EncodedDigest, address: str) -> None:
        """Send to `ip:port`; a full buffer loses it."""
        host, _, port = address.rpartition(':')
        if self._transport is not None and len(encoded.data) <= UDP_MAX_BYTES:
            self._transport.sendto(encoded.data, (host, int(port)))

    def close(self) -> None:
        """Stop hearing."""
        if self._transport is not None:
            self._transport.close()
