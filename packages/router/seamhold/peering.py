"""The task that owns the connections to other boxes and sends them digests.

It runs its own event loop.  Every digest is charged to the byte budget before it is
sent; a box that has spent its budget sends none.
"""

import asyncio
import random
import threading
from collections.abc import Callable, Coroutine
from concurrent.futures import Future

from seamhold_membership import ByteBudget, Digest
from seamhold_peers import (
    DigestPort,
    EncodedDigest,
    NameTable,
    PeerClient,
    PeerHandler,
    PeerServer,
)
from seamhold_peers.client import PEER_ERRORS
from seamhold_quarantine import Case

from .background import BackgroundTasks, result_of
from .budgets import RetryBudgets
from .catch_up import CatchUp
from .config import BoxConfig, split_address
from .context import Environment
from .decider import Decider
from .decisions import (
    BoxLeaving,
    DeciderReport,
    DigestsSent,
    GetDigests,
    GetReport,
    ReceiveDigest,
)
from .digest_order import DigestOrder
from .holdings_pull import HoldingsPull
from .lag_watch import LagWatch
from .logs import logger
from .metrics import Metrics
from .peer_pulls import PeerPulls
from .retries_pull import RetriesPull
from .settings_task import SettingsTask
from .unencodable import UnencodableItems

ROSTER_SECONDS = 0.5
#: Delay before an urgent update is sent; updates that come within it share a round.
URGENT_SECONDS = 0.05
STOP_SECONDS = 5.0
#: Lower bound of a digest's size: with less left in the budget none is built.
DIGEST_MIN_BYTES = 60
#: Initial estimate of a digest's size.
FIRST_DIGEST_BYTES = 110
#: Number of sent digests that the running mean of their size covers.
AVERAGED_DIGESTS = 8


