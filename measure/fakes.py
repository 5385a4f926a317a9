"""Fake engines and callers: just enough to give decisions their consequences."""

import random
from collections import OrderedDict
from dataclasses import dataclass, field

from seamhold_messages.work import Work

#: Tokens read a second by an idle engine, and seconds for one token written.
PREFILL_RATE = 8000.0
TOKEN_SECONDS = 0.03


class FakeEngine:
    """Work in flight and a prefix cache of limited size, in tokens."""

    def __init__(self, name: str, domain: str, slots: int, cache_tokens: int):
        self.name = name
        self.domain = domain
        self.slots = slots
        self.cache_tokens = cache_tokens
        self.incarnation = 0
        self.load = Work()
        self.up = True
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._held = 0

    def read(self, chat: str, prompt: int) -> int:
        """Tokens of the prompt that the cache holds; then it holds all."""
        had = self._cached.pop(chat, 0)
        self._cached[chat] = prompt
        self._held += prompt - had
        while self._held > self.cache_tokens:
            _, size = self._cached.popitem(last=False)
            self._held -= size
        return min(had, prompt)

    def seconds(self, new_tokens: int, output: int) -> float:
        """How long a call takes with the work that is here now."""
        crowding = 1.0 + self.load.requests / 64
        return new_tokens / PREFILL_RATE * crowding + output * TOKEN_SECONDS * crowding

    def restart(self) -> None:
        """A new start: the cache is empty."""
        self.incarnation += 1
        self._cached.clear()
        self._held = 0
        self.load = Work()


@dataclass(frozen=True)
class Deployment:
    """The traffic of one of the users, at about today's size.

    `calls` a second in calm; `bundles` is the part of calls that bring
    `bundle_times` the prompt; `pause` in seconds between a chat's turns.
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
    """A chat that returns; `seen` is the prompt that some engine has read."""

    name: str
    workspace: str
    prompt: int
    seen: int = 0
    hint: str = ''
    busy: bool = False


@dataclass
class Crowd:
    """The callers: which chat speaks next, and with how much."""

    deployment: Deployment
    chance: random.Random
    scale: float = 1.0
    chats: list[Chat] = field(default_factory=list)
    _made: int = 0

    def __post_init__(self):
        self.chats = [self._new() for _ in range(round(self.deployment.chats * self.scale))]

    def _new(self) -> Chat:
        self._made += 1
        # A few workspaces are large: their part falls with their number.
        weights = [1 / (number + 1) for number in range(self.deployment.workspaces)]
        number = self.chance.choices(range(self.deployment.workspaces), weights)[0]
        prompt = round(self.deployment.first_prompt * self.chance.uniform(0.5, 1.5))
        return Chat(f'chat-{self._made}', f'workspace-{number}', prompt)

    def next_turn(self) -> Chat:
        """A chat whose caller speaks now."""
        for _ in range(20):
            place = self.chance.randrange(len(self.chats))
            chat = self.chats[place]
            if chat.busy:
                continue
            if chat.prompt >= self.deployment.prompt_max:
                chat = self.chats[place] = self._new()
            return chat
        return self._new()

    def size(self, chat: Chat) -> tuple[int, int]:
        """Tokens of this turn's prompt and of its answer."""
        prompt = chat.prompt
        if self.chance.random() < self.deployment.bundles:
            prompt *= self.deployment.bundle_times
        output = max(4, round(self.chance.expovariate(1 / self.deployment.output)))
        return prompt, min(output, 1000)

    def grow(self, chat: Chat) -> None:
        """The chat's next turn is longer."""
        chat.prompt += round(self.deployment.turn_tokens * self.chance.uniform(0.5, 1.5))
