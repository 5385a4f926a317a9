"""The data path through real processes, compared with direct connections.

Separate processes generate the load, so that callers compete with the boxes
for processor time as little as possible.
"""

import itertools
import json
import os
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from statistics import median

import urllib3
import yaml

from standins import demo
from standins.fleet import LocalFleet

from .report import Column, save, table
from .runs import quantile

TOKENS = 60
TOKEN_SECONDS = 0.048
TREE = Path('examples/tree.yaml')
STREAMS = (1, 50, 150, 300)
SMALL_CALLS = 400
SMALL_THREADS = 8
CALLER_PROCESSES = 2
RAMP_SECONDS = 2.0


@dataclass(frozen=True)
class StreamTimes:
    """One stream as its caller saw it: time to the first data and gaps, in seconds."""

    first: float
    gaps: list[float]
    whole: bool


def body(stream: bool, tokens: int, chat: str) -> bytes:
    """Return the body of a chat call."""
    return json.dumps(
        {
            'model': demo.MODEL,
            'messages': [{'role': 'user', 'content': chat}],
            'max_tokens': tokens,
            'stream': stream,
        }
    ).encode()


def one_stream(pool: urllib3.PoolManager, url: str, name: str, delay: float) -> StreamTimes:
    """Open a stream after `delay` seconds and time its data."""
    time.sleep(delay)
    headers = {'Authorization': f'Bearer {demo.KEY}', 'X-Request-Id': name}
    started = time.perf_counter()
    response = pool.request(
        'POST',
        f'{url}/v1/chat/completions',
        body=body(True, TOKENS, name),
        headers=headers,
        preload_content=False,
        timeout=60,
    )
    times = []
    whole = False
    while data := response.read1():
        times.append(time.perf_counter())
        whole = whole or b'[DONE]' in data
    response.release_conn()
    if not times:
        return StreamTimes(0.0, [], False)
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    return StreamTimes(times[0] - started, gaps, whole and response.status == 200)


def stream_process(work: tuple[list[str], int, int]) -> list[StreamTimes]:
    """Open many streams from one process."""
    urls, count, number = work
    pool = urllib3.PoolManager(retries=False, maxsize=count)
    with ThreadPoolExecutor(count) as threads:
        jobs = [
            threads.submit(
                one_stream,
                pool,
                urls[at % len(urls)],
                f's-{number}-{at}',
                RAMP_SECONDS * at / count,
            )
            for at in range(count)
        ]
        return [job.result() for job in jobs]


def streams(urls: list[str], count: int) -> list[StreamTimes]:
    """Open `count` streams at once from CALLER_PROCESSES processes."""
    processes = min(CALLER_PROCESSES, count)
    work = [(urls, count // processes, number) for number in range(processes)]
    with get_context('fork').Pool(processes) as pool:
        return [item for part in pool.map(stream_process, work, chunksize=1) for item in part]


def small_calls(url: str, path: str, data: bytes) -> list[float]:
    """Make many short calls, a few at a time; return the seconds of each."""
    pool = urllib3.PoolManager(retries=False, maxsize=SMALL_THREADS)
    headers = {'Authorization': f'Bearer {demo.KEY}', 'X-Request-Id': 'x'}

    def call(_: int) -> float:
        started = time.perf_counter()
        answer = pool.request('POST', url + path, body=data, headers=headers)
        assert answer.status == 200, answer.data
        return time.perf_counter() - started

    with ThreadPoolExecutor(SMALL_THREADS) as threads:
        return list(threads.map(call, range(SMALL_CALLS)))


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def memory_megabytes(pid: int) -> float:
    """Return a process's resident memory."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0.0


def row(way: str, count: int, found: list[StreamTimes], cores: float, megabytes: float) -> dict:
    """Return the table row of one set of streams; times in milliseconds."""
    gaps = [gap for item in found for gap in item.gaps]
    firsts = [item.first for item in found]
    return {
        'way': way,
        'streams': count,
        'whole': sum(item.whole for item in found),
        'first_p50': quantile(firsts, 0.5) * 1000,
        'first_p95': quantile(firsts, 0.95) * 1000,
        'gap_p50': quantile(gaps, 0.5) * 1000,
        'gap_p95': quantile(gaps, 0.95) * 1000,
        'cores': cores,
        'megabytes': megabytes,
    }


COLUMNS = (
    Column('way', 'way', 's'),
    Column('streams', 'streams', 'd'),
    Column('whole', 'whole', 'd'),
    Column('first_p50', 'first ms p50', '.0f'),
    Column('first_p95', 'p95', '.0f'),
    Column('gap_p50', 'gap ms p50', '.1f'),
    Column('gap_p95', 'p95', '.1f'),
    Column('cores', 'cores of the box', '.2f'),
    Column('megabytes', 'MB of the box', '.0f'),
)


def measure() -> None:
    """Measure streams and short calls, each direct and through one box."""
    rows = []
    with LocalFleet() as fleet:
        fleet.start_platform()
        engines = [
            fleet.start_engine(f'engine-{number}', 'recipes', 1000, TOKEN_SECONDS)
            for number in range(3)
        ]
        tree = yaml.safe_load(TREE.read_text(encoding='utf-8'))
        tree['workspaces']['kusina']['limits'] = {}
        fleet.apply(tree)
        box = fleet.start_box('box-1', threads=max(STREAMS) + 50)
        direct = [engine.url for engine in engines]
        for count in STREAMS:
            rows.append(row('direct', count, streams(direct, count), 0.0, 0.0))
            used, started = processor_seconds(box.popen.pid), time.perf_counter()
            found = streams([box.url], count)
            seconds = time.perf_counter() - started
            cores = (processor_seconds(box.popen.pid) - used) / seconds
            rows.append(row('through a box', count, found, cores, memory_megabytes(box.popen.pid)))
        fleet.faults('engine-0', token_seconds=0.0)
        fleet.faults('engine-1', token_seconds=0.0)
        fleet.faults('engine-2', token_seconds=0.0)
        data = body(False, 1, 'short')
        path = '/v1/chat/completions'
        small_calls(box.url, path, data)
        before = small_calls(engines[0].url, path, data)
        used, started = processor_seconds(box.popen.pid), time.perf_counter()
        through = small_calls(box.url, path, data)
        seconds = time.perf_counter() - started
        per_call = (processor_seconds(box.popen.pid) - used) / SMALL_CALLS
        calls = SMALL_CALLS / seconds
    ratio = median(through) / median(before)
    about = (
        f'Three engines that write a token each {TOKEN_SECONDS * 1000:g} ms, {TOKENS} tokens a '
        f'stream, opened over {RAMP_SECONDS:g} s by {CALLER_PROCESSES} caller processes; one '
        'box, one process, on the same 8 processors as callers and engines.  Times are from '
        'one run on a shared machine: compare rows, not machines.'
    )
    short = (
        f'Short calls, {SMALL_THREADS} at a time: median {median(before) * 1000:.1f} ms direct, '
        f'{median(through) * 1000:.1f} ms through a box (ratio {ratio:.2f}); {calls:.0f} calls a '
        f'second; {per_call * 1000:.2f} ms of processor time of the box a call.'
    )
    rows_and_short = [
        *rows,
        {'way': 'short calls', 'ratio': ratio, 'calls': calls, 'cpu': per_call},
    ]
    save('path', rows_and_short, '\n\n'.join(['# Data path', about, table(rows, COLUMNS), short]))
