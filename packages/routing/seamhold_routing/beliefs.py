"""What a box assumes about engines and boxes, with the source and reason, for the logs."""

from enum import StrEnum

from msgspec import Struct

from seamhold_membership import Event, EventKind
from seamhold_messages.fleet import Phase

#: Source of a belief that comes from the platform's list.
LIST_SOURCE = 'list'
#: Source of a belief that an engine is an outlier: the failures counted by all boxes.
OUTLIER_SOURCE = 'compared'
#: Sources of a belief that a box is gone or back: this box stopped or resumed receiving
#: its messages.
SILENCE_SOURCE = 'silence'
RECEIVED_SOURCE = 'heard'


class Sign(StrEnum):
    """The kind of observation that a belief is based on.

    `LIST`: the platform's list.  `CALL`: the outcome of one of this box's own calls.
    `ANSWER`: what an engine said of itself with an answer to such a call.  `COMPARED`: the
    engine failed far more often than others of its service.  `TOLD`: a report from a peer, whose
    own log has the sign.  `SILENCE`: a peer's messages stopped or resumed.
    """

    LIST = 'list'
    CALL = 'call'
    ANSWER = 'answer'
    COMPARED = 'compared'
    TOLD = 'told'
    SILENCE = 'silence'


#: The phase that each kind of event puts its subject in.
EVENT_PHASES = {
    EventKind.ENGINE_LEAVING: Phase.LEAVING,
    EventKind.BOX_LEAVING: Phase.LEAVING,
    EventKind.BOX_GONE: Phase.GONE,
}


class Belief(Struct, frozen=True):
    """The phase that this box now assumes for an engine or a box, its source and its sign."""

    subject: str
    phase: Phase
    source: str
    sign: Sign


def belief_from_event(event: Event, sign: Sign) -> Belief | None:
    """Return the belief that follows from an event, None if it changes no phase."""
    phase = EVENT_PHASES.get(event.kind)
    return None if phase is None else Belief(event.subject, phase, event.origin, sign)


def phase_changes(before: dict[str, Phase], after: dict[str, Phase]) -> list[Belief]:
    """Return what a new list changed; a name that is missing from a list counts as gone."""
    return [
        Belief(name, after.get(name, Phase.GONE), LIST_SOURCE, Sign.LIST)
        for name in sorted(before.keys() | after.keys())
        if before.get(name, Phase.GONE) is not after.get(name, Phase.GONE)
    ]
