"""Chooses among the engines within the load bound by the predicted time to the first event.

The bound is the one of `bound.choose`, so an engine that is predicted to be fast never gets more
calls than it would otherwise. Only the first engines in the chat's rank order are rated: a choice
among a few differs little from one among all (Mitzenmacher's power of d choices), and the order
differs from chat to chat.
"""

import random
from collections.abc import Callable, Sequence

from msgspec import Struct

from seamhold_messages.work import Work

from .bound import BoundPolicy, Candidate, Choice, Totals, _bound

#: Number of engines that are rated for a call, each of which takes CPU time. With 15 in 100 of
#: them slow, fewer than one call in a million finds only slow ones.
RATED_ENGINES = 12
#: Engines whose predicted time is within this multiple of the best are equally good.
CLOSE_MULTIPLE = 1.15
#: A call leaves the engines that hold its prompt only if another one's predicted time, with the
#: prompt processed again, is below this share of theirs: processing delays other calls there.
CLEARLY_SHORTER = 0.8

#: Returns the predicted seconds at an engine, given whether it holds the call's prompt.
Predictor = Callable[[Candidate, bool], float]


class FastestChoice(Choice, frozen=True):
    """A choice by predicted time.

    `seconds` is the predicted time. `faster_at_holder` is the predicted time at the best engine
    that holds the prompt and has no room, None if there is none that is faster.
    """

    seconds: float = 0.0
    faster_at_holder: float | None = None


class _Rated(Struct, frozen=True):
    seconds: float
    rank: int
    name: str
    local: bool


def choose_fastest(
    candidates: Sequence[Candidate],
    totals: Totals,
    work: Work,
    policy: BoundPolicy,
    predict: Predictor,
    rng: random.Random,
    hint: int | None = None,
    prefer_local: bool = False,
) -> FastestChoice | None:
    """Pick an engine within its bound for `work`, or return None if none rated has room.

    `candidates` come in rank order, those that hold the chat first; `hint` is the rank of the
    engine that holds the chat's cache as its caller says. Among equally good engines that hold the
    prompt those in the box's failure domain are preferred, with `prefer_local` also among others.
    """
    if not candidates:
        return None
    bound = _bound(totals, work, policy)
    holders: list[_Rated] = []
    others: list[_Rated] = []
    full_holder: float | None = None
    for rank in range(min(RATED_ENGINES, len(candidates))):
        engine = candidates[rank]
        holds = engine.holds or rank == hint
        if bound.fits(engine, work):
            rated = _Rated(predict(engine, holds), rank, engine.name, engine.local)
            (holders if holds else others).append(rated)
        elif holds and engine.load.requests < engine.slots:
            seconds = predict(engine, holds)
            full_holder = seconds if full_holder is None else min(full_holder, seconds)
    if holders:
        chosen = _close_to_best(holders)
        best = min(one.seconds for one in chosen)
        faster = [one for one in others if one.seconds < CLEARLY_SHORTER * best]
        return _choice(rng.choice(_local(_close_to_best(faster) if faster else chosen)), None)
    if not others:
        return None
    close = _close_to_best(others)
    if prefer_local:
        close = _local(close)
    # The first in rank order is the same for all boxes and differs between chats, so a new chat
    # is processed once.
    drawn = close[0] if full_holder is None else rng.choice(close)
    return _choice(drawn, full_holder)


def _close_to_best(rated: list[_Rated]) -> list[_Rated]:
    limit = CLOSE_MULTIPLE * min(one.seconds for one in rated)
    return [one for one in rated if one.seconds <= limit]


def _local(rated: list[_Rated]) -> list[_Rated]:
    """Return those in the box's failure domain, all if there is none."""
    return [one for one in rated if one.local] or rated


def _choice(rated: _Rated, at_full_holder: float | None) -> FastestChoice:
    faster = at_full_holder is not None and at_full_holder < rated.seconds
    return FastestChoice(
        rated.name, rated.rank, True, rated.seconds, at_full_holder if faster else None
    )
