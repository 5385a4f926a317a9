"""Claims: an idempotency key has at most one owner, whichever boxes receive its calls.

Keys are stored in bucket objects of the platform.  A box reads the bucket, adds its claims
and writes the bucket back on the condition that it has not changed in between (a
compare-and-swap).  The first claim of a key that is written owns the key for good.  A claim
carries its owner's token, which lets the owner recognise its own write when the response to
the write was lost and the bucket is read again.

Several calls share one write: the rate of writes depends on the number of buckets, not on
the number of calls.
"""

from enum import StrEnum

import msgspec
from msgspec import Struct

from seamhold_messages.hashing import hash64, hash128

#: Maximum number of claims in one bucket.  A claim takes about 90 bytes, which keeps the
#: object well below a megabyte.
CLAIMS_MAX = 8000


class ClaimState(StrEnum):
    """The result of claiming a key.

    `OWNED`: the claim owns the key.  `TAKEN`: another call with the same body owns it.
    `MISMATCH`: another call with a different body owns it.  `FULL`: the bucket has no room.
    """

    OWNED = 'owned'
    TAKEN = 'taken'
    MISMATCH = 'mismatch'
    FULL = 'full'


class Claim(Struct, frozen=True):
    """One claimed key: its owner's token, the hash of the call's body and the time.

    `at` is in Unix seconds.
    """

    key: str
    owner: str
    body_hash: str
    at: float


def claim_key(workspace: str, service: str, key: str) -> str:
    """Return the name under which a caller's key is stored; workspaces never share one."""
    return hash128(f'{workspace}\0{service}\0{key}')


def claim_bucket_of(key: str, buckets: int) -> int:
    """Return the number of the bucket that stores `key`, from 0 to `buckets` - 1."""
    return hash64(key) % buckets


class BucketUnreadable(ValueError):
    """An object is no bucket, so that it is not known which keys are claimed."""


class ClaimBucket:
    """The content of one bucket object.

    A row that cannot be read may be a claim: it is kept as it is, and its key is taken.
    """

    def __init__(
        self, claims: dict[str, Claim] | None = None, unreadable: dict[str, object] | None = None
    ):
        self.claims = dict(claims or {})
        self.unreadable = unreadable or {}

    @classmethod
    def from_spec(cls, spec: dict) -> 'ClaimBucket':
        """Read a bucket from the object's value; raises BucketUnreadable."""
        rows = spec.get('claims', {}) if isinstance(spec, dict) else None
        if not isinstance(rows, dict):
            raise BucketUnreadable('the object has no mapping of claims')
        claims, unreadable = {}, {}
        for key, row in rows.items():
            try:
                claims[key] = Claim(key, *msgspec.convert(row, tuple[str, str, float]))
            except (msgspec.ValidationError, OverflowError, RecursionError):
                unreadable[key] = row
        return cls(claims, unreadable)

    def to_spec(self) -> dict:
        """Return the object's value: rows of owner, body hash and time by key."""
        rows = {key: [claim.owner, claim.body_hash, claim.at] for key, claim in self.claims.items()}
        return {'claims': rows | self.unreadable}

    def drop_before(self, before: float) -> None:
        """Drop claims made before `before`; the at-most-once guarantee for their keys ends."""
        self.claims = {key: claim for key, claim in self.claims.items() if claim.at >= before}

    def try_claim(self, claim: Claim) -> ClaimState:
        """Add the claim if its key is free, and return the key's state for this owner."""
        if claim.key in self.unreadable:
            return ClaimState.TAKEN
        held = self.claims.get(claim.key)
        if held is None:
            if len(self.claims) >= CLAIMS_MAX:
                return ClaimState.FULL
            self.claims[claim.key] = claim
            return ClaimState.OWNED
        if held.owner == claim.owner:
            return ClaimState.OWNED
        return ClaimState.TAKEN if held.body_hash == claim.body_hash else ClaimState.MISMATCH

    def release(self, key: str, owner: str) -> bool:
        """Remove the owner's claim, whose call is certain not to have run.

        Return False if `owner` does not own the key.
        """
        held = self.claims.get(key)
        if held is None or held.owner != owner:
            return False
        del self.claims[key]
        return True
