"""Which engines have read what a chat shares, as far as this box knows.

A box learns it from its own placements and from its peers'.  It is a belief:
engines forget what was unused for longest, and say nothing of it here.  So an
entry is forgotten after a while, and a wrong one costs one reading.
"""

from collections import OrderedDict
from collections.abc import Iterable

from seamhold_messages.hashing import hash32
from seamhold_messages.work import Holding

#: How long a holding that nobody uses is taken to be true.
KEEP_SECONDS = 60.0
#: Chats that are remembered at most; the one that was used least lately goes.
CHATS_MAX = 100_000


class HolderTable:
    """Engines by chat, with the time until each is taken to hold it."""

    def __init__(self):
        self._chats: OrderedDict[int, dict[str, float]] = OrderedDict()
        #: What engines themselves told this box.
        self.learned: tuple[Holding, ...] = ()

    def learn(self, engine: str, chats: Iterable[str], now: float) -> None:
        """An engine told which chats it has read.

        That is too much for the messages that carry news; peers ask for it.
        """
        holdings = tuple(Holding(hash32(chat), engine) for chat in chats)
        self.learned += holdings
        self.heard(holdings, now)

    def placed(self, chat: str, engine: str, now: float) -> Holding | None:
        """This box sent a call of `chat` to `engine`: what is new by it."""
        holding = Holding(hash32(chat), engine)
        return holding if self._note(holding, now) else None

    def told(self, holdings: Iterable[Holding], now: float) -> list[Holding]:
        """A peer passed on what engines read: what is new here."""
        return [holding for holding in holdings if self._note(holding, now)]

    def heard(self, holdings: Iterable[Holding], now: float) -> None:
        """A peer told all that it knows of what engines read."""
        for holding in holdings:
            self._note(holding, now)

    def _note(self, holding: Holding, now: float) -> bool:
        held = self._chats.setdefault(holding.chat, {})
        self._chats.move_to_end(holding.chat)
        if len(self._chats) > CHATS_MAX:
            self._chats.popitem(last=False)
        if held.get(holding.engine, 0.0) > now + KEEP_SECONDS / 2:
            return False
        # Noted anew in good time, so that what is in use is not forgotten elsewhere.
        held[holding.engine] = now + KEEP_SECONDS
        return True

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

    def __len__(self) -> int:
        return len(self._chats)
