"""Runs the tests and prints how many passed and failed.

A test that KNOWN-RED.txt lists (`test id: cause, issue`) may fail; its
failure is printed.  Any other failure makes the run fail.
"""

import sys
import unittest
from pathlib import Path

import testtools

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
KNOWN_RED_MAX = 3


def known_red() -> dict[str, str]:
    """Return the ids of tests that are known to fail, with the cause."""
    if not KNOWN_RED.exists():
        return {}
    lines = filter(None, map(str.strip, KNOWN_RED.read_text().splitlines()))
    return {line.partition(': ')[0]: line.partition(': ')[2] for line in lines}


def find_tests(names: list[str]) -> unittest.TestSuite:
    """Load the tests named, or all, including the dialect's in platform/dialect_tests."""
    loader = unittest.TestLoader()
    # platform/ is not a package: its name would shadow the standard library's module.
    sys.path.insert(0, str(ROOT / 'platform'))
    if names:
        return loader.loadTestsFromNames(names)
    suite = loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))
    dialect = unittest.TestLoader().discover(
        str(ROOT / 'platform' / 'dialect_tests'), top_level_dir=str(ROOT / 'platform')
    )
    suite.addTests(dialect)
    return suite


def run(names: list[str]) -> int:
    """Run all tests, or those named; return the exit status."""
    suite = find_tests(names)
    result = testtools.TextTestResult(sys.stdout, failfast=False)
    result.startTestRun()
    suite.run(result)
    result.stopTestRun()
    red = known_red()
    failed = {test.id() for test, _ in [*result.failures, *result.errors]}
    failed |= {test.id() for test in result.unexpectedSuccesses}
    for name in sorted(failed & set(red)):
        print(f'known red: {name}: {red[name]}')
    bad = failed - set(red)
    if len(red) > KNOWN_RED_MAX:
        print(f'KNOWN-RED.txt lists more than {KNOWN_RED_MAX} tests')
        return 1
    print(f'{result.testsRun - len(failed)} passed, {len(bad)} failed')
    return 1 if bad or not result.testsRun else 0


if __name__ == '__main__':
    sys.exit(run(sys.argv[1:]))
