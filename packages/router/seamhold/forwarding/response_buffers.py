"""Buffers what callers do not read in time, and sends it when their connections take it.

A request's thread writes to its caller's connection itself as long as that takes everything.
What it does not take is buffered here, up to a bound for each response and one for all
together, and one task sends it.  A response that is read from its engine as it arrives pauses
at its bound: nothing is read from the engine, no thread is held, and the task queues it for a
thread once there is room.  A complete response frees its thread at once; the thread waits only
while the bound on all responses is exceeded.
"""

import io
import os
import select
import socket
import threading
from collections import deque
from collections.abc import Callable

from ..gate import Gate
from ..logs import logger
from ..metrics import Metrics
from .slow_callers import DropReason, ReadRate, Shortage, SlowCaller, choose_dropped

#: Bound on what is buffered of a response that is read from its engine as it arrives, in
#: bytes; the same as for a response that is held for a retry.
RESPONSE_BYTES_MAX = 256 * 1024
#: A paused response goes on once no more than this is buffered, in bytes, so that it does not
#: take a thread for every few bytes.
RESPONSE_BYTES_LOW = RESPONSE_BYTES_MAX // 2
#: Interval of the checks for shortages while callers are slow, in seconds.
CHECK_SECONDS = 0.1
#: Part of the threads that must stay free of blocked responses.
SPARE_THREADS_SHARE = 0.25
GONE_EVENTS = select.EPOLLHUP | select.EPOLLERR
#: While the response is being read from its engine, a caller that ends its side has left.
WRITING_EVENTS = select.EPOLLOUT | select.EPOLLRDHUP
WAKE = (1).to_bytes(8, 'little')


class CallerDropped(ConnectionError):
    """The connection of a caller was closed because it reads too slowly, or it closed it."""

    def __init__(self, reason: DropReason):
        super().__init__(f'the caller was dropped: {reason}')


class ResponseWriter:
    """Writes to one caller's connection; takes the place of cheroot's file for writing.

    `discard` closes the connection and what the kernel holds for it.
    """

    def __init__(
        self, buffers: 'ResponseBuffers', connection: socket.socket, discard: Callable[[], None]
    ):
        self._buffers = buffers
        self.connection = connection
        #: The file descriptor of the connection.
        self.number = connection.fileno()
        self.discard = discard
        #: What the connection did not take.  Only the request's thread appends; the task
        #: removes.  Both hold the lock of the buffers for it.
        self.backlog: deque[memoryview] = deque()
        self.held_bytes = 0
        self.dropped: DropReason | None = None
        #: Called when a complete response is sent; None while its thread still writes.
        self.on_sent: Callable[[], None] | None = None
        #: Called when a paused response may go on; None if it is not paused.
        self.on_room: Callable[[], None] | None = None
        self.blocked_at = 0.0
        self.progress_at = 0.0
        self.rate = ReadRate(0.0)

    @property
    def is_full(self) -> bool:
        """Whether a response of which more arrives must pause."""
        return bool(self.backlog) and (
            self.held_bytes > RESPONSE_BYTES_MAX or self._buffers.is_over
        )

    def write(self, data: bytes, whole: bool = False) -> None:
        """Write all data, or buffer it; a `whole` response waits for the bound on all.

        Raises OSError if the caller closed the connection or is dropped.
        """
        if self.dropped is not None:
            raise CallerDropped(self.dropped)
        rest = memoryview(data)
        # Only this thread adds to an empty backlog, so no lock is needed.
        if not self.backlog:
            rest = self.send(rest)
        if rest:
            self._buffers.hold(self, rest, whole)

    def send(self, data: memoryview) -> memoryview:
        """Write what the connection takes without waiting; return the rest."""
        try:
            # The descriptor does not block since cheroot sets a timeout on its socket.
            # Unlike socket.send, this makes no second system call for that timeout.
            sent = os.write(self.number, data)
        except BlockingIOError:
            return data
        return data[sent:]

    def when_sent(self, action: Callable[[], None]) -> None:
        """Call `action` once everything is sent: now, or later on the task's thread.

        If the caller is dropped before that, its connection is discarded instead.
        """
        if not self.backlog or not self._buffers.defer(self, action):
            action()

    def when_room(self, action: Callable[[], None]) -> None:
        """Call `action` once more may be buffered, or the caller is dropped."""
        if not self._buffers.pause(self, action):
            action()


