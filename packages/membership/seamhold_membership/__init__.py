"""Views of boxes and engines, and control messages within a byte budget."""

from .budget import ByteBudget
from .digest import Digest, DigestReceiver, DigestSender
from .gossip import Event, EventKind, EventLog
from .view import BoxView, EngineView, Serving

__all__ = [
    'BoxView',
    'ByteBudget',
    'Digest',
    'DigestReceiver',
    'DigestSender',
    'EngineView',
    'Event',
    'EventKind',
    'EventLog',
    'Serving',
]
