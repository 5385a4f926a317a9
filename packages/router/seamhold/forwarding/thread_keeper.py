"""Keeps threads ready for the next callers, and no more of them than that.

cheroot's pool starts with few threads and has no rule of its own for growing.
"""

import threading

from cheroot.workers.threadpool import ThreadPool

#: Threads that a server starts with, that should be idle, and that come at once.
STARTING_THREADS = 12
SPARE_THREADS = 6
STEP_THREADS = 8


class ThreadKeeper:
    """The task that lets a pool grow up to its own maximum."""

    def __init__(self, pool: ThreadPool):
        self._pool = pool
        self._threads = pool.min
        self._wanted = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name='thread-keeper', daemon=True)

    def start(self) -> None:
        """Begin to look after the pool."""
        self._thread.start()

    def stop(self) -> None:
        """End the task and leave the pool as it is."""
        self._stopped = True
        self._wanted.set()

    def look(self) -> None:
        """A connection was handed to the pool: more threads if few are left."""
        if self._short():
            self._wanted.set()

    def _short(self) -> bool:
        return self._threads < self._pool.max and self._ready() < SPARE_THREADS

    def _ready(self) -> int:
        """Idle threads that no connection waits for; below 0 if some wait in vain."""
        return self._pool.idle - self._pool.qsize

    def _run(self) -> None:
        while not self._stopped:
            self._wanted.wait()
            self._wanted.clear()
            while self._short() and not self._stopped:
                wanted = max(STEP_THREADS, SPARE_THREADS - self._ready())
                step = min(wanted, self._pool.max - self._threads)
                self._pool.grow(step)
                self._threads += step
