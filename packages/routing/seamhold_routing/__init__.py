"""One box's decisions: where a call runs, whether it waits, or why it is refused."""

from .beliefs import Sign
from .exchange import Versions
from .router import Router
from .service import ServicePlan, hint_for

__all__ = ['Router', 'ServicePlan', 'Sign', 'Versions', 'hint_for']
