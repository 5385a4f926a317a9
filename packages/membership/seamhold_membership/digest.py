"""What a box tells its peers, and how little of it a next message needs.

A digest carries values, never differences, so a repeated one does no harm.
Over an ordered stream a peer needs only the entries that changed since the
last one; the first on a stream is `full` and replaces all that was told.
"""

from dataclasses import dataclass, field

from seamhold_messages.work import NO_WORK, Usage, Work

from .gossip import Event


@dataclass(frozen=True, slots=True)
class Digest:
    """One message from a box to a peer.

    `settings_total` and `settings_print` tell which settings are in force
    there, so that a peer that is behind can pull them.
    """

    box: str
    incarnation: str
    full: bool = True
    leaving: bool = False
    loads: dict[str, Work] = field(default_factory=dict)
    usage: dict[str, Usage] = field(default_factory=dict)
    settings_total: int = 0
    settings_print: int = 0
    events: list[Event] = field(default_factory=list)


def _changed(new: dict, old: dict, zero) -> dict:
    """Entries of `new` that differ from `old`; those gone become `zero`."""
    changed = {name: value for name, value in new.items() if old.get(name) != value}
    changed |= {name: zero for name in old if name not in new}
    return changed


class DigestSender:
    """What each peer was told last, and so what it needs to be told now."""

    def __init__(self):
        self._told: dict[str, Digest] = {}
        self._pending: dict[str, Digest] = {}

    def next_for(self, peer: str, now_true: Digest) -> Digest:
        """The message that brings `peer` to `now_true`, once it is `sent`."""
        told = self._told.get(peer)
        self._pending[peer] = now_true
        if told is None:
            return now_true
        return Digest(
            now_true.box,
            now_true.incarnation,
            full=False,
            leaving=now_true.leaving,
            loads=_changed(now_true.loads, told.loads, NO_WORK),
            usage=_changed(now_true.usage, told.usage, Usage()),
            settings_total=now_true.settings_total,
            settings_print=now_true.settings_print,
            events=now_true.events,
        )

    def sent(self, peer: str) -> Digest | None:
        """The last message made for `peer` went out; what it now knows."""
        if peer in self._pending:
            self._told[peer] = self._pending.pop(peer)
        return self._told.get(peer)

    def forget(self, peer: str) -> None:
        """The stream to `peer` ended; the next message is full again."""
        self._told.pop(peer, None)
        self._pending.pop(peer, None)


class DigestReceiver:
    """Each peer's whole state, put together from its messages."""

    def __init__(self):
        self._states: dict[str, Digest] = {}

    def hear(self, digest: Digest) -> Digest:
        """Apply a message; the peer's whole state is returned."""
        held = self._states.get(digest.box)
        if digest.full or held is None or held.incarnation != digest.incarnation:
            whole = digest
        else:
            loads = held.loads | digest.loads
            usage = held.usage | digest.usage
            whole = Digest(
                digest.box,
                digest.incarnation,
                True,
                digest.leaving,
                {name: work for name, work in loads.items() if work.requests},
                {name: told for name, told in usage.items() if told != Usage()},
                digest.settings_total,
                digest.settings_print,
                digest.events,
            )
        self._states[digest.box] = whole
        return whole

    def forget(self, box: str) -> None:
        """Drop a box that is gone."""
        self._states.pop(box, None)
