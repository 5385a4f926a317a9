"""Requests that arrive before a starting box has its settings and lists."""

import testtools

from seamhold.forwarding.first_state import INITIAL_STATE_SECONDS, FirstState


class StartingBox:
    """A starting box with a simulated clock."""

    def __init__(self, ready_at: float = 9.0, store_lost: bool = False):
        self.now = 0.0
        self.ready_at = ready_at
        self.store_lost = store_lost
        self.state = FirstState(
            self.ready, self.wait, lambda: self.store_lost, clock=lambda: self.now
        )

    def ready(self) -> bool:
        return self.now >= self.ready_at

    def wait(self, seconds: float) -> bool:
        self.now = min(self.now + seconds, max(self.now, self.ready_at))
        return self.ready()


class TestFirstState(testtools.TestCase):
    def test_a_request_waits_for_the_state(self):
        start = StartingBox(ready_at=0.02)
        self.assertTrue(start.state.available())
        self.assertEqual(0.02, start.now)

    def test_no_request_waits_after_the_limit(self):
        start = StartingBox()
        self.assertFalse(start.state.available())
        self.assertEqual(INITIAL_STATE_SECONDS, start.now)
        self.assertFalse(start.state.available())
        self.assertEqual(INITIAL_STATE_SECONDS, start.now)

    def test_no_request_waits_while_the_store_is_unavailable(self):
        start = StartingBox(ready_at=0.02, store_lost=True)
        self.assertFalse(start.state.available())
        self.assertEqual(0.0, start.now)

    def test_a_box_with_its_state_serves_at_any_time(self):
        start = StartingBox(ready_at=1.0)
        start.now = 1.0
        self.assertTrue(start.state.available())
