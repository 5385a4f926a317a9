"""What a box tells its peers, and how little of it a next message needs.

Digests travel as datagrams, which may be lost, doubled or overtaken.  A digest
carries values, never differences, but only those that changed since a state
that the peer has said it heard: `base` names that state, `ack` tells the peer
which of its own was heard last.  Until a peer has answered, every digest is a
full one.
"""

from collections import OrderedDict

from msgspec import Struct, field
from msgspec.structs import replace

from seamhold_messages.work import (
    NO_WORK,
    FailureReport,
    Holding,
    LoadReading,
    Usage,
    WatcherHeartbeat,
    Work,
)

from .gossip import Event

#: States that a sender or a receiver keeps while answers are on their way.
HISTORY = 32


class Digest(Struct, frozen=True):
    """One message from a box to a peer.

    `usage` is by the hash of a workspace's name, so that a peer whose settings do not have it
    yet takes it in before it says that it heard the message.

    `seq` counts this box's messages to this peer from 1; `base` is the one
    that the entries are relative to, 0 if the digest is full.
    `settings_total` and `settings_print` tell which settings are in force
    there, so that a peer that is behind can pull them.  The versions tell
    how new the platform's lists are there, 0 if that is not known, and
    `store_lost` that the platform does not serve that box.  `learned` counts the
    holdings that engines told that box at its start; who starts too may ask for them.

    The rest is passed on, whichever box it came from: `held` tells which engines
    read which chats lately, `readings` what engines told of their load, `reports`
    what calls met at engines that fail, `watchers` which boxes watch the platform for
    all.  `store_age` is how long ago the platform last answered any box, in seconds,
    None if nobody knows.  `cases_print` tells apart what the box knows of requests that
    end engines, 0 for nothing.
    """

    box: str
    incarnation: str
    leaving: bool = False
    loads: dict[str, Work] = field(default_factory=dict)
    usage: dict[int, Usage] = field(default_factory=dict)
    settings_total: int = 0
    settings_print: int = 0
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
    cases_print: int = 0

    @property
    def full(self) -> bool:
        """Whether it stands on its own."""
        return self.base == 0


def _changed(new: dict, old: dict, zero) -> dict:
    """Entries of `new` that differ from `old`; those gone become `zero`."""
    changed = {name: value for name, value in new.items() if old.get(name) != value}
    changed |= {name: zero for name in old if name not in new}
    return changed


def _trim(states: OrderedDict[int, Digest]) -> None:
    while len(states) > HISTORY:
        states.popitem(last=False)


class _Told(Struct):
    """What one peer was told, by number, and what it has heard."""

    seq: int = 0
    heard: int = 0
    states: OrderedDict[int, Digest] = field(default_factory=OrderedDict)


class DigestSender:
    """What each peer is known to have heard, and so what it needs now."""

    def __init__(self):
        self._peers: dict[str, _Told] = {}

    def next_for(self, peer: str, truth: Digest, ack: int) -> Digest:
        """The message that brings `peer` to `truth`; `ack` goes along."""
        told = self._peers.setdefault(peer, _Told())
        told.seq += 1
        base = told.states.get(told.heard)
        told.states[told.seq] = truth
        _trim(told.states)
        if base is None:
            return replace(truth, seq=told.seq, base=0, ack=ack)
        return replace(
            truth,
            seq=told.seq,
            ack=ack,
            base=told.heard,
            loads=_changed(truth.loads, base.loads, NO_WORK),
            usage=_changed(truth.usage, base.usage, Usage()),
        )

    def heard(self, peer: str, seq: int) -> None:
        """The peer said that it heard message `seq`."""
        told = self._peers.get(peer)
        if told is not None and seq == 0:
            # It lost what it had heard: the next digest is a full one.
            told.heard = 0
        if told is None or seq <= told.heard or seq > told.seq:
            return
        told.heard = seq
        while told.states and next(iter(told.states)) < seq:
            told.states.popitem(last=False)

    def forget(self, peer: str) -> None:
        """The peer started anew, or went: it knows nothing."""
        told = self._peers.get(peer)
        if told is not None:
            told.heard = 0
            told.states.clear()


class DigestReceiver:
    """Each peer's whole state, put together from its messages."""

    def __init__(self):
        self._states: dict[str, OrderedDict[int, Digest]] = {}

    def hear(self, digest: Digest) -> Digest | None:
        """The peer's whole state by this message.

        None if the message is an old one, or if it builds on a state that
        was not heard here.
        """
        states = self._states.setdefault(digest.box, OrderedDict())
        last = next(reversed(states.values()), None)
        if last is not None and last.incarnation != digest.incarnation:
            if not digest.full:
                return None
            states.clear()
        elif last is not None and digest.seq <= last.seq:
            return None
        whole = digest if digest.full else self._on_base(digest, states.get(digest.base))
        if whole is None:
            # Saying that nothing was heard brings a full digest.
            self.forget(digest.box)
            return None
        # What is passed on is used once; only the sender's own state is built on.
        states[digest.seq] = replace(
            whole, events=[], held=(), readings=(), reports=(), watchers=()
        )
        _trim(states)
        return whole

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
            usage={name: told for name, told in usage.items() if told != Usage()},
        )

    def latest(self, box: str) -> Digest | None:
        """The whole state last heard of `box`, None for none."""
        states = self._states.get(box)
        return next(reversed(states.values())) if states else None

    def last(self, box: str) -> int:
        """The number of the last message heard from `box`; 0 for none."""
        return next(reversed(self._states.get(box, {})), 0)

    def forget(self, box: str) -> None:
        """Drop a box that is gone."""
        self._states.pop(box, None)
