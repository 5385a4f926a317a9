"""Sets up structlog to write JSON lines without blocking.

Prompts, answers and keys are never logged: callers of the logger pass ids, names,
codes and numbers only.
"""

import json
import logging
import queue
import threading
from collections.abc import Callable
from typing import TextIO

import structlog

#: Lines queued for a slow reader of the logs; further ones are dropped and counted.
QUEUE_MAX_LINES = 4000
#: Lines written by one call.
BATCH_MAX = 200
#: An item that is logged once is logged up to this length, and this many of them are.
ITEM_MAX_CHARS = 200
LOGGED_ITEMS_MAX = 50


class BoundedStream:
    """A stream whose writers never block on its reader.

    Lines go into a bounded queue that one thread empties.  Lines that arrive while it is
    full are dropped; a later line reports their number.
    """

    def __init__(self, stream: TextIO, max_lines: int = QUEUE_MAX_LINES):
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(max_lines)
        self._dropped = 0
        self._lock = threading.Lock()
        self._thread = threading.Thread(target=self._run, name='logs', daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Number of dropped lines that no line has reported yet."""
        return self._dropped

    def write(self, text: str) -> None:
        """Queue a line, or drop it if the queue is full."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            with self._lock:
                self._dropped += 1

    def flush(self) -> None:
        """Do nothing: the thread flushes after each batch."""

    def drain(self, seconds: float) -> None:
        """Wait at most `seconds` until all lines are written."""
        done = threading.Event()
        threading.Thread(target=lambda: (self._lines.join(), done.set()), daemon=True).start()
        done.wait(seconds)

    def _run(self) -> None:
        while True:
            batch = [self._lines.get()]
            while len(batch) < BATCH_MAX and not self._lines.empty():
                batch.append(self._lines.get())
            try:
                self._stream.write(''.join(batch) + self._drop_report())
                self._stream.flush()
            except (OSError, ValueError):
                # The reader is gone: the lines are lost, and the box continues.
                pass
            for _ in batch:
                self._lines.task_done()

    def _drop_report(self) -> str:
        with self._lock:
            dropped, self._dropped = self._dropped, 0
        if not dropped:
            return ''
        line = {'task': 'logs', 'event': 'logs.dropped', 'lines': dropped, 'level': 'warning'}
        return json.dumps(line) + '\n'


class LogOnce:
    """Logs an event once for each item, and for a limited number of items."""

    def __init__(self, task: str, event: str):
        self._log = logger(task)
        self._event = event
        self._items: set[str] = set()

    def warning(self, item: str, **fields: object) -> None:
        """Log a warning about an item, unless it was logged before."""
        item = item[:ITEM_MAX_CHARS]
        if item not in self._items and len(self._items) < LOGGED_ITEMS_MAX:
            self._items.add(item)
            self._log.warning(self._event, item=item, **fields)


def unnamed_object_log(task: str) -> Callable[[bytes, Exception], None]:
    """Return a function that logs an object of the platform without a readable name, once."""
    log = LogOnce(task, 'object.unreadable')
    return lambda text, error: log.warning(repr(text[:ITEM_MAX_CHARS]), detail=str(error))


def setup_logs(stream: TextIO, level: str = 'info') -> None:
    """Configure structlog to write JSON lines of at least `level` to `stream`."""
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
    """Return a logger that adds the name of the task to each line."""
    return structlog.get_logger(task=task)
