"""Checks on a stream of server-sent events while it passes through.

Events are counted and matched by their bytes; none is parsed.
"""

EVENT_END = b'\n\n'
#: A raw line break never stands inside JSON, so text cannot forge these.
OBJECT_LINE = b'\ndata: {'
DONE_LINE = b'\ndata: [DONE]'
#: An event larger than this is not one of a chat stream.
PENDING_MAX_BYTES = 1024 * 1024


class StreamWatch:
    """Passes on whole events only and tells how the stream stands.

    `events` counts events with data that were passed on, which is where a
    resumed stream goes on.
    """

    def __init__(self, request_id: str):
        self._id = request_id.encode()
        self._pending = b''
        self.events = 0
        self.done = False
        self.foreign = False

    def feed(self, data: bytes) -> bytes:
        """Take bytes in; give back those that end with a whole event."""
        data = self._pending + data
        cut = data.rfind(EVENT_END)
        if cut < 0:
            self._pending = data
            self.foreign = self.foreign or len(data) > PENDING_MAX_BYTES
            return b''
        cut += len(EVENT_END)
        ready, self._pending = data[:cut], data[cut:]
        lines = b'\n' + ready
        objects = lines.count(OBJECT_LINE)
        if ready.count(self._id) < objects:
            self.foreign = True
            return b''
        self.events += objects
        self.done = self.done or DONE_LINE in lines
        return ready

    @property
    def position(self) -> str:
        """Where a resumed stream goes on; '' while nothing was passed on."""
        return str(self.events) if self.events else ''

    def end(self) -> bool:
        """The engine closed the stream: whether it had come to its end."""
        return self.done

    def restart(self) -> None:
        """The stream goes on from another engine; a half event is dropped."""
        self._pending = b''
