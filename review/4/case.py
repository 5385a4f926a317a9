"""Streams of a box that reaches no server go through other boxes; some are reset by servers."""

import asyncio
import sys
import time
from collections.abc import Callable
from itertools import chain
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common2.fleet import (
    READY_SECONDS,
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
from review.common2.http import Message, read_message
from review.common2.link import Link, reset
from review.common2.worker import Worker

#: `srv_cut` (some) takes the path to 0.3 of the machines.
BOXES = 4
#: `garble` (unframed) strikes half of the servers, and 0.05 of the answers of each.
WORKERS = 4
GARBLING_WORKERS = 2
SLOTS = 64
EVENTS = 3
EVENT_SECONDS = 0.05
DEADLINE_MS = 8_000
#: These servers reset each stream of this number, after as many events as the list says in turn.
RESET_EACH = 20
RESET_AFTER_EVENTS = (1, 2)
#: Both last 5 s.
CUT_SECONDS = 5.0
CALM_SECONDS = 2.0
ROUNDS = 12
#: At each box; the sheet has 117.5 streams a second in all.
CALLS_PER_SECOND = 29
#: The last streams of a round end before the cut does.
CALLING_SECONDS = 4.4
#: The kind under which boxes register themselves.
BOXES_KIND = 'seamhold-boxes'
LISTED_SECONDS = 0.3
SETTLING_SECONDS = 3.0
STARTS = 4


class StreamWorker(Worker):
    """A server whose streams have no length: they end with their connection."""

    def __init__(self, name: str, garbles: bool):
        super().__init__(name, 'llm', slots=SLOTS)
        self._garbles = garbles
        self._resets = 0
        #: How many events were sent of each run, by request; those runs that were reset.
        self.sent: dict[str, int] = {}
        self.was_reset: set[str] = set()
        #: The port from which each request came.
        self.ports: dict[str, int] = {}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = await read_message(reader)
            if request is None or request.target == '/seamhold/kv-list':
                writer.write(b'HTTP/1.1 404 S\r\nContent-Length: 0\r\nConnection: close\r\n\r\n')
                await writer.drain()
            else:
                await self._stream(request, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The box has closed the connection, or the case ends.
            pass
        finally:
            writer.close()

    def _last_event(self) -> int:
        """Return the number of the last event of the next run."""
        if not self._garbles or len(self.ran) % RESET_EACH:
            return EVENTS
        self._resets += 1
        return RESET_AFTER_EVENTS[self._resets % len(RESET_AFTER_EVENTS)]

    async def _stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get('x-seamhold-attempt-id', '')
        self.ran.append((time.monotonic(), request_id))
        self.ports[request_id] = writer.get_extra_info('peername')[1]
        last = self._last_event()
        self._running += 1
        try:
            head = [
                'HTTP/1.1 200 OK',
                'Content-Type: text/event-stream',
                f'X-Seamhold-Attempt-Id: {request_id}',
                f'X-Seamhold-Server-Signature: {self.name}',
                f'X-Seamhold-Worker-Load: {self._running},0,{self.slots}',
                'X-Seamhold-Weight-Versions: 1',
                'Connection: close',
            ]
            writer.write('\r\n'.join([*head, '', '']).encode())
            for number in range(1, last + 1):
                await asyncio.sleep(EVENT_SECONDS)
                writer.write(b'id: %d\ndata: token %d of %d\n\n' % (number, number, EVENTS))
                await writer.drain()
                self.sent[request_id] = number
            if last < EVENTS:
                await asyncio.sleep(EVENT_SECONDS)
                self.was_reset.add(request_id)
                reset(writer)
        finally:
            self._running -= 1


async def send_calls(box: Box) -> list[Call]:
    """Send calls at an even rate to one box, and return them once all have ended."""
    calls: list[Call] = []
    sending = []
    ends = time.monotonic() + CALLING_SECONDS
    while time.monotonic() < ends:
        calls.append(Call(box, '/ask/2f', DEADLINE_MS))
        sending.append(asyncio.create_task(calls[-1].run('POST', b'{}')))
        await asyncio.sleep(1 / CALLS_PER_SECOND)
    await asyncio.gather(*sending)
    return calls


async def play_round(boxes: list[Box], links: list[Link], record: Record) -> list[Call]:
    """Cut the first box from all servers while all get calls; return these."""
    box = boxes[0]
    began = time.monotonic()
    if TROUBLE:
        for link in links:
            await link.cut()
        record.line(f'{box.name} is cut from all servers')
    calls = list(chain.from_iterable(await asyncio.gather(*map(send_calls, boxes))))
    await asyncio.sleep(began + CUT_SECONDS - time.monotonic())
    if TROUBLE:
        for link in links:
            link.heal()
        record.line('the cut has healed')
    await asyncio.sleep(CALM_SECONDS)
    return calls


async def answer_lists(fleet: Fleet) -> None:
    """Let each box have its own list of servers before it knows of the other boxes.

    Boxes pull newer lists from each other, so all lists must have the same revision: they are
    answered once all boxes have registered.
    """
    doors = [box.door for box in fleet.boxes]
    await until(lambda: all(BOXES_KIND in door.asked for door in doors))
    for door in doors:
        door.lists[BOXES_KIND].set()
    await until(lambda: len(fleet.store.kinds.get(BOXES_KIND, ())) == BOXES)
    for door in doors:
        door.lists['servers'].set()
    await until(lambda: all('servers' in door.listed for door in doors))
    await asyncio.sleep(LISTED_SECONDS)
    for door in doors:
        door.watched[BOXES_KIND].set()


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; raises CannotRun."""
    ends = time.monotonic() + READY_SECONDS
    while not condition():
        if time.monotonic() > ends:
            raise CannotRun('boxes do not start')
        await asyncio.sleep(0.02)


async def uses_links(
    fleet: Fleet, workers: list[StreamWorker], links: list[Link], record: Record
) -> bool:
    """Whether the first box uses its links, and the others do not."""
    used = []
    for box in fleet.boxes:
        call = await Call(box, '/ask/2f', DEADLINE_MS).run('POST', b'{}')
        if call.status != 200:
            raise CannotRun('no streams before the trouble')
        ports = {port for link in links for port in link.ports}
        used.append(any(worker.ports.get(call.id) in ports for worker in workers))
    record.line(f'the links of {fleet.boxes[0].name} are used by the boxes: {used}')
    return used == [True] + [False] * (BOXES - 1)


async def start(
    fleet: Fleet, workers: list[StreamWorker], links: list[Link], record: Record
) -> None:
    """Start the boxes, again if one has pulled the list of another before it had its own."""

    async def connect(box: Box) -> None:
        """Let the first box reach the servers through links of its own."""
        box.door.lists = {'servers': asyncio.Event(), BOXES_KIND: asyncio.Event()}
        box.door.watched = {BOXES_KIND: asyncio.Event()}
        if box is fleet.boxes[0]:
            for worker, link in zip(workers, links, strict=True):
                box.door.server_addresses[worker.name] = link.address

    for link in links:
        link.start()
    for _ in range(STARTS):
        starting = fleet.start_boxes(BOXES, prepare=connect, with_seeds=False)
        task = asyncio.create_task(starting)
        await until(lambda: len(fleet.boxes) == BOXES)
        await answer_lists(fleet)
        await task
        await asyncio.sleep(SETTLING_SECONDS)
        if await uses_links(fleet, workers, links, record):
            return
        for box in fleet.boxes:
            box.kill()
        fleet.boxes.clear()
        fleet.store.kinds.pop(BOXES_KIND)
    raise CannotRun("boxes use each other's links")


async def scenario(fleet: Fleet, record: Record) -> bool:
    """Compare the streams that clients got with those that the servers sent."""
    stream = route('/ask/', 'llm', 'streaming', targetGapMs=300, timeoutMs=DEADLINE_MS)
    fleet.store.put('config', 'main', configuration(1, [stream], ['llm']))
    workers = [
        StreamWorker(f'i-{number}', TROUBLE and number < GARBLING_WORKERS)
        for number in range(WORKERS)
    ]
    for worker in workers:
        await worker.start(fleet.store)
    links = [Link(worker.address) for worker in workers]
    await start(fleet, workers, links, record)
    calls = []
    for _ in range(ROUNDS):
        calls += await play_round(fleet.boxes, links, record)
    return judge(calls, workers, record)


def judge(calls: list[Call], workers: list[StreamWorker], record: Record) -> bool:
    """Record the streams that are not whole; whether one of them ended as complete."""
    sent = {key: count for worker in workers for key, count in worker.sent.items()}
    was_reset = set().union(*(worker.was_reset for worker in workers))
    whole = short = broken_off = 0
    for call in calls:
        events = call.body.count(b'data: ')
        if call.status == 200 and not call.error and events == EVENTS:
            whole += 1
            continue
        is_short = call.status == 200 and not call.error
        short += is_short
        broken_off += bool(call.error)
        record.line(f'{call.id} sent to {call.box.name}', call.sent_at)
        result = call.error or f'{call.status}, ended as complete with {events} events'
        end = 'reset' if call.id in was_reset else 'not reset'
        made = f'its server sent {sent.get(call.id, 0)} of {EVENTS} events, {end}'
        record.line(f'{call.id} {result}; {made}{", SHORT" if is_short else ""}', call.ended_at)
    record.line(f'{len(calls)} streams: {whole} whole, {broken_off} seen to be broken off')
    record.line(f'streams that lack events and ended as complete: {short}')
    if whole < len(calls) / 2:
        raise CannotRun('most streams were not carried')
    return short > 0


if __name__ == '__main__':
    sys.exit(play(Path(__file__).resolve().parent, scenario))
