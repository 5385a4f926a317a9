"""Merges the levels of the settings tree into the policy of one route."""

from msgspec import Struct, field

from .schema import FleetSpec, PlatformOutage, Policy, ServiceKind, WorkspaceSpec

#: Policy values that apply where no level sets them.
DEFAULTS = Policy(
    repeatable=True,
    deadline=60.0,
    priority=1,
    resumable=False,
    retries=2,
    max_body_bytes=4 * 1024 * 1024,
    expected_output_tokens=256,
    queue_calls=64,
    platform_outage=PlatformOutage.REFUSE,
)


class SettingsObject(Struct, frozen=True):
    """One part of the tree, stored as `name`; `spec` is as written by the operator."""

    name: str
    spec: dict


class Tree(Struct, frozen=True):
    """A complete settings tree: the fleet and its workspaces by name.

    `objects` are the objects it was read from; boxes need only the parsed specs.
    """

    fleet: FleetSpec = field(default_factory=FleetSpec)
    workspaces: dict[str, WorkspaceSpec] = field(default_factory=dict)
    objects: tuple[SettingsObject, ...] = ()


class ResolvedRoute(Struct, frozen=True):
    """One route with its fully merged policy."""

    workspace: str
    service: str
    route: str
    kind: ServiceKind
    policy: Policy


def merge(levels: list[Policy]) -> Policy:
    """Merge policies; a key set by a later level overrides earlier levels."""
    values = {}
    for level in levels:
        items = ((name, getattr(level, name)) for name in Policy.__struct_fields__)
        values |= {name: value for name, value in items if value is not None}
    return Policy(**values)


def resolve(tree: Tree, workspace: str, service: str, route: str = '') -> ResolvedRoute | None:
    """Return the merged policy of a route, or None if the workspace may not call the service.

    The route whose name is the longest prefix of `route` applies.
    """
    workspace_spec = tree.workspaces.get(workspace)
    offered = tree.fleet.services.get(service)
    if workspace_spec is None or offered is None or service not in workspace_spec.services:
        return None
    used = workspace_spec.services[service]
    levels = [DEFAULTS, tree.fleet.policy, offered.policy, workspace_spec.policy, used.policy]
    matching = [name for name in used.routes if route.startswith(name)]
    name = max(matching, key=len, default='')
    if name:
        levels.append(used.routes[name].policy)
    return ResolvedRoute(workspace, service, name, offered.kind, merge(levels))


def service_of_model(tree: Tree, model: str) -> str | None:
    """Return the name of the fleet's service that serves `model`, or None."""
    for name, service in tree.fleet.services.items():
        if model in service.models:
            return name
    return None
