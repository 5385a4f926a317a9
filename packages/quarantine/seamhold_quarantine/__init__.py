"""Which requests end the engines that run them, and whether one may run."""

from .case import QUARANTINE_ENDS, SUSPECT_ENDS, is_over
from .identity import RequestIdentity
from .messages import (
    Case,
    EndReport,
    EngineEnd,
    Permission,
    Standing,
    TrialAsk,
    TrialOver,
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
    'Permission',
    'Quarantine',
    'RecentRuns',
    'RequestIdentity',
    'Standing',
    'TrialAsk',
    'TrialOver',
    'Verdict',
    'is_over',
]
