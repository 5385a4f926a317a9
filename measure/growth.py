"""How reuse, skew, bytes and decision time grow with boxes and engines."""

from .policies import PlacementVariant
from .report import Column, as_row, save, table
from .runs import Run, execute_runs

#: Boxes, engines, and the multiple of the current call rate.
SIZES = ((8, 10, 1.0), (8, 100, 10.0), (64, 100, 10.0), (64, 667, 40.0))
SECONDS = 25.0
REPORTS_MAX_ENGINES = 100
BUDGET = 8192
WAYS = (
    PlacementVariant('hash alone', 'hash', hints=False, budget=BUDGET),
    PlacementVariant('digests', budget=BUDGET),
    PlacementVariant('reports', load_source='reports', budget=BUDGET),
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
    """Run the Kusina traffic at growing sizes."""
    runs = [
        Run('kusina', 'calm', variant, 1, boxes, engines, scale, SECONDS)
        for boxes, engines, scale in SIZES
        for variant in WAYS
        # The fake reports are summed for each call, which takes too long with many
        # engines; a real box would not do that.
        if variant.load_source != 'reports' or engines <= REPORTS_MAX_ENGINES
    ]
    rows = [
        as_row(figures, boxes=run.boxes, engines=run.engines, way=run.variant.name)
        for run, figures in zip(runs, execute_runs(runs), strict=True)
    ]
    about = (
        f'Kusina mix, calm, {SECONDS:g} s, one seed, a budget of {BUDGET} B/s a box.  At 64 '
        'boxes a box receives from about 14 neighbours; "reports" is what boxes would know from '
        "engines' reports, one second old, if these were spread.  It was not run at 667 "
        'engines.'
    )
    save('growth', rows, '\n\n'.join(['# Growth', about, table(rows, COLUMNS)]))
