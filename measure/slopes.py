"""The marginal cost of each item to a box, in time, bytes and memory."""

import gc
import itertools
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

from seamhold_attempts.claims import Claim, ClaimBucket
from seamhold_attempts.retry import Outcome
from seamhold_attempts.tickets import TicketStore
from seamhold_membership import Digest, Event, EventKind
from seamhold_messages.fleet import Box, Engine
from seamhold_messages.hashing import hash32
from seamhold_messages.work import Call, Usage, Work
from seamhold_peers import EncodedDigest
from seamhold_routing import Router
from seamhold_settings import ActiveSettings, Candidate
from seamhold_settings.tree import FLEET_OBJECT, WORKSPACE_PREFIX

from .report import Column, save, table

REPEATS = 5
CALLS = 1500
IN_FLIGHT = 570


@dataclass(frozen=True)
class Slope:
    """A cost at two sizes and its slope."""

    what: str
    unit: str
    small: int
    large: int
    at_small: float
    at_large: float

    @property
    def each(self) -> float:
        """The cost of one more item."""
        return (self.at_large - self.at_small) / (self.large - self.small)


def best_time(work: Callable[[], None]) -> float:
    """Return the seconds of the fastest of REPEATS repeats."""
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        work()
        times.append(time.perf_counter() - started)
    return min(times)


def memory_of(create: Callable[[], object]) -> float:
    """Return the bytes allocated by the result of `create`."""
    gc.collect()
    tracemalloc.start()
    kept = create()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def router_with(engines: int, boxes: int = 1) -> Router:
    """Return the router of a box with this many engines and boxes listed."""
    router = Router('box-0', '1')
    router.set_boxes([Box(f'box-{number}', f'10.0.0.1:{number}') for number in range(boxes)], 0.0)
    listed = [
        Engine(f'engine-{number}', 'chat', f'10.0.0.1:{number}', 'domain', '1')
        for number in range(engines)
    ]
    router.set_engines(listed, 0.0)
    return router


def decide(engines: int) -> float:
    """Measure a call's admission, end and closing, in microseconds."""
    router = router_with(engines)
    numbers = iter(range(10**9))

    def calls() -> None:
        for _ in range(CALLS):
            number = next(numbers)
            now = number * 0.02
            call = Call(f'c{number}', 'w', 'chat', f'chat-{number}', Work(1, 400), now + 60)
            router.admit(call, now)
            done = f'c{number - IN_FLIGHT}'
            router.attempt_ended(done, Outcome.DONE, now)
            router.close(done, now)

    calls()
    return best_time(calls) / CALLS * 1e6


def digest_of(engines: int) -> Digest:
    """Return a digest with work at this many engines."""
    loads = {f'engine-{number}': Work(2, 1500) for number in range(engines)}
    return Digest('box-0', 'abcdef', loads=loads, seq=900, base=899, ack=900)


def digest_bytes(engines: int) -> float:
    """Return the bytes of a digest, headers and acknowledgement included."""
    return float(EncodedDigest(digest_of(engines)).size)


def event_bytes(events: int) -> float:
    """Return the bytes of a digest with this many events."""
    found = [
        Event(EventKind.ENGINE_LEAVING, f'engine-{number:05d}', 'a1b2c3d4', 'box-1234')
        for number in range(events)
    ]
    digest = Digest('box-0', 'abcdef', events=found, seq=900, base=899, ack=900)
    return float(EncodedDigest(digest).size)


def receive_digests(engines: int) -> float:
    """Measure building, encoding and receiving a digest of changed loads, in microseconds."""
    router = router_with(engines, boxes=2)
    rng = random.Random(1)
    numbers = itertools.count(1)

    def receive_many() -> None:
        for step in range(100):
            loads = {f'engine-{number}': Work(rng.randint(1, 3), 1500) for number in range(engines)}
            digest = Digest('box-1', 'x', loads=loads, seq=next(numbers))
            EncodedDigest(digest)
            router.receive_digest(digest, float(step))

    return best_time(receive_many) / 100 * 1e6


