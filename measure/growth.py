"""How reuse, skew, bytes and time a decision grow with boxes and engines."""

from .policies import Way
from .report import Column, as_row, save, table
from .runs import Run, do_all

#: Boxes, engines, and how many times the calls of today.
SIZES = ((8, 10, 1.0), (8, 100, 10.0), (64, 100, 10.0), (64, 667, 40.0))
SECONDS = 25.0
REPORTS_MAX_ENGINES = 100
BUDGET = 8192
WAYS = (
    Way('hash alone', 'hash', hints=False, budget=BUDGET),
    Way('digests', budget=BUDGET),
    Way('reports', knowledge='reports', budget=BUDGET),
)
COLUMNS = (
    Column('boxes', 'boxes', 'd'),
    Column('engines', 'engines', 'd'),
    Column('way', 'way', 's'),
    Column('reuse', 'reuse', '.3f'),
    Column('skew_calls_p50', 'calls p50'),
    Column('skew_calls_p99', 'p99'),
    Column('skew_tokens_p50', 'tokens p50'),
    Column('skew_tokens_p99', 'p99'),
    Column('refused', 'refused', 'd'),
    Column('bytes_per_second', 'B/s a box', '.0f'),
    Column('bytes_per_message', 'B a message', '.0f'),
    Column('decision_us', 'us a decision', '.0f'),
)


def measure() -> None:
    """Runs of the Kusina mix at growing sizes."""
    runs = [
        Run('kusina', 'calm', way, 1, boxes, engines, scale, SECONDS)
        for boxes, engines, scale in SIZES
        for way in WAYS
        # The fake reports are summed anew for each call, which takes too long
        # there; a box would not do that.
        if way.knowledge != 'reports' or engines <= REPORTS_MAX_ENGINES
    ]
    rows = [
        as_row(figures, boxes=run.boxes, engines=run.engines, way=run.way.name)
        for run, figures in zip(runs, do_all(runs), strict=True)
    ]
    about = (
        f'Kusina mix, calm, {SECONDS:g} s, one seed, a budget of {BUDGET} B/s a box.  At 64 '
        'boxes a box hears about 14 neighbours; "reports" is what boxes would know from '
        "engines' reports, one second old, if these were spread.  It was not run at 667 "
        'engines.'
    )
    save('growth', rows, '\n\n'.join(['# Growth', about, table(rows, COLUMNS)]))
