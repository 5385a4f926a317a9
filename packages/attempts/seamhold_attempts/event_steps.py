"""By how much the ids of a service's events rise, as far as its streams at this box show.

A service need not have one step.  It counts as known only while streams agree on it.
"""

from msgspec import Struct

#: Services whose steps are kept; beyond this limit all are learnt again.
SERVICES_MAX = 1024
#: After streams differed, so many in a row must agree before the step is known again.
AGREEING_STREAMS = 100


class _Step(Struct, frozen=True):
    step: int
    #: Streams in a row that had this step; negative for those that are still awaited.
    streams: int


class EventSteps:
    """The steps of services.

    Threads may share it: an entry is replaced as a whole, and a stream that is not counted
    because of another one only delays what is learnt.
    """

    def __init__(self):
        self._steps: dict[str, _Step] = {}

    def known(self, service: str) -> int:
        """Return the step on which the service's streams agree, 0 for none."""
        entry = self._steps.get(service)
        return entry.step if entry is not None and entry.streams > 0 else 0

    def differ(self, service: str) -> bool:
        """Whether the service's streams had several steps lately."""
        entry = self._steps.get(service)
        return entry is not None and entry.streams <= 0

    def record(self, service: str, step: int) -> None:
        """Record the step between the first two events of a stream."""
        entry = self._steps.get(service)
        if entry is None:
            self._put(service, _Step(step, 1))
        elif entry.step == step:
            self._put(service, _Step(step, min(entry.streams + 1, 1)))
        else:
            self._put(service, _Step(step, 1 - AGREEING_STREAMS))

    def record_difference(self, service: str, step: int) -> None:
        """Record that a stream whose step was `step` had another one as well."""
        self._put(service, _Step(step, 1 - AGREEING_STREAMS))

    def _put(self, service: str, entry: _Step) -> None:
        if service not in self._steps and len(self._steps) >= SERVICES_MAX:
            self._steps = {}
        self._steps[service] = entry
