"""Client of the platform's object API."""

from .client import PlatformClient
from .json_parts import JsonUnreadable
from .objects import ObjectKind, Page, PlatformObject, WatchEvent, WatchKind

__all__ = [
    'JsonUnreadable',
    'ObjectKind',
    'Page',
    'PlatformClient',
    'PlatformObject',
    'WatchEvent',
    'WatchKind',
]