def settings_of(workspaces: int) -> ActiveSettings:
    """Return active settings with this many workspaces of three services."""
    state = ActiveSettings()
    services = {f's{number}': {'kind': 'model', 'models': [f'm{number}']} for number in range(15)}
    state.offer(Candidate(FLEET_OBJECT, 1, 'e', {'services': services}))
    for number in range(workspaces):
        spec = {
            'keys': ['sha256:' + f'{number:064x}'],
            'limits': {'requests_in_flight': 50},
            'services': {f's{service}': {} for service in range(3)},
        }
        state.offer(Candidate(f'{WORKSPACE_PREFIX}w{number}', 1, 'e', spec))
    return state


def step_settings(workspaces: int) -> float:
    """Measure one object's update to a newer version, in microseconds."""
    state = settings_of(workspaces)
    revisions = iter(range(2, 10**9))

    def step() -> None:
        spec = {'limits': {'requests_in_flight': 60}, 'services': {'s1': {}}}
        state.offer(Candidate(f'{WORKSPACE_PREFIX}w0', next(revisions), 'x', spec))
        state.revision_sum()
        state.fingerprint()

    return best_time(step) * 1e6


def claims_bytes(claims: int) -> float:
    """Return the bytes of a bucket object with this many claims."""
    import json

    held = {
        f'{number:032x}': Claim(
            f'{number:032x}', '0123456789abcdef:0123456789abcdef', 'b' * 32, 1.0
        )
        for number in range(claims)
    }
    return float(len(json.dumps(ClaimBucket(held).to_spec())))


def tickets_memory(count: int) -> float:
    """Return the memory of open tickets, in bytes."""
    return memory_of(lambda: _store_with_tickets(count))


def _store_with_tickets(count: int) -> TicketStore:
    store = TicketStore('box-0', 'abcdef', max_tickets=10**6)
    store.issue('workspace', count, 900.0, 0.0)
    return store


SLOPES = (
    ('a decision, per engine of the service', 'us', decide, 64, 2048),
    ('a digest, per engine with changed work', 'bytes', digest_bytes, 10, 500),
    ('a digest, per event', 'bytes', event_bytes, 0, 8),
    ('making and hearing a digest, per engine', 'us', receive_digests, 10, 500),
    ('a settings step, per workspace', 'us', step_settings, 10, 470),
    ('a claims object, per claim', 'bytes', claims_bytes, 100, 4000),
    ('memory, per engine known', 'bytes', lambda n: memory_of(lambda: router_with(n)), 100, 5000),
    (
        'memory, per peer known',
        'bytes',
        lambda n: memory_of(lambda: router_with(1, n)),
        100,
        2700,
    ),
    (
        'memory, per workspace in the settings',
        'bytes',
        lambda n: memory_of(lambda: settings_of(n)),
        10,
        470,
    ),
    ('memory, per open ticket', 'bytes', tickets_memory, 100, 10_000),
)
COLUMNS = (
    Column('what', 'what', 's'),
    Column('unit', 'unit', 's'),
    Column('small', 'from', 'd'),
    Column('large', 'to', 'd'),
    Column('at_small', 'cost there', '.0f'),
    Column('at_large', 'cost there', '.0f'),
    Column('each', 'each', '.3f'),
)


def measure() -> None:
    """Measure all slopes, one after another."""
    rows = []
    for what, unit, cost, small, large in SLOPES:
        slope = Slope(what, unit, small, large, cost(small), cost(large))
        rows.append(slope.__dict__ | {'each': slope.each})
    # A digest carries the usage of each workspace with a limit.
    usage = Digest('box-0', 'x', base=1, usage={hash32('w'): Usage(Work(3, 2000), 4.0)})
    empty = Digest('box-0', 'x', base=1)
    each = EncodedDigest(usage).size - EncodedDigest(empty).size
    rows.append(
        {
            'what': 'a digest, per workspace with a limit in use',
            'unit': 'bytes',
            'small': 0,
            'large': 1,
            'at_small': 0,
            'at_large': each,
            'each': float(each),
        }
    )
    about = (
        'Measured by `make measure` (`python -m measure slopes`) in one process; times are the '
        f'fastest of {REPEATS}.  docs/CAPACITY.md works from these.'
    )
    save('slopes', rows, '\n\n'.join(['# Slopes', about, table(rows, COLUMNS)]))
