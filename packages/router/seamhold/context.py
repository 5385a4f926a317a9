"""What the program stands in: streams, clocks and chance.

One object is passed in, so that tests swap it.
"""

import os
import secrets
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TextIO

from .clock import boot_seconds

ID_BYTES = 8


@dataclass
class Environment:
    """Streams, clocks and chance, as the program sees them.

    `monotonic` and `unix_time` are in seconds; the first counts suspensions of the machine.
    """

    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = field(default_factory=lambda: os.environ)
    monotonic: Callable[[], float] = boot_seconds
    unix_time: Callable[[], float] = time.time
    sleep: Callable[[float], None] = time.sleep

    def fresh_id(self) -> str:
        """An id that no other process makes."""
        return secrets.token_hex(ID_BYTES)

    def say(self, text: str) -> None:
        """One line for the person at the terminal."""
        print(text, file=self.stdout, flush=True)

    def complain(self, text: str) -> None:
        """One line about what went wrong."""
        print(text, file=self.stderr, flush=True)
