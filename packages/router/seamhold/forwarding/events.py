"""Checks on an event stream while it passes through, whatever its events hold."""

EVENT_END = b'\n\n'
ID_LINE = b'id:'
#: An event larger than this is not passed on.
PENDING_MAX_BYTES = 1024 * 1024


class EventCheck:
    """Passes on whole events only and remembers the id of the last one."""

    def __init__(self, resume_after: str = ''):
        self.foreign = False
        self.position = resume_after
        self._pending = b''

    def feed(self, data: bytes) -> bytes:
        """Take bytes in; give back those that end with a whole event."""
        data = self._pending + data
        cut = data.rfind(EVENT_END)
        if cut < 0:
            self._pending = data
            self.foreign = len(data) > PENDING_MAX_BYTES
            return b''
        cut += len(EVENT_END)
        ready, self._pending = data[:cut], data[cut:]
        self._note_position(ready)
        return ready

    def _note_position(self, events: bytes) -> None:
        start = events.rfind(b'\n' + ID_LINE) + 1
        if not start and not events.startswith(ID_LINE):
            return
        line = events[start + len(ID_LINE) : events.index(b'\n', start + 1)]
        self.position = line.strip().decode('latin-1')

    def end(self) -> bool:
        """The backend server closed the stream: whether no event was cut."""
        return not self._pending

    def restart(self) -> None:
        """The stream goes on from another backend server; half an event is dropped."""
        self._pending = b''
