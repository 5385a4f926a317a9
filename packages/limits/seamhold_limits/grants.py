"""Decides from when a box may count its own increased demand towards its share.

Every box computes its share from the demands that all boxes have reported. If a box used its
newest demand at once, others would still use shares computed without it, and all together would
exceed the limit. An increased demand therefore counts only after every live peer has
acknowledged it. By then each peer has reduced its own share, and the work that it reported with
the acknowledgement is the most that it will hold. A decreased demand counts as soon as a peer
may have received it.
"""

import math
from collections import deque

from msgspec import Struct, field


class _Message(Struct, frozen=True):
    seq: int
    demands: dict[int, float]


#: Maximum number of unacknowledged messages that are kept separately per peer.
MESSAGES_MAX = 64
#: A peer that has received no message assumes that this box has no demand.
NOTHING_SENT = _Message(0, {})


class _Peer(Struct):
    """The last message that the peer acknowledged, and all that were sent after it."""

    messages: deque[_Message] = field(default_factory=lambda: deque([NOTHING_SENT]))

    def add(self, message: _Message) -> None:
        """Add a message; too many unacknowledged ones are merged into one."""
        self.messages.append(message)
        if len(self.messages) > MESSAGES_MAX:
            acked, *later = self.messages
            keys = {key for sent in later for key in sent.demands}
            lowest = {key: min(sent.demands.get(key, 0.0) for sent in later) for key in keys}
            self.messages = deque([acked, _Message(message.seq, lowest)])

    def lowest(self, workspace: int) -> float:
        """Return the lowest demand that the peer may assume for this box."""
        demands = (message.demands.get(workspace, 0.0) for message in self.messages)
        return min(demands, default=math.inf)


class DemandGrants:
    """This box's demand by workspace, as far as its peers have acknowledged it.

    Workspaces are given by the hash of their name.
    """

    def __init__(self):
        self._peers: dict[str, _Peer] = {}

    def set_peers(self, names: set[str]) -> None:
        """Set the live peers, whose acknowledgements are required."""
        self._peers = {name: self._peers.get(name) or _Peer() for name in names}

    def record_sent(self, peer: str, seq: int, demands: dict[int, float]) -> None:
        """Record that message `seq` with this box's demands was sent to a peer."""
        state = self._peers.get(peer)
        if state is not None:
            state.add(_Message(seq, demands))

    def record_ack(self, peer: str, seq: int) -> None:
        """Record that a peer acknowledged message `seq`; unknown numbers are ignored."""
        state = self._peers.get(peer)
        if state is None or not any(message.seq == seq for message in state.messages):
            return
        while state.messages[0].seq < seq:
            state.messages.popleft()

    def reset_peer(self, peer: str) -> None:
        """Discard the acknowledgements of a peer that restarted without state."""
        if peer in self._peers:
            self._peers[peer] = _Peer()

    def await_peer(self, peer: str) -> None:
        """Expect a peer to assume nothing of this box before it has received a message."""
        if peer in self._peers:
            self._peers[peer] = _Peer(deque())

    def demand(self, workspace: int, current: float) -> float:
        """Return the demand that this box may use to compute its share."""
        if not self._peers:
            return current
        return min(peer.lowest(workspace) for peer in self._peers.values())
