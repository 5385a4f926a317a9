"""structlog, set up for people or for machines.

No prompt, answer or key is ever logged: callers of the logger pass ids,
names, codes and numbers only.
"""

import json
import logging
import queue
import threading
from typing import TextIO

import structlog

#: Lines that wait for a slow reader of the logs; more are dropped and counted.
WAITING_MAX = 4000
#: Lines that are written at once.
BATCH_MAX = 200


class BoundedStream:
    """A stream whose writers never wait for its reader.

    Lines go into a bounded queue that one task empties.  Lines that find it
    full are dropped; their number is told in one line when there is room.
    """

    def __init__(self, stream: TextIO, waiting_max: int = WAITING_MAX):
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(waiting_max)
        self._dropped = 0
        self._lock = threading.Lock()
        self._thread = threading.Thread(target=self._run, name='logs', daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Lines dropped and not told of yet."""
        return self._dropped

    def write(self, text: str) -> None:
        """Take a line, or drop it."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            with self._lock:
                self._dropped += 1

    def flush(self) -> None:
        """Nothing to do: the task writes on by itself."""

    def drain(self, seconds: float) -> None:
        """Wait until all lines are written, or so long."""
        done = threading.Event()
        threading.Thread(target=lambda: (self._lines.join(), done.set()), daemon=True).start()
        done.wait(seconds)

    def _run(self) -> None:
        while True:
            batch = [self._lines.get()]
            while len(batch) < BATCH_MAX and not self._lines.empty():
                batch.append(self._lines.get())
            try:
                self._stream.write(''.join(batch) + self._told_drops())
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads; the lines are lost, and the box goes on.
                pass
            for _ in batch:
                self._lines.task_done()

    def _told_drops(self) -> str:
        with self._lock:
            dropped, self._dropped = self._dropped, 0
        if not dropped:
            return ''
        line = {'task': 'logs', 'event': 'logs.dropped', 'lines': dropped, 'level': 'warning'}
        return json.dumps(line) + '\n'


def setup_logs(stream: TextIO, level: str = 'info') -> None:
    """JSON lines on `stream`, from `level` up."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=stream),
        cache_logger_on_first_use=False,
    )


def logger(task: str):
    """A logger that names the task that speaks."""
    return structlog.get_logger(task=task)
