"""A box that is told to read its settings while it still starts.

What operators saw: a box did not come up in 40 s.  Order of events: a box was stopped and
started again; 0.3 s and more later, still loading, it got the signal that its settings
changed; nobody handled that yet, so it ended the process.  Evidence: the process ended with
the signal's number, and its log holds no line of the start.
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
    def test_one_that_starts_outlives_the_news_of_its_settings(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        file = Path(folder.name) / 'box.yaml'
        # Reading its settings the box waits for the other end of the pipe.
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
        self.assertGreater(box.wait(START_SECONDS), 0, 'it ended by itself, not by the signal')

    @staticmethod
    def open_when_read(file: Path):
        """The pipe's writing end, once the box has opened the other."""
        ends = time.monotonic() + START_SECONDS
        while time.monotonic() < ends:
            try:
                return os.fdopen(os.open(file, os.O_WRONLY | os.O_NONBLOCK), 'w')
            except OSError:
                time.sleep(0.01)
        raise TimeoutError('the box never read its settings')
