"""Splits a stream of server-sent events into events, as its bytes arrive.

The format is that of the HTML standard: lines end with LF, CR LF or CR, and a blank line ends
an event.  The bytes of an event are kept as they are.
"""

from msgspec import Struct

LINE_ENDS = frozenset(b'\r\n')
CR = b'\r'
LF = b'\n'


class Event(Struct, gc=False):
    """One event: its bytes with the blank line, its last id, and whether it has a data field.

    `id` is None if the event has none.  A blank line that follows another is an event, too.
    """

    data: bytes
    id: bytes | None
    has_data: bool


class EventReader:
    """Collects bytes until they end an event; `pending_bytes` is the size of an incomplete one."""

    def __init__(self):
        self.reset()

    def reset(self) -> None:
        """Drop an incomplete event."""
        self.pending_bytes = 0
        self._lines: list[bytes] = []
        self._tail = b''
        self._id: bytes | None = None
        self._has_data = False

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete."""
        self.pending_bytes += len(data)
        lines = (self._tail + data).splitlines(keepends=True)
        self._tail = b''
        # An LF may follow a CR.  A blank line is complete with its CR, so that no event has to
        # wait for more bytes; the LF is then a blank line of its own.
        if lines and not lines[-1].endswith(LF) and lines[-1] != CR:
            self._tail = lines.pop()
        events = []
        for line in lines:
            self._lines.append(line)
            if line[0] in LINE_ENDS:
                events.append(self._take())
            elif line[:4] == b'data':
                self._has_data = self._has_data or _is_field(line, b'data')
            elif line[:2] == b'id' and _is_field(line, b'id'):
                self._id = line[3:].strip()
        return events

    def _take(self) -> Event:
        event = Event(b''.join(self._lines), self._id, self._has_data)
        self.pending_bytes -= len(event.data)
        self._lines.clear()
        self._id, self._has_data = None, False
        return event


def _is_field(line: bytes, name: bytes) -> bool:
    """Whether a line that begins with `name` is a field of that name; its value may be absent."""
    return line[len(name)] in b':\r\n'
