"""Checks of names that come from outside.

Names go into header fields, paths, log lines, labels of metrics and messages to other boxes.
One that any of these cannot carry is refused where it comes in.
"""

import re

from .errors import EntryUnsound

NAME_MAX_CHARS = 253
#: What stands for text that could not be decoded.
REPLACEMENT = '\ufffd'
#: The last character that a header field can carry.
LATIN_1_LAST = '\xff'

_IDENTIFIER = re.compile(f'[!-~]{{1,{NAME_MAX_CHARS}}}')


def is_identifier(text: str) -> bool:
    """Whether a text can be a header field's value and, quoted, part of a path."""
    return _IDENTIFIER.fullmatch(text) is not None


def is_label(text: str) -> bool:
    """Whether a text can be logged, be a metric's label and be sent to other boxes."""
    return 0 < len(text) <= NAME_MAX_CHARS and text.isprintable() and REPLACEMENT not in text


def is_field_value(text: str) -> bool:
    """Whether a text can be a header field's value as it is."""
    return is_label(text) and text == text.strip() and max(text) <= LATIN_1_LAST


def check_identifier(text: str) -> None:
    """Raise EntryUnsound unless a text is an identifier."""
    if not is_identifier(text):
        raise EntryUnsound(f'{text!a} cannot be a header field')


def check_labels(*texts: str) -> None:
    """Raise EntryUnsound unless all texts are labels."""
    for text in texts:
        if not is_label(text):
            raise EntryUnsound(f'{text!a} is not a printable name')
