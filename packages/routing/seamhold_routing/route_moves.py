"""Finds the services that a stream may pass between, as its route is split or moved.

A caller that takes a stream up is routed anew: by other weights, or by another configuration than
the one under which the stream began.
"""

from collections.abc import Iterator
from itertools import product

from seamhold_membership.service_links import NO_ROUTE, ServicePair
from seamhold_settings.forwarding import RouteTable
from seamhold_settings.schema import ForwardedRoute


def split_pairs(table: RouteTable) -> frozenset[ServicePair]:
    """Return the pairs of services that share a resumable route.

    Several services form a ring, so that their pairs are no more than they are.
    """
    pairs: set[ServicePair] = set()
    for prefixes in table.routes.values():
        for route in prefixes.values():
            # Policies of other levels may make a route resumable that does not say.
            if len(route.shares) > 1 and route.policy.resumable is not False:
                services = _services(route)
                pairs.update(zip(services, services[1:] + services[:1], strict=True))
    return frozenset(pair for pair in pairs if pair[0] != pair[1])


def moved_pairs(before: RouteTable, after: RouteTable) -> frozenset[ServicePair]:
    """Return the pairs of services that streamed routes were moved between, in both directions.

    Some boxes still use the table before, and route back what began by the one after.  What no
    route leads to any more, or did not yet, is paired with NO_ROUTE and its host.
    """
    pairs: set[ServicePair] = set()
    for host, old, new in _changes(before, after):
        left, led = _services(old), _services(new)
        if left == led:
            continue
        gone = set(left) - set(led)
        if not left:
            pairs.update((NO_ROUTE + host, service) for service in led)
        elif not led:
            pairs.update((service, NO_ROUTE + host) for service in left)
        else:
            pairs.update(product(gone, led), product(led, gone))
    return frozenset(pairs)


def _changes(
    before: RouteTable, after: RouteTable
) -> Iterator[tuple[str, ForwardedRoute | None, ForwardedRoute | None]]:
    """Yield the host and the routes before and after of each prefix whose route differs.

    Of the routes that a path has before and after, the one with the longer prefix is among these,
    beside the route that its prefix has in the other table.
    """
    for host in before.routes.keys() | after.routes.keys():
        old, new = before.routes.get(host, {}), after.routes.get(host, {})
        for prefix in old.keys() | new.keys():
            route, next_route = old.get(prefix), new.get(prefix)
            if route is None:
                route = before.find(host, prefix)
            elif next_route is None:
                next_route = after.find(host, prefix)
            yield host, route, next_route


def _services(route: ForwardedRoute | None) -> tuple[str, ...]:
    """Return the services that a streamed route leads to, in order; none for other routes."""
    if route is None or not route.streamed:
        return ()
    if len(route.shares) == 1:
        share = route.shares[0]
        return (share.service,) if share.weight > 0 else ()
    return tuple(sorted({share.service for share in route.shares if share.weight > 0}))
