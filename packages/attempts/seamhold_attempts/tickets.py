"""Tickets: a call that only one incarnation of one box can ever dispatch.

A ticket names a box and its incarnation.  Only that process holds the ticket's state, in
memory, and it dispatches the ticket at most once.  When the process is gone, so is the
ticket, and callers are told that the call may have run.  No clock, lease or platform write
takes part, therefore pauses and outages do not affect the guarantee.
"""

import secrets
from collections import OrderedDict
from enum import StrEnum

from msgspec import Struct

from seamhold_messages.errors import (
    KeyInUse,
    KeyMismatch,
    TicketsFull,
    TicketUnknown,
)

SEPARATOR = '.'
SECRET_BYTES = 12


class TicketState(StrEnum):
    """The state of a ticket.

    It moves from `OPEN` to `DISPATCHED` to `DONE`, and back to `OPEN` only if the dispatched
    call is certain not to have run.
    """

    OPEN = 'open'
    DISPATCHED = 'dispatched'
    DONE = 'done'


def begin_state(state: TicketState) -> TicketState:
    """Return the state after a dispatch begins; raise KeyInUse unless the ticket is open."""
    if state is not TicketState.OPEN:
        raise KeyInUse(f'the ticket was already used, its state is {state}')
    return TicketState.DISPATCHED


def not_run_state(state: TicketState) -> TicketState:
    """Return the state after a dispatch that is certain not to have run."""
    return TicketState.OPEN if state is TicketState.DISPATCHED else state


class TicketName(Struct, frozen=True):
    """The parts of a ticket."""

    box: str
    incarnation: str
    secret: str

    def __str__(self) -> str:
        return SEPARATOR.join((self.box, self.incarnation, self.secret))


class _Ticket(Struct):
    workspace: str
    expires: float
    state: TicketState = TicketState.OPEN
    body_hash: str = ''


def parse_ticket(text: str) -> TicketName:
    """Parse a ticket; raise TicketUnknown if it is malformed."""
    parts = text.split(SEPARATOR)
    if len(parts) != 3 or not all(parts):
        raise TicketUnknown(f'malformed ticket, expected three parts joined by {SEPARATOR!r}')
    return TicketName(*parts)


class TicketStore:
    """The tickets of one box incarnation, at most `max_tickets` at a time."""

    def __init__(self, box: str, incarnation: str, max_tickets: int = 100_000):
        self.box = box
        self.incarnation = incarnation
        self.max_tickets = max_tickets
        self._tickets: OrderedDict[str, _Ticket] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tickets)

    def issue(self, workspace: str, count: int, lifetime: float, now: float) -> list[str]:
        """Return `count` new tickets that expire after `lifetime` seconds.

        Raises TicketsFull if that would exceed `max_tickets`.
        """
        self._drop_expired(now)
        if len(self._tickets) + count > self.max_tickets:
            detail = f'{count} more tickets would exceed the limit of {self.max_tickets} per box'
            raise TicketsFull(detail, lifetime)
        issued = []
        for _ in range(count):
            name = TicketName(self.box, self.incarnation, secrets.token_hex(SECRET_BYTES))
            self._tickets[name.secret] = _Ticket(workspace, now + lifetime)
            issued.append(str(name))
        return issued

    def _drop_expired(self, now: float) -> None:
        while self._tickets:
            secret, ticket = next(iter(self._tickets.items()))
            if ticket.expires > now:
                return
            del self._tickets[secret]

    def _find(self, name: TicketName, workspace: str, now: float) -> _Ticket:
        ticket = self._tickets.get(name.secret)
        issued_here = (name.box, name.incarnation) == (self.box, self.incarnation)
        if (
            not issued_here
            or ticket is None
            or ticket.workspace != workspace
            or ticket.expires <= now
        ):
            raise TicketUnknown('no running box holds this ticket')
        return ticket

    def begin(self, name: TicketName, workspace: str, body_hash: str, now: float) -> None:
        """Mark the ticket dispatched; it cannot be dispatched again unless `mark_not_run` follows.

        Must be called before the first byte is sent to an engine.  Raises KeyInUse if the
        ticket was dispatched before with the same body, KeyMismatch if with another body, and
        TicketUnknown if it is not a valid ticket of this workspace and box incarnation.
        """
        ticket = self._find(name, workspace, now)
        if ticket.state is not TicketState.OPEN and ticket.body_hash != body_hash:
            raise KeyMismatch('the ticket was used with a different body')
        ticket.state = begin_state(ticket.state)
        ticket.body_hash = body_hash

    def mark_not_run(self, name: TicketName) -> None:
        """Reopen the ticket of a call that is certain not to have run."""
        ticket = self._tickets.get(name.secret)
        if ticket is not None:
            ticket.state = not_run_state(ticket.state)

    def mark_done(self, name: TicketName) -> None:
        """Mark the ticket done once its call has ended, with whatever result."""
        ticket = self._tickets.get(name.secret)
        if ticket is not None:
            ticket.state = TicketState.DONE
