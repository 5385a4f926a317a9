"""Shared by all CherryPy pages: configuration, JSON bodies, and the server."""

import json

import cherrypy
from cheroot.wsgi import Server

from seamhold_messages.errors import SeamholdError

from .config import split_address
from .listening import ACCEPT_QUEUE, SHUTDOWN_SECONDS
from .problems import CONTENT_TYPE, problem

CALLER_IDLE_SECONDS = 30


def page_config() -> dict:
    """Return a CherryPy configuration without body parsing and logs: both are done here."""
    return {
        '/': {
            'request.process_request_body': False,
            'request.show_tracebacks': False,
            'tools.trailing_slash.on': False,
            # It would wrap bodies, and a wrapped body is not closed when the
            # caller disconnects.
            'tools.encode.on': False,
        },
        'global': {},
    }


def quiet_cherrypy() -> None:
    """Turn off CherryPy's own logs: they contain paths, and structlog logs what is needed."""
    cherrypy.log.screen = False
    cherrypy.log.access_log.propagate = False
    cherrypy.log.error_log.propagate = False


def json_page(value: object) -> bytes:
    """Return a JSON body and set its Content-Type on the response."""
    cherrypy.response.headers['Content-Type'] = 'application/json'
    return json.dumps(value).encode() + b'\n'


def send_problem(error: SeamholdError, request_id: str, headers: dict[str, str]) -> bytes:
    """Return a problem document, and set its status and headers on the response."""
    cherrypy.response.status = error.status
    for name, value in headers.items():
        cherrypy.response.headers[name] = value
    cherrypy.response.headers['Content-Type'] = CONTENT_TYPE
    return json.dumps(problem(error, request_id)).encode() + b'\n'


def make_server(address: str, application, threads: int, reuse_port: bool = False) -> Server:
    """Return a cheroot server for an application; it does not listen yet."""
    split = split_address(address)
    server = Server(
        (split.host, split.port),
        application,
        numthreads=threads,
        max=threads,
        request_queue_size=ACCEPT_QUEUE,
        timeout=CALLER_IDLE_SECONDS,
        shutdown_timeout=SHUTDOWN_SECONDS,
        server_name='seamhold',
    )
    server.reuse_port = reuse_port
    server.error_log = lambda *args, **kwargs: None
    return server
