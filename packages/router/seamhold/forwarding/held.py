"""Asks engines what they hold when a box starts and no peer knows.

What boxes know of it is in their memory: after all of them restarted at once
nobody knows.  Each box asks the engines that it ranks first for among the
boxes, so that every engine is asked once, and the others ask it.
"""

import json
import threading
from collections.abc import Callable

import urllib3

from seamhold_messages.fleet import Engine, Phase
from seamhold_placement import Ranking
from seamhold_settings import Tree

from ..decider import Decider
from ..decisions import LearnHoldings
from ..holdings_pull import HoldingsPull
from ..logs import logger
from ..ports import BackendDialect

#: Smaller parts are read again as quickly as they are fetched.
TOKENS_MIN = 512
READY_POLL_SECONDS = 1.0
ASK_SECONDS = 1.0
#: How long peers may take to say what they know, in seconds: one that is there
#: answers within 0.02 s, a port that is closed at once; a box without power says
#: nothing.
PEERS_SECONDS = 0.15
#: How often the list is looked at for engines that came since, in seconds: after
#: an outage of the store entries come back within two seconds.
LOOK_SECONDS = 0.1
#: What an engine that is asked may do instead of telling what it holds.
UNKNOWN = (urllib3.exceptions.HTTPError, ValueError, TypeError, KeyError, AttributeError)


def engines_to_ask(
    me: str, live_boxes: list[str], engines: list[Engine], tree: Tree
) -> list[Engine]:
    """The engines that this box asks, of those that keep what they have read."""
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
    """The task that asks each engine once, while the box does not know all."""

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
        #: What was looked at last: ranking boxes for all engines again costs
        #: milliseconds where both are many.
        self._seen_boxes: tuple[str, ...] = ()
        self._seen_engines: list[Engine] = []
        self._log = logger('held')
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name='held', daemon=True)

    def start(self) -> None:
        """Begin to wait for settings and lists."""
        self._thread.start()

    def stop(self) -> None:
        """Ask no more."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._wait_ready(READY_POLL_SECONDS):
            if self._stopped.is_set():
                return
        self._holdings.first_query_done.wait(PEERS_SECONDS)
        asked: set[str] = set()
        while not self._holdings.complete and not self._stopped.is_set():
            self._ask_new(asked)
            self._stopped.wait(LOOK_SECONDS)

    def _ask_new(self, asked: set[str]) -> None:
        """Ask the engines that are listed now and were not `asked` before."""
        boxes = self._live_boxes()
        engines = self._decider.engines.items or []
        if boxes == self._seen_boxes and engines is self._seen_engines:
            return
        self._seen_boxes, self._seen_engines = boxes, engines
        for engine in engines_to_ask(self._me, [*boxes], engines, self._tree()):
            if engine.name not in asked and not self._stopped.is_set():
                asked.add(engine.name)
                self._ask(engine)

    def _ask(self, engine: Engine) -> None:
        url = f'http://{engine.address}{self._dialect.held_path}'
        try:
            answer = urllib3.request('GET', url, timeout=ASK_SECONDS, retries=False)
            parts = self._dialect.held(json.loads(answer.data), engine.started)
        except UNKNOWN as error:
            self._log.info('held.unknown', engine=engine.name, detail=repr(error))
            return
        chats = [part.id for part in parts if part.tokens >= TOKENS_MIN]
        self._decider.send(LearnHoldings(engine.name, chats))
        self._log.info('held.learned', engine=engine.name, chats=len(chats))
