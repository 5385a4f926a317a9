"""The placement settings of services and the limits of workspaces, in the routing types."""

from msgspec import Struct, field

from seamhold_limits import WorkspaceCaps
from seamhold_placement import BoundPolicy
from seamhold_settings import Tree
from seamhold_settings.resolve import DEFAULTS


class ServicePlan(Struct, frozen=True):
    """The settings for placing one service's calls.

    `patience` is how long a call waits for the engine that holds its cache before it goes to
    another, in seconds.  `cold_per_second` is how many calls a second an engine can take while
    it is cold, 0 if a cold engine can take as many as a warm one.  `learned_concurrency` applies to
    services whose engines keep no prompts and report no load, `predicted_placement` to those whose
    engines report their speed.
    """

    bound: BoundPolicy = field(default_factory=BoundPolicy)
    queue_calls: int = 64
    patience: float = 0.0
    cold_per_second: float = 0.0
    learned_concurrency: bool = False
    predicted_placement: bool = False


def plan_for(tree: Tree, service: str) -> ServicePlan:
    """Return the plan for `service` from a settings tree."""
    placement = tree.fleet.placement
    bound = BoundPolicy(
        placement.admitted_multiple,
        placement.floor_requests,
        placement.floor_tokens,
    )
    service_spec = tree.fleet.services.get(service)
    queue_calls = service_spec.policy.queue_calls if service_spec else None
    if queue_calls is None:
        queue_calls = tree.fleet.policy.queue_calls
    if queue_calls is None:
        queue_calls = DEFAULTS.queue_calls
    cold_per_second = service_spec.cold_requests_per_second if service_spec else 0.0
    keeps_prompts = service_spec is not None and service_spec.keeps_prompts
    learned_concurrency = placement.learned_concurrency and not keeps_prompts
    return ServicePlan(
        bound,
        queue_calls,
        placement.patience,
        cold_per_second,
        learned_concurrency,
        placement.predicted_placement,
    )


def caps_for(tree: Tree) -> dict[str, WorkspaceCaps]:
    """Return the limits of each workspace, by name."""
    return {
        name: WorkspaceCaps(
            workspace.limits.requests_in_flight,
            workspace.limits.tokens_in_flight,
            workspace.limits.requests_per_second,
        )
        for name, workspace in tree.workspaces.items()
    }
