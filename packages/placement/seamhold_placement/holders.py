"""Tracks which engines hold a chat's prompt prefix in their cache, as far as this box knows.

A box learns this from its own placements, from its peers and from the engines. An entry may be
wrong, since engines evict the least recently used prefixes without reporting it. Entries
therefore expire, and a wrong one costs only the processing of one prompt.
"""

from collections import OrderedDict
from collections.abc import Iterable

from seamhold_messages.hashing import hash32
from seamhold_messages.work import Holding

#: Lifetime of a holding that is not used.
KEEP_SECONDS = 60.0
#: Maximum number of chats; the least recently used one is evicted.
CHATS_MAX = 100_000


class HolderTable:
    """Maps each chat to the engines that hold it, with the time at which each entry expires."""

    def __init__(self):
        self._chats: OrderedDict[int, dict[str, float]] = OrderedDict()
        #: Holdings that engines reported to this box directly.
        self.learned: tuple[Holding, ...] = ()

    def learn(self, engine: str, chats: Iterable[str], now: float) -> None:
        """Record the chats that an engine reports to hold.

        The list is too large for digests; peers request it.
        """
        holdings = tuple(Holding(hash32(chat), engine) for chat in chats)
        self.learned += holdings
        self.record_holdings(holdings, now)

    def record_placement(self, chat: str, engine: str, now: float) -> Holding | None:
        """Record that this box sent a call of `chat` to `engine`; return the holding if new."""
        holding = Holding(hash32(chat), engine)
        return holding if self._record(holding, now) else None

    def record_updates(self, holdings: Iterable[Holding], now: float) -> list[Holding]:
        """Record holdings from a peer's digest and return those that are new here."""
        return [holding for holding in holdings if self._record(holding, now)]

    def record_holdings(self, holdings: Iterable[Holding], now: float) -> None:
        """Record all holdings that a peer or an engine knows of."""
        for holding in holdings:
            self._record(holding, now)

    def _record(self, holding: Holding, now: float) -> bool:
        expiry = self._chats.setdefault(holding.chat, {})
        self._chats.move_to_end(holding.chat)
        if len(self._chats) > CHATS_MAX:
            self._chats.popitem(last=False)
        if expiry.get(holding.engine, 0.0) > now + KEEP_SECONDS / 2:
            return False
        # Renewed, and so sent to peers again, at half of its lifetime: a holding in use must
        # not expire at the peers.
        expiry[holding.engine] = now + KEEP_SECONDS
        return True

    def engines_holding(self, chat: str, now: float) -> list[str]:
        """Return the engines that are assumed to hold `chat`."""
        expiry = self._chats.get(hash32(chat))
        if not expiry:
            return []
        return [engine for engine, until in expiry.items() if until > now]

    def current_holdings(self, now: float) -> tuple[Holding, ...]:
        """Return all unexpired holdings, for a box that has just started."""
        return tuple(
            Holding(chat, engine)
            for chat, expiry in self._chats.items()
            for engine, until in expiry.items()
            if until > now
        )

    def __len__(self) -> int:
        return len(self._chats)
