"""Serves one request through the one-file program; leaves with 1 if it cannot."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

import yaml

from standins import demo
from standins.fleet import LocalFleet, wait_until


class BinaryFleet(LocalFleet):
    """Boxes run from the file instead of the installed packages."""

    def __init__(self, binary: str, unpacked: str):
        super().__init__()
        self._binary = binary
        self._unpacked = unpacked

    def _spawn(self, name: str, arguments: list[str]) -> subprocess.Popen:
        if arguments[0] != 'seamhold':
            return super()._spawn(name, arguments)
        with (self.folder / f'{name}.log').open('ab') as log:
            return subprocess.Popen(
                [sys.executable, '-I', self._binary, *arguments[1:]],
                stdout=subprocess.DEVNULL,
                stderr=log,
                env=dict(os.environ, SHIV_ROOT=self._unpacked),
            )


def main() -> int:
    """Start a box from the file and hold one turn of a chat."""
    binary = str(Path(sys.argv[1]).resolve())
    with tempfile.TemporaryDirectory() as unpacked, BinaryFleet(binary, unpacked) as fleet:
        fleet.start_platform()
        fleet.start_engine('engine-1', 'recipes')
        fleet.apply(yaml.safe_load(demo.TREE.read_text(encoding='utf-8')))
        fleet.start_box('box-1', wait=False)
        # The first start unpacks the file.
        wait_until(lambda: fleet.ready('box-1'), 60, 'the one-file program')
        messages = [{'role': 'user', 'content': 'hello'}]
        reply = demo.Caller(fleet).chat('box-1', messages, True)
        whole = reply.status == 200 and b'data: [DONE]' in reply.body
        print('the one-file program served a request' if whole else f'it failed: {reply}')
        return 0 if whole else 1


if __name__ == '__main__':
    sys.exit(main())
