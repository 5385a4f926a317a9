"""Guards that prevent a call from running twice.

`begin` is called directly before the first byte is sent to an engine, and raises an error
if the call was sent before.  `not_run` reverts it, only if the call is certain not to have
run; `done` ends the guard.
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
from .tickets import BeginTicket, TicketDone, TicketNotRun, TicketTask

#: Maximum wait for a reply of the ticket task, in seconds.
TASK_SECONDS = 5.0


class Guard(Protocol):
    """Ensures that a call is sent at most once."""

    def begin(self, remaining: float) -> None:
        """Record that the call is about to be sent; `remaining` is in seconds."""

    def not_run(self) -> None:
        """Record that the call is certain not to have run."""

    def done(self) -> None:
        """Record that the call has ended."""


class NullGuard:
    """Guards nothing: for calls whose every arrival is a separate request."""

    def begin(self, remaining: float) -> None:
        """Do nothing."""

    def not_run(self) -> None:
        """Do nothing."""

    def done(self) -> None:
        """Do nothing."""


class TicketGuard:
    """Guards a call whose ticket this box holds."""

    def __init__(self, ticket_task: TicketTask, ticket: TicketName, workspace: str, body_hash: str):
        self._ticket_task = ticket_task
        self._ticket = ticket
        self._workspace = workspace
        self._body_hash = body_hash

    def begin(self, remaining: float) -> None:
        """Mark the ticket used; raises KeyInUse, KeyMismatch or TicketUnknown."""
        message = BeginTicket(self._ticket, self._workspace, self._body_hash)
        self._ticket_task.query(message).result(TASK_SECONDS)

    def not_run(self) -> None:
        """Reopen the ticket."""
        self._ticket_task.send(TicketNotRun(self._ticket))

    def done(self) -> None:
        """Close the ticket."""
        self._ticket_task.send(TicketDone(self._ticket))


class ClaimGuard:
    """Guards a call with an idempotency key that is not repeatable."""

    def __init__(
        self,
        request: ClaimRequest,
        claim: Callable[[ClaimRequest], ClaimState],
        writer: ClaimWriter,
        metrics: Metrics,
        run_unclaimed: bool,
    ):
        self._request = request
        self._claim = claim
        self._writer = writer
        self._metrics = metrics
        self._run_unclaimed = run_unclaimed

    def begin(self, remaining: float) -> None:
        """Acquire the key.

        Raises KeyInUse, KeyMismatch, ClaimsFull or ClaimsUnavailable if that fails.
        """
        try:
            state = self._claim(self._request)
        except FutureTimeout as error:
            raise ClaimsUnavailable('the key was not stored in time', 1.0) from error
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
            raise KeyMismatch('this key was sent before with another body')
        if state is ClaimState.FULL:
            raise ClaimsFull('too many keys are stored', 60.0)

    def not_run(self) -> None:
        """Release the key: the caller's next try may run."""
        self._writer.send(
            ReleaseClaim(self._request.bucket, self._request.key, self._request.owner)
        )

    def done(self) -> None:
        """Do nothing: the claim stays stored to prevent a second run."""
