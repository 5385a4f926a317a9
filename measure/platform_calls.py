"""The platform load of an idle fleet, as boxes are added."""

import json
import time
from pathlib import Path

import yaml

from standins.fleet import LocalFleet, wait_until

from .report import Column, save, table

BOXES = (2, 4, 8)
SETTLE_SECONDS = 6.0
WATCHED_SECONDS = 25.0
TREE = Path('examples/tree.yaml')
COLUMNS = (
    Column('boxes', 'boxes', 'd'),
    Column('settings_waiting', 'watches of settings', 'd'),
    Column('lists_waiting', 'watches of lists', 'd'),
    Column('settings_reads', 'reads of settings/s', '.3f'),
    Column('lists_reads', 'reads of lists/s', '.3f'),
    Column('writes', 'writes/s', '.3f'),
    Column('control', 'control B/s a box', '.0f'),
)


def read_page(fleet: LocalFleet, name: str) -> dict:
    """Return a control page of the platform's stand-in."""
    return json.loads(fleet.http.request('GET', f'{fleet.platform.url}/standin/{name}').data)


def control_bytes(fleet: LocalFleet, boxes: list[str]) -> int:
    """Return the bytes of digests that all boxes have sent."""
    return sum(fleet.status(box)['control']['bytes'] for box in boxes)


def measure_fleet(count: int) -> dict:
    """Return the figures of an idle fleet of `count` boxes."""
    with LocalFleet() as fleet:
        fleet.start_platform()
        fleet.start_engine('engine-1', 'recipes')
        fleet.apply(yaml.safe_load(TREE.read_text(encoding='utf-8')))
        names = [f'box-{number}' for number in range(count)]
        for name in names:
            fleet.start_box(name, wait=False)
        for name in names:
            wait_until(lambda name=name: fleet.ready(name), 60, name)
        time.sleep(SETTLE_SECONDS)
        before, sent = read_page(fleet, 'counts'), control_bytes(fleet, names)
        time.sleep(WATCHED_SECONDS)
        after, waiting = read_page(fleet, 'counts'), read_page(fleet, 'waiting')
        sent = control_bytes(fleet, names) - sent

    def rate(*calls: str) -> float:
        return sum(after.get(call, 0) - before.get(call, 0) for call in calls) / WATCHED_SECONDS

    lists = [f'{verb}.{kind}' for verb in ('list', 'watch') for kind in ('boxes', 'engines')]
    return {
        'boxes': count,
        'settings_waiting': waiting.get('settings', 0),
        'lists_waiting': waiting.get('boxes', 0) + waiting.get('engines', 0),
        'settings_reads': rate('list.settings', 'watch.settings', 'get.settings'),
        'lists_reads': rate(*lists),
        'writes': rate(*(call for call in after if call.startswith('write.'))),
        'control': sent / WATCHED_SECONDS / count,
    }


def measure() -> None:
    """Measure fleets of several sizes, one after another."""
    rows = [measure_fleet(count) for count in BOXES]
    about = (
        f'Fleets at rest, {WATCHED_SECONDS:g} s each, real processes on loopback.  Reads of the '
        'settings stay flat as boxes are added; each box still watches both lists itself.'
    )
    save('platform', rows, '\n\n'.join(['# Calls to the platform', about, table(rows, COLUMNS)]))
