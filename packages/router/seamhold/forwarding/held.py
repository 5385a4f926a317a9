"""Queries engines for the prompt parts that they hold, if no peer has them at a box's start.

Boxes keep holdings in memory only, so no box has them after all boxes restarted at once.
Rendezvous hashing assigns each engine to one live box, which queries it; the other boxes
pull the result from that box.
"""

import json
import threading
from collections.abc import Callable

import urllib3

from seamhold_messages.fleet import Engine, Phase
from seamhold_placement import Ranking
from seamhold_platform import bounded_pools
from seamhold_settings import Tree

from ..clock import boot_seconds
from ..decider import Decider
from ..decisions import LearnHoldings
from ..holdings_pull import HoldingsPull
from ..logs import logger
from ..ports import BackendDialect

#: Smaller parts are ignored: an engine recomputes them as fast as it fetches them.
TOKENS_MIN = 512
READY_POLL_SECONDS = 1.0
QUERY_SECONDS = 1.0
#: Limit on the list of one engine, in bytes.
ANSWER_MAX_BYTES = 16 * 1024 * 1024
#: How long to wait for the holdings that peers have, in seconds.  A running peer answers
#: within 0.02 s and a closed port refuses at once; a box without power does not answer.
PEERS_SECONDS = 0.15
#: Interval between checks of the list for new engines, in seconds.  After an outage of
#: the store, entries come back within two seconds.
CHECK_SECONDS = 0.1
#: Raised by a query that fails, or by an answer that cannot be read.
QUERY_ERRORS = (urllib3.exceptions.HTTPError, ValueError, TypeError, KeyError, AttributeError)


def engines_to_query(
    me: str, live_boxes: list[str], engines: list[Engine], tree: Tree
) -> list[Engine]:
    """Return the live engines that keep prompts and are assigned to the box `me`."""
    keeping = {name for name, service in tree.fleet.services.items() if service.keeps_prompts}
    ranking = Ranking()
    ranking.set_weights(dict.fromkeys(live_boxes, 1.0))
    return [
        engine
        for engine in engines
        if engine.service in keeping
        and engine.phase is Phase.LIVE
        and ranking.first(engine.name)[0] == me
    ]


class HeldReader:
    """The task that queries each assigned engine once, until the holdings are complete."""

    def __init__(
        self,
        me: str,
        dialect: BackendDialect,
        decider: Decider,
        tree: Callable[[], Tree],
        wait_ready: Callable[[float], bool],
        holdings: HoldingsPull,
        live_boxes: Callable[[], tuple[str, ...]],
    ):
        self._me = me
        self._dialect = dialect
        self._decider = decider
        self._tree = tree
        self._wait_ready = wait_ready
        self._holdings = holdings
        self._live_boxes = live_boxes
        #: The lists of the last check.  Ranking all boxes for all engines takes
        #: milliseconds in large fleets, so it is skipped while neither list changes.
        self._checked_boxes: tuple[str, ...] = ()
        self._checked_engines: list[Engine] = []
        self._pools = bounded_pools(boot_seconds, ANSWER_MAX_BYTES, maxsize=1)
        self._log = logger('held')
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name='held', daemon=True)

    def start(self) -> None:
        """Start the thread; it first waits for the settings and lists."""
        self._thread.start()

    def stop(self) -> None:
        """Stop querying engines."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._wait_ready(READY_POLL_SECONDS):
            if self._stopped.is_set():
                return
        self._holdings.first_query_done.wait(PEERS_SECONDS)
        queried: set[str] = set()
        while not self._holdings.complete and not self._stopped.is_set():
            self._query_new(queried)
            self._stopped.wait(CHECK_SECONDS)

    def _query_new(self, queried: set[str]) -> None:
        """Query the listed engines that are not in `queried` and add them to it."""
        boxes = self._live_boxes()
        engines = self._decider.engines.items or []
        if boxes == self._checked_boxes and engines is self._checked_engines:
            return
        self._checked_boxes, self._checked_engines = boxes, engines
        for engine in engines_to_query(self._me, [*boxes], engines, self._tree()):
            takes_work = self._decider.takes_work(engine.name, engine.incarnation)
            if engine.name not in queried and takes_work and not self._stopped.is_set():
                queried.add(engine.name)
                self._query(engine)

    def _query(self, engine: Engine) -> None:
        url = f'http://{engine.address}{self._dialect.held_path}'
        try:
            answer = self._pools.request('GET', url, timeout=QUERY_SECONDS, retries=False)
            parts = self._dialect.held(json.loads(answer.data), engine.started)
        except QUERY_ERRORS as error:
            self._log.info('held.unknown', engine=engine.name, detail=repr(error))
            return
        chats = [part.id for part in parts if part.tokens >= TOKENS_MIN]
        self._decider.send(LearnHoldings(engine.name, chats))
        self._log.info('held.learned', engine=engine.name, chats=len(chats))
