"""What engines say of themselves: that they leave, want no requests for a while, or are brittle.

Unlike suspicions, these are no evidence that other observations could outweigh.
"""

import math
from collections.abc import Collection

#: An engine rests at most this long after a refusal, in seconds: a wrong value must not take
#: it out of use for good.
REST_MAX_SECONDS = 300.0
#: An engine that drops off the list while it is leaving keeps that mark for this long, in
#: seconds: its entry may only have lapsed, and the engine serves on for some time.
LEAVING_KEPT_SECONDS = 300.0
#: An engine counts as brittle for this long after it last said so, in seconds.
BRITTLE_SECONDS = 5.0


class SelfReports:
    """The engines that leave, by name and incarnation, and those that rest, by name.

    Only a new incarnation ends a leave, and only time ends a rest.  A brittle engine falls over if
    it has to turn away many calls in a second; it says so in each answer until it no longer is.
    """

    def __init__(self):
        self._leaving: dict[str, str] = {}
        #: Engines that are not listed, and until when they still count as leaving.
        self._leaving_until: dict[str, float] = {}
        self._resting_until: dict[str, float] = {}
        self._brittle_until: dict[str, float] = {}

    def mark_leaving(self, name: str, incarnation: str) -> None:
        """Record that an engine takes no new work."""
        self._leaving[name] = incarnation

    def mark_resting(self, name: str, seconds: float, now: float) -> None:
        """Record that an engine wants no requests from this box for so long."""
        until = now + min(seconds, REST_MAX_SECONDS)
        self._resting_until[name] = max(until, self.rest_ends(name))

    def mark_brittle(self, name: str, brittle: bool, now: float) -> None:
        """Record whether an engine says that it is brittle."""
        if brittle:
            self._brittle_until[name] = now + BRITTLE_SECONDS
        else:
            self._brittle_until.pop(name, None)

    def is_brittle(self, name: str, now: float) -> bool:
        """Return whether an engine said lately that it is brittle."""
        return now < self._brittle_until.get(name, -math.inf)

    def brittle_until(self, name: str) -> float:
        """Return until when an engine counts as brittle, minus infinity if it never said so."""
        return self._brittle_until.get(name, -math.inf)

    @property
    def brittle(self) -> Collection[str]:
        """The engines that said that they are brittle, some of them too long ago."""
        return self._brittle_until.keys()

    def is_leaving(self, name: str, incarnation: str) -> bool:
        """Return whether this start of an engine leaves."""
        return self._leaving.get(name) == incarnation

    def rest_ends(self, name: str) -> float:
        """Return when the engine's last rest ends, minus infinity if it never rested."""
        return self._resting_until.get(name, -math.inf)

    def takes_work(self, name: str, incarnation: str, now: float) -> bool:
        """Return whether this start of an engine accepts new work."""
        return not self.is_leaving(name, incarnation) and now >= self.rest_ends(name)

    def set_unlisted(self, name: str, now: float) -> None:
        """Record that an engine is not listed, or no longer."""
        if name in self._leaving:
            self._leaving_until[name] = now + LEAVING_KEPT_SECONDS

    def set_listed(self, name: str) -> None:
        """Record that an engine is listed: its marks are kept from now on."""
        self._leaving_until.pop(name, None)

    def forget(self, now: float) -> None:
        """Drop rests that are over, and engines that left the list long ago."""
        for name in [name for name, until in self._leaving_until.items() if now >= until]:
            del self._leaving_until[name]
            del self._leaving[name]
        for ends in (self._resting_until, self._brittle_until):
            for name in [name for name, until in ends.items() if now >= until]:
                del ends[name]
