"""Client of the platform's object API."""

from .client import PlatformClient
from .objects import ObjectKind, Page, PlatformObject, WatchEvent, WatchKind

__all__ = ['ObjectKind', 'Page', 'PlatformClient', 'PlatformObject', 'WatchEvent', 'WatchKind']
