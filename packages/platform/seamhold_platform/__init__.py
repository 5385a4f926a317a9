"""Client of the platform's object API."""

from .bounded_socket import AnswerTooLong, BoundedSocket, bounded_pools
from .client import PlatformClient
from .json_parts import JsonUnreadable
from .objects import ObjectKind, Page, PlatformObject, WatchEvent, WatchKind
from .reader import ObjectReader
from .strict_response import StrictResponse, UnreadableResponse

__all__ = [
    'AnswerTooLong',
    'BoundedSocket',
    'JsonUnreadable',
    'ObjectKind',
    'ObjectReader',
    'Page',
    'PlatformClient',
    'PlatformObject',
    'StrictResponse',
    'UnreadableResponse',
    'WatchEvent',
    'WatchKind',
    'bounded_pools',
]
