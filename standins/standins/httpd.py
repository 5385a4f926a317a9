"""What the stand-ins share: a threaded HTTP server with switchable faults."""

import json
import socket
import sys
import threading
from dataclasses import fields, replace
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

BACKLOG = 512


class Handler(BaseHTTPRequestHandler):
    """JSON in, JSON out; keeps the connection open between requests."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = 0

    def log_message(self, *args):
        """Stand-ins keep quiet."""

    def read_body(self) -> bytes:
        """The request's body."""
        return self.rfile.read(int(self.headers.get('Content-Length') or 0))

    def read_json(self) -> dict:
        """The request's body as JSON."""
        return json.loads(self.read_body() or b'{}')

    def encoded(self, value: object) -> bytes:
        """The body that tells `value`."""
        return json.dumps(value).encode()

    def send_json(self, status: int, value: object, **headers: str) -> None:
        """Answer with JSON and close nothing."""
        body = self.encoded(value)
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        for name, text in headers.items():
            self.send_header(name.replace('_', '-'), text)
        self.end_headers()
        self.wfile.write(body)

    def begin_chunks(self, content_type: str, **headers: str) -> None:
        """Start an answer of unknown length."""
        self.send_response(200)
        self.send_header('Content-Type', content_type)
        self.send_header('Transfer-Encoding', 'chunked')
        for name, text in headers.items():
            self.send_header(name.replace('_', '-'), text)
        self.end_headers()

    def send_chunk(self, data: bytes) -> None:
        """One chunk; an empty one ends the answer."""
        self.wfile.write(b'%x\r\n%b\r\n' % (len(data), data))

    def hang_up(self) -> None:
        """Break the connection without an answer."""
        self.close_connection = True
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def handle_fault_request(self) -> bool:
        """Read or change the server's faults; False if the path is another."""
        if self.path != '/standin/faults':
            return False
        if self.command == 'POST':
            self.server.set_faults(self.read_json())
        self.send_json(200, self.server.faults_dict())
        return True


class StandIn(ThreadingHTTPServer):
    """A server that holds its faults as a dataclass."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = BACKLOG

    def __init__(self, port: int, handler: type[Handler], faults):
        super().__init__(('127.0.0.1', port), handler)
        self.faults = faults
        self.lock = threading.Lock()

    @property
    def port(self) -> int:
        """The port it listens on."""
        return self.server_address[1]

    def handle_error(self, request, client_address):
        """A caller that left is no news."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)

    def set_faults(self, values: dict) -> None:
        """Change the named faults and leave the others."""
        self.faults = replace(self.faults, **values)

    def faults_dict(self) -> dict:
        """All faults and their values."""
        return {item.name: getattr(self.faults, item.name) for item in fields(self.faults)}

    def start(self):
        """Serve in a thread of its own; for tests in one process."""
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()
        return self

    def stop(self) -> None:
        """Stop serving and close the port."""
        self.shutdown()
        self.server_close()
