"""What a box takes from its peers where they have newer settings and lists."""

import random
from collections.abc import Callable

from msgspec import Struct

from seamhold_membership import Digest
from seamhold_peers import FleetLists, PeerClient
from seamhold_peers.client import PEER_ERRORS

from .background import answer_of
from .decider import Decider
from .decisions import HearCases, SetBoxes, SetEngines, SetEvacuations
from .keeper import Offer, SettingsKeeper, WantKnown
from .metrics import Metrics

#: Peers that the same news is pulled from at once: one of them may be stuck.
PULLS_MAX = 2


class _Compared(Struct, frozen=True):
    """What tells apart what a peer and this box know."""

    there: int
    here: int


class PeerPulls:
    """Pulls settings and lists; it belongs to the loop of the peers' connections.

    `ready` tells whether this box has settings and both lists.
    """

    def __init__(
        self,
        decider: Decider,
        keeper: SettingsKeeper,
        metrics: Metrics,
        chance: random.Random,
        ready: Callable[[], bool],
    ):
        self._decider = decider
        self._keeper = keeper
        self._metrics = metrics
        self._chance = chance
        self._ready = ready
        self._asking_settings: set[str] = set()
        self._asking_lists: set[str] = set()
        self._asking_each = False
        self._asking_cases: set[str] = set()
        #: What each peer knew of requests that end engines when it was last asked, and
        #: what this box did: where they went apart for good they ask no more.
        self._compared_cases: dict[str, _Compared] = {}

    async def from_each(self, addresses: set[str]) -> None:
        """Ask one after another until this box has all: it starts in an outage."""
        if self._asking_each:
            return
        self._asking_each = True
        try:
            for address in sorted(addresses):
                await self._from_address(address)
                if self._ready():
                    return
        finally:
            self._asking_each = False

    async def _from_address(self, address: str) -> None:
        client = PeerClient(address)
        try:
            await self._settings(client, 'seed')
            await self.take_cases(client)
            await self._lists(client)
        except PEER_ERRORS:
            self._metrics.count('peers.seed_unreachable')
        finally:
            client.close()

    async def lists_from_any(self, clients: dict[str, PeerClient]) -> None:
        """Take the lists of one of the peers."""
        client = self._chance.choice(list(clients.values()))
        try:
            await self._lists(client)
        except PEER_ERRORS:
            self._metrics.count('lists.pull_failed')

    async def lists_of(self, box: str, client: PeerClient) -> None:
        """Take the lists of a peer that has newer ones than this box."""
        asking = self._asking_lists
        if box in asking or len(asking) >= PULLS_MAX:
            return
        asking.add(box)
        try:
            await self._lists(client)
        except PEER_ERRORS:
            self._metrics.count('lists.pull_failed')
        finally:
            asking.discard(box)

    async def _lists(self, client: PeerClient) -> None:
        self._metrics.count('lists.pulls')
        self.take_lists(await client.pull_lists())

    def take_lists(self, lists: FleetLists) -> None:
        """Take a peer's lists where this box has none, or older ones."""
        decider = self._decider
        if lists.boxes_version or not decider.boxes.known.is_set():
            decider.send(SetBoxes(lists.boxes, lists.boxes_version))
        if lists.engines_version or not decider.engines.known.is_set():
            decider.send(SetEngines(lists.engines, lists.engines_version))
        if lists.evacuations_version:
            decider.send(SetEvacuations([*lists.evacuations], lists.evacuations_version))

    def has_other_cases(self, digest: Digest) -> bool:
        """Whether a peer may know more of requests that end engines."""
        here = self._decider.cases.fingerprint
        if digest.cases_fingerprint in (0, here):
            return False
        compared = _Compared(digest.cases_fingerprint, here)
        return self._compared_cases.get(digest.box) != compared

    async def take_cases(self, client: PeerClient) -> None:
        """Take what a peer knows of requests that end engines; raises one of PEER_ERRORS."""
        page = await client.pull_cases()
        self._metrics.count('cases.pulls')
        # Whoever waits for the pull goes on by what it brought.
        await answer_of(self._decider.ask(HearCases(page.cases)))
        if page.complete:
            self._decider.cases.known.set()

    async def cases_from(self, client: PeerClient) -> bool:
        """Take what a peer knows of them; False if it is not there."""
        try:
            await self.take_cases(client)
        except PEER_ERRORS:
            self._metrics.count('cases.pull_failed')
            return False
        return True

    async def cases_of(self, digest: Digest, client: PeerClient) -> None:
        """Take what a peer knows of requests that end engines."""
        asking, box = self._asking_cases, digest.box
        if box in asking or len(asking) >= PULLS_MAX:
            return
        asking.add(box)
        try:
            await self.take_cases(client)
            self._compared_cases[box] = _Compared(
                digest.cases_fingerprint, self._decider.cases.fingerprint
            )
        except PEER_ERRORS:
            self._metrics.count('cases.pull_failed')
        finally:
            asking.discard(box)

    def has_other_settings(self, digest: Digest) -> bool:
        """Whether a peer has settings in force that this box may lack."""
        mine = self._keeper.snapshot
        if digest.settings_total == mine.total:
            return digest.settings_fingerprint != mine.fingerprint
        return digest.settings_total > mine.total

    async def settings_of(self, box: str, client: PeerClient) -> None:
        """Take what a peer has in force that is newer than here."""
        asking = self._asking_settings
        if box in asking or len(asking) >= PULLS_MAX:
            return
        asking.add(box)
        try:
            await self._settings(client, box)
        except PEER_ERRORS:
            self._metrics.count('settings.pull_failed')
        finally:
            asking.discard(box)

    async def _settings(self, client: PeerClient, source: str) -> None:
        known = await answer_of(self._keeper.ask(WantKnown()))
        newer = await client.pull_settings(known)
        self._metrics.count('settings.pulls')
        if newer:
            await answer_of(self._keeper.ask(Offer(newer, source)))
