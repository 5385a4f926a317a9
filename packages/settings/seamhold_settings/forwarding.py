"""Routes of forwarded requests: found by host and by the longest path prefix.

A forwarded request reaches its backend server unchanged; which service that
is, who may send it and how it is treated stands in the tree.
"""

from seamhold_messages.hashing import HASH32_SPAN, hash32

from .resolve import DEFAULTS, Tree, merge
from .schema import ForwardedRoute, Policy, ServiceShare

PATH_SEPARATOR = '/'


class RouteTable:
    """The routes, keys and merged policies of one tree, ready for look-up.

    It is made when a tree comes into force and never changes.
    """

    def __init__(self, tree: Tree):
        self._tree = tree
        self._by_host: dict[str, dict[str, ForwardedRoute]] = {}
        self._workspace_by_key: dict[str, str] = {}
        self._policies: dict[tuple[str, str, str], Policy] = {}
        for route in tree.fleet.forwarding:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes.setdefault(route.path_prefix, route)
        shared = set()
        for name, space in tree.workspaces.items():
            for key in space.keys:
                if self._workspace_by_key.setdefault(key, name) != name:
                    shared.add(key)
        # A key that two workspaces name would let one act as the other.
        for key in shared:
            del self._workspace_by_key[key]

    def find(self, host: str, path: str) -> ForwardedRoute | None:
        """The route with the longest prefix of `path`; a port in `host` is no part of it."""
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
    def keys_wanted(self) -> bool:
        """Whether callers must hold a key: there are workspaces."""
        return bool(self._tree.workspaces)

    def workspace_of(self, key_hash: str) -> str | None:
        """The workspace that holds a key, given as the settings hold it."""
        return self._workspace_by_key.get(key_hash)

    def policy(self, route: ForwardedRoute, service: str, workspace: str) -> Policy:
        """The route's policy with every level above it filled in."""
        where = (f'{route.host}{route.path_prefix}', service, workspace)
        found = self._policies.get(where)
        if found is None:
            found = self._policies[where] = self._merged(route, service, workspace)
        return found

    def _merged(self, route: ForwardedRoute, service: str, workspace: str) -> Policy:
        fleet = self._tree.fleet
        levels = [DEFAULTS, fleet.policy]
        if service in fleet.services:
            levels.append(fleet.services[service].policy)
        if workspace in self._tree.workspaces:
            levels.append(self._tree.workspaces[workspace].policy)
        return merge([*levels, route.policy])

    def workspace_priority(self, workspace: str) -> int:
        """The workspace's own priority, which goes before a route's; 0 goes first."""
        space = self._tree.workspaces.get(workspace)
        priority = space.policy.priority if space else None
        return 0 if priority is None else priority


def choose_share(shares: list[ServiceShare], request_id: str) -> str | None:
    """The service that a request goes to, by weight; None if all weigh nothing.

    The same request goes the same way on every box.
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
