"""Digests over UDP: small and frequent, and the protocol tolerates loss."""

import asyncio
from collections.abc import Callable

from msgspec.structs import replace

from seamhold_membership import Digest

from .digest_codec import MESSAGE_OVERHEAD_BYTES, DigestReader, encode_digest
from .names import NameTable

#: Larger datagrams are fragmented, and one lost fragment loses the whole datagram.
DATAGRAM_MAX_BYTES = 1400
#: Below the maximum payload of a UDP datagram.
UDP_MAX_BYTES = 65_000


class EncodedDigest:
    """A digest ready to be sent; `size` is in bytes and includes headers.

    `digest` is the content that is sent: if a digest exceeds one datagram, the updates
    that are sent again later or by other boxes too (events, holdings and failure
    reports) are left out.
    """

    def __init__(self, digest: Digest):
        self.digest = digest
        self.data = encode_digest(digest)
        if len(self.data) > DATAGRAM_MAX_BYTES:
            self.digest = replace(digest, events=[], held=(), reports=())
            self.data = encode_digest(self.digest)
        self.size = len(self.data) + MESSAGE_OVERHEAD_BYTES


class DigestPort(asyncio.DatagramProtocol):
    """Sends and receives digests on one UDP port; belongs to one event loop."""

    def __init__(self, names: NameTable, on_digest: Callable[[Digest], None]):
        self._reader = DigestReader(names)
        self._on_digest = on_digest
        self._transport: asyncio.DatagramTransport | None = None
        #: Number of datagrams dropped as unreadable or from an unknown start of a box.
        self.dropped = 0

    async def listen(self, host: str, port: int) -> None:
        """Start receiving; raises OSError if the port is in use."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport; called by the event loop when the port is open."""
        self._transport = transport

    def datagram_received(self, data: bytes, _address) -> None:
        """Decode one datagram and pass its digest on; called by the event loop."""
        digest = self._reader.read(data)
        if digest is None:
            self.dropped += 1
        else:
            self._on_digest(digest)

    def error_received(self, error: OSError) -> None:
        """Ignore errors: an unreachable peer does not affect this port."""

    def send(self, encoded: EncodedDigest, address: str) -> None:
        """Send to `ip:port`; the digest is lost if the send buffer is full."""
        host, _, port = address.rpartition(':')
        if self._transport is not None and len(encoded.data) <= UDP_MAX_BYTES:
            self._transport.sendto(encoded.data, (host, int(port)))

    def close(self) -> None:
        """Stop receiving and close the port."""
        if self._transport is not None:
            self._transport.close()
