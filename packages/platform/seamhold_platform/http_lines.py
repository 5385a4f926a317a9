"""Lines that frame messages of HTTP/1.1, as RFC 9112 defines them."""

import re

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_VALUE = rb'[\t\x20-\x7e\x80-\xff]*'

STATUS_LINE = re.compile(rb'HTTP/1\.\d [1-9]\d\d(?: %b)?\r?\n' % _VALUE)
FIELD_LINE = re.compile(rb'%b:%b\r?\n' % (_TOKEN, _VALUE))
#: The size of the chunk is the first group, in hexadecimal digits.
CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]{1,15})[ \t]*(?:;%b)?\r?\n' % _VALUE)
METHOD = re.compile(_TOKEN)
#: A path with its query, without spaces and control characters.
TARGET = re.compile(rb'/[\x21-\x7e]*')
CRLF = b'\r\n'
BLANK_LINES = frozenset({CRLF, b'\n'})
