"""Fleet-wide workspace limits and short, fair queues."""

from .peer_backlog import Hold, PeerBacklogs
from .queue import WaitQueue
from .rate import TokenBucket
from .share import split_limit
from .workspaces import WorkspaceCaps, WorkspaceLimits

__all__ = [
    'Hold',
    'PeerBacklogs',
    'TokenBucket',
    'WaitQueue',
    'WorkspaceCaps',
    'WorkspaceLimits',
    'split_limit',
]
