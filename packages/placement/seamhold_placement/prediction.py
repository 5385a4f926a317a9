"""Predicts the time from sending a call to an engine until its first event.

The prediction is the wait for a slot, the time to process the prompt tokens that are not cached,
and the steps at the current batch size, multiplied by the engine's slowness. The rates are
learned for each service by least squares from the responses that this box itself received.
"""

from msgspec import Struct

#: Responses before the rates are used; fewer do not separate tokens from calls. With rates of 24 to
#: 50 responses, 195 boxes had 0.045 of their first events late, and 0.039 without predictions.
MIN_RESPONSES = 60
#: At this number the sums are halved, so that the rates follow the service.
MAX_RESPONSES = 1000
#: Number of responses between two solutions of the equations, which take CPU time.
SOLVE_EVERY = 16
#: A response counts at most as this multiple of its prediction: it may be late for other reasons.
MAX_RATIO = 5.0
#: Tokens are counted in thousands, which keeps the equations well-conditioned.
TOKEN_UNIT = 1000.0
#: Share added to the diagonal, so that a quantity that never varies has no rate.
RIDGE = 1e-4
#: Weight of the newest call in the mean duration of calls.
DURATION_GAIN = 0.02


class Basis(Struct, frozen=True):
    """What a prediction is made from.

    `tokens` are those to process, `calls` the calls at the engine before this one. `slowness` is
    the believed one; `reported` is the reported one and `age` its age in seconds, None if there is
    none. `sent_at` is on the box's clock.
    """

    tokens: int
    calls: int
    remote: bool
    slowness: float
    reported: float | None = None
    age: float = 0.0
    sent_at: float = 0.0


class Rates(Struct, frozen=True):
    """Seconds at the slowness 1: fixed, per 1,000 tokens, per call there, and to other domains.

    `call_seconds` is the mean duration of a call, None if none has ended.
    """

    base: float
    per_tokens: float
    per_call: float
    remote: float
    call_seconds: float | None = None

    def seconds(self, tokens: int, calls: int, remote: bool, slots: int = 0) -> float:
        """Return the predicted time of a call at the slowness 1.

        With `slots`, calls beyond them add the wait for a slot.
        """
        batch = calls
        wait = 0.0
        if slots and calls >= slots:
            batch = slots
            wait = (calls + 1 - slots) / slots * (self.call_seconds or 0.0)
        total = wait + self.base + self.per_tokens * tokens / TOKEN_UNIT + self.per_call * batch
        return total + self.remote if remote else total


class ResponseRates:
    """Learns the rates of one service; `rates` is None until there are enough responses."""

    def __init__(self):
        self.rates: Rates | None = None
        self._call_seconds: float | None = None
        self._responses = 0.0
        self._since_solved = 0
        self._matrix = [[0.0] * 4 for _ in range(4)]
        self._vector = [0.0] * 4

    def record(self, basis: Basis, seconds: float) -> None:
        """Record that the first event of a call came `seconds` after it was sent."""
        unit = seconds / basis.slowness
        if self.rates is not None:
            usual = self.rates.seconds(basis.tokens, basis.calls, basis.remote)
            unit = min(unit, MAX_RATIO * usual)
        row = (1.0, basis.tokens / TOKEN_UNIT, float(basis.calls), float(basis.remote))
        for position, value in enumerate(row):
            if value:
                self._vector[position] += value * unit
                line = self._matrix[position]
                for other in range(4):
                    line[other] += value * row[other]
        self._responses += 1
        self._since_solved += 1
        if self._responses >= MIN_RESPONSES and self._since_solved >= SOLVE_EVERY:
            self._solve()

    def record_duration(self, seconds: float) -> None:
        """Record that a call was complete `seconds` after it was sent."""
        before = seconds if self._call_seconds is None else self._call_seconds
        self._call_seconds = before + DURATION_GAIN * (seconds - before)

    def _solve(self) -> None:
        self._since_solved = 0
        solution = non_negative_solution(self._matrix, self._vector)
        self.rates = Rates(*solution, call_seconds=self._call_seconds)
        if self._responses > MAX_RESPONSES:
            self._responses /= 2
            self._vector = [value / 2 for value in self._vector]
            self._matrix = [[value / 2 for value in line] for line in self._matrix]


def non_negative_solution(matrix: list[list[float]], vector: list[float]) -> list[float]:
    """Return a solution of the normal equations without negative values.

    While a value is negative, the most negative one is set to zero and the others are solved
    again; with four unknowns this is close to the optimum.
    """
    used = list(range(len(vector)))
    while used:
        values = _solved([[matrix[i][j] for j in used] for i in used], [vector[i] for i in used])
        lowest = min(range(len(used)), key=values.__getitem__)
        if values[lowest] >= 0:
            by_position = dict(zip(used, values, strict=True))
            return [by_position.get(position, 0.0) for position in range(len(vector))]
        del used[lowest]
    return [0.0] * len(vector)


def _solved(matrix: list[list[float]], vector: list[float]) -> list[float]:
    """Solve by elimination; the ridge keeps every pivot of a normal matrix above zero."""
    size = len(vector)
    for position in range(size):
        matrix[position][position] *= 1 + RIDGE
        matrix[position][position] += RIDGE
    values = list(vector)
    for pivot in range(size):
        for row in range(pivot + 1, size):
            factor = matrix[row][pivot] / matrix[pivot][pivot]
            values[row] -= factor * values[pivot]
            for column in range(pivot, size):
                matrix[row][column] -= factor * matrix[pivot][column]
    for row in reversed(range(size)):
        known = sum(matrix[row][column] * values[column] for column in range(row + 1, size))
        values[row] = (values[row] - known) / matrix[row][row]
    return values
