"""Fleet-wide workspace limits and short, fair queues."""

from .peer_backlog import Hold, PeerBacklogs
from .queue import WaitQueue
from .rate import TokenBucket
from .share import split_limit
from .slots import BrittleEngine, BrittleService, SlotShares
from .workspaces import WorkspaceCaps, WorkspaceLimits

__all__ = [
    'BrittleEngine',
    'BrittleService',
    'Hold',
    'PeerBacklogs',
    'SlotShares',
    'TokenBucket',
    'WaitQueue',
    'WorkspaceCaps',
    'WorkspaceLimits',
    'split_limit',
]
