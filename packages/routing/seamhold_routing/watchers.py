"""Which boxes watch the platform's store for all, and when the store is away."""

from seamhold_membership import BoxView
from seamhold_placement.rank import owners
from seamhold_settings.schema import Control

#: Boxes among neighbours that watch the platform's store for all of them.
WATCHERS = 4
WATCHERS_KEY = 'store-watchers'
#: A watcher that is not heard for so long, and for so many rounds of telling,
#: is taken to watch no more.
SILENT_SECONDS = 1.0
SILENT_ROUNDS = 2.2
#: What a usual digest takes of a box's bytes a second.
DIGEST_BYTES = 110


def silent_seconds(boxes: BoxView, control: Control) -> float:
    """After what silence a neighbour is not counted on: more where many are told."""
    round_bytes = len(boxes.neighbours()) * DIGEST_BYTES
    telling = max(control.digest_seconds, round_bytes / control.control_bytes_per_second)
    return max(SILENT_SECONDS, SILENT_ROUNDS * telling)


def watches(me: str, boxes: BoxView, control: Control, now: float) -> bool:
    """Whether this box is one of the few that watch the store.

    It is if it ranks among the first of its neighbours that are heard and
    served; those that fall silent are replaced within a second or two.
    """
    served = [*boxes.served(now, silent_seconds(boxes, control)), me]
    return me in owners(WATCHERS_KEY, served, WATCHERS)


def store_away(lost: bool, boxes: BoxView, control: Control, now: float) -> bool:
    """Whether most boxes lost the store, and not just this one, which `lost` tells."""
    losses = [*boxes.store_losses(now, silent_seconds(boxes, control)), lost]
    return 2 * sum(losses) > len(losses)
