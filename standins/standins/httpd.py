"""The threaded HTTP server that all stand-ins use, with faults that can be switched."""

import json
import socket
import sys
import threading
from dataclasses import fields, replace
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

BACKLOG = 512


class Handler(BaseHTTPRequestHandler):
    """Handles JSON requests on persistent connections."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = 0

    def log_message(self, *args):
        """Write no access log."""

    def read_body(self) -> bytes:
        """Read the request's body."""
        return self.rfile.read(int(self.headers.get('Content-Length') or 0))

    def read_json(self) -> dict:
        """Read the request's body as JSON; an empty body is `{}`."""
        return json.loads(self.read_body() or b'{}')

    def encoded(self, value: object) -> bytes:
        """Return `value` encoded as a response body."""
        return json.dumps(value).encode()

    def send_json(self, status: int, value: object, **headers: str) -> None:
        """Send a JSON response and keep the connection open."""
        body = self.encoded(value)
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        for name, text in headers.items():
            self.send_header(name.replace('_', '-'), text)
        self.end_headers()
        self.wfile.write(body)

    def begin_chunks(self, content_type: str, **headers: str) -> None:
        """Start a chunked response."""
        self.send_response(200)
        self.send_header('Content-Type', content_type)
        self.send_header('Transfer-Encoding', 'chunked')
        for name, text in headers.items():
            self.send_header(name.replace('_', '-'), text)
        self.end_headers()

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk; an empty one ends the response."""
        self.wfile.write(b'%x\r\n%b\r\n' % (len(data), data))

    def hang_up(self) -> None:
        """Close the connection without a response."""
        self.close_connection = True
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def handle_fault_request(self) -> bool:
        """Serve /standin/faults; return False for any other path."""
        if self.path != '/standin/faults':
            return False
        if self.command == 'POST':
            self.server.set_faults(self.read_json())
        self.send_json(200, self.server.faults_dict())
        return True


class StandIn(ThreadingHTTPServer):
    """A server whose injected faults are the fields of a dataclass."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = BACKLOG

    def __init__(self, port: int, handler: type[Handler], faults):
        super().__init__(('127.0.0.1', port), handler)
        self.faults = faults
        self.lock = threading.Lock()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self.server_address[1]

    def handle_error(self, request, client_address):
        """Ignore callers that disconnected; report other errors."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)

    def set_faults(self, values: dict) -> None:
        """Change the named faults and leave the others unchanged."""
        self.faults = replace(self.faults, **values)

    def faults_dict(self) -> dict:
        """Return all faults and their values."""
        return {item.name: getattr(self.faults, item.name) for item in fields(self.faults)}

    def start(self):
        """Serve in a background thread, for tests within one process."""
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()
        return self

    def stop(self) -> None:
        """Stop serving and close the port."""
        self.shutdown()
        self.server_close()
