"""The stack that tests run against stops completely."""

import threading

import testtools

from tests.utils.stack import Stack


def lasting_threads() -> set[threading.Thread]:
    """Return the threads that would keep this process from exiting."""
    return {thread for thread in threading.enumerate() if not thread.daemon}


class TestStack(testtools.TestCase):
    def test_a_stack_that_stops_during_a_call_leaves_no_thread(self):
        before = lasting_threads()
        stack = Stack()
        # Simulates a call whose answer was sent but that is not yet counted as ended.
        stack.box.gate.enter()
        stack.close()
        self.assertEqual(set(), lasting_threads() - before)
