"""The callers' port: CherryPy on cheroot's worker threads.

One thread serves a call from its first byte to its last.  This module makes no routing
decisions: it passes requests to the call handler and writes answers and errors.
"""

from collections.abc import Callable, Iterator

import cherrypy

from seamhold_messages.errors import (
    BadRequest,
    BodyTooLarge,
    CallerTooSlow,
    Internal,
    SeamholdError,
    UnknownService,
)
from seamhold_settings import ServiceKind, resolve

from .call_handler import CallHandler
from .callers import (
    BODY_MAX_BYTES,
    CHAT_PATH,
    SERVICES_PREFIX,
    IncomingRequest,
    authenticate,
)
from .clock import boot_seconds
from .context import Environment
from .gate import Gate
from .logs import logger
from .metrics import Metrics
from .pages import json_page, page_config, send_problem
from .ports import Answer
from .problems import problem_headers

MODELS_PATH = '/v1/models'
TICKETS_PATH = '/v1/tickets'
HEALTH_PATHS = ('/healthz', '/readyz')
TICKETS_MAX = 1000
#: Threads reserved for refusing calls while all others serve one.
SPARE_THREADS = 2
READ_BYTES = 64 * 1024


class Entry:
    """The pages of the callers' port."""

    def __init__(
        self,
        call_handler: CallHandler,
        gate: Gate,
        environment: Environment,
        metrics: Metrics,
        ready: Callable[[], bool],
    ):
        self._call_handler = call_handler
        self._ready = ready
        self._gate = gate
        self._environment = environment
        self._metrics = metrics
        self._log = logger('entry')

    @cherrypy.expose
    def default(self, *_, **__):
        """Serve every page, so that each error gets an answer."""
        request_id = self._environment.new_id()
        if self._gate.draining:
            cherrypy.response.headers['Connection'] = 'close'
        path = cherrypy.request.wsgi_environ.get('REQUEST_URI') or cherrypy.request.path_info
        if path in HEALTH_PATHS:
            return self._health(path)
        try:
            self._gate.enter()
        except SeamholdError as error:
            return self._refuse(error, request_id)
        return self._answer_call(path, request_id)

    def _answer_call(self, path: str, request_id: str):
        """Answer a call that the gate admitted; it leaves the gate when its body ends."""
        started = boot_seconds()
        body = None
        try:
            body = self._handle(path, request_id)
        except SeamholdError as error:
            return self._refuse(error, request_id)
        except Exception:
            self._log.exception('entry.error', request_id=request_id)
            return self._refuse(Internal('internal error of this box'), request_id)
        finally:
            if body is None or isinstance(body, bytes):
                self._gate.leave()
        if isinstance(body, bytes):
            return body
        cherrypy.response.stream = True
        return TrackedBody(body, self._gate, self._metrics, started)

    def _handle(self, path: str, request_id: str) -> bytes | Iterator[bytes]:
        authorization = cherrypy.request.headers.get('Authorization', '')
        workspace = authenticate(self._call_handler.tree, authorization)
        method = cherrypy.request.method
        page = path.partition('?')[0]
        if page == MODELS_PATH and method == 'GET':
            return self._models(workspace)
        if page == TICKETS_PATH and method == 'POST':
            return self._tickets(workspace)
        if page == CHAT_PATH and method != 'POST':
            raise BadRequest('this page requires POST')
        if page != CHAT_PATH and not page.startswith(SERVICES_PREFIX):
            raise UnknownService('this page does not exist')
        headers = dict(cherrypy.request.headers)
        incoming = IncomingRequest(request_id, workspace, method, path, headers, self._read_body())
        return self._write_answer(self._call_handler.answer(incoming), incoming)

    def _write_answer(self, answer: Answer, incoming: IncomingRequest) -> bytes | Iterator[bytes]:
        cherrypy.response.status = answer.status
        cherrypy.response.headers.pop('Content-Type', None)
        for name, value in answer.headers.items():
            cherrypy.response.headers[name] = value
        self._metrics.count(f'answered.{answer.status // 100}xx')
        self._log.info(
            'call.answered',
            request_id=incoming.id,
            workspace=incoming.workspace,
            status=answer.status,
            served_by=answer.headers.get('Seamhold-Served-By'),
        )
        return answer.body

    def _read_body(self) -> bytes:
        """Read the whole body, at most BODY_MAX_BYTES; raises BodyTooLarge or BadRequest."""
        declared = cherrypy.request.headers.get('Content-Length')
        if declared is not None and int(declared) > BODY_MAX_BYTES:
            raise BodyTooLarge(f'at most {BODY_MAX_BYTES} bytes')
        if declared is None and not cherrypy.request.headers.get('Transfer-Encoding'):
            return b''
        parts = []
        size = 0
        while data := self._read_part():
            size += len(data)
            if size > BODY_MAX_BYTES:
                raise BodyTooLarge(f'at most {BODY_MAX_BYTES} bytes')
            parts.append(data)
        if declared is not None and size != int(declared):
            raise BadRequest('the body is shorter than its Content-Length')
        return b''.join(parts)

    @staticmethod
    def _read_part() -> bytes:
        try:
            return cherrypy.request.rfile.read(READ_BYTES)
        except OSError as error:
            # Otherwise cheroot would wait for the rest again before it answers.
            cherrypy.request.wsgi_environ['wsgi.input'].remaining = 0
            raise CallerTooSlow('the body was not received in full') from error

    def _models(self, workspace: str) -> bytes:
        tree = self._call_handler.tree
        models = []
        for name, service in tree.fleet.services.items():
            if service.kind is ServiceKind.MODEL and resolve(tree, workspace, name):
                models += service.models
        rows = [
            {'id': model, 'object': 'model', 'created': 0, 'owned_by': 'seamhold'}
            for model in models
        ]
        return json_page({'object': 'list', 'data': rows})

    def _tickets(self, workspace: str) -> bytes:
        text = cherrypy.request.wsgi_environ.get('QUERY_STRING', '').removeprefix('count=') or '1'
        if not text.isascii() or not text.isdigit() or not 1 <= int(text[:5]) <= TICKETS_MAX:
            raise BadRequest(f'count must be a number from 1 to {TICKETS_MAX}')
        return json_page({'tickets': self._call_handler.issue_tickets(workspace, int(text))})

    def _health(self, path: str) -> bytes:
        ready = not self._gate.draining and self._ready()
        if path == '/readyz' and not ready:
            cherrypy.response.status = 503
            return json_page({'ready': False})
        return json_page({'ok': True})

    def _refuse(self, error: SeamholdError, request_id: str) -> bytes:
        self._metrics.count(f'refused.{error.code}')
        self._log.info(
            'call.refused',
            request_id=request_id,
            code=error.code,
            ran=error.ran,
            detail=error.detail,
        )
        headers = problem_headers(error, request_id)
        if error.status in (400, 408, 413):
            # The body may be unread, so the connection cannot be reused.
            headers['Connection'] = 'close'
        return send_problem(error, request_id, headers)


class TrackedBody:
    """A streamed body that leaves the gate when it ends, also on an error."""

    def __init__(self, body: Iterator[bytes], gate: Gate, metrics: Metrics, started: float):
        self._body = body
        self._gate = gate
        self._metrics = metrics
        self._started = started
        self._closed = False

    def __iter__(self):
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._body)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Leave the gate, after the last byte was sent or the caller disconnected."""
        if self._closed:
            return
        self._closed = True
        try:
            self._body.close()
        finally:
            self._gate.leave()
            self._metrics.timing('stream', boot_seconds() - self._started)


def entry_application(entry: Entry) -> cherrypy.Application:
    """Return the callers' pages as a WSGI application."""
    return cherrypy.Application(entry, '', page_config())
