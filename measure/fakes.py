"""Fake engines and callers, with the behaviour that placement decisions depend on."""

import random
from collections import OrderedDict
from dataclasses import dataclass, field

from seamhold_messages.work import Work

#: Tokens that an idle engine reads per second, and seconds for each token that it writes.
PREFILL_RATE = 8000.0
TOKEN_SECONDS = 0.03


class FakeEngine:
    """An engine with work in flight and an LRU prefix cache of `cache_tokens`."""

    def __init__(self, name: str, domain: str, slots: int, cache_tokens: int):
        self.name = name
        self.domain = domain
        self.slots = slots
        self.cache_tokens = cache_tokens
        self.incarnation = 0
        self.load = Work()
        self.is_up = True
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._held = 0

    def read(self, chat: str, prompt: int) -> int:
        """Cache the whole prompt; return how many of its tokens were cached before."""
        had = self._cached.pop(chat, 0)
        self._cached[chat] = prompt
        self._held += prompt - had
        while self._held > self.cache_tokens:
            _, size = self._cached.popitem(last=False)
            self._held -= size
        return min(had, prompt)

    def seconds(self, new_tokens: int, output: int) -> float:
        """Return the duration of a call under the engine's current load."""
        crowding = 1.0 + self.load.requests / 64
        return new_tokens / PREFILL_RATE * crowding + output * TOKEN_SECONDS * crowding

    def restart(self) -> None:
        """Restart with an empty cache and no work."""
        self.incarnation += 1
        self._cached.clear()
        self._held = 0
        self.load = Work()


@dataclass(frozen=True)
class Deployment:
    """The traffic of one deployment, at about its current size.

    `calls` is the usual rate per second; `bundles` is the fraction of calls whose
    prompt is `bundle_times` as long; `latency` is in seconds.
    """

    name: str
    domains: int
    latency: float
    calls: float
    chats: int
    first_prompt: int
    turn_tokens: int
    prompt_max: int
    output: int
    bundles: float
    bundle_times: int
    workspaces: int = 10


KUSINA = Deployment('kusina', 4, 0.0012, 40, 900, 1200, 500, 12_000, 130, 0.05, 4)
PORT_LOUIS = Deployment('port-louis', 3, 0.0004, 40, 900, 600, 150, 4000, 110, 0.25, 8)
DEPLOYMENTS = {item.name: item for item in (KUSINA, PORT_LOUIS)}


@dataclass
class Chat:
    """A chat of several turns; `seen` is the number of prompt tokens that an engine has read."""

    name: str
    workspace: str
    prompt: int
    seen: int = 0
    hint: str = ''
    busy: bool = False


@dataclass
class Callers:
    """The callers: they choose the next chat and the sizes of its turn."""

    deployment: Deployment
    rng: random.Random
    scale: float = 1.0
    chats: list[Chat] = field(default_factory=list)
    _chats_created: int = 0

    def __post_init__(self):
        self.chats = [self._new() for _ in range(round(self.deployment.chats * self.scale))]

    def _new(self) -> Chat:
        self._chats_created += 1
        # A few workspaces are large: a workspace's share falls with its number.
        weights = [1 / (number + 1) for number in range(self.deployment.workspaces)]
        number = self.rng.choices(range(self.deployment.workspaces), weights)[0]
        prompt = round(self.deployment.first_prompt * self.rng.uniform(0.5, 1.5))
        return Chat(f'chat-{self._chats_created}', f'workspace-{number}', prompt)

    def next_turn(self) -> Chat:
        """Return an idle chat for the next call."""
        for _ in range(20):
            index = self.rng.randrange(len(self.chats))
            chat = self.chats[index]
            if chat.busy:
                continue
            if chat.prompt >= self.deployment.prompt_max:
                chat = self.chats[index] = self._new()
            return chat
        return self._new()

    def size(self, chat: Chat) -> tuple[int, int]:
        """Return the tokens of this turn's prompt and answer."""
        prompt = chat.prompt
        if self.rng.random() < self.deployment.bundles:
            prompt *= self.deployment.bundle_times
        output = max(4, round(self.rng.expovariate(1 / self.deployment.output)))
        return prompt, min(output, 1000)

    def grow(self, chat: Chat) -> None:
        """Lengthen the chat's prompt for its next turn."""
        chat.prompt += round(self.deployment.turn_tokens * self.rng.uniform(0.5, 1.5))
