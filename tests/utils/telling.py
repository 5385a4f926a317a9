"""One router that tells another, without a network."""

from seamhold_membership import Digest
from seamhold_routing import Router, Versions


def one_digest(router: Router, now: float) -> Digest:
    """The router's next message to a peer."""
    (digest,) = router.digests_for(['peer'], Versions(), now)
    return digest


def tell(one: Router, other: Router, now: float) -> None:
    """One router's next message reaches another."""
    (digest,) = one.digests_for([other.box], Versions(), now)
    other.hear(digest, now)
