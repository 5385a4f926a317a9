"""The cost of a start: processor time and memory to load a box's modules."""

import os
import subprocess
import sys

from msgspec import Struct, to_builtins

from .report import Column, save, table

RUNS = 9
#: The cumulative steps of loading: each includes all steps above it.
STEPS = (
    ('the interpreter', 'pass'),
    ('messages and settings', 'import seamhold_settings'),
    ('deciding', 'import seamhold_routing'),
    ('messages to peers', 'import seamhold_peers'),
    ('a forwarding box', 'import seamhold.config, seamhold.forwarding.box'),
    ('the command line as well', 'import seamhold.core'),
    ('the metrics page as well', 'import seamhold.metrics_page'),
)
LAST_LINES = (
    'import sys',
    'status = open("/proc/self/status").read()',
    'print(len(sys.modules), status.partition("RssAnon:")[2].split()[0])',
)
COLUMNS = (
    Column('what', 'loaded', 's'),
    Column('best', 'processor time, the best of nine, ms', '.0f'),
    Column('middle', 'in the middle, ms', '.0f'),
    Column('modules', 'modules', 'd'),
    Column('memory', 'memory of its own, MB', '.1f'),
)


class Start(Struct, frozen=True):
    """One step: processor milliseconds, modules, and megabytes of anonymous memory."""

    what: str
    best: float
    middle: float
    modules: int
    memory: float


def measure_step(what: str, code: str) -> Start:
    """Measure loading `code` in a new process with garbage collection off."""
    lines = ('import gc', 'gc.disable()', code, *LAST_LINES)
    times, output = [], ''
    for _ in range(RUNS):
        before = os.times()
        run = [sys.executable, '-c', '\n'.join(lines)]
        output = subprocess.run(run, check=True, capture_output=True, text=True).stdout
        after = os.times()
        spent = after.children_user + after.children_system
        times.append((spent - before.children_user - before.children_system) * 1000)
    times.sort()
    modules, kilobytes = map(int, output.split())
    return Start(what, times[0], times[RUNS // 2], modules, kilobytes / 1024)


def measure() -> None:
    """Measure each step, one after another."""
    code, rows = [], []
    for what, step in STEPS:
        code.append(step)
        rows.append(to_builtins(measure_step(what, '\n'.join(code))))
    about = 'Each row holds what stands above it; a process of its own each time.'
    save('start', rows, '\n\n'.join(['# What a start loads', about, table(rows, COLUMNS)]))
