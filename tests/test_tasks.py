"""Tasks: which thread handles a message, and how often an unused task wakes."""

import threading
import time

import testtools

from seamhold.decider import CHECK_SECONDS, Decider
from seamhold.decisions import Admit, GetReport
from seamhold.tasks import Query, SerialTask, Task
from seamhold_messages.fleet import Engine
from seamhold_messages.work import Call, Placed, Work
from seamhold_routing import Router
from seamhold_settings import FleetSpec, Tree
from seamhold_settings.schema import Placement

WAIT_SECONDS = 5
TIMEOUT_SECONDS = 0.05


class Add(Query):
    """Adds a number and asks for the sum; `then` is sent before the reply."""

    number: int
    then: 'Add | None' = None


class Sum(SerialTask):
    """Adds numbers and records which thread handled which message."""

    name = 'sum'

    def __init__(self):
        super().__init__()
        self.total = 0
        self.order = []
        self.threads = []
        self.timeouts = 0
        self.due_in: float | None = None
        self.woken = threading.Event()
        self.handlers = {Add: self._add}

    def next_timeout(self) -> float | None:
        return self.due_in

    def on_timeout(self) -> None:
        self.timeouts += 1
        self.due_in = None
        self.woken.set()

    def _add(self, message: Add) -> int:
        if message.then is not None:
            self.send(message.then)
        self.order.append(message.number)
        self.threads.append(threading.current_thread())
        self.total += message.number
        return self.total


class Slow(Task):
    """Replies only after `may_answer` is set."""

    name = 'slow'

    def __init__(self):
        super().__init__()
        self.may_answer = threading.Event()
        self.handlers = {Add: self._add}

    def _add(self, message: Add) -> int:
        self.may_answer.wait(WAIT_SECONDS)
        return message.number


class TestTask(testtools.TestCase):
    def test_a_cancelled_query_does_not_end_the_task(self):
        # A peer cancelled its call while it pulled newer settings from a box.  Setting the
        # reply of the cancelled query raised an error that ended the task's thread, and the
        # box accepted no more settings.
        task = Slow()
        task.start()
        self.addCleanup(task.stop)
        for number in (1, 2):
            task.query(Add(number)).cancel()
        task.may_answer.set()
        self.assertEqual(3, task.query(Add(3)).result(WAIT_SECONDS))


class TestSerialTask(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.task = Sum()
        self.task.start()
        self.addCleanup(self.task.stop)

    def test_a_message_is_handled_by_the_thread_that_sends_it(self):
        answer = self.task.query(Add(2))
        self.assertTrue(answer.done())
        self.assertEqual(2, answer.result())
        self.assertEqual([threading.current_thread()], self.task.threads)

    def test_a_message_from_a_handler_to_its_own_task_is_handled_after_it(self):
        self.task.send(Add(1, then=Add(2)))
        self.assertEqual([1, 2], self.task.order)

    def test_messages_of_many_threads_are_handled_one_at_a_time(self):
        def send_all():
            for _ in range(500):
                self.task.send(Add(1))

        threads = [threading.Thread(target=send_all) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(WAIT_SECONDS)
        self.assertEqual(4001, self.task.query(Add(1)).result(WAIT_SECONDS))

    def test_a_handler_error_fails_only_its_own_query(self):
        answer = self.task.query(Add('none'))
        self.assertRaises(TypeError, answer.result)
        self.assertEqual(1, self.task.query(Add(1)).result())

    def test_the_timeout_handler_is_called_only_when_it_is_due(self):
        self.task.send(Add(1))
        self.assertFalse(self.task.woken.wait(2 * TIMEOUT_SECONDS))
        self.task.due_in = TIMEOUT_SECONDS
        # The task's thread sleeps without a timeout: a message makes it compute a new one.
        self.task.send(Add(1))
        self.assertTrue(self.task.woken.wait(WAIT_SECONDS))
        self.assertEqual(1, self.task.timeouts)


class TestDeciderAtRest(testtools.TestCase):
    """How often the decider wakes, counted by ticks of the router."""

    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.router = Router('box', 'x')
        self.router.use_settings(Tree(FleetSpec(placement=Placement(patience=0.1))))
        self.decider = Decider(self.router, lambda: self.now)
        self.ticks = 0
        ticking = self.router.tick

        def tick(now):
            self.ticks += 1
            return ticking(now)

        self.router.tick = tick

    def pass_time(self, seconds: float) -> None:
        """Advance the clock from one due time to the next."""
        ends = self.now + seconds
        while self.now + self.decider.next_timeout() < ends:
            self.now += self.decider.next_timeout()
            self.decider.on_timeout()
        self.now = ends

    def test_an_unused_box_checks_its_state_twice_a_second(self):
        self.pass_time(10.0)
        self.assertLessEqual(self.ticks, 10 / CHECK_SECONDS + 1)

    def test_a_queued_call_is_checked_when_its_wait_ends(self):
        self.router.set_engines([Engine('e', 's', 'e:1', slots=1)], 0.0)
        self.pass_time(1.2)
        placed = self.decider.query(Admit(Call('one', 'w', 's', 'chat', Work(1, 1), 60.0)))
        self.assertIsInstance(placed.result(), Placed)
        waiting = self.decider.query(Admit(Call('two', 'w', 's', 'chat', Work(1, 1), 2.0)))
        self.assertFalse(waiting.done())
        self.pass_time(1.0)
        self.assertTrue(waiting.done())

    def test_an_engine_that_is_late_is_detected_in_time(self):
        self.router.set_engines([Engine('e', 's', 'e:1')], 0.0)
        self.pass_time(1.0)
        call = Call('one', 'w', 's', 'chat', Work(1, 1), 60.0, objective=0.15)
        self.decider.query(Admit(call)).result()
        self.assertAlmostEqual(0.3, self.decider.next_timeout(), 3)
        self.pass_time(0.31)
        self.assertEqual({'e': 1}, self.router.health.failures.own(self.now))

    def test_the_next_message_after_the_due_time_causes_a_tick(self):
        before = self.ticks
        self.now += CHECK_SECONDS
        self.decider.query(GetReport()).result()
        self.router.set_engines([], self.now)
        self.decider.on_timeout()
        self.assertEqual(before + 1, self.ticks)


class TestSleep(testtools.TestCase):
    def test_a_task_with_nothing_due_sleeps_without_a_timeout(self):
        task = Sum()
        waits = []
        waiting = task._wake_event.wait

        def wait(timeout):
            waits.append(timeout)
            return waiting(timeout)

        task._wake_event.wait = wait
        task.start()
        self.addCleanup(task.stop)
        time.sleep(0.2)
        self.assertEqual([None], waits)
