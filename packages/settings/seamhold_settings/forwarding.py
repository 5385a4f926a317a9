"""Lookup of forwarded routes by host and longest path prefix.

A forwarded request reaches its backend server unchanged.  The settings tree defines
its service, who may send it and its policy.
"""

from collections.abc import Mapping

from seamhold_messages.hashing import HASH32_SPAN, hash32

from .resolve import DEFAULTS, Tree, merge
from .schema import ForwardedRoute, Policy, ServiceShare

PATH_SEPARATOR = '/'


class RouteTable:
    """Index of the routes, keys and merged policies of one tree.

    It is built when a tree becomes active; its routes and keys never change.
    """

    def __init__(self, tree: Tree):
        self._tree = tree
        self._by_host: dict[str, dict[str, ForwardedRoute]] = {}
        self._workspace_by_key: dict[str, str] = {}
        self._policies: dict[tuple[str, str, str], Policy] = {}
        for route in tree.fleet.forwarding:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes.setdefault(route.path_prefix, route)
        ambiguous_keys = set()
        for name, workspace_spec in tree.workspaces.items():
            for key in workspace_spec.keys:
                if self._workspace_by_key.setdefault(key, name) != name:
                    ambiguous_keys.add(key)
        # A key that belongs to two workspaces would let one act as the other.
        for key in ambiguous_keys:
            del self._workspace_by_key[key]

    def find(self, host: str, path: str) -> ForwardedRoute | None:
        """Return the route with the longest prefix of `path`; ignores a port in `host`."""
        prefixes = self._by_host.get(host.partition(':')[0].lower())
        if not prefixes:
            return None
        end = len(path.partition('?')[0])
        while end > 0:
            end = path.rfind(PATH_SEPARATOR, 0, end) + 1
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None

    @property
    def routes(self) -> Mapping[str, Mapping[str, ForwardedRoute]]:
        """The routes by host, in lower case, and path prefix."""
        return self._by_host

    @property
    def requires_key(self) -> bool:
        """Whether callers need a key, which is so if the tree has workspaces."""
        return bool(self._tree.workspaces)

    def workspace_for_key(self, key_hash: str) -> str | None:
        """Return the workspace of a key, given as its hash in the settings."""
        return self._workspace_by_key.get(key_hash)

    def policy(self, route: ForwardedRoute, service: str, workspace: str) -> Policy:
        """Return the route's policy, merged with those of all levels above it."""
        cache_key = (f'{route.host}{route.path_prefix}', service, workspace)
        policy = self._policies.get(cache_key)
        if policy is None:
            policy = self._policies[cache_key] = self._merged(route, service, workspace)
        return policy

    def _merged(self, route: ForwardedRoute, service: str, workspace: str) -> Policy:
        fleet = self._tree.fleet
        levels = [DEFAULTS, fleet.policy]
        if service in fleet.services:
            levels.append(fleet.services[service].policy)
        if workspace in self._tree.workspaces:
            levels.append(self._tree.workspaces[workspace].policy)
        return merge([*levels, route.policy])

    def workspace_priority(self, workspace: str) -> int:
        """Return the workspace's own priority, which outranks a route's; 0 is the highest."""
        return workspace_priority(self._tree, workspace)


def workspace_priority(tree: Tree, workspace: str) -> int:
    """Return a workspace's own priority, 0 if it has none; 0 is the highest."""
    workspace_spec = tree.workspaces.get(workspace)
    priority = workspace_spec.policy.priority if workspace_spec else None
    return 0 if priority is None else priority


def choose_service(shares: list[ServiceShare], request_id: str) -> str | None:
    """Choose a request's service by weight; return None if all weights are 0.

    All boxes choose the same service for the same request.
    """
    total = sum(share.weight for share in shares)
    if total <= 0:
        return None
    point = hash32(request_id) / HASH32_SPAN * total
    for share in shares:
        point -= share.weight
        if point < 0 and share.weight > 0:
            return share.service
    return next(share.service for share in reversed(shares) if share.weight > 0)
