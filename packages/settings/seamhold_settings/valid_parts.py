"""Finds what is valid of a value of which some parts are not."""

from typing import Annotated, Any, get_args, get_origin

import msgspec
from msgspec import Meta, Struct
from msgspec.structs import fields

from .checking import INVALID_ERRORS, base_type, join, problem_line


class NothingValid(Exception):
    """No part of a value is valid, or what is left is not without the others."""


def valid_part(kind: object, value: Any, path: str, problems: list[str]) -> Any:
    """Return a value without its invalid fields, entries and items; raises NothingValid.

    A number above its limit becomes that limit.  `problems` gets a line for each part that was
    left out or changed.
    """
    error = _error(kind, value)
    if error is None:
        return value
    limit = _limit_below(kind, value)
    if limit is not None:
        problems.append(problem_line(path, error, value))
        return limit
    known = len(problems)
    rest = _without_invalid(kind, value, path, problems)
    error = _error(kind, rest)
    if error is None:
        return rest
    if len(problems) == known:
        problems.append(problem_line(path, error, rest))
    raise NothingValid


def is_valid(kind: object, value: object) -> bool:
    """Whether a value is valid as a whole."""
    return _error(kind, value) is None


def _error(kind: object, value: object) -> Exception | None:
    try:
        msgspec.convert(value, kind)
    except INVALID_ERRORS as error:
        return error
    return None


def _limit_below(kind: object, value: object) -> int | float | None:
    """Return the upper limit of a number that exceeds it, None for any other value."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    for part in (kind, *get_args(kind)):
        if get_origin(part) is Annotated:
            limit = next((meta.le for meta in get_args(part) if isinstance(meta, Meta)), None)
            if limit is not None and value > limit:
                return limit
    return None


def _without_invalid(kind: object, value: object, path: str, problems: list[str]) -> object:
    base = base_type(kind)
    if isinstance(value, dict) and isinstance(base, type) and issubclass(base, Struct):
        kinds: dict[Any, Any] = {field.name: field.type for field in fields(base)}
        return dict(_valid_entries(kinds, value, path, problems))
    if isinstance(value, dict) and get_origin(base) is dict:
        name_kind, item_kind = get_args(base)
        names = {name for name in value if is_valid(name_kind, name)}
        return dict(_valid_entries(dict.fromkeys(names, item_kind), value, path, problems))
    if isinstance(value, list) and get_origin(base) is list:
        (item_kind,) = get_args(base)
        kinds = dict.fromkeys(range(len(value)), item_kind)
        entries = _valid_entries(kinds, dict(enumerate(value)), path, problems)
        return [item for _, item in entries]
    return value


def _valid_entries(kinds: dict, values: dict, path: str, problems: list[str]):
    """Yield the names in `kinds` with what is valid of their values."""
    for name, value in values.items():
        item_path = join(path, name)
        if name not in kinds:
            problems.append(f'{item_path}: no such key')
            continue
        try:
            yield name, valid_part(kinds[name], value, item_path, problems)
        except NothingValid:
            # The line of the problem is there already.
            continue
