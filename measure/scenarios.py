"""The events of a run; each scenario is a function that schedules them in a Simulation."""

from collections.abc import Callable

from .simulation import Simulation

SECONDS = 90.0
CHURN_SECONDS = 12.0
FLAP_SECONDS = 8.0
FLAP_DOWN_SECONDS = 2.0
FAILS_AT = 35.0
BACK_AT = 65.0
RUSH_MULTIPLE = 2.0
LIST_LAG_MAX = 4.0


def calm(simulation: Simulation) -> None:
    """Nothing happens."""


def rush(simulation: Simulation) -> None:
    """Twice the calls for half a minute: a dinner rush, a deadline."""
    usual = simulation.rate

    def set_rate(rate: float) -> None:
        simulation.rate = rate

    simulation.at(FAILS_AT, set_rate, usual * RUSH_MULTIPLE)
    simulation.at(BACK_AT, set_rate, usual)


def churn(simulation: Simulation) -> None:
    """Every few seconds an engine leaves and a new one joins."""

    def swap(number: int) -> None:
        old = f'engine-{number}'
        simulation.drain_engine(old)
        simulation.add_engine(
            f'engine-{number + 100}', simulation.engines[old].domain, simulation.cache_tokens
        )
        simulation.publish()
        simulation.at(simulation.now + CHURN_SECONDS, swap, number + 1)

    simulation.at(CHURN_SECONDS, swap, 0)


def flap(simulation: Simulation) -> None:
    """One engine fails and restarts repeatedly."""

    def down() -> None:
        simulation.take_down('engine-0')
        simulation.at(simulation.now + FLAP_DOWN_SECONDS, simulation.bring_up, 'engine-0')
        simulation.at(simulation.now + FLAP_SECONDS, down)

    simulation.at(FLAP_SECONDS, down)


def disagree(simulation: Simulation) -> None:
    """Churn, while each box's list lags by a different time."""
    for number, name in enumerate(sorted(simulation.list_lag)):
        simulation.list_lag[name] = LIST_LAG_MAX * number / len(simulation.list_lag)
    churn(simulation)


def lost_box(simulation: Simulation) -> None:
    """A box fails; the record of its calls in flight is lost."""
    simulation.at(FAILS_AT, simulation.crash_box, 'box-3')


def lost_domain(simulation: Simulation) -> None:
    """All engines of one failure domain fail and restart with empty caches."""
    for engine in list(simulation.engines.values()):
        if engine.domain == 'domain-0':
            simulation.at(FAILS_AT, simulation.take_down, engine.name)
            simulation.at(BACK_AT, simulation.bring_up, engine.name)


SCENARIOS: dict[str, Callable[[Simulation], None]] = {
    'calm': calm,
    'rush': rush,
    'churn': churn,
    'flap': flap,
    'disagree': disagree,
    'lost box': lost_box,
    'lost domain': lost_domain,
}
