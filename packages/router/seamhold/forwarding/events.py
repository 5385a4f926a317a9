"""Checks the framing of an event stream that passes through, not its content."""

EVENT_END = b'\n\n'
ID_LINE = b'id:'
#: An event larger than this is not passed on.
PENDING_MAX_BYTES = 1024 * 1024


class EventCheck:
    """Passes on only whole events and keeps the id of the last one."""

    def __init__(self, resume_after: str = ''):
        self.foreign = False
        self.position = resume_after
        self._pending = b''

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return all complete events that were not returned before."""
        data = self._pending + data
        cut = data.rfind(EVENT_END)
        if cut < 0:
            self._pending = data
            self.foreign = len(data) > PENDING_MAX_BYTES
            return b''
        cut += len(EVENT_END)
        ready, self._pending = data[:cut], data[cut:]
        self._record_position(ready)
        return ready

    def _record_position(self, events: bytes) -> None:
        start = events.rfind(b'\n' + ID_LINE) + 1
        if not start and not events.startswith(ID_LINE):
            return
        line = events[start + len(ID_LINE) : events.index(b'\n', start + 1)]
        self.position = line.strip().decode('latin-1')

    def end(self) -> bool:
        """Return whether a stream that the server closed ended with a whole event."""
        return not self._pending

    def restart(self) -> None:
        """Drop an incomplete event, before the stream continues from another server."""
        self._pending = b''
