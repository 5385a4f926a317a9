"""A configuration with one more tenant, whose rank comes after those of the ten others."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common2.fleet import TROUBLE, Call, Fleet, Record, configuration, play, route
from review.common2.worker import Worker

BOXES = 3
TENANTS = 10
CONFIG_APPLY_SECONDS = 2.0
DROPPED_KEY = 'dropped8k2jx0v7qwn4'
NEW_KEY = 'newcomer5h1zt9c3mbd6'
ROUNDS = 20
PAUSE_SECONDS = 0.25
CALM_SECONDS = 4.0


def tenants(count: int, dropped: bool) -> list[dict]:
    """Return tenants with one rank each; the first one has a second key unless it is dropped."""
    listed = [
        {'name': f'tenant-{rank}', 'apiKeys': [f'key-of-tenant-{rank}'], 'priority': rank}
        for rank in range(count)
    ]
    if not dropped:
        listed[0]['apiKeys'].append(DROPPED_KEY)
    if count > TENANTS:
        listed[-1]['apiKeys'] = [NEW_KEY]
    return listed


def configure(fleet: Fleet, version: int, listed: list[dict]) -> None:
    """Write a configuration with these tenants."""
    values = configuration(version, [route('/claims/', 'app')], ['app'])
    fleet.store.put('config', 'main', values | {'tenants': listed})


async def scenario(fleet: Fleet, record: Record) -> bool:
    """Add a tenant and drop a key; see how requests with either key are handled."""
    configure(fleet, 1, tenants(TENANTS, dropped=False))
    for number in range(2):
        await Worker(f'i-{number}', 'app', slots=16).start(fleet.store)
    await fleet.start_boxes(BOXES)
    await asyncio.sleep(CALM_SECONDS)
    acknowledged_at = time.monotonic()
    if TROUBLE:
        configure(fleet, 2, tenants(TENANTS + 1, dropped=True))
        record.line('the store acknowledges version 2: one more tenant, and one key less')
    await asyncio.sleep(CONFIG_APPLY_SECONDS + 0.1)
    expected = {DROPPED_KEY: 401 if TROUBLE else 200, 'key-of-tenant-0': 200}
    if TROUBLE:
        expected[NEW_KEY] = 200
    stale = 0
    for _ in range(ROUNDS):
        for box in fleet.boxes:
            for key, status in expected.items():
                call = await Call(box, '/claims/2f', 3000).run(key=key)
                after = call.sent_at - acknowledged_at
                counts = call.status in (200, 401, 404) and call.status != status
                stale += counts
                record.line(
                    f'{call.id} to {call.box.name} with {key}, {after:.2f} s after the '
                    f'acknowledgement: {call.status}{call.error}{", STALE" if counts else ""}',
                    call.sent_at,
                )
        await asyncio.sleep(PAUSE_SECONDS)
    record.line(f'requests handled as only the older version allows: {stale}')
    return stale > 0


if __name__ == '__main__':
    sys.exit(play(Path(__file__).resolve().parent, scenario))
