"""The task that owns this box's tickets."""

from collections.abc import Callable

from msgspec import Struct

from seamhold_attempts.tickets import TicketBook, TicketName

from .tasks import Ask, Task


class MintTickets(Ask):
    """Requests new tickets; `lifetime` is in seconds."""

    workspace: str
    count: int
    lifetime: float


class BeginTicket(Ask):
    """Marks a ticket used before its call is sent; fails if the call was sent before."""

    ticket: TicketName
    workspace: str
    body_hash: str


class TicketNotRun(Struct):
    """Reports that the call of a ticket is certain not to have run."""

    ticket: TicketName


class TicketDone(Struct):
    """Reports that the call of a ticket has ended."""

    ticket: TicketName


class TicketDesk(Task):
    """Owns the tickets of this box's incarnation."""

    name = 'tickets'

    def __init__(self, book: TicketBook, clock: Callable[[], float]):
        super().__init__()
        self._book = book
        self._clock = clock
        self.handlers = {
            MintTickets: self._mint,
            BeginTicket: self._begin,
            TicketNotRun: lambda message: book.not_run(message.ticket),
            TicketDone: lambda message: book.done(message.ticket),
        }

    def _mint(self, message: MintTickets) -> list[str]:
        return self._book.mint(message.workspace, message.count, message.lifetime, self._clock())

    def _begin(self, message: BeginTicket) -> None:
        self._book.begin(message.ticket, message.workspace, message.body_hash, self._clock())
