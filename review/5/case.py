"""A box that gets SIGTERM while calls wait in its queue."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common2.fleet import TROUBLE, Call, Fleet, Record, configuration, play, route
from review.common2.worker import Worker

WORK_SECONDS = 2.2
SLOTS = 2
#: Five rounds of four calls: the last ends after 11 s, within the deadline.
CALLS = 20
DEADLINE_MS = 15_000
LOSS_SLACK_SECONDS = 0.2
GRACE_SECONDS = 8.0
SIGTERM_AFTER_SECONDS = 0.1


def is_lost(call: Call, workers: list[Worker], term_at: float) -> bool:
    """Whether the rule LOST counts the call."""
    if call.status or call.ended_at - call.sent_at <= LOSS_SLACK_SECONDS:
        return False
    if call.ended_at - call.sent_at >= DEADLINE_MS / 1000:
        return False
    # A worker that was at work in the last sixth of the grace period excuses the cut.
    return not any(
        run_id == call.id and began + WORK_SECONDS > term_at + GRACE_SECONDS * 5 / 6
        for worker in workers
        for began, run_id in worker.ran
    )


async def scenario(fleet: Fleet, record: Record) -> bool:
    """Fill the workers and the queue of one box, and stop that box."""
    fleet.store.put(
        'config',
        'main',
        configuration(
            1,
            [route('/claims/', 'app', 'unsafe', attempts=1, timeoutMs=DEADLINE_MS)],
            ['app'],
        ),
    )
    workers = [
        await Worker(f'i-{number}', 'app', slots=SLOTS, work=WORK_SECONDS).start(fleet.store)
        for number in range(2)
    ]
    await fleet.start_boxes(3)
    await asyncio.sleep(4.0)
    box = fleet.boxes[0]
    calls = [Call(box, '/claims/2f', DEADLINE_MS) for _ in range(CALLS)]
    sending = []
    for call in calls:
        sending.append(asyncio.create_task(call.run('POST', b'{}')))
        await asyncio.sleep(0.01)
    await asyncio.sleep(SIGTERM_AFTER_SECONDS)
    term_at = time.monotonic()
    if TROUBLE:
        record.line(f'SIGTERM to {box.name}')
        box.signal(signal.SIGTERM)
    await asyncio.gather(*sending)
    exited = box.process.poll()
    record.line(f'process of {box.name} exited with {exited}')
    lost = 0
    for call in calls:
        runs = [began for worker in workers for began, run_id in worker.ran if run_id == call.id]
        counts = is_lost(call, workers, term_at)
        lost += counts
        record.line(f'{call.id} sent', call.sent_at)
        for began in runs:
            record.line(f'{call.id} a worker runs it', began)
        result = f'answer {call.status}' if call.status else call.error
        record.line(f'{call.id} {result}{", LOST" if counts else ""}', call.ended_at)
    record.line(f'lost: {lost} of {CALLS}')
    return lost > 0


if __name__ == '__main__':
    sys.exit(play(Path(__file__).resolve().parent, scenario))
