"""When a box may count on its own growing demand for a larger share.

Every box works out its share from the demands that all have told.  If a box
used its newest demand at once, others would still be using shares that were
worked out without it, and together they would pass the limit.  So a demand
counts only once every live peer has said that it heard of it: by then each has
shrunk to make room, and what it told along with that is the most work it will
hold.  A demand that falls counts as soon as a peer may have heard of it.
"""

from collections import deque

from msgspec import Struct, field


class _Message(Struct, frozen=True):
    seq: int
    demands: dict[int, float]


#: Messages without an answer that are kept apart.
MESSAGES_MAX = 64
#: Before a peer has heard anything it takes this box's demand to be nothing.
NOTHING_TOLD = _Message(0, {})


class _Peer(Struct):
    """What a peer may believe: the last it surely heard, and all since."""

    messages: deque[_Message] = field(default_factory=lambda: deque([NOTHING_TOLD]))

    def add(self, message: _Message) -> None:
        """One more that the peer may hear; many unanswered become one."""
        self.messages.append(message)
        if len(self.messages) > MESSAGES_MAX:
            heard, *later = self.messages
            names = {name for held in later for name in held.demands}
            lowest = {name: min(held.demands.get(name, 0.0) for held in later) for name in names}
            self.messages = deque([heard, _Message(message.seq, lowest)])

    def lowest(self, workspace: int) -> float:
        """The least demand that the peer may believe."""
        return min(message.demands.get(workspace, 0.0) for message in self.messages)


class DemandGrants:
    """This box's demand by workspace (the hash of its name), as far as its peers made room."""

    def __init__(self):
        self._peers: dict[str, _Peer] = {}

    def set_peers(self, names: set[str]) -> None:
        """The live peers, which all have to make room."""
        self._peers = {name: self._peers.get(name) or _Peer() for name in names}

    def told(self, peer: str, seq: int, demands: dict[int, float]) -> None:
        """Message `seq` with this box's demands went to a peer."""
        held = self._peers.get(peer)
        if held is not None:
            held.add(_Message(seq, demands))

    def heard(self, peer: str, seq: int) -> None:
        """A peer said that it heard message `seq`."""
        held = self._peers.get(peer)
        if held is None or not any(message.seq == seq for message in held.messages):
            return
        while held.messages[0].seq < seq:
            held.messages.popleft()

    def forgotten(self, peer: str) -> None:
        """A peer started anew and knows nothing."""
        if peer in self._peers:
            self._peers[peer] = _Peer()

    def demand(self, workspace: int, current: float) -> float:
        """The demand that this box may count on for its share."""
        if not self._peers:
            return current
        return min(held.lowest(workspace) for held in self._peers.values())
