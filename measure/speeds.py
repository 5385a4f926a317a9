"""Compares placement by predicted time with today's while engines change their speed."""

from tests.utils.delayed_fleet import Traffic
from tests.utils.speed_fleet import INFO_SECONDS, OBJECTIVE_SECONDS, SpeedFleet

from .report import Column, save, table

#: Boxes, engines, seeds, and the seconds after which calls count, when most boxes have learned the
#: rates. The runs with 195 boxes take minutes.
FLEETS = ((8, 30, 6, 14.0), (84, 45, 2, 22.0), (195, 60, 1, 38.0))
CALLS_PER_ENGINE = 200 / 30
CHATS_PER_ENGINE = 20
#: Ages of reports in seconds, drawn between these.
AGES = ((0.05, 0.05), INFO_SECONDS)
#: What engines report, and whether placement uses predictions.
PLACEMENTS = {
    "today's": ('true', False),
    'predicted, no speeds': ('usual', True),
    'predicted': ('true', True),
    'predicted, false speeds': ('false', True),
}
COUNTED_SECONDS = 12.0
COLUMNS = (
    Column('boxes', 'boxes', 'd'),
    Column('age', 'age s', 's'),
    Column('way', 'placement', 's'),
    Column('calls', 'calls', 'd'),
    Column('p50', 'p50 s', '.3f'),
    Column('p99', 'p99 s', '.3f'),
    Column('late', 'late', '.4f'),
    Column('read_again', 'read again', 'd'),
    Column('above', 'above bound', 'd'),
    Column('violated', 'windows', 'd'),
)
ABOUT = (
    f'{COUNTED_SECONDS:g} s once rates are learned; {CALLS_PER_ENGINE:.1f} calls a second '
    f'for each engine. "late" is the share of first events after {OBJECTIVE_SECONDS:g} s, "read '
    'again" the prompts processed although another engine had them, "above bound" the calls that '
    'reached an engine above twice the mean plus three, "windows" those in which the guarantee is '
    'violated.'
)


def play(
    boxes: int,
    engines: int,
    seeds: int,
    settled: float,
    way: str,
    ages: tuple[float, float] = INFO_SECONDS,
) -> dict:
    """Return the figures of one placement over some seeds, times in seconds."""
    reports, predicted = PLACEMENTS[way]
    traffic = Traffic(CALLS_PER_ENGINE * engines, chats=CHATS_PER_ENGINE * engines, hot_share=0.05)
    seconds: list[float] = []
    above = violated = read_again = 0
    for seed in range(1, seeds + 1):
        fleet = SpeedFleet(boxes, engines, traffic, reports, predicted, ages, seed=seed)
        fleet.run(settled + COUNTED_SECONDS)
        seconds += fleet.seconds_to_first_event(settled)
        above += sum(one.above for one in fleet.arrivals if one.at >= settled)
        violated += fleet.violated_windows(settled)
        read_again += fleet.read_again
    seconds.sort()
    return {
        'boxes': boxes,
        'age': '-'.join(f'{age:g}' for age in dict.fromkeys(ages)),
        'way': way,
        'calls': len(seconds),
        'p50': seconds[len(seconds) // 2],
        'p99': seconds[int(0.99 * len(seconds))],
        'late': sum(one > OBJECTIVE_SECONDS for one in seconds) / len(seconds),
        'read_again': read_again,
        'above': above,
        'violated': violated,
    }


def measure() -> None:
    """Run all fleets with all placements and print the table."""
    rows = [
        play(boxes, engines, seeds, settled, way, ages)
        for boxes, engines, seeds, settled in FLEETS
        for ages in AGES
        for way in PLACEMENTS
    ]
    save(
        'speeds',
        rows,
        '\n\n'.join(['# Engines that change their speed', ABOUT, table(rows, COLUMNS)]),
    )
