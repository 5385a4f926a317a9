"""What a box takes engines and boxes to be, and by whose word: for the logs."""

from enum import StrEnum

from msgspec import Struct

from seamhold_membership import Event, EventKind
from seamhold_messages.fleet import Phase

#: Who told a belief that comes from the platform's list.
LIST_SOURCE = 'list'
#: Who told that an engine fails more than its siblings: all boxes together.
OUTLIER_SOURCE = 'compared'
#: Who told that a box is gone or back: this box hears it, or does not.
SILENCE_SOURCE = 'silence'
HEARD_SOURCE = 'heard'


class Sign(StrEnum):
    """What a belief rests on.

    `CALL`: how one of this box's own calls ended.  `REFUSAL`: an engine said so itself in
    answer to one.  `TOLD`: a peer's word, whose own log has its sign.
    """

    LIST = 'list'
    CALL = 'call'
    REFUSAL = 'refusal'
    COMPARED = 'compared'
    TOLD = 'told'
    SILENCE = 'silence'


#: What an event makes of its subject.
EVENT_PHASES = {
    EventKind.ENGINE_LEAVING: Phase.LEAVING,
    EventKind.BOX_LEAVING: Phase.LEAVING,
    EventKind.BOX_GONE: Phase.GONE,
}


class Belief(Struct, frozen=True):
    """What this box now takes an engine or a box to be, by whose word and which sign."""

    subject: str
    phase: Phase
    source: str
    sign: Sign


def belief_from(event: Event, sign: Sign) -> Belief:
    """What an event that a box told makes of its subject."""
    return Belief(event.subject, EVENT_PHASES[event.kind], event.origin, sign)


def changes(before: dict[str, Phase], after: dict[str, Phase]) -> list[Belief]:
    """What a new list changed; what is not in it any more is gone."""
    return [
        Belief(name, after.get(name, Phase.GONE), LIST_SOURCE, Sign.LIST)
        for name in sorted(before.keys() | after.keys())
        if before.get(name, Phase.GONE) is not after.get(name, Phase.GONE)
    ]
