"""The environment of the program: streams, variables, clocks and random ids.

It is passed in as one object, which tests can replace.
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
    """Streams, variables, clocks and random ids of the program.

    `monotonic` and `unix_time` are in seconds; `monotonic` includes the time for which the
    machine was suspended.
    """

    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = field(default_factory=lambda: os.environ)
    monotonic: Callable[[], float] = boot_seconds
    unix_time: Callable[[], float] = time.time
    sleep: Callable[[float], None] = time.sleep

    def new_id(self) -> str:
        """Return a random id that is unique among all processes."""
        return secrets.token_hex(ID_BYTES)

    def print_line(self, text: str) -> None:
        """Print a line to standard output."""
        print(text, file=self.stdout, flush=True)

    def print_error(self, text: str) -> None:
        """Print a line to standard error."""
        print(text, file=self.stderr, flush=True)
