"""Checks the framing of an event stream that passes through, not its content."""

EVENT_END = b'\n\n'
ID_START = b'\nid:'
#: An event larger than this is not passed on.
PENDING_MAX_BYTES = 1024 * 1024


class EventCheck:
    """Passes on only whole events and keeps the id of the last one."""

    def __init__(self, resume_after: str = ''):
        self.foreign = False
        self.position = resume_after
        self.events = 0
        self.first = ''
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
        self.events += ready.count(EVENT_END)
        return ready

    def _record_position(self, events: bytes) -> None:
        lines = b'\n' + events
        last = lines.rfind(ID_START)
        if last < 0:
            return
        self.position = _id_at(lines, last)
        self.first = self.first or _id_at(lines, lines.find(ID_START))

    def end(self) -> bool:
        """Return whether a stream that the server closed ended with a whole event."""
        return not self._pending

    def restart(self) -> None:
        """Drop an incomplete event, before the stream continues from another server."""
        self._pending = b''
        self.events = 0
        self.first = ''


def _id_at(lines: bytes, start: int) -> str:
    start += len(ID_START)
    return lines[start : lines.index(b'\n', start)].strip().decode('latin-1')
