"""Views of boxes and engines, and control messages within a byte budget."""

from .box_view import BoxView
from .budget import ByteBudget
from .digest import Digest, DigestReceiver, DigestSender
from .engine_view import EngineView, Serving
from .gossip import Event, EventKind, EventLog
from .outliers import FailureCounts, outliers
from .relay import RelayLog
from .unused import ServiceUse, UnusedReason

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
    'FailureCounts',
    'RelayLog',
    'ServiceUse',
    'Serving',
    'UnusedReason',
    'outliers',
]
