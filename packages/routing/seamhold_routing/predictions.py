"""Predicts the time to the first event at the engines of one service, for one box."""

import math
import random
from collections.abc import Iterable, Sequence

from seamhold_messages.work import Call, Placed
from seamhold_placement import BoundPolicy, Candidate, SpeedTable, Totals
from seamhold_placement.fastest import FastestChoice, Predictor, choose_fastest
from seamhold_placement.prediction import Basis, ResponseRates
from seamhold_placement.speed_trust import SpeedTrust

#: Interval at which a service is checked for reported speeds.
CHECK_SECONDS = 0.25


class ServicePredictions:
    """The learned rates and the trust in speeds of one service.

    Times are in seconds on the box's clock.
    """

    def __init__(self, speeds: SpeedTable, trust: SpeedTrust, rng: random.Random | None = None):
        self._rng = rng or random.Random()
        self.trust = trust
        self._speeds = speeds
        self._learned = ResponseRates()
        self._reports_speed = False
        self._check_at = -math.inf

    def reports_speed(self, engines: Iterable[str], now: float) -> bool:
        """Return whether any of the service's engines has reported its speed recently."""
        if now >= self._check_at:
            self._check_at = now + CHECK_SECONDS
            speeds = self._speeds
            self._reports_speed = any(speeds.slowness(name, now) is not None for name in engines)
        return self._reports_speed

    def choose(
        self,
        candidates: Sequence[Candidate],
        totals: Totals,
        call: Call,
        policy: BoundPolicy,
        hint: int | None,
        now: float,
    ) -> FastestChoice | None:
        """Pick an engine by predicted time, None if the rates are unknown or none has room."""
        predict = self.predictor(call, now)
        if predict is None:
            return None
        return choose_fastest(
            candidates, totals, call.work, policy, predict, self._rng, hint, not call.sticky
        )

    def predictor(self, call: Call, now: float) -> Predictor | None:
        """Return a function that predicts the call's time, None until the rates are learned."""
        rates = self._learned.rates
        if rates is None:
            return None
        uncached = call.prompt_tokens - call.shared_tokens

        def predict(engine: Candidate, holds: bool) -> float:
            tokens = uncached if holds else call.prompt_tokens
            calls = engine.load.requests + engine.unreported.requests
            seconds = rates.seconds(tokens, calls, not engine.local, engine.slots)
            return seconds * self._believed(engine.name, now)

        return predict

    def _believed(self, engine: str, now: float) -> float:
        speed = self._speeds.slowness(engine, now)
        return self.trust.usual if speed is None else self.trust.believed(speed.value, speed.age)

    def basis(self, call: Call, placed: Placed, local: bool, now: float) -> Basis:
        """Return what the response of a call that is sent now is compared with."""
        tokens = call.prompt_tokens - (call.shared_tokens if placed.holds else 0)
        speed = self._speeds.slowness(placed.engine, now)
        return Basis(
            tokens,
            placed.load,
            not local,
            self._believed(placed.engine, now),
            None if speed is None else speed.value,
            0.0 if speed is None else speed.age,
            now,
        )

    def record_response(self, basis: Basis, now: float) -> None:
        """Record that the first event of a call arrived."""
        seconds = now - basis.sent_at
        rates = self._learned.rates
        if rates is not None and basis.reported is not None:
            usual = rates.seconds(basis.tokens, basis.calls, basis.remote)
            if usual > 0:
                self.trust.record_response(basis.reported, basis.age, seconds / usual)
        self._learned.record(basis, seconds)

    def record_duration(self, basis: Basis, now: float) -> None:
        """Record that a call was served completely."""
        self._learned.record_duration(now - basis.sent_at)