class Peering:
    """Sends this box's state to its peers, and pulls from them what is newer there."""

    def __init__(
        self,
        config: BoxConfig,
        decider: Decider,
        settings_task: SettingsTask,
        environment: Environment,
        metrics: Metrics,
        rng: random.Random,
        budgets: RetryBudgets,
        incarnation: str,
    ):
        self._config = config
        self._decider = decider
        self._settings_task = settings_task
        self._environment = environment
        self._metrics = metrics
        self._rng = rng
        self._log = logger('peering')
        self.names = NameTable()
        self.roster = DeciderReport(0, (config.box,), (), (), (), {})
        control = settings_task.snapshot.tree.fleet.control
        now = environment.monotonic()
        self.budget = ByteBudget(control.control_bytes_per_second, now)
        self._addresses: dict[str, str] = {}
        self._clients: dict[str, PeerClient] = {}
        #: Clients of listed boxes that are not neighbours.
        self._extra_clients: dict[str, PeerClient] = {}
        self._digest_port: DigestPort | None = None
        self._retries = RetriesPull(config.box, incarnation, budgets.restore, metrics, rng)
        decider.retry_counts = budgets.counts
        self._pulls = PeerPulls(decider, settings_task, metrics, rng, lambda: self.ready)
        self.holdings = HoldingsPull(decider, metrics, rng, environment.monotonic)
        self._lag = LagWatch(decider, settings_task, metrics, environment.monotonic)
        self._digest_order = DigestOrder(rng)
        self._mean_digest_bytes = FIRST_DIGEST_BYTES
        self.loop = asyncio.new_event_loop()
        self._background = BackgroundTasks(self.loop)
        self.catch_up = CatchUp(
            self.loop, self._pulls, self._clients.values, environment.monotonic, metrics
        )
        #: Set when there is an update that peers should get without delay.
        self._urgent = asyncio.Event()
        decider.on_update = self._wake_sender
        decider.cases.on_push = self._push_case
        #: Called on the loop after each update of the roster.
        self.on_roster: Callable[[], None] | None = None
        #: Set while neighbours are missing; CasesFollower waits for it.
        self.boxes_missing = threading.Event()
        self._handler: PeerHandler | None = None
        self._server: PeerServer | None = None
        self._thread = threading.Thread(target=self._run, name='peering', daemon=True)
        self._periodic_tasks: list[asyncio.Task] = []
        self._started = threading.Event()
        self._failure: BaseException | None = None

    # The thread that runs the loop.

    def start(self, handler: PeerHandler) -> None:
        """Listen and start sending digests; re-raises the error if listening fails."""
        self._handler = handler
        self._thread.start()
        self._started.wait()
        if self._failure is not None:
            raise self._failure

    def submit(self, work: Coroutine) -> Future:
        """Schedule a coroutine on the loop; called from other threads."""
        return asyncio.run_coroutine_threadsafe(work, self.loop)

    def client(self, box: str) -> PeerClient | None:
        """Return the client of a listed box, connecting if it is not a neighbour."""
        client = self._clients.get(box) or self._extra_clients.get(box)
        if client is None and box in self._addresses:
            # A channel is bound to the loop that is running when it is created.
            client = self.submit(self._connect_other(box)).result(STOP_SECONDS)
        return client

    async def connect_to(self, box: str) -> PeerClient | None:
        """Return the client of a listed box as `client` does; called on the loop."""
        client = self._clients.get(box) or self._extra_clients.get(box)
        if client is None and box in self._addresses:
            client = await self._connect_other(box)
        return client

    def call_soon(self, function: Callable[..., None], *arguments: object) -> None:
        """Call a function on the loop; called from other threads."""
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(function, *arguments)

    def start_task(self, work: Coroutine) -> None:
        """Run a coroutine in the background; called on the loop."""
        self._background.start(work)

    def live_clients(self) -> dict[str, PeerClient]:
        """Return the clients of the neighbours that are live and not stopping."""
        live = set(self.roster.live_boxes)
        return {name: client for name, client in self._clients.copy().items() if name in live}

    async def _connect_other(self, box: str) -> PeerClient:
        client = PeerClient(self._addresses[box])
        self._extra_clients[box] = client
        return client

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_until_complete(self._listen())
        except BaseException as error:
            self._failure = error
            return
        finally:
            self._started.set()
        self.loop.run_forever()
        self.loop.close()

    async def _listen(self) -> None:
        address = split_address(self._config.peer_listen)
        # A server is bound to the loop that is running when it is created.
        self._server = PeerServer(self._handler, UnencodableItems(self._metrics).record)
        await self._server.start(address.host, address.port)
        self._digest_port = DigestPort(self.names, self._receive_digest)
        await self._digest_port.listen(address.host, address.port)
        self._periodic_tasks = [
            self.loop.create_task(
                self._run_periodically(self._update_roster, self._wait_for_roster_update)
            ),
            self.loop.create_task(
                self._run_periodically(self._send_round, self._wait_for_next_round)
            ),
        ]

    async def _run_periodically(self, step, pause) -> None:
        while True:
            try:
                await step()
            except Exception:
                # A failed round must not end the loop.
                self._log.exception('peering.error')
            await pause()

    async def _wait_for_roster_update(self) -> None:
        await asyncio.sleep(ROSTER_SECONDS)

    async def _wait_for_next_round(self) -> None:
        """Wait for the next round of digests; an urgent update cuts the wait short."""
        pause = self._settings_task.snapshot.tree.fleet.control.digest_seconds
        try:
            async with asyncio.timeout(pause * self._rng.uniform(0.9, 1.1)):
                await self._urgent.wait()
                # Updates that arrive together are sent in one round.
                await asyncio.sleep(URGENT_SECONDS)
        except TimeoutError:
            pass
        self._urgent.clear()

    def _wake_sender(self) -> None:
        """Start a round of digests soon; called on any thread, also before the loop runs."""
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(self._urgent.set)

    def _push_case(self, case: Case) -> None:
        """Send a request that ends engines to all neighbours; called on any thread.

        Digests take some 0.1 s to spread it, in which copies that arrive every 0.05 s end
        one or two more engines.
        """
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(self._background.start, self._push_case_to_all(case))

    async def _push_case_to_all(self, case: Case) -> None:
        for client in list(self._clients.values()):
            self._background.start(self._push_case_to(client, case))

    async def _push_case_to(self, client: PeerClient, case: Case) -> None:
        try:
            await client.send_cases((case,))
        except PEER_ERRORS:
            # The peer learns of the case from digests once it is reachable again.
            self._metrics.count('cases.tell_failed')

    def stop(self) -> None:
        """Stop sending, close all connections and stop listening."""
        self.submit(self._close()).result(STOP_SECONDS)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(timeout=STOP_SECONDS)

    async def _close(self) -> None:
        for task in self._periodic_tasks:
            task.cancel()
        self._background.cancel()
        self.catch_up.cancel()
        for client in [*self._clients.values(), *self._extra_clients.values()]:
            client.close()
        self._digest_port.close()
        await self._server.stop()

    # The roster of boxes and engines.

    @property
    def ready(self) -> bool:
        """Whether this box has settings, the platform's lists and what it stored before."""
        decider = self._decider
        return (
            self._settings_task.ready.is_set()
            and decider.engines.loaded.is_set()
            and decider.boxes.loaded.is_set()
            and decider.evacuations.loaded.is_set()
            and decider.cases.loaded.is_set()
            and decider.versions_loaded.is_set()
        )

    def wait_ready(self, seconds: float) -> bool:
        """Wait at most `seconds` until this box is ready; False on timeout."""
        deadline = self._environment.monotonic() + seconds
        decider = self._decider
        for event in (
            self._settings_task.ready,
            decider.engines.loaded,
            decider.boxes.loaded,
            decider.evacuations.loaded,
            decider.cases.loaded,
            decider.versions_loaded,
        ):
            if not event.wait(max(0.0, deadline - self._environment.monotonic())):
                return False
        return True

    def update_peers(self) -> None:
        """Update the roster now instead of at the next interval."""
        self.submit(self._update_roster())

    async def _update_roster(self) -> None:
        """Read the roster, and connect to new neighbours."""
        await self.catch_up.run()
        self._lag.check()
        report = await result_of(self._decider.query(GetReport()))
        self.roster = report
        if report.missing_boxes:
            self.boxes_missing.set()
        else:
            self.boxes_missing.clear()
        self.names.add(engine.name for engine in report.engines)
        self.names.add(box.name for box in report.boxes)
        self._addresses = {box.name: box.peer_address for box in report.boxes}
        self._connect({name: self._addresses[name] for name in report.neighbours})
        self._background.start(self._retries.query_peers(self._clients))
        if self.on_roster is not None:
            self.on_roster()
        self.budget.rate = self._settings_task.snapshot.tree.fleet.control.control_bytes_per_second
        if not self.ready:
            await self._pulls.pull_from_each(self._peer_addresses())
        else:
            await self.holdings.query_peers(self._clients, self._pulls.apply_lists)

    def _connect(self, neighbours: dict[str, str]) -> None:
        for name, client in list(self._extra_clients.items()):
            if self._addresses.get(name) != client.address:
                client.retire()
                del self._extra_clients[name]
        for name, client in list(self._clients.items()):
            if neighbours.get(name) != client.address:
                client.retire()
                del self._clients[name]
        for name, address in neighbours.items():
            if name not in self._clients:
                self._clients[name] = PeerClient(address)

    def _peer_addresses(self) -> set[str]:
        """Return the peer addresses of all seeds and all listed boxes but this one."""
        listed = (box.peer_address for box in self.roster.boxes)
        return {*self._config.seed_peers, *listed} - {self._config.peer_listen}

    def request_lists(self) -> None:
        """Pull the lists from a peer, because the platform does not serve this box."""
        self.submit(self._request_lists())

    async def _request_lists(self) -> None:
        if self._clients:
            await self._pulls.pull_lists_from_any(self._clients)
        else:
            await self._pulls.pull_from_each(self._peer_addresses())

    # Sending digests.

    async def _send_round(self) -> None:
        """Send a digest to `digest_peers` peers, those with the oldest last digest first."""
        limit = self._settings_task.snapshot.tree.fleet.control.digest_peers
        await self._send_to(self._digest_order.ordered(self._clients)[:limit])

    async def _send_to_all(self) -> None:
        """Send a digest to each peer."""
        await self._send_to(self._digest_order.ordered(self._clients))

    async def _send_to(self, names: list[str]) -> None:
        """Send a digest to these peers, as far as the budget allows."""
        while names:
            count = self._within_budget(len(names))
            if not await self._send_batch(names[:count]):
                # The budget is spent: no more digests could be sent.
                return
            names = names[count:]

    def _within_budget(self, peers: int) -> int:
        """Estimate how many digests the budget allows now, at least one."""
        now = self._environment.monotonic()
        return max(1, min(peers, self.budget.available(now) // self._mean_digest_bytes))

    async def _send_batch(self, names: list[str]) -> bool:
        """Build and send digests to these peers; False if the budget ran out."""
        if not self.budget.allows(DIGEST_MIN_BYTES, self._environment.monotonic()):
            return False
        snapshot = self._settings_task.snapshot
        query = GetDigests(tuple(names), snapshot.total, snapshot.fingerprint)
        digests = await result_of(self._decider.query(query))
        sent = []
        for name, digest in zip(names, digests, strict=True):
            if not self._send(name, digest, sent):
                break
        self._decider.send(DigestsSent(tuple(sent)))
        return len(sent) == len(names)

    def _send(self, name: str, digest: Digest, sent: list[Digest]) -> bool:
        """Send one digest if the peer is still connected; False if the budget ran out."""
        encoded = EncodedDigest(digest)
        if not self.budget.take(encoded.size, self._environment.monotonic()):
            self._metrics.count('control.denied')
            return False
        client = self._clients.get(name)
        if client is not None:
            self._digest_port.send(encoded, client.address)
        self._mean_digest_bytes += (encoded.size - self._mean_digest_bytes) // AVERAGED_DIGESTS
        self._metrics.count('control.bytes', encoded.size)
        self._metrics.count('control.messages')
        self._digest_order.record_sent(name)
        sent.append(encoded.digest)
        return True

    def _receive_digest(self, digest: Digest) -> None:
        """Hand a peer's digest to the decider, and pull from the peer what is newer there."""
        self._decider.send(ReceiveDigest(digest))
        client = self._clients.get(digest.box)
        if client is None:
            return
        self._lag.record(digest)
        if self._pulls.has_other_settings(digest):
            self._background.start(self._pulls.pull_newer_settings(digest.box, client))
        if self._pulls.has_newer_lists(digest):
            self._background.start(self._pulls.pull_newer_lists(digest.box, client))
        if self._pulls.has_other_cases(digest):
            self._background.start(self._pulls.pull_other_cases(digest, client))
        if self.holdings.should_pull(digest):
            self._background.start(self.holdings.pull(client, digest))

    def send_leaving(self) -> None:
        """Send every peer a digest now that says this box is stopping."""
        self._decider.send(BoxLeaving())
        self.submit(self._send_to_all()).result(STOP_SECONDS)
