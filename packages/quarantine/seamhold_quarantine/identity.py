"""The identity of a request: what two arrivals must have in common to be the same request."""

from hashlib import blake2b

from msgspec import Struct

from seamhold_messages.hashing import hash64

DIGEST_BYTES = 16
LENGTH_BYTES = 8


class RequestIdentity(Struct, frozen=True):
    """A request without what differs between two arrivals, such as its id.

    Headers are left out: they may change how long an answer is, but not what is asked.
    """

    workspace: str
    host: str
    method: str
    path: str
    body: bytes

    @property
    def scope(self) -> int:
        """A hash of everything but the body: cheap, and equal for a request that is repeated."""
        return hash64('\n'.join((self.workspace, self.host, self.method, self.path)))

    @property
    def digest(self) -> str:
        """A hash of the whole request, in hexadecimal digits.

        The hash is cryptographic: a workspace must not be able to construct a body that collides
        with another workspace's.  It takes about 0.04 ms for 24 KB and 9 ms for 4 MB.
        """
        hashed = blake2b(digest_size=DIGEST_BYTES)
        for part in (self.workspace, self.host, self.method, self.path):
            encoded = part.encode()
            hashed.update(len(encoded).to_bytes(LENGTH_BYTES, 'big'))
            hashed.update(encoded)
        hashed.update(self.body)
        return hashed.hexdigest()
