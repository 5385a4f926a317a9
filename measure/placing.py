"""Compares the placement variants: reuse, skew, refusals, bytes."""

from .fakes import DEPLOYMENTS
from .policies import BASELINES, CHOSEN, FRONTIER, KNOWLEDGE, POINTS, STEPS
from .report import Column, as_row, plot_points, save, table
from .runs import SEEDS, compare
from .scenarios import SCENARIOS, SECONDS

COLUMNS = (
    Column('way', 'way', 's'),
    Column('reuse', 'reuse', '.3f'),
    Column('skew_calls_p50', 'calls p50'),
    Column('skew_calls_p99', 'p99'),
    Column('skew_calls_worst', 'worst'),
    Column('skew_tokens_p50', 'tokens p50'),
    Column('skew_tokens_p99', 'p99'),
    Column('skew_tokens_worst', 'worst'),
    Column('refused', 'refused', 'd'),
    Column('spilled', 'spilled'),
    Column('bytes_per_second', 'B/s a box', '.0f'),
    Column('reading_p95', 'read p95 s'),
    Column('decision_us', 'us a decision', '.0f'),
)
ABOUT = (
    f'8 boxes, 10 engines, {SECONDS:g} s, {len(SEEDS)} seeds; reuse in tokens against what '
    'an engine had read before for the chat; skew is the busiest engine over the mean, '
    'sampled every 0.1 s after 15 s where the mean is at least 4 calls; "worst" is the '
    'worst single sample of all seeds.  Bytes count message headers and acknowledgements.  '
    '"read" is from arrival to the end of reading the prompt, waits included.'
)


def compare_variants() -> None:
    """Run the variants in all scenarios for both deployments."""
    calm_only = [variant for variant in (*STEPS, *KNOWLEDGE) if variant is not CHOSEN]
    cases = []
    for deployment in DEPLOYMENTS:
        cases += [(deployment, 'calm', variant) for variant in calm_only]
        for scenario in SCENARIOS:
            ways = (*BASELINES, CHOSEN, POINTS[deployment])
            cases += [(deployment, scenario, variant) for variant in ways]
    rows = [
        as_row(figures, deployment=deployment, scenario=scenario, way=variant.name)
        for (deployment, scenario, variant), figures in zip(cases, compare(cases), strict=True)
    ]
    parts = ['# Placing calls', ABOUT]
    for deployment in DEPLOYMENTS:
        for scenario, about in SCENARIOS.items():
            chosen = [
                row
                for row in rows
                if (row['deployment'], row['scenario']) == (deployment, scenario)
            ]
            parts.append(f'## {deployment}, {scenario}\n\n{about.__doc__}')
            parts.append(table(chosen, COLUMNS))
    save('placing', rows, '\n\n'.join(parts))


def frontier() -> None:
    """Measure reuse against skew over the grid of the two settings."""
    cases = [(name, 'churn', variant) for name in DEPLOYMENTS for variant in FRONTIER]
    rows = [
        as_row(figures, deployment=deployment, way=variant.name, patience=variant.patience)
        for (deployment, _, variant), figures in zip(cases, compare(cases), strict=True)
    ]
    parts = ['# The frontier of reuse against skew', ABOUT, 'Under churn.']
    for deployment in DEPLOYMENTS:
        chosen = [row for row in rows if row['deployment'] == deployment]
        parts.append(f'## {deployment}\n\n![frontier](frontier-{deployment}.png)')
        parts.append(table(chosen, COLUMNS))
        groups = {
            f'patience {patience:g} s': [row for row in chosen if row['patience'] == patience]
            for patience in sorted({row['patience'] for row in chosen})
        }
        save_plot(deployment, groups)
    save('frontier', rows, '\n\n'.join(parts))


def save_plot(deployment: str, groups: dict[str, list[dict]]) -> None:
    """Plot the frontier of one deployment."""
    title = f'{deployment}: each line is admit_multiple from 1.1 to 1.45, under churn'
    plot_points(f'frontier-{deployment}', groups, 'skew_tokens_p99', 'reuse', title)
