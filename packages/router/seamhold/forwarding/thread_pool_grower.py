"""Grows cheroot's thread pool so that idle threads are ready for the next callers.

cheroot's pool starts with few threads and does not grow by itself.
"""

import threading

from cheroot.workers.threadpool import ThreadPool

#: Threads at the start, the number that should be idle, and the minimum added at once.
STARTING_THREADS = 12
SPARE_THREADS = 6
STEP_THREADS = 8


class ThreadPoolGrower:
    """The task that grows a pool, up to the pool's maximum."""

    def __init__(self, pool: ThreadPool):
        self._pool = pool
        self._threads = pool.min
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name='thread-keeper', daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; the pool keeps its size."""
        self._stopped = True
        self._wake.set()

    def check(self) -> None:
        """Wake the task if few threads are idle; called after a connection was queued."""
        if self._has_too_few_idle():
            self._wake.set()

    def _has_too_few_idle(self) -> bool:
        return self._threads < self._pool.max and self._spare() < SPARE_THREADS

    def _spare(self) -> int:
        """Idle threads minus queued connections; negative if connections wait for a thread."""
        return self._pool.idle - self._pool.qsize

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait()
            self._wake.clear()
            while self._has_too_few_idle() and not self._stopped:
                missing = max(STEP_THREADS, SPARE_THREADS - self._spare())
                step = min(missing, self._pool.max - self._threads)
                self._pool.grow(step)
                self._threads += step
