"""Tests a SIGHUP that arrives while a box is still starting.

A box did not come up in 40 s after a restart: SIGHUP arrived 0.3 s or more after the start,
before its handler was installed, and ended the process.  Its exit status was the signal's
number, and its log had no line of the start.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import testtools

START_SECONDS = 20.0


class TestStartSignals(testtools.TestCase):
    def test_sighup_during_the_start_does_not_end_the_box(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        file = Path(folder.name) / 'box.yaml'
        # Reading its settings blocks the box until the other end of the pipe is written.
        os.mkfifo(file)
        box = subprocess.Popen(
            [sys.executable, '-m', 'seamhold.forwarding', str(file)], stderr=subprocess.DEVNULL
        )
        self.addCleanup(box.wait)
        self.addCleanup(box.kill)
        settings = self.open_when_read(file)
        box.send_signal(signal.SIGHUP)
        with settings:
            settings.write('no settings of a box')
        self.assertGreater(
            box.wait(START_SECONDS), 0, 'the box exited by itself, not by the signal'
        )

    @staticmethod
    def open_when_read(file: Path):
        """Return the write end of the pipe, once the box has opened the read end."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            try:
                return os.fdopen(os.open(file, os.O_WRONLY | os.O_NONBLOCK), 'w')
            except OSError:
                time.sleep(0.01)
        raise TimeoutError('the box never read its settings')
