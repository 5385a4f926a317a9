"""What stands between a call and its second run.

A guard's `begin` is called in the step before the first byte goes to an
engine, and raises if the call was sent before.  `not_run` takes that back,
only when the engines are certain not to have run it; `done` ends it.
"""

from collections.abc import Callable
from concurrent.futures import TimeoutError as FutureTimeout
from typing import Protocol

from seamhold_attempts.claims import ClaimState
from seamhold_attempts.tickets import TicketName
from seamhold_messages.errors import (
    ClaimsFull,
    ClaimsUnavailable,
    KeyInUse,
    KeyMismatch,
)
from seamhold_peers import ClaimRequest

from .claims import ClaimWriter, ReleaseClaim
from .metrics import Metrics
from .tickets import BeginTicket, TicketDesk, TicketDone, TicketNotRun

TASK_SECONDS = 5.0


class Guard(Protocol):
    """Lets a call be sent once."""

    def begin(self, remaining: float) -> None:
        """The call is about to be sent; `remaining` is in seconds."""

    def not_run(self) -> None:
        """The call is certain not to have run."""

    def done(self) -> None:
        """The call ended."""


class OpenGuard:
    """For calls that need none: each arrival is its own request."""

    def begin(self, remaining: float) -> None:
        """Nothing to check."""

    def not_run(self) -> None:
        """Nothing to take back."""

    def done(self) -> None:
        """Nothing to end."""


class TicketGuard:
    """For a call whose ticket this box holds."""

    def __init__(self, desk: TicketDesk, ticket: TicketName, workspace: str, body_hash: str):
        self._desk = desk
        self._ticket = ticket
        self._workspace = workspace
        self._body_hash = body_hash

    def begin(self, remaining: float) -> None:
        """Mark the ticket used, or raise KeyInUse or TicketUnknown."""
        message = BeginTicket(self._ticket, self._workspace, self._body_hash)
        self._desk.ask(message).result(TASK_SECONDS)

    def not_run(self) -> None:
        """Open the ticket again."""
        self._desk.send(TicketNotRun(self._ticket))

    def done(self) -> None:
        """Close the ticket."""
        self._desk.send(TicketDone(self._ticket))


class ClaimGuard:
    """For a not repeatable call with an idempotency key."""

    def __init__(
        self,
        ask: ClaimRequest,
        claim: Callable[[ClaimRequest], ClaimState],
        writer: ClaimWriter,
        metrics: Metrics,
        run_unclaimed: bool,
    ):
        self._ask = ask
        self._claim = claim
        self._writer = writer
        self._metrics = metrics
        self._run_unclaimed = run_unclaimed

    def begin(self, remaining: float) -> None:
        """Own the key, or raise what stands against it."""
        try:
            state = self._claim(self._ask)
        except FutureTimeout as error:
            raise ClaimsUnavailable('the key was not recorded in time', 1.0) from error
        except ClaimsUnavailable as error:
            if not self._run_unclaimed:
                raise ClaimsUnavailable(
                    f'{error.detail}; calls with a ticket run without the platform', 1.0
                ) from error
            self._metrics.count('claims.run_unclaimed')
            return
        if state is ClaimState.TAKEN:
            raise KeyInUse('a call with this key was sent before')
        if state is ClaimState.MISMATCH:
            raise KeyMismatch('the key came before with another body')
        if state is ClaimState.FULL:
            raise ClaimsFull('too many keys are recorded', 60.0)

    def not_run(self) -> None:
        """Give the key back, so that the caller's next try may run."""
        self._writer.send(ReleaseClaim(self._ask.bucket, self._ask.key, self._ask.owner))

    def done(self) -> None:
        """The claim stays: it is what stops a second run."""
