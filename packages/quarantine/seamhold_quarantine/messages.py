"""Messages that boxes exchange about requests under which engines ended.

What they call a request may also be a prompt part that requests have in common: a `Feature`.
"""

from enum import StrEnum

from msgspec import Struct


class Standing(StrEnum):
    """How a request may run.

    `SUSPECT`: alone, one run at a time in the fleet.  `QUARANTINED`: not at present.
    """

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


class EngineEnd(Struct, frozen=True):
    """An engine that ended while it ran a request, `age` seconds ago.

    `engine` is a 64-bit hash of the engine's name, which identifies one start of it.  `on_trial`
    is whether the request was a suspect and ran there alone.  `partners` are the digests of the
    other features of that run which were as suspect: any of them may be the cause.
    """

    engine: int
    on_trial: bool = False
    age: float = 0.0
    partners: frozenset[str] = frozenset()


class Case(Struct, frozen=True):
    """A request under which engines ended, as boxes send and store it.

    `request` is the digest of its identity, `scope` the hash of everything but its body; `part`
    is the id of a prompt part if the case is of one.  The request was cleared `clears` times, by
    a successful run or by an operator, last `cleared_age` seconds ago; ends before that do not
    count.
    """

    request: str
    scope: int
    workspace: str
    ends: tuple[EngineEnd, ...] = ()
    clears: int = 0
    cleared_age: float | None = None
    part: str = ''


class EndReport(Struct, frozen=True):
    """A box's report that an engine ended under a request."""

    request: str
    scope: int
    workspace: str
    end: EngineEnd
    part: str = ''


class TrialRequest(Struct, frozen=True):
    """A box's query whether a suspect request may run now, for at most `seconds`.

    `run` identifies the run.  `request` is the most suspect of the request's `features`, which
    are digests; without features it is the only one.
    """

    request: str
    run: str
    seconds: float
    features: frozenset[str] = frozenset()


class TrialResult(Struct, frozen=True):
    """The end of a suspect's run; `well` is whether its engine answered it.

    `features` are as in a TrialRequest.
    """

    request: str
    run: str
    well: bool
    features: frozenset[str] = frozenset()


class Verdict(StrEnum):
    """Whether a request may run.

    `ASK`: the request is a suspect, and the box that coordinates its trials decides.
    """

    RUN = 'run'
    RUN_ALONE = 'run_alone'
    ASK = 'ask'
    WAIT = 'wait'
    REFUSE = 'refuse'


class Permission(Struct, frozen=True):
    """The reply to a TrialRequest; a refused request may be retried after `rest` seconds.

    `request` is the feature that decided.
    """

    verdict: Verdict
    rest: float = 0.0
    request: str = ''
