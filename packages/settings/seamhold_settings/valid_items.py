"""Leaves out what is invalid of a complete tree, so that each odd value costs only itself.

Other programs write complete trees.  Whatever one item holds, the others become active, and so
does what is valid of the item.
"""

from collections.abc import Iterable, Iterator
from typing import Any

from msgspec import Struct

from seamhold_messages.names import is_field_value

from .schema import (
    CallerBounds,
    FleetService,
    ForwardedRoute,
    ServiceName,
    ServiceShare,
    WorkspaceSpec,
)
from .valid_parts import NothingValid, is_valid, valid_part

NO_MAPPING = 'is no mapping'
NO_LIST = 'is no list'
#: The shares of a route whose requests no service gets.
NO_SERVICE = [{'service': 'none', 'weight': 0}]
#: What a route does if its own value is invalid: the default of a field that limits how often
#: a request runs could allow more than the operators do.
CAUTIOUS_POLICY = {'retries': 0, 'repeatable': False, 'resumable': False}


class ValidItems(Struct, frozen=True):
    """The values of a tree without what is invalid, and one problem for each of these parts."""

    values: dict
    problems: tuple[str, ...] = ()


def valid_items(values: dict) -> ValidItems:
    """Return a tree's values without invalid services, routes, bounds of callers and workspaces.

    A key that several workspaces list belongs to the first of them, at every box.

    An item without a valid value keeps its place: a workspace stays without keys, as callers need
    a key while there are workspaces, and a route without services, as its requests must not go to
    the route of a shorter prefix.
    """
    problems: list[str] = []
    fleet = dict(values.get('fleet') or {})
    services = _mapping(fleet.get('services'), 'fleet.services', problems)
    routes = _list(fleet.get('forwarding'), 'fleet.forwarding', problems)
    bounds = _mapping(fleet.get('caller_bounds'), 'fleet.caller_bounds', problems)
    fleet |= {
        'services': _services(services, problems),
        'forwarding': list(_routes(routes, problems)),
        'caller_bounds': valid_part(CallerBounds, bounds, 'fleet.caller_bounds', problems),
    }
    workspaces = _mapping(values.get('workspaces'), 'workspaces', problems)
    valid_workspaces = _workspaces(workspaces, problems)
    return ValidItems(values | {'fleet': fleet, 'workspaces': valid_workspaces}, tuple(problems))


def _services(services: dict, problems: list[str]) -> dict:
    valid = {}
    for name, value in services.items():
        path = f'fleet.services.{name}'
        try:
            valid_part(ServiceName, name, path, problems)
            valid[name] = valid_part(FleetService, value, path, problems)
        except NothingValid:
            # The line of the problem is there already.
            continue
    return valid


def _workspaces(workspaces: dict, problems: list[str]) -> dict:
    valid: dict[str, dict] = {}
    owners: dict[str, str] = {}
    for name, value in workspaces.items():
        path = f'workspaces.{name}'
        valid[str(name)] = {}
        if not isinstance(name, str) or not is_field_value(name):
            problems.append(f'{path}: servers cannot be told this name')
            continue
        try:
            workspace = dict(valid_part(WorkspaceSpec, value, path, problems))
        except NothingValid:
            continue
        keys = workspace.get('keys', [])
        own = [key for key in keys if owners.setdefault(key, name) == name]
        if len(own) < len(keys):
            problems.append(f'{path}.keys: some belong to a workspace before it, which counts')
        valid[name] = workspace | {'keys': own}
    return valid


def _routes(routes: Iterable[object], problems: list[str]) -> Iterator[object]:
    """Yield the valid routes, and after them those that only keep others from their requests."""
    without_services = []
    for number, route in enumerate(routes):
        path = f'fleet.forwarding.{number}'
        try:
            weighed = _with_valid_shares(route, path, problems)
            yield _cautious(route, valid_part(ForwardedRoute, weighed, path, problems))
        except NothingValid:
            if isinstance(route, dict):
                place = {name: route.get(name) for name in ('host', 'path_prefix')}
                without_services.append(place | {'shares': NO_SERVICE})
    for route in without_services:
        try:
            yield valid_part(ForwardedRoute, route, '', [])
        except NothingValid:
            # Its host or prefix is invalid, so no request could be for it.
            continue


def _with_valid_shares(route: Any, path: str, problems: list[str]) -> Any:
    """Return a route with those of its shares that are valid as a whole, if there are any.

    A share without its weight would get a part that nobody gave it.
    """
    shares = route.get('shares') if isinstance(route, dict) else None
    if not isinstance(shares, list):
        return route
    valid = [share for share in shares if is_valid(ServiceShare, share)]
    if not valid or len(valid) == len(shares):
        return route
    problems.append(f'{path}.shares: {len(shares) - len(valid)} of {len(shares)} are invalid')
    return route | {'shares': valid}


def _cautious(route: Any, valid: Any) -> Any:
    """Return a valid route with a cautious value in place of each lost one that needs it."""
    if valid is route:
        return route
    policy = valid.get('policy', {})
    given = route.get('policy', {})
    given = given if isinstance(given, dict) else CAUTIOUS_POLICY
    lost = {name: CAUTIOUS_POLICY[name] for name in CAUTIOUS_POLICY if name in given} | policy
    return valid | {'policy': lost}


def _mapping(value: object, path: str, problems: list[str]) -> dict:
    if value is None or isinstance(value, dict):
        return value or {}
    problems.append(f'{path}: {NO_MAPPING}')
    return {}


def _list(value: object, path: str, problems: list[str]) -> list:
    if value is None or isinstance(value, list):
        return value or []
    problems.append(f'{path}: {NO_LIST}')
    return []
