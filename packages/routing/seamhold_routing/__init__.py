"""One box's decisions: where a call runs, whether it waits, or why it is refused."""

from .exchange import Versions
from .router import Router
from .service import ServicePlan, hint_for

__all__ = ['Router', 'ServicePlan', 'Versions', 'hint_for']
