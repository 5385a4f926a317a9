"""The boxes that watch the store are cut from it, and the configuration changes."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common2.fleet import (
    TROUBLE,
    Box,
    Call,
    CannotRun,
    Fleet,
    Record,
    configuration,
    play,
    route,
)
from review.common2.worker import Worker

BOXES = 12
#: node_cut strikes at most 0.35 of the machines.
CUT_SHARE_MAX = 0.35
CUT_SECONDS = 4.0
CONFIG_APPLY_SECONDS = 2.0
#: The cut boxes are back in touch before the next round, and so is all else.
CALM_SECONDS = 6.5
#: Boxes that start together all watch the store at first.
SETTLING_SECONDS = 10.0
ROUNDS = 6
#: Some watch begins every second; the cut comes at most this long after one has begun.
PHASE_SECONDS = 0.3
SERVICES = ('old', 'new')
PAUSE_SECONDS = 0.02


def configure(fleet: Fleet, version: int) -> str:
    """Move the route to the other service; return the service's name."""
    service = SERVICES[version % 2]
    fleet.store.put('config', 'main', configuration(version, [route('/a/', service)], [*SERVICES]))
    return service


def watching(fleet: Fleet) -> list[Box]:
    """Return the boxes that have begun a watch lately."""
    now = asyncio.get_running_loop().time()
    return [
        box for box in fleet.boxes if box.door.last_watch_at and now - box.door.last_watch_at < 4.2
    ]


async def play_round(fleet: Fleet, record: Record, version: int) -> int:
    """Cut, change and heal; return how many requests an older version's service ran."""
    loop = asyncio.get_running_loop()
    while loop.time() - max(box.door.last_watch_at for box in fleet.boxes) > PHASE_SECONDS:
        await asyncio.sleep(0.01)
    cut = watching(fleet)
    record.line(f'boxes that watch the store: {[box.name for box in cut]}')
    if not cut or len(cut) > CUT_SHARE_MAX * BOXES:
        raise CannotRun(f'{len(cut)} boxes watch the store')
    if TROUBLE:
        await asyncio.gather(*(box.door.cut() for box in cut))
        record.line('these boxes are cut from the store')
    service = configure(fleet, version)
    acknowledged_at = time.monotonic()
    record.line(f'the store acknowledges version {version}: the route leads to {service}')
    in_touch = [box for box in fleet.boxes if box not in cut]
    calls: list[asyncio.Task] = []
    while time.monotonic() < acknowledged_at + CUT_SECONDS:
        calls += [asyncio.create_task(Call(box, '/a/x', 3000).run()) for box in in_touch]
        await asyncio.sleep(PAUSE_SECONDS * len(in_touch))
    stale = 0
    for call in await asyncio.gather(*calls):
        after = call.sent_at - acknowledged_at
        ran_by = call.body.decode() if call.status == 200 else ''
        if after > CONFIG_APPLY_SECONDS and ran_by.startswith(('old', 'new')):
            counts = not ran_by.startswith(service)
            stale += counts
            note = ', STALE' if counts else ''
            record.line(
                f'{call.id} to {call.box.name} {after:.3f} s after the acknowledgement: '
                f'run by {ran_by}{note}',
                call.sent_at,
            )
        elif call.status != 200:
            record.line(f'{call.id} {call.status} {call.error}', call.sent_at)
    if TROUBLE:
        await asyncio.gather(*(box.door.heal() for box in cut))
        record.line('the cut has healed')
    record.line(f'round {version - 1}: {stale} requests by the older version')
    await asyncio.sleep(CALM_SECONDS)
    return stale


async def scenario(fleet: Fleet, record: Record) -> bool:
    """Play some rounds."""
    configure(fleet, 1)
    for service in SERVICES:
        for number in range(2):
            await Worker(f'{service}-{number}', service, slots=16).start(fleet.store)
    await fleet.start_boxes(BOXES)
    await asyncio.sleep(SETTLING_SECONDS)
    stale = 0
    for version in range(2, 2 + ROUNDS):
        stale += await play_round(fleet, record, version)
    record.line(f'requests by an older version: {stale}')
    return stale > 0


if __name__ == '__main__':
    sys.exit(play(Path(__file__).resolve().parent, scenario))
