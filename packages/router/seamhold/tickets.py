"""The task that owns this box's tickets."""

from collections.abc import Callable

from msgspec import Struct

from seamhold_attempts.tickets import TicketName, TicketStore

from .tasks import Query, Task


class IssueTickets(Query):
    """Requests new tickets; `lifetime` is in seconds."""

    workspace: str
    count: int
    lifetime: float


class BeginTicket(Query):
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


class TicketTask(Task):
    """Owns the tickets of this box's incarnation."""

    name = 'tickets'

    def __init__(self, ticket_store: TicketStore, clock: Callable[[], float]):
        super().__init__()
        self._ticket_store = ticket_store
        self._clock = clock
        self.handlers = {
            IssueTickets: self._issue,
            BeginTicket: self._begin,
            TicketNotRun: lambda message: ticket_store.mark_not_run(message.ticket),
            TicketDone: lambda message: ticket_store.mark_done(message.ticket),
        }

    def _issue(self, message: IssueTickets) -> list[str]:
        return self._ticket_store.issue(
            message.workspace, message.count, message.lifetime, self._clock()
        )

    def _begin(self, message: BeginTicket) -> None:
        self._ticket_store.begin(
            message.ticket, message.workspace, message.body_hash, self._clock()
        )
