"""The task that owns this box's tickets."""

from collections.abc import Callable

from msgspec import Struct

from seamhold_attempts.tickets import TicketName, TicketStore

from .tasks import Ask, Task


class MintTickets(Ask):
    """Asks for fresh tickets; `lifetime` is in seconds."""

    workspace: str
    count: int
    lifetime: float


class BeginTicket(Ask):
    """A ticketed call is about to be sent; fails if it ever was."""

    ticket: TicketName
    workspace: str
    body_hash: str


class TicketNotRun(Struct):
    """The engine is certain not to have run the call."""

    ticket: TicketName


class TicketDone(Struct):
    """The ticketed call ended."""

    ticket: TicketName


class TicketDesk(Task):
    """Owns the ticket book of this box's incarnation."""

    name = 'tickets'

    def __init__(self, book: TicketStore, clock: Callable[[], float]):
        super().__init__()
        self._book = book
        self._clock = clock
        self.handlers = {
            MintTickets: self._mint,
            BeginTicket: self._begin,
            TicketNotRun: lambda message: book.mark_not_run(message.ticket),
            TicketDone: lambda message: book.mark_done(message.ticket),
        }

    def _mint(self, message: MintTickets) -> list[str]:
        return self._book.issue(message.workspace, message.count, message.lifetime, self._clock())

    def _begin(self, message: BeginTicket) -> None:
        self._book.begin(message.ticket, message.workspace, message.body_hash, self._clock())
