"""A stand-in for a plain service that echoes requests and keeps a ledger."""

import argparse
import hashlib
import time
from dataclasses import dataclass

from .httpd import Handler, StandIn


@dataclass(frozen=True)
class ServiceFaults:
    """The faults that can be injected; times in seconds."""

    answer_seconds: float = 0.0
    hang_up: bool = False
    fail_500: bool = False


class ServiceHandler(Handler):
    """Answers any method on any path with a description of the request."""

    def _serve(self):
        if self.handle_fault_request():
            return
        if self.path == '/standin/ledger':
            self.send_json(200, self.server.ledger)
            return
        body = self.read_body()
        faults = self.server.faults
        request_id = self.headers.get('X-Request-Id', '')
        row = {'request_id': request_id, 'body_hash': hashlib.sha256(body).hexdigest()}
        self.server.ledger.append(row)
        time.sleep(faults.answer_seconds)
        if faults.hang_up:
            self.hang_up()
            return
        status = 500 if faults.fail_500 else 200
        answer = {'method': self.command, 'path': self.path, 'bytes': len(body)}
        self.send_json(status, answer, X_Request_Id=request_id)

    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = _serve


class Service(StandIn):
    """The service's server."""

    def __init__(self, port: int = 0):
        super().__init__(port, ServiceHandler, ServiceFaults())
        self.ledger: list[dict] = []


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(description='stand-in for a plain service')
    parser.add_argument('--port', type=int, default=0)
    options = parser.parse_args()
    server = Service(options.port)
    print(server.port, flush=True)
    server.serve_forever()


if __name__ == '__main__':
    main()
