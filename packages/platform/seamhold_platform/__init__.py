"""Client of the platform's object API."""

from .bounded_socket import AnswerTooLong, BoundedSocket, WholeHeadResponse, bounded_pools
from .client import PlatformClient
from .json_parts import JsonUnreadable
from .objects import ObjectKind, Page, PlatformObject, WatchEvent, WatchKind
from .reader import ObjectReader

__all__ = [
    'AnswerTooLong',
    'BoundedSocket',
    'JsonUnreadable',
    'ObjectKind',
    'ObjectReader',
    'Page',
    'PlatformClient',
    'PlatformObject',
    'WatchEvent',
    'WatchKind',
    'WholeHeadResponse',
    'bounded_pools',
]
