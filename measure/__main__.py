"""`python -m measure [NAME ...]` runs all measurements, or those named."""

import sys
import time

from . import growth, path, placing, platform_calls, quarantine, slopes, start

MEASUREMENTS = {
    'placing': placing.compare_variants,
    'frontier': placing.frontier,
    'growth': growth.measure,
    'slopes': slopes.measure,
    'path': path.measure,
    'platform': platform_calls.measure,
    'start': start.measure,
    'quarantine': quarantine.measure,
}


def main(names: list[str]) -> int:
    """Run the measurements; return 2 if a name is unknown."""
    unknown = set(names) - set(MEASUREMENTS)
    if unknown:
        print(f'no such measurement: {", ".join(unknown)}; there are {", ".join(MEASUREMENTS)}')
        return 2
    for name in names or MEASUREMENTS:
        started = time.monotonic()
        MEASUREMENTS[name]()
        print(f'({name} took {time.monotonic() - started:.0f} s)', flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
