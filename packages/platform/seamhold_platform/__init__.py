"""Client of the platform's object API."""

from .client import PlatformClient
from .json_parts import JsonUnreadable
from .objects import ObjectKind, Page, PlatformObject, WatchEvent, WatchKind
from .reader import ObjectReader

__all__ = [
    'JsonUnreadable',
    'ObjectKind',
    'ObjectReader',
    'Page',
    'PlatformClient',
    'PlatformObject',
    'WatchEvent',
    'WatchKind',
]
