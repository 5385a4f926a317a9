"""What makes two requests the same one."""

from hashlib import blake2b

from msgspec import Struct

from seamhold_messages.hashing import hash64

DIGEST_BYTES = 16
LENGTH_BYTES = 8


class RequestIdentity(Struct, frozen=True):
    """A request without what tells one arrival from another, such as its id.

    What is left out of the head may change how long an answer is, not what is asked.
    """

    workspace: str
    host: str
    method: str
    path: str
    body: bytes

    @property
    def scope(self) -> int:
        """A hash of all but the body: cheap, and the same for a request that comes again."""
        return hash64('\n'.join((self.workspace, self.host, self.method, self.path)))

    @property
    def digest(self) -> str:
        """A hash of all of it, as hexadecimal digits.

        A cryptographic one: a workspace must not be able to make a body that stands for
        another's.  Some 0.04 ms for 24 KB and 9 ms for 4 MB.
        """
        hashed = blake2b(digest_size=DIGEST_BYTES)
        for part in (self.workspace, self.host, self.method, self.path):
            encoded = part.encode()
            hashed.update(len(encoded).to_bytes(LENGTH_BYTES, 'big'))
            hashed.update(encoded)
        hashed.update(self.body)
        return hashed.hexdigest()
