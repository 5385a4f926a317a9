"""Reading and writing of HTTP/1.1 messages on asyncio streams."""

import asyncio

HEAD_MAX_BYTES = 64 * 1024


class Message:
    """One request or answer: its first line, its headers by lower-case name, and its body."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first.split(' ')[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first.split(' ')[0]

    @property
    def target(self) -> str:
        """The path and query of a request."""
        return self.first.split(' ')[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a message without its body, None at the end of the connection."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = data.decode('latin-1')[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers, b'')


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Return the body of a message with a length or in chunks; raises if it is cut."""
    if head.headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            line = await reader.readuntil(b'\r\n')
            size = int(line.split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(head.headers.get('content-length', '0')))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return a whole message, None at the end of the connection; raises if it is cut."""
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message)
    return message


def encode(first: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a message with a length."""
    lines = [first, *(f'{name}: {value}' for name, value in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
