"""Decides whether a request may run, by the engines that ended under it."""

from .case import QUARANTINE_ENDS, SUSPECT_ENDS, is_expired
from .identity import Feature, RequestIdentity
from .messages import (
    Case,
    EndReport,
    EngineEnd,
    Permission,
    Standing,
    TrialRequest,
    TrialResult,
    Verdict,
)
from .quarantine import Quarantine
from .recent import RecentRuns

__all__ = [
    'QUARANTINE_ENDS',
    'SUSPECT_ENDS',
    'Case',
    'EndReport',
    'EngineEnd',
    'Feature',
    'Permission',
    'Quarantine',
    'RecentRuns',
    'RequestIdentity',
    'Standing',
    'TrialRequest',
    'TrialResult',
    'Verdict',
    'is_expired',
]
