"""Converts plain values to schema types and reports every error in them."""

from types import UnionType
from typing import Annotated, TypeVar, get_args, get_origin

import msgspec
from msgspec import Struct
from msgspec.structs import fields

from seamhold_messages.errors import SettingsInvalid

ROOT_LABEL = '(top)'
#: Limit on the characters of an invalid value shown in an error message.
VALUE_MAX_CHARS = 80
#: What msgspec raises for values that have no place in a type, such as half of a surrogate pair.
INVALID_ERRORS = (msgspec.ValidationError, UnicodeError, OverflowError)

SpecT = TypeVar('SpecT', bound=Struct)


def check(kind: type[SpecT], values: object) -> SpecT:
    """Convert `values` to `kind`; raises SettingsInvalid that lists all errors."""
    try:
        return msgspec.convert(values, kind)
    except INVALID_ERRORS as error:
        raise SettingsInvalid('\n'.join(problems(kind, values))) from error


def problems(kind: object, values: object, path: str = '') -> list[str]:
    """Return one line per error, with its path, rule and value.

    msgspec stops at the first error and does not name the keys on the path to it.
    """
    found = _nested_problems(kind, values, path)
    if found:
        return found
    try:
        msgspec.convert(values, kind)
    except INVALID_ERRORS as error:
        return [problem_line(path, error, values)]
    return []


def problem_line(path: str, error: Exception, value: object) -> str:
    """Return one line that names the place, the rule and the value."""
    rule = str(error).partition(' - at ')[0]
    return f'{path or ROOT_LABEL}: {rule} (got {value!r:.{VALUE_MAX_CHARS}})'


def _nested_problems(kind: object, values: object, path: str) -> list[str]:
    kind = base_type(kind)
    if isinstance(values, dict) and isinstance(kind, type) and issubclass(kind, Struct):
        return _struct_problems(kind, values, path)
    if isinstance(values, dict) and get_origin(kind) is dict:
        return _dict_problems(*get_args(kind), values, path)
    if isinstance(values, list) and get_origin(kind) is list:
        (item,) = get_args(kind)
        entries = enumerate(values)
        return [
            line for index, value in entries for line in problems(item, value, join(path, index))
        ]
    return []


def _struct_problems(kind: type[Struct], values: dict, path: str) -> list[str]:
    types = {field.name: field.type for field in fields(kind)}
    found = []
    for key, value in values.items():
        if key in types:
            found += problems(types[key], value, join(path, key))
        else:
            found.append(f'{join(path, key)}: no such key (got {value!r:.{VALUE_MAX_CHARS}})')
    return found


def _dict_problems(key_kind: object, kind: object, values: dict, path: str) -> list[str]:
    found = []
    for key, value in values.items():
        key_path = join(path, key)
        found += problems(key_kind, key, key_path)
        found += problems(kind, value, key_path)
    return found


def base_type(kind: object) -> object:
    """Return the type without its Annotated bounds and without `| None`."""
    if get_origin(kind) is Annotated:
        return base_type(get_args(kind)[0])
    if get_origin(kind) is UnionType:
        (kind,) = (part for part in get_args(kind) if part is not type(None))
        return base_type(kind)
    return kind


def join(path: str, key: object) -> str:
    """Return the path of an entry."""
    return f'{path}.{key}' if path else str(key)
