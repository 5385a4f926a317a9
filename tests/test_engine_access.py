"""Whether engines are alive, as a box that may be cut off from them finds out."""

import random
import socket
from types import SimpleNamespace
from typing import Any

import testtools

from seamhold.forwarding.engine_access import EngineAccess
from seamhold.metrics import Metrics
from seamhold.probing import Liveness
from seamhold_messages.fleet import Engine
from standins.fleet import free_port

HOST = '127.0.0.1'


def access_to(*ports: int) -> EngineAccess:
    """Return the access to engines e0, e1 and so on at these ports."""
    engines = [Engine(f'e{number}', 'llm', f'{HOST}:{port}') for number, port in enumerate(ports)]
    decider: Any = SimpleNamespace(engines=SimpleNamespace(items=engines))
    return EngineAccess(decider, lambda: 0.0, Metrics(None), random.Random(1))


class TestLivenessOfEngines(testtools.TestCase):
    def setUp(self):
        super().setUp()
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)
        self.open_port = listener.getsockname()[1]
        self.closed_port = free_port()
        self.address = f'{HOST}:{self.closed_port}'

    def test_a_box_that_all_engines_refuse_does_not_take_one_for_ended(self):
        access = access_to(self.closed_port, free_port())
        self.assertEqual(Liveness.UNKNOWN, access.find_liveness('e0', self.address))

    def test_an_engine_that_refuses_while_others_accept_has_ended(self):
        access = access_to(self.closed_port, self.open_port)
        self.assertEqual(Liveness.ENDED, access.find_liveness('e0', self.address))

    def test_the_only_engine_that_refuses_has_ended(self):
        access = access_to(self.closed_port)
        self.assertEqual(Liveness.ENDED, access.find_liveness('e0', self.address))
