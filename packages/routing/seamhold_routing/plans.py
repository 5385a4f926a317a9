"""What the settings say of placing calls and of workspaces' limits, in the parts' own types."""

from msgspec import Struct, field

from seamhold_limits import WorkspaceCaps
from seamhold_placement import BoundPolicy
from seamhold_settings import Tree
from seamhold_settings.resolve import DEFAULTS


class ServicePlan(Struct, frozen=True):
    """What the settings say of placing one service's calls.

    `patience` is how long a call waits for the engine that holds its cache
    before it goes to another, in seconds.  `cold_per_second` is how many calls a
    second an engine bears while it is cold, 0 if that is no fewer than later.
    """

    bound: BoundPolicy = field(default_factory=BoundPolicy)
    queue_calls: int = 64
    patience: float = 0.0
    cold_per_second: float = 0.0


def plan_for(tree: Tree, service: str) -> ServicePlan:
    """What a tree says of placing the calls of `service`."""
    placement = tree.fleet.placement
    bound = BoundPolicy(
        placement.admitted_multiple,
        placement.floor_requests,
        placement.floor_tokens,
    )
    offered = tree.fleet.services.get(service)
    queue_calls = offered.policy.queue_calls if offered else None
    if queue_calls is None:
        queue_calls = tree.fleet.policy.queue_calls
    if queue_calls is None:
        queue_calls = DEFAULTS.queue_calls
    cold_per_second = offered.cold_requests_per_second if offered else 0.0
    return ServicePlan(bound, queue_calls, placement.patience, cold_per_second)


def caps_for(tree: Tree) -> dict[str, WorkspaceCaps]:
    """The limits of each workspace, by name."""
    return {
        name: WorkspaceCaps(
            space.limits.requests_in_flight,
            space.limits.tokens_in_flight,
            space.limits.requests_per_second,
        )
        for name, space in tree.workspaces.items()
    }
