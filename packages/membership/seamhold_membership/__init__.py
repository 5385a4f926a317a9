"""Views of boxes and engines, gossip between boxes, and a byte budget for control messages."""

from .box_view import BoxView
from .budget import ByteBudget
from .digest import Digest, DigestReceiver, DigestSender
from .engine_view import EngineView, Serving
from .gossip import Event, EventKind, EventLog
from .outliers import FailureCounts, outliers
from .reach import EngineReach
from .relay import GossipBuffer
from .self_reports import BRITTLE_SECONDS, REST_MAX_SECONDS, SelfReports
from .service_links import ServiceLinks
from .sole_version import KnownVersions, SoleVersion, UnknownReason, sole_version
from .unused import ServiceUse, UnusedReason
from .update_lag import UpdateLag
from .versions import ListedVersion, ServiceVersions, VersionHistory, changed_versions

__all__ = [
    'BRITTLE_SECONDS',
    'REST_MAX_SECONDS',
    'BoxView',
    'ByteBudget',
    'Digest',
    'DigestReceiver',
    'DigestSender',
    'EngineReach',
    'EngineView',
    'Event',
    'EventKind',
    'EventLog',
    'FailureCounts',
    'GossipBuffer',
    'KnownVersions',
    'ListedVersion',
    'SelfReports',
    'ServiceLinks',
    'ServiceUse',
    'ServiceVersions',
    'Serving',
    'SoleVersion',
    'UnknownReason',
    'UnusedReason',
    'UpdateLag',
    'VersionHistory',
    'changed_versions',
    'outliers',
    'sole_version',
]
