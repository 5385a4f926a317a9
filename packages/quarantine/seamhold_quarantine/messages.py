"""What boxes tell each other of requests under which engines ended."""

from enum import StrEnum

from msgspec import Struct


class Standing(StrEnum):
    """How a request may run.

    `SUSPECT`: alone, one run at a time in the fleet.  `QUARANTINED`: not now.
    """

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


class EngineEnd(Struct, frozen=True):
    """An engine that ended while it ran a request, `age` seconds ago.

    `engine` is a 64-bit hash of the name of its start.  `on_trial` tells that the
    request ran there alone, as a suspect.
    """

    engine: int
    on_trial: bool = False
    age: float = 0.0


class Case(Struct, frozen=True):
    """A request under which engines ended, as it travels between boxes and is stored.

    `request` is the digest of its identity, `scope` the hash of all but its body.  It
    was cleared `clears` times, by a run that ended well or by an operator, the last
    time `cleared_age` seconds ago; ends before that do not count.
    """

    request: str
    scope: int
    workspace: str
    ends: tuple[EngineEnd, ...] = ()
    clears: int = 0
    cleared_age: float | None = None


class EndReport(Struct, frozen=True):
    """A box tells that an engine ended under a request."""

    request: str
    scope: int
    workspace: str
    end: EngineEnd


class TrialAsk(Struct, frozen=True):
    """A box asks whether a suspect may run now, for at most `seconds`.

    `run` names the run.
    """

    request: str
    run: str
    seconds: float


class TrialOver(Struct, frozen=True):
    """A suspect's run is over; `well` tells that its engine answered it."""

    request: str
    run: str
    well: bool


class Verdict(StrEnum):
    """Whether a request may run.

    `ASK`: a suspect, so the box that joins what is known of it says.
    """

    RUN = 'run'
    RUN_ALONE = 'run_alone'
    ASK = 'ask'
    WAIT = 'wait'
    REFUSE = 'refuse'


class Permission(Struct, frozen=True):
    """The answer to TrialAsk; a refused request may be tried again in `rest` seconds."""

    verdict: Verdict
    rest: float = 0.0
