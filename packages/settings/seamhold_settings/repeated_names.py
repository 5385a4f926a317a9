"""Joins what other programs list more than once under one name.

It is done where a tree is read, so that boxes send each other mappings.
"""

import math
from collections.abc import Iterable

from msgspec import Struct

KEYS = 'keys'
INT64_MIN, INT64_MAX = -(2**63), 2**63 - 1


class JoinedTree(Struct, frozen=True):
    """The values of a tree with mappings, and the places of names that stand more than once."""

    values: dict
    repeated: tuple[str, ...] = ()


def join_repeated(values: dict) -> JoinedTree:
    """Return a tree of which services and workspaces are pairs of a name and a value.

    Of services with one name the first counts, of workspaces the first with the keys of all.
    """
    repeated: list[str] = []
    fleet = values['fleet']
    services = _join_services(fleet['services'], repeated)
    workspaces = _join_workspaces(values['workspaces'], repeated)
    joined = values | {'fleet': fleet | {'services': services}, 'workspaces': workspaces}
    return JoinedTree(_encodable(joined), tuple(repeated))


def _encodable(value):
    """Return a value with floats in place of integers that messages between boxes cannot carry."""
    if isinstance(value, dict):
        return {name: _encodable(item) for name, item in value.items()}
    if isinstance(value, list | tuple):
        return [_encodable(item) for item in value]
    if isinstance(value, int) and not INT64_MIN <= value <= INT64_MAX:
        return math.inf if value > 0 else -math.inf
    return value


def _join_services(pairs: Iterable[tuple[str, object]], repeated: list[str]) -> dict[str, object]:
    services: dict[str, object] = {}
    for name, value in pairs:
        if services.setdefault(name, value) is not value:
            repeated.append(f'fleet.services.{name}')
    return services


def _join_workspaces(pairs: Iterable[tuple[str, object]], repeated: list[str]) -> dict[str, object]:
    workspaces: dict[str, object] = {}
    for name, value in pairs:
        if name not in workspaces:
            workspaces[name] = value
            continue
        repeated.append(f'workspaces.{name}')
        workspaces[name] = _joined(workspaces[name], value)
    return workspaces


def _joined(first: object, other: object) -> object:
    """Return the first workspace with the keys of both; an odd value adds nothing."""
    if not isinstance(first, dict):
        return other
    keys = other.get(KEYS) if isinstance(other, dict) else None
    own = first.get(KEYS)
    own = own if isinstance(own, list) else []
    return first | {KEYS: [*own, *keys]} if isinstance(keys, list) else first