class ResponseBuffers:
    """The buffers of all responses and the task that sends them.

    `total_bytes` bounds what is buffered for all responses together.  `stall_seconds` returns
    how long a caller may read nothing.
    """

    def __init__(
        self,
        total_bytes: int,
        gate: Gate,
        clock: Callable[[], float],
        stall_seconds: Callable[[], float],
        metrics: Metrics,
    ):
        self.total_bytes = total_bytes
        self.held_bytes = 0
        self._gate = gate
        self._clock = clock
        self._stall_seconds = stall_seconds
        self._metrics = metrics
        self._log = logger('buffers')
        self._lock = threading.Lock()
        self._slow: dict[int, ResponseWriter] = {}
        self._paused: set[ResponseWriter] = set()
        #: Writers whose threads wait for the bound on all responses.
        self._waiting: set[ResponseWriter] = set()
        self._room = threading.Condition(self._lock)
        #: What to call after the lock is released.
        self._actions: list[Callable[[], None]] = []
        self._next_check = 0.0
        self._stopped = False
        self._poll = select.epoll()
        self._wake = io.FileIO(os.eventfd(0, os.EFD_CLOEXEC), 'r+')
        self._poll.register(self._wake, select.EPOLLIN)
        self._thread = threading.Thread(target=self._run, name='response-buffers', daemon=True)

    @property
    def slow_callers(self) -> int:
        """Number of callers whose responses are blocked now."""
        return len(self._slow)

    def start(self) -> None:
        """Start the task, which sleeps until a response is blocked."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the task; what is still buffered is lost."""
        self._stopped = True
        self._wake.write(WAKE)

    @property
    def is_over(self) -> bool:
        """Whether more is buffered than `total_bytes`."""
        return self.held_bytes > self.total_bytes

    def hold(self, writer: ResponseWriter, data: memoryview, whole: bool) -> None:
        """Buffer data of a blocked response; a `whole` one waits for the bound on all."""
        with self._lock:
            if writer.dropped is not None:
                raise CallerDropped(writer.dropped)
            if not writer.backlog:
                self._add(writer)
            writer.backlog.append(data)
            # A part of a chunk keeps all of it in memory.
            size = len(data.obj)
            writer.held_bytes += size
            self.held_bytes += size
            if whole and self.is_over:
                self._await_room(writer)

    def defer(self, writer: ResponseWriter, action: Callable[[], None]) -> bool:
        """Let the task call `action` once all is sent; False if it is sent already."""
        with self._lock:
            if not writer.backlog:
                return False
            writer.on_sent = action
            # A caller may end its side once it has sent its request.
            self._poll.modify(writer.number, select.EPOLLOUT)
            return True

    def pause(self, writer: ResponseWriter, action: Callable[[], None]) -> bool:
        """Let the task call `action` once there is room; False if there is room already."""
        with self._lock:
            if writer.dropped is not None or self._has_room(writer):
                return False
            writer.on_room = action
            self._paused.add(writer)
            return True

    def _has_room(self, writer: ResponseWriter) -> bool:
        return not writer.backlog or (writer.held_bytes <= RESPONSE_BYTES_LOW and not self.is_over)

    def _add(self, writer: ResponseWriter) -> None:
        now = self._clock()
        writer.blocked_at = writer.progress_at = now
        writer.rate = ReadRate(now)
        self._poll.register(writer.number, WRITING_EVENTS)
        self._slow[writer.number] = writer
        if len(self._slow) == 1:
            self._wake.write(WAKE)

    def _await_room(self, writer: ResponseWriter) -> None:
        """Wait until the bound on all responses is kept, or this one is sent or dropped."""
        self._waiting.add(writer)
        try:
            while writer.backlog and self.is_over:
                self._room.wait()
        finally:
            self._waiting.discard(writer)
        if writer.dropped is not None:
            raise CallerDropped(writer.dropped)

    # On the task's thread.

    def _run(self) -> None:
        while not self._stopped:
            for number, events in self._poll.poll(CHECK_SECONDS if self._slow else None):
                if number == self._wake.fileno():
                    self._wake.read(len(WAKE))
                    continue
                with self._lock:
                    writer = self._slow.get(number)
                    if writer is not None:
                        self._send(writer, events)
            now = self._clock()
            if now >= self._next_check or not self._slow:
                self._next_check = now + CHECK_SECONDS
                self._check(now)
            self._act()

    def _act(self) -> None:
        """Call what became due, without the lock: closing a connection may take a while."""
        with self._lock:
            actions, self._actions = self._actions, []
            if self._waiting:
                self._room.notify_all()
        for action in actions:
            try:
                action()
            except OSError:
                # The connection is broken.
                continue
            except Exception:
                # All other responses depend on this task.
                self._log.exception('buffers.error')

    def _send(self, writer: ResponseWriter, events: int) -> None:
        if events & GONE_EVENTS or (events & select.EPOLLRDHUP and writer.on_sent is None):
            self._drop(writer, DropReason.CLOSED)
            return
        try:
            self._send_backlog(writer)
        except OSError:
            self._drop(writer, DropReason.CLOSED)
            return
        if not writer.backlog:
            self._remove(writer)
            if writer.on_sent is not None:
                self._actions.append(writer.on_sent)
                writer.on_sent = None
        if writer.on_room is not None and self._has_room(writer):
            self._continue(writer)

    def _continue(self, writer: ResponseWriter) -> None:
        self._paused.discard(writer)
        self._actions.append(writer.on_room)
        writer.on_room = None

    def _continue_paused(self) -> None:
        """Let paused responses go on as far as the bound on all has room for them."""
        room = self.total_bytes - self.held_bytes
        for writer in list(self._paused):
            if room <= 0:
                return
            if self._has_room(writer):
                self._continue(writer)
                room -= RESPONSE_BYTES_MAX

    def _send_backlog(self, writer: ResponseWriter) -> None:
        now = self._clock()
        while writer.backlog:
            data = writer.backlog[0]
            rest = writer.send(data)
            if len(rest) < len(data):
                writer.progress_at = now
                writer.rate.add(len(data) - len(rest), now)
            if rest:
                writer.backlog[0] = rest
                return
            writer.backlog.popleft()
            self._release(writer, len(data.obj))

    def _release(self, writer: ResponseWriter, size: int) -> None:
        writer.held_bytes -= size
        self.held_bytes -= size

    def _remove(self, writer: ResponseWriter) -> None:
        del self._slow[writer.number]
        self._poll.unregister(writer.number)

    def _check(self, now: float) -> None:
        with self._lock:
            slow = [self._as_slow(writer, now) for writer in self._slow.values()]
            dropped = choose_dropped(slow, self._shortage(), self._stall_seconds())
            for number, reason in dropped.items():
                self._drop(self._slow[number], reason)
            self._continue_paused()
        self._metrics.gauge('slow_callers', len(self._slow))
        self._metrics.gauge('response_buffer_bytes', self.held_bytes)

    def _shortage(self) -> Shortage:
        spare = int(self._gate.limit * SPARE_THREADS_SHARE)
        free = self._gate.limit - self._gate.active
        return Shortage(max(0, spare - free), max(0, self.held_bytes - self.total_bytes))

    def _drop(self, writer: ResponseWriter, reason: DropReason) -> None:
        """Drop a response; its thread sees that at its next write, or by its closed connection.

        Called with the lock.
        """
        writer.dropped = reason
        self._remove(writer)
        self._metrics.count(f'slow_caller_dropped.{reason}')
        now = self._clock()
        self._log.info(
            'slow_caller.dropped',
            reason=reason,
            bytes=writer.held_bytes,
            rate=round(writer.rate.per_second(now)),
            complete=writer.on_sent is not None,
            seconds=round(now - writer.blocked_at, 3),
        )
        self._release(writer, writer.held_bytes)
        if writer.on_sent is not None:
            writer.on_sent = None
            self._actions.append(writer.discard)
        else:
            # The caller's watch sees this, and cancels the call at its engine.  It comes before
            # the backlog is cleared: to an empty one, the thread would write what follows.
            _shut_down(writer.connection)
        writer.backlog.clear()
        if writer.on_room is not None:
            self._continue(writer)

    def _as_slow(self, writer: ResponseWriter, now: float) -> SlowCaller:
        return SlowCaller(
            key=writer.number,
            blocked_for=now - writer.blocked_at,
            stalled_for=now - writer.progress_at,
            rate=writer.rate.per_second(now),
            held_bytes=writer.held_bytes,
            waits=writer in self._waiting,
            complete=writer.on_sent is not None,
        )


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The caller has closed it.
        pass
