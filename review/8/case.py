"""Many uploads within the limits of the configuration at once: the memory of a box."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common2.fleet import (
    TROUBLE,
    Box,
    Call,
    Fleet,
    Record,
    configuration,
    play,
    route,
)
from review.common2.worker import Worker

BOXES = 2
#: limits.memoryMb of the deployments' machines: a process over it is killed.
MEMORY_MB = 300
#: maxBodyBytes of the configuration, as in the site files.
BODY = b'x' * (4 * 1024 * 1024)
USUAL_UPLOADS = 48
#: `burst` of the site files: 1.7 times the usual traffic.
BURST = 1.7
WORK_SECONDS = 4.0
DEADLINE_MS = 10_000
#: Uploads begin over this long: the link of a machine carries 125 MB/s.
SPREAD_SECONDS = 3.0
ROUNDS = 3
ENDS_MIN = 3
CHECK_SECONDS = 0.02
RESTART_SECONDS = 1.0
CALM_SECONDS = 4.0


def resident_mb(box: Box) -> float:
    """Return the resident memory of a box's process."""
    try:
        status = Path(f'/proc/{box.process.pid}/status').read_text()
    except OSError:
        return 0.0
    sizes = [line.split()[1] for line in status.splitlines() if line.startswith('VmRSS')]
    return int(sizes[0]) / 1024 if sizes else 0.0


class Platform:
    """Kills processes over their memory limit, and starts them again."""

    def __init__(self, fleet: Fleet, record: Record):
        self._fleet = fleet
        self._record = record
        self.peaks = {box.name: 0.0 for box in fleet.boxes}
        self.ends = {box.name: 0 for box in fleet.boxes}

    async def watch(self) -> None:
        """Check all boxes until cancelled."""
        while True:
            for box in self._fleet.boxes:
                used = resident_mb(box)
                self.peaks[box.name] = max(self.peaks[box.name], used)
                if used > MEMORY_MB:
                    await self._end(box, used)
            await asyncio.sleep(CHECK_SECONDS)

    async def _end(self, box: Box, used: float) -> None:
        self.ends[box.name] += 1
        self._record.line(f'{box.name} holds {used:.0f} MB: over its limit, the platform kills it')
        box.signal(signal.SIGKILL)
        box.process.wait()
        await asyncio.sleep(RESTART_SECONDS)
        box.start()


async def play_round(fleet: Fleet, record: Record, count: int) -> None:
    """Send `count` uploads to each box, and wait for their answers."""
    calls = []
    sending = []
    for _ in range(count):
        for box in fleet.boxes:
            calls.append(Call(box, '/claims/2f', DEADLINE_MS))
            sending.append(asyncio.create_task(calls[-1].run('POST', BODY)))
        await asyncio.sleep(SPREAD_SECONDS / count)
    await asyncio.gather(*sending)
    results: dict[str, int] = {}
    for call in calls:
        result = f'answer {call.status}' if call.status else call.error
        results[result] = results.get(result, 0) + 1
        record.line(f'{call.id} to {call.box.name}: {result}', call.ended_at)
    record.line(f'{count} uploads to each box: {results}')


async def scenario(fleet: Fleet, record: Record) -> bool:
    """Play some rounds of the usual traffic, or of the burst."""
    fleet.store.put(
        'config',
        'main',
        configuration(1, [route('/claims/', 'app', 'unsafe', attempts=1)], ['app']),
    )
    for number in range(4):
        await Worker(f'i-{number}', 'app', slots=64, work=WORK_SECONDS).start(fleet.store)
    await fleet.start_boxes(BOXES)
    await asyncio.sleep(CALM_SECONDS)
    platform = Platform(fleet, record)
    watching = asyncio.create_task(platform.watch())
    count = round(USUAL_UPLOADS * BURST) if TROUBLE else USUAL_UPLOADS
    try:
        for _ in range(ROUNDS):
            began = time.monotonic()
            await play_round(fleet, record, count)
            await asyncio.sleep(CALM_SECONDS)
            await fleet.wait_ready()
            seconds = time.monotonic() - began
            record.line(f'round of {seconds:.1f} s; peaks in MB {platform.peaks}')
    finally:
        watching.cancel()
    record.line(f'processes that ended over their memory: {platform.ends}')
    return sum(ends >= ENDS_MIN for ends in platform.ends.values()) >= 2


if __name__ == '__main__':
    sys.exit(play(Path(__file__).resolve().parent, scenario))
