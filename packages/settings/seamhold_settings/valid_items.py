"""Leaves out the invalid items of a complete tree, so that each costs only itself.

Other programs write complete trees.  Whatever one item holds, the others become active.
"""

from collections.abc import Iterable, Iterator

from msgspec import Struct

from seamhold_messages.errors import SettingsInvalid

from .checking import check
from .schema import CallerBounds, FleetService, ForwardedRoute, Name, WorkspaceSpec

NO_MAPPING = 'is no mapping'
NO_LIST = 'is no list'
#: The shares of a route whose requests no service gets.
NO_SERVICE = [{'service': 'none', 'weight': 0}]


class ValidItems(Struct, frozen=True):
    """The values of a tree without its invalid items, and one problem for each of these.

    A problem names the item that was left out and the error.
    """

    values: dict
    problems: tuple[str, ...] = ()


def valid_items(values: dict) -> ValidItems:
    """Return a tree's values without invalid services, routes, bounds of callers and workspaces.

    An invalid workspace stays without its keys: while there are workspaces, callers need a key.
    An invalid route stays without services where its host and prefix are valid: its requests must
    not go to the route of a shorter prefix.
    """
    problems: list[str] = []
    fleet = dict(values.get('fleet') or {})
    services = _mapping(fleet.get('services'), 'fleet.services', problems)
    routes = _list(fleet.get('forwarding'), 'fleet.forwarding', problems)
    bounds = _mapping(fleet.get('caller_bounds'), 'fleet.caller_bounds', problems)
    workspaces = _mapping(values.get('workspaces'), 'workspaces', problems)
    valid_services = _valid(dict[Name, FleetService], services, 'fleet.services', problems)
    valid_workspaces = _valid(dict[str, WorkspaceSpec], workspaces, 'workspaces', problems)
    fleet |= {
        'services': dict(valid_services),
        'forwarding': list(_valid_routes(routes, problems)),
        'caller_bounds': dict(_valid(CallerBounds, bounds, 'fleet.caller_bounds', problems)),
    }
    keyless: dict[str, dict] = {str(name): {} for name in workspaces}
    all_workspaces = keyless | dict(valid_workspaces)
    return ValidItems(values | {'fleet': fleet, 'workspaces': all_workspaces}, tuple(problems))


def _valid(
    kind: type, values: dict, path: str, problems: list[str]
) -> Iterator[tuple[object, object]]:
    """Yield the entries that alone are a valid `kind`."""
    for name, value in values.items():
        if _is_valid(kind, {name: value}, path, problems):
            yield name, value


def _valid_routes(routes: Iterable[object], problems: list[str]) -> Iterator[object]:
    """Yield the valid routes, and after them those that only keep others from their requests."""
    without_services = []
    for number, route in enumerate(routes):
        if _is_valid(ForwardedRoute, route, f'fleet.forwarding.{number}', problems):
            yield route
        elif isinstance(route, dict):
            place = {name: route.get(name) for name in ('host', 'path_prefix')}
            without_services.append(place | {'shares': NO_SERVICE})
    for route in without_services:
        if _is_valid(ForwardedRoute, route, '', []):
            yield route


def _is_valid(kind: type, value: object, path: str, problems: list[str]) -> bool:
    try:
        check(kind, value)
    except SettingsInvalid as error:
        problems.append(f'{path}: {error.detail}')
        return False
    return True


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
