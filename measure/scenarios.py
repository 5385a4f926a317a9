"""What happens to the fleet in a run; each is a function of a Drive."""

from collections.abc import Callable

from .drive import Drive

SECONDS = 90.0
CHURN_SECONDS = 12.0
FLAP_SECONDS = 8.0
FLAP_DOWN_SECONDS = 2.0
FAILS_AT = 35.0
BACK_AT = 65.0
RUSH_TIMES = 2.0
LIST_LAG_MAX = 4.0


def calm(drive: Drive) -> None:
    """Nothing happens."""


def rush(drive: Drive) -> None:
    """Twice the calls for half a minute: a dinner rush, a deadline."""
    usual = drive.rate

    def set_rate(rate: float) -> None:
        drive.rate = rate

    drive.at(FAILS_AT, set_rate, usual * RUSH_TIMES)
    drive.at(BACK_AT, set_rate, usual)


def churn(drive: Drive) -> None:
    """Every few seconds an engine leaves and a new one joins."""

    def swap(number: int) -> None:
        old = f'engine-{number}'
        drive.drain_engine(old)
        drive.add_engine(f'engine-{number + 100}', drive.engines[old].domain, drive.cache_tokens)
        drive.publish()
        drive.at(drive.now + CHURN_SECONDS, swap, number + 1)

    drive.at(CHURN_SECONDS, swap, 0)


def flap(drive: Drive) -> None:
    """One engine dies and starts anew, again and again."""

    def down() -> None:
        drive.take_down('engine-0')
        drive.at(drive.now + FLAP_DOWN_SECONDS, drive.bring_up, 'engine-0')
        drive.at(drive.now + FLAP_SECONDS, down)

    drive.at(FLAP_SECONDS, down)


def disagree(drive: Drive) -> None:
    """Churn, while each box's list is behind by another time."""
    for number, name in enumerate(sorted(drive.list_lag)):
        drive.list_lag[name] = LIST_LAG_MAX * number / len(drive.list_lag)
    churn(drive)


def lost_box(drive: Drive) -> None:
    """A box dies; nobody knows any more of what it had in flight."""
    drive.at(FAILS_AT, drive.lose_box, 'box-3')


def lost_domain(drive: Drive) -> None:
    """All engines of one failure domain die, and come back empty."""
    for engine in list(drive.engines.values()):
        if engine.domain == 'domain-0':
            drive.at(FAILS_AT, drive.take_down, engine.name)
            drive.at(BACK_AT, drive.bring_up, engine.name)


SCENARIOS: dict[str, Callable[[Drive], None]] = {
    'calm': calm,
    'rush': rush,
    'churn': churn,
    'flap': flap,
    'disagree': disagree,
    'lost box': lost_box,
    'lost domain': lost_domain,
}
