"""Splits JSON text into its parts without decoding them.

An answer of the platform holds objects of many writers.  Each is cut out of the answer as it
came and decoded by itself, so that one that cannot be decoded does not affect the others.
"""

import json
import math
import re
from typing import Any

#: Limit on one object; a platform may keep all settings of a fleet in one.
OBJECT_MAX_BYTES = 16 * 1024 * 1024
#: Limit on nesting, far below the interpreter's recursion limit.
DEPTH_MAX = 64
#: 64-bit integers have at most 20 digits; a longer one becomes infinity.
DIGITS_MAX = 20
#: Start of an escaped surrogate, in lower case.
SURROGATE_ESCAPE = b'\\ud'

_WHITESPACE = re.compile(rb'[ \t\r\n]*+')
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)
_LITERAL = re.compile(rb'[^\s,:"\[\]{}]++')
#: The next bracket outside of strings.
_BRACKET = re.compile(rb'(?:[^"\[\]{}]++|"[^"\\]*+(?:\\.[^"\\]*+)*+")*+([\[\]{}])', re.DOTALL)
_OPENING = (b'[', b'{')


class JsonUnreadable(ValueError):
    """A JSON text, or a part of it, cannot be decoded."""


def decode(text: bytes, max_bytes: int = OBJECT_MAX_BYTES) -> Any:
    """Return the value of a JSON text; raises JsonUnreadable.

    Invalid UTF-8 and halves of surrogate pairs, which have no encoding, are replaced by U+FFFD.
    """
    if len(text) > max_bytes:
        raise JsonUnreadable(f'{len(text)} bytes, more than {max_bytes}')
    _check_depth(text)
    try:
        value = json.loads(text.decode(errors='replace'), parse_int=_integer)
    except (ValueError, RecursionError, MemoryError) as error:
        raise JsonUnreadable(f'{type(error).__name__}: {error}') from error
    return _without_surrogates(value) if SURROGATE_ESCAPE in text.lower() else value


def members(text: bytes) -> dict[str, bytes]:
    """Return the members of a JSON object, not decoded; raises JsonUnreadable."""
    found = {}
    at = _expect(text, 0, b'{')
    while text[at : at + 1] != b'}':
        key_end = _value_end(text, at)
        name = decode(text[at:key_end])
        if not isinstance(name, str):
            raise JsonUnreadable('the name of a member is not a string')
        start = _expect(text, key_end, b':')
        end = _value_end(text, start)
        found[name] = text[start:end]
        at = _next_part(text, end, b'}')
    return found


def elements(text: bytes) -> list[bytes]:
    """Return the elements of a JSON array, not decoded; raises JsonUnreadable."""
    found = []
    at = _expect(text, 0, b'[')
    while text[at : at + 1] != b']':
        end = _value_end(text, at)
        found.append(text[at:end])
        at = _next_part(text, end, b']')
    return found


def _check_depth(text: bytes) -> None:
    depth = at = 0
    while found := _BRACKET.match(text, at):
        at = found.end()
        depth += 1 if found[1] in _OPENING else -1
        if depth > DEPTH_MAX:
            raise JsonUnreadable(f'nested more than {DEPTH_MAX} levels deep')


def _value_end(text: bytes, start: int) -> int:
    """Return where the value that begins at `start` ends."""
    if text[start : start + 1] in _OPENING:
        return _closing_bracket(text, start)
    found = _STRING.match(text, start) or _LITERAL.match(text, start)
    if found is None:
        raise JsonUnreadable(f'no value at byte {start}')
    return found.end()


def _closing_bracket(text: bytes, start: int) -> int:
    """Return where the array or object that begins at `start` ends."""
    depth, at = 0, start
    while found := _BRACKET.match(text, at):
        at = found.end()
        depth += 1 if found[1] in _OPENING else -1
        if not depth:
            return at
    raise JsonUnreadable('truncated')


def _next_part(text: bytes, at: int, closing: bytes) -> int:
    """Return where the next part begins after one that ended at `at`, or the closing bracket."""
    at = _skip_whitespace(text, at)
    return at if text[at : at + 1] == closing else _expect(text, at, b',')


def _expect(text: bytes, at: int, mark: bytes) -> int:
    """Return where the text goes on after `mark`, which must be next."""
    at = _skip_whitespace(text, at)
    if text[at : at + 1] != mark:
        raise JsonUnreadable(f'no {mark.decode()} at byte {at}')
    return _skip_whitespace(text, at + 1)


def _skip_whitespace(text: bytes, at: int) -> int:
    found = _WHITESPACE.match(text, at)
    return found.end() if found else at


def _integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= DIGITS_MAX else math.inf


def _without_surrogates(value: Any) -> Any:
    if isinstance(value, str):
        return value.encode('utf-16', 'surrogatepass').decode('utf-16', 'replace')
    if isinstance(value, list):
        return [_without_surrogates(item) for item in value]
    if isinstance(value, dict):
        return {_without_surrogates(key): _without_surrogates(item) for key, item in value.items()}
    return value
