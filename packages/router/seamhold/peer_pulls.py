"""Pulls settings, lists and quarantine cases from peers that have newer ones."""

import asyncio
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from msgspec import Struct

from seamhold_membership import Digest
from seamhold_peers import FleetLists, PeerClient
from seamhold_peers.client import PEER_ERRORS

from .background import result_of
from .decider import Decider
from .decisions import ReceiveCases, SetBoxes, SetEngines, SetEvacuations
from .logs import logger
from .metrics import Metrics
from .settings_task import GetRevisions, OfferSettings, SettingsTask

#: Peers that the same update is pulled from at once, in case one does not answer.
PULLS_MAX = 2
#: A pull that takes longer than this, in seconds, no longer keeps the box from pulling the
#: update from another peer.
SLOW_PULL_SECONDS = 0.2


class _Comparison(Struct, frozen=True):
    """Fingerprints of the quarantine cases that a peer and this box know."""

    peer: int
    own: int


class PeerPulls:
    """Pulls settings, lists and cases; used on the loop of the peer connections only.

    `ready` returns whether this box has settings, lists and cases.
    """

    def __init__(
        self,
        decider: Decider,
        settings_task: SettingsTask,
        metrics: Metrics,
        rng: random.Random,
        ready: Callable[[], bool],
    ):
        self._decider = decider
        self._settings_task = settings_task
        self._metrics = metrics
        self._log = logger('pulls')
        self._rng = rng
        self._ready = ready
        #: By kind and peer, when the pulls that still run began, on the loop's clock.
        self._pulling: dict[str, dict[str, float]] = {'settings': {}, 'lists': {}, 'cases': {}}
        self._pulling_from_each = False
        #: By peer, the fingerprints after the last pull of cases.  While they stay the same
        #: there is no further pull, also where they differ for good.
        self._compared_fingerprints: dict[str, _Comparison] = {}

    async def pull_from_each(self, addresses: set[str]) -> None:
        """Pull from one address after another until this box is ready; used in an outage."""
        if self._pulling_from_each:
            return
        self._pulling_from_each = True
        try:
            for address in sorted(addresses):
                await self._pull_from_address(address)
                if self._ready():
                    return
        finally:
            self._pulling_from_each = False

    async def _pull_from_address(self, address: str) -> None:
        client = PeerClient(address)
        try:
            await self._pull_settings(client, 'seed')
            await self.pull_cases(client)
            await self._pull_lists(client)
        except PEER_ERRORS:
            self._metrics.count('peers.seed_unreachable')
        finally:
            client.close()

    async def pull_lists_from_any(self, clients: dict[str, PeerClient]) -> None:
        """Pull the lists from a random peer."""
        client = self._rng.choice(list(clients.values()))
        try:
            await self._pull_lists(client)
        except PEER_ERRORS:
            self._metrics.count('lists.pull_failed')

    def has_newer_lists(self, digest: Digest) -> bool:
        """Whether the sender of a digest has a newer version of one of the platform's lists."""
        decider = self._decider
        return (
            digest.engines_version > decider.engines.version
            or digest.boxes_version > decider.boxes.version
            or digest.evacuations_version > decider.evacuations.version
        )

    async def pull_newer_lists(self, box: str, client: PeerClient) -> None:
        """Pull the lists from a peer that has newer ones than this box."""
        if not self._may_pull('lists', box):
            return
        with self._pull('lists', box, client):
            await self._pull_lists(client)

    def _may_pull(self, kind: str, box: str) -> bool:
        """Whether to pull from `box`: no pull from it runs, and few others have just begun."""
        running = self._pulling[kind]
        slow_since = asyncio.get_running_loop().time() - SLOW_PULL_SECONDS
        recent = sum(started_at > slow_since for started_at in running.values())
        return box not in running and recent < PULLS_MAX

    @contextmanager
    def _pull(self, kind: str, box: str, client: PeerClient) -> Iterator[None]:
        """Register a pull from `box` while it runs, and log it if the peer does not answer."""
        now = asyncio.get_running_loop().time
        started_at, answered_at = now(), client.answered_at
        self._pulling[kind][box] = started_at
        try:
            yield
        except PEER_ERRORS as error:
            self._metrics.count(f'{kind}.pull_failed')
            self._log.info(
                'pull.failed',
                kind=kind,
                peer=box,
                error=type(error).__name__,
                seconds=round(now() - started_at, 3),
                last_answer=None if answered_at is None else round(started_at - answered_at, 3),
            )
        finally:
            del self._pulling[kind][box]

    async def _pull_lists(self, client: PeerClient) -> None:
        self._metrics.count('lists.pulls')
        self.apply_lists(await client.pull_lists())

    def apply_lists(self, lists: FleetLists) -> None:
        """Hand a peer's lists to the decider, which ignores those older than its own."""
        decider = self._decider
        if lists.boxes_version or not decider.boxes.loaded.is_set():
            decider.send(SetBoxes(lists.boxes, lists.boxes_version))
        if lists.engines_version or not decider.engines.loaded.is_set():
            decider.send(SetEngines(lists.engines, lists.engines_version))
        if lists.evacuations_version:
            decider.send(SetEvacuations([*lists.evacuations], lists.evacuations_version))

    def has_other_cases(self, digest: Digest) -> bool:
        """Whether a peer may know more requests that end engines than this box does."""
        own = self._decider.cases.fingerprint
        if digest.cases_fingerprint in (0, own):
            return False
        compared = _Comparison(digest.cases_fingerprint, own)
        return self._compared_fingerprints.get(digest.box) != compared

    async def pull_cases(self, client: PeerClient) -> None:
        """Pull the requests that end engines from a peer; raises one of PEER_ERRORS."""
        page = await client.pull_cases()
        self._metrics.count('cases.pulls')
        # Callers rely on the decider having applied the cases when this returns.
        await result_of(self._decider.query(ReceiveCases(page.cases)))
        if page.complete:
            self._decider.cases.loaded.set()

    async def try_pull_cases(self, client: PeerClient) -> bool:
        """Pull the requests that end engines from a peer; False if it is unreachable."""
        try:
            await self.pull_cases(client)
        except PEER_ERRORS:
            self._metrics.count('cases.pull_failed')
            return False
        return True

    async def pull_other_cases(self, digest: Digest, client: PeerClient) -> None:
        """Pull the requests that end engines from the sender of a digest."""
        box = digest.box
        if not self._may_pull('cases', box):
            return
        with self._pull('cases', box, client):
            await self.pull_cases(client)
            self._compared_fingerprints[box] = _Comparison(
                digest.cases_fingerprint, self._decider.cases.fingerprint
            )

    def has_other_settings(self, digest: Digest) -> bool:
        """Whether a peer has settings in force that this box may lack."""
        snapshot = self._settings_task.snapshot
        if digest.settings_total == snapshot.total:
            return digest.settings_fingerprint != snapshot.fingerprint
        return digest.settings_total > snapshot.total

    async def pull_newer_settings(self, box: str, client: PeerClient) -> None:
        """Pull the settings that a peer has in force and that are newer than this box's."""
        if not self._may_pull('settings', box):
            return
        with self._pull('settings', box, client):
            await self._pull_settings(client, box)

    async def _pull_settings(self, client: PeerClient, source: str) -> None:
        revisions = await result_of(self._settings_task.query(GetRevisions()))
        unreadable = client.unreadable_objects
        newer = await client.pull_settings(revisions)
        if client.unreadable_objects > unreadable:
            count = client.unreadable_objects - unreadable
            self._metrics.count('settings.unreadable_from_peer', count)
            self._log.warning('settings.unreadable_from_peer', peer=source, objects=count)
        self._metrics.count('settings.pulls')
        if newer:
            await result_of(self._settings_task.query(OfferSettings(newer, source)))
