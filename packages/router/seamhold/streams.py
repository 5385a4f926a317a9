"""Checks a stream of server-sent events while it is passed on.

Events are counted and matched by their bytes and not parsed.
"""

from seamhold_messages.errors import AnswerMismatch, AnswerTooLarge, SeamholdError

EVENT_END = b'\n\n'
#: JSON contains no raw line break, so a text inside an event cannot imitate these.
OBJECT_LINE = b'\ndata: {'
DONE_LINE = b'\ndata: [DONE]'
#: Maximum size of an event; a larger one does not belong to a chat stream.
PENDING_MAX_BYTES = 1024 * 1024


class EventStreamCheck:
    """Passes on whole events only, and tracks the state of the stream.

    `total` counts the events with data that were passed on, which is the position from
    which a stream is resumed.  `error` is set if the stream must be broken off.
    """

    def __init__(self, request_id: str):
        self._id = request_id.encode()
        self._pending = b''
        self._before = 0
        self.total = 0
        self.first = ''
        self.done = False
        self.error: SeamholdError | None = None

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return those that end with a whole event."""
        data = self._pending + data
        cut = data.rfind(EVENT_END)
        if cut < 0:
            self._pending = data
            if len(data) > PENDING_MAX_BYTES:
                self.error = AnswerTooLarge(f'an event exceeds {PENDING_MAX_BYTES} bytes')
            return b''
        cut += len(EVENT_END)
        ready, self._pending = data[:cut], data[cut:]
        lines = b'\n' + ready
        objects = lines.count(OBJECT_LINE)
        if ready.count(self._id) < objects:
            self.error = AnswerMismatch('the stream carries events of another request')
            return b''
        if objects and not self.first:
            self.first = str(self.total + 1)
        self.total += objects
        self.done = self.done or DONE_LINE in lines
        return ready

    @property
    def position(self) -> str:
        """The position from which the stream is resumed; '' before the first event."""
        return str(self.total) if self.total else ''

    @property
    def events(self) -> int:
        """The events with data that were passed on since the stream began or was taken up."""
        return self.total - self._before

    def end(self) -> bool:
        """Return whether the stream, which the engine closed, is complete."""
        return self.done

    def restart(self) -> None:
        """Prepare to continue from another engine; drops a partial event."""
        self._pending = b''
        self.error = None
        self._before, self.first = self.total, ''
