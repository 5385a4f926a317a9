"""A client that sends requests to one box on a connection that it keeps."""

import http.client
import threading
import time
import uuid
from dataclasses import dataclass

from seamhold_kusina import headers as names

HOST = '127.0.0.1'


@dataclass(frozen=True)
class Sent:
    """One client attempt and its answer; the status is 0 if there was none."""

    at: float
    box: str
    request_id: str
    path: str
    status: int
    seconds: float
    by: str = ''


class Client(threading.Thread):
    """Sends requests to one box at a steady rate until it is stopped."""

    def __init__(self, box, host: str, key: str, path: str, method: str, pause: float):
        super().__init__(daemon=True)
        self._box = box
        self._host = host
        self._key = key
        self._path = path
        self._method = method
        self._pause = pause
        self._connection: http.client.HTTPConnection | None = None
        self._stopped = threading.Event()
        self.sent: list[Sent] = []

    def run(self) -> None:
        """Send until stopped."""
        while not self._stopped.wait(self._pause):
            self.sent.append(self._send())

    def stop(self) -> None:
        """Stop sending, and wait for the last answer."""
        self._stopped.set()
        self.join(5.0)

    def _send(self) -> Sent:
        request_id = uuid.uuid4().hex[:16]
        headers = {
            'Host': self._host,
            names.REQUEST_ID: request_id,
            names.REMAINING_MS: '3000',
            names.AUTHORIZATION: f'Bearer {self._key}',
        }
        at = time.monotonic()
        status, by = 0, ''
        try:
            if self._connection is None:
                self._connection = http.client.HTTPConnection(HOST, self._box.port, timeout=4.0)
            self._connection.request(self._method, self._path, headers=headers)
            answer = self._connection.getresponse()
            answer.read()
            status = answer.status
            by = answer.getheader(names.SIGNATURE) or ''
            if answer.will_close:
                self._drop_connection()
        except (OSError, http.client.HTTPException):
            self._drop_connection()
        return Sent(at, self._box.name, request_id, self._path, status, time.monotonic() - at, by)

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
