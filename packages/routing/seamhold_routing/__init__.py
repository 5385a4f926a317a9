"""One box's decisions: where a call runs, whether it waits, or why it is refused."""

from .exchange import Versions
from .router import Router
from .service import ServicePlan, hint_for
from .watchers import WatchTurn

__all__ = ['Router', 'ServicePlan', 'Versions', 'WatchTurn', 'hint_for']
