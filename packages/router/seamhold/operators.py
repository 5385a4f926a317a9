"""The operators' port: health, status, planned stops, and lifting requests."""

import hmac
from collections.abc import Callable

import cherrypy
from msgspec import to_builtins

from seamhold_messages.errors import SeamholdError, Unauthorized

from . import __version__
from .callers import BEARER, hash_key
from .config import BoxConfig
from .decider import Decider
from .decisions import GetReport, LiftCase
from .gate import Gate
from .metrics import Metrics
from .pages import json_page, page_config, send_problem
from .peering import Peering
from .problems import problem_headers
from .settings_task import GetSettingsReport, SettingsTask

TASK_SECONDS = 5.0


class Operators:
    """Pages for the load balancer's health checks and for the box's operators."""

    def __init__(
        self,
        config: BoxConfig,
        incarnation: str,
        decider: Decider,
        settings_task: SettingsTask,
        peering: Peering,
        gate: Gate,
        metrics: Metrics,
        drain: Callable[[], None],
    ):
        self._config = config
        self._incarnation = incarnation
        self._decider = decider
        self._settings_task = settings_task
        self._peering = peering
        self._gate = gate
        self._metrics = metrics
        self._drain = drain

    @cherrypy.expose
    def healthz(self):
        """Answer 200 while the process is running."""
        return json_page({'ok': True})

    @cherrypy.expose
    def readyz(self):
        """Answer 200 if the load balancer may send calls to this box, else 503."""
        cherrypy.response.status = 200 if self._ready else 503
        return json_page({'ready': self._ready})

    @cherrypy.expose
    def status(self):
        """Return the full state of the box, for operators and scripts."""
        try:
            self._check_key()
        except SeamholdError as error:
            return send_problem(error, '', problem_headers(error, ''))
        decider = self._decider.query(GetReport()).result(TASK_SECONDS)
        settings = self._settings_task.query(GetSettingsReport()).result(TASK_SECONDS)
        return json_page(
            {
                'box': self._config.box,
                'incarnation': self._incarnation,
                'version': __version__,
                'ready': self._ready,
                'draining': self._gate.draining,
                'calls': self._gate.active,
                'in_flight': decider.in_flight,
                'knowledge': to_builtins(decider.knowledge),
                'boxes': [to_builtins(box) for box in decider.boxes],
                'engines': [to_builtins(engine) for engine in decider.engines],
                'quarantine': [to_builtins(case) for case in decider.quarantine],
                'settings': to_builtins(settings),
                'control': {
                    'bytes': self._peering.budget.spent,
                    'denied': self._peering.budget.denied,
                    'bytes_per_second': self._peering.budget.rate,
                },
                'counters': self._metrics.counts() | decider.counts,
            }
        )

    @cherrypy.expose
    def drain(self):
        """Start a planned stop."""
        return self._handle_order(self._begin_stop)

    def _begin_stop(self):
        self._drain()
        cherrypy.response.status = 202
        return json_page({'draining': True, 'calls': self._gate.active})

    @cherrypy.expose
    def lift(self, request: str = ''):
        """Allow a request that ended engines to run again."""
        return self._handle_order(lambda: self._lift(request))

    def _lift(self, request: str):
        lifted = self._decider.query(LiftCase(request)).result(TASK_SECONDS)
        cherrypy.response.status = 200 if lifted else 404
        return json_page({'lifted': lifted})

    def _handle_order(self, action: Callable):
        """Run an operator's order, after checking the key and that the method is POST."""
        try:
            self._check_key()
        except SeamholdError as error:
            return send_problem(error, '', problem_headers(error, ''))
        if cherrypy.request.method != 'POST':
            cherrypy.response.status = 405
            return json_page({'detail': 'use POST'})
        return action()

    @property
    def _ready(self) -> bool:
        return self._peering.ready and not self._gate.draining

    def _check_key(self) -> None:
        if self._config.operator_key is None:
            return
        sent = cherrypy.request.headers.get('Authorization', '')
        if not sent.lower().startswith(BEARER):
            raise Unauthorized('send the operator key as a bearer token')
        if not hmac.compare_digest(hash_key(sent[len(BEARER) :]), self._config.operator_key):
            raise Unauthorized('this is not the operator key')


def operator_application(operators: Operators) -> cherrypy.Application:
    """Return the operators' pages as a WSGI application."""
    return cherrypy.Application(operators, '', page_config())
