"""Which engines have read what a chat shares, as far as this box knows.

A box learns it from its own placements and from its peers'.  It is a belief:
engines forget what was unused for longest, and say nothing of it here.  So an
entry is forgotten after a while, and a wrong one costs one reading.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable

from seamhold_messages.hashing import hash32
from seamhold_messages.work import Holding

KEEP_SECONDS = 60.0
#: Chats that are remembered at most; the one that was used least lately goes.
CHATS_MAX = 100_000
#: For how long a new holding is told: about two digests.
TELL_SECONDS = 0.6
#: Holdings that one message carries at most.
TELL_MAX = 64


class HolderTable:
    """Engines by chat, with the time until each is taken to hold it."""

    def __init__(self):
        self._chats: OrderedDict[int, dict[str, float]] = OrderedDict()
        self._news: deque[tuple[float, Holding]] = deque()

    def placed(self, chat: str, engine: str, now: float) -> None:
        """This box sent a call of `chat` to `engine`; peers hear of it if it is new."""
        holding = Holding(hash32(chat), engine)
        if self._note(holding, now):
            self._news.append((now, holding))

    def heard(self, holdings: Iterable[Holding], now: float) -> None:
        """A peer told what engines read."""
        for holding in holdings:
            self._note(holding, now)

    def _note(self, holding: Holding, now: float) -> bool:
        held = self._chats.setdefault(holding.chat, {})
        self._chats.move_to_end(holding.chat)
        if len(self._chats) > CHATS_MAX:
            self._chats.popitem(last=False)
        known = held.get(holding.engine, 0.0) > now
        held[holding.engine] = now + KEEP_SECONDS
        return not known

    def of(self, chat: str, now: float) -> list[str]:
        """The engines taken to hold `chat`."""
        held = self._chats.get(hash32(chat))
        if not held:
            return []
        return [engine for engine, until in held.items() if until > now]

    def all(self, now: float) -> tuple[Holding, ...]:
        """Every holding that is still taken to be true, for a box that just started."""
        return tuple(
            Holding(chat, engine)
            for chat, held in self._chats.items()
            for engine, until in held.items()
            if until > now
        )

    def news(self, now: float) -> tuple[Holding, ...]:
        """What is new here and should be told now."""
        while self._news and self._news[0][0] < now - TELL_SECONDS:
            self._news.popleft()
        return tuple(holding for _, holding in list(self._news)[-TELL_MAX:])

    def __len__(self) -> int:
        return len(self._chats)
