"""Decides whether an event of a stream is the next one that its caller may get.

The ids of a stream's events rise.  One order is kept for a call, over all its attempts and over
what the caller had received before it took the stream up.  Nothing is promised of the step by
which ids rise, nor of the first id: a step is learnt from two events in a row of one answer.
"""

from seamhold_messages.errors import EventOutOfOrder, EventsMissing

from .event_format import Event
from .event_steps import EventSteps

#: A number above 64 bits is not read as one.
DIGITS_MAX = 20
#: A longer id is not sent to another server.
ID_MAX_BYTES = 256
#: Where a service's streams have several steps, a call's own counts after it was seen so often.
STEPS_SEEN_MIN = 2


class EventOrder:
    """The order of one call's events.

    `resume_after` is the id of the last event that the caller received earlier, '' for none.
    Ids are numbers if they consist of digits.  Other ids have no order: they are only refused
    where a server that takes the stream up begins with the last one or with the first one.

    A jump beyond the call's step is a missing event.  Where the call had no two events in a row
    before the stream was taken up, the step of the service's other streams counts, while they have
    one, else that of the run which follows.

    `can_resume` is whether another server can be asked for the rest: not after data without an
    id, which it would repeat or leave out.
    """

    def __init__(self, resume_after: str, service: str, steps: EventSteps):
        self.can_resume = True
        self._service = service
        self._steps = steps
        #: The step of this call's events, 0 if it is not known.
        self._step = 0
        #: How often this call's events rose by that step in a row.
        self._steps_seen = 0
        self._has_one_step = True
        #: The jump to the first event of this run, if nothing could be compared with it; else 0.
        self._unjudged_jump = 0
        self._last = resume_after.encode('latin-1')
        self._number = _number_of(self._last)
        #: The number of the next event where nothing else has to be judged.
        self._next: int | None = None
        #: Whether no event without a number came between the last number and the next event.
        self._in_row = True
        self._call_first = b''
        self._run_first = b''

    @property
    def position(self) -> str:
        """The id of the last event that was accepted, '' for none."""
        return self._last.decode('latin-1')

    @property
    def first(self) -> str:
        """The id of the first event since the stream began or was taken up, '' for none."""
        return self._run_first.decode('latin-1')

    def accept(self, event: Event) -> None:
        """Record the next event.

        Raises EventOutOfOrder or EventsMissing if the caller may not get it.
        """
        if not event.id:
            if event.has_data:
                self._in_row, self._next = False, None
                self.can_resume = False
            return
        number = _number_of(event.id)
        if number is None or number != self._next:
            self._check(event.id, number)
        else:
            self._steps_seen += 1
        self._last = event.id
        self.can_resume = len(event.id) <= ID_MAX_BYTES
        self._in_row = number is not None
        if number is not None:
            self._number = number
            self._next = number + self._step if self._step else None

    def _check(self, event_id: bytes, number: int | None) -> None:
        if number is not None and self._number is not None:
            if number <= self._number:
                raise self._out_of_order(event_id)
            if self._in_row:
                self._check_step(event_id, number - self._number)
        elif not self._run_first and event_id in (self._last, self._call_first):
            raise self._out_of_order(event_id)
        if not self._run_first:
            self._run_first = event_id
            self._call_first = self._call_first or event_id

    def _out_of_order(self, event_id: bytes) -> EventOutOfOrder:
        return EventOutOfOrder(f'an id above {_shown(self._last)} is due, not {_shown(event_id)}')

    def _check_step(self, event_id: bytes, step: int) -> None:
        """Learn the step within an answer, and raise EventsMissing for a jump beyond it."""
        due = self._due_step()
        if not self._run_first and not due:
            self._unjudged_jump = step
        elif self._run_first and not self._step:
            self._step, self._steps_seen = step, 1
            self._steps.record(self._service, step)
            self._check_unjudged_jump(step)
        elif self._run_first and step != self._step and self._has_one_step:
            self._has_one_step = False
            self._steps.record_difference(self._service, self._step)
        if due and step > due:
            number = (self._number or 0) + due
            raise EventsMissing(
                f'{number} is due after {_shown(self._last)}, not {_shown(event_id)}'
            )

    def _check_unjudged_jump(self, step: int) -> None:
        """Raise EventsMissing if events are missing before the first one of this run.

        That one was passed on, so nobody can be asked for what is missing.
        """
        if self._unjudged_jump > step:
            self.can_resume = False
            raise EventsMissing(f'ids rise by {step}, and by {self._unjudged_jump} before this run')

    def _due_step(self) -> int:
        """Return the step to the next event, 0 if it is not known."""
        if not self._has_one_step:
            return 0
        if self._steps.differ(self._service):
            taken_up = not self._run_first
            return self._step if taken_up and self._steps_seen >= STEPS_SEEN_MIN else 0
        if self._step or self._run_first:
            return self._step
        return self._steps.known(self._service)

    def take_up(self) -> None:
        """Expect the rest of the stream from another server."""
        self._run_first = b''
        self._unjudged_jump = 0
        self._next = None
        self._in_row = _number_of(self._last) is not None


def _number_of(event_id: bytes) -> int | None:
    return int(event_id) if event_id.isdigit() and len(event_id) <= DIGITS_MAX else None


def _shown(event_id: bytes) -> str:
    return event_id[: DIGITS_MAX + 1].decode('latin-1')
