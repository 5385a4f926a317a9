"""Digests: the state that a box sends to its peers, reduced to what each peer still needs.

Digests travel as datagrams, which may be lost, duplicated or reordered.  A digest carries
values, never increments, but only those that changed since a state that the peer has
acknowledged: `base` names that state, `ack` acknowledges the peer's own last message.  Until a
peer has acknowledged a digest, every digest to it is a full one.
"""

from collections import OrderedDict

from msgspec import Struct, field
from msgspec.structs import replace

from seamhold_messages.work import (
    NO_WORK,
    FailureReport,
    Holding,
    LoadReading,
    RetryCount,
    SlotReport,
    Usage,
    WaitingCalls,
    WatcherHeartbeat,
    Work,
)

from .gossip import Event

#: States that a sender or receiver keeps while acknowledgements are on their way.
STATES_MAX = 32


class Digest(Struct, frozen=True):
    """One message from a box to a peer.

    `seq` counts this box's messages to this peer from 1.  `base` is the message that `loads` and
    `usage` are relative to, 0 if the digest is full.

    `usage` is keyed by the hash of a workspace's name, so that a peer can store the entry before
    it acknowledges the message even if its settings do not have that workspace yet.
    `settings_total` and `settings_fingerprint` identify the settings in force at the sender, so
    that a peer that is behind can pull them.  The versions are those of the platform's lists at
    the sender, 0 if not known.  `store_lost` is set if the sender has lost access to the store.
    `learned` counts the holdings that engines reported to the sender at its start; a starting
    box may pull them.  `cases_fingerprint` identifies the sender's set of requests that end
    engines, 0 if it is empty.  `retries` is what the sender spent of its retry budgets lately, for
    the time after its restart.  `waiting` counts the calls that wait at the sender.  `slots` is the
    sender's demand at brittle services, whole in each digest; None while no service is brittle.

    The other fields are relayed, whichever box they came from: `held` names the chats that
    engines processed recently, `readings` the load that engines reported, `reports` the failed
    calls at engines, `watchers` the heartbeats of the boxes that watch the platform's store for
    all.  `store_age` is the time in seconds since the platform last answered any box, None if
    not known.
    """

    box: str
    incarnation: str
    leaving: bool = False
    loads: dict[str, Work] = field(default_factory=dict)
    usage: dict[int, Usage] = field(default_factory=dict)
    settings_total: int = 0
    settings_fingerprint: int = 0
    events: list[Event] = field(default_factory=list)
    seq: int = 1
    base: int = 0
    ack: int = 0
    held: tuple[Holding, ...] = ()
    engines_version: int = 0
    boxes_version: int = 0
    store_lost: bool = False
    learned: int = 0
    readings: tuple[LoadReading, ...] = ()
    reports: tuple[FailureReport, ...] = ()
    store_age: float | None = None
    watchers: tuple[WatcherHeartbeat, ...] = ()
    evacuations_version: int = 0
    cases_fingerprint: int = 0
    retries: tuple[RetryCount, ...] = ()
    waiting: tuple[WaitingCalls, ...] = ()
    slots: SlotReport | None = None

    @property
    def full(self) -> bool:
        """Whether the digest needs no base."""
        return self.base == 0


def _changed(new: dict, old: dict, zero) -> dict:
    """Return the entries of `new` that differ from `old`, and `zero` for removed ones."""
    changed = {name: value for name, value in new.items() if old.get(name) != value}
    changed |= {name: zero for name in old if name not in new}
    return changed


def _trim(states: OrderedDict[int, Digest]) -> None:
    while len(states) > STATES_MAX:
        states.popitem(last=False)


class _SentStates(Struct):
    """The states sent to one peer by sequence number, and the last one it acknowledged."""

    seq: int = 0
    acked: int = 0
    states: OrderedDict[int, Digest] = field(default_factory=OrderedDict)


class DigestSender:
    """Keeps what each peer has acknowledged, to send it only the changes since."""

    def __init__(self):
        self._peers: dict[str, _SentStates] = {}

    def next_for(self, peer: str, current: Digest, ack: int) -> Digest:
        """Return the next message to `peer`, which carries the `current` state and `ack`."""
        sent = self._peers.setdefault(peer, _SentStates())
        sent.seq += 1
        base = sent.states.get(sent.acked)
        sent.states[sent.seq] = current
        _trim(sent.states)
        if base is None:
            return replace(current, seq=sent.seq, base=0, ack=ack)
        return replace(
            current,
            seq=sent.seq,
            ack=ack,
            base=sent.acked,
            loads=_changed(current.loads, base.loads, NO_WORK),
            usage=_changed(current.usage, base.usage, Usage()),
        )

    def record_ack(self, peer: str, seq: int) -> None:
        """Record that `peer` acknowledged message `seq`."""
        sent = self._peers.get(peer)
        if sent is not None and seq == 0:
            # The peer lost its state: the next digest is a full one.
            sent.acked = 0
        if sent is None or seq <= sent.acked or seq > sent.seq:
            return
        sent.acked = seq
        while sent.states and next(iter(sent.states)) < seq:
            sent.states.popitem(last=False)

    def forget(self, peer: str) -> None:
        """Drop the state of a peer that restarted or left; its next digest is a full one."""
        sent = self._peers.get(peer)
        if sent is not None:
            sent.acked = 0
            sent.states.clear()


class DigestReceiver:
    """Reconstructs each peer's full state from its digests."""

    def __init__(self):
        self._states: dict[str, OrderedDict[int, Digest]] = {}

    def receive(self, digest: Digest) -> Digest | None:
        """Return the peer's full state as of this message.

        Returns None if the message is not newer than the last one, or if its base is missing
        here.
        """
        states = self._states.setdefault(digest.box, OrderedDict())
        last = next(reversed(states.values()), None)
        if last is not None and last.incarnation != digest.incarnation:
            if not digest.full:
                return None
            states.clear()
        elif last is not None and digest.seq <= last.seq:
            return None
        full = digest if digest.full else self._on_base(digest, states.get(digest.base))
        if full is None:
            # Without a state here the next ack is 0, which makes the peer send a full digest.
            self.forget(digest.box)
            return None
        # Relayed fields are used once; only the sender's own state serves as a base.
        states[digest.seq] = replace(full, events=[], held=(), readings=(), reports=(), watchers=())
        _trim(states)
        return full

    @staticmethod
    def _on_base(digest: Digest, base: Digest | None) -> Digest | None:
        if base is None:
            return None
        loads = base.loads | digest.loads
        usage = base.usage | digest.usage
        return replace(
            digest,
            base=0,
            loads={name: work for name, work in loads.items() if work.requests},
            usage={key: entry for key, entry in usage.items() if entry != Usage()},
        )

    def latest_state(self, box: str) -> Digest | None:
        """Return the last full state of `box`, None if there is none."""
        states = self._states.get(box)
        return next(reversed(states.values())) if states else None

    def last_seq(self, box: str) -> int:
        """Return the sequence number of the last message from `box`, 0 if there is none."""
        return next(reversed(self._states.get(box, {})), 0)

    def forget(self, box: str) -> None:
        """Drop the states of a box."""
        self._states.pop(box, None)
