"""Digests between two routers, without a network."""

from seamhold_membership import Digest
from seamhold_routing import Router, Versions


def next_digest(router: Router, now: float) -> Digest:
    """Return the router's next digest for a peer."""
    (digest,) = router.digests_for(['peer'], Versions(), now)
    return digest


def send_digest(sender: Router, receiver: Router, now: float) -> None:
    """Deliver one router's next digest to another."""
    (digest,) = sender.digests_for([receiver.box], Versions(), now)
    receiver.receive_digest(digest, now)
