"""Tables, JSON and plots of measurements."""

import json
import platform
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

import matplotlib

matplotlib.use('Agg')
from matplotlib import pyplot as plt

FOLDER = Path('docs/measurements')
PLOT_INCHES = (8, 5)


@dataclass(frozen=True)
class Column:
    """One column of a table: a field of the rows, its title and its format."""

    field: str
    title: str
    form: str = '.2f'


def table(rows: Sequence[dict], columns: Sequence[Column]) -> str:
    """Format rows as a Markdown table."""
    lines = [
        '| ' + ' | '.join(column.title for column in columns) + ' |',
        '|' + '---|' * len(columns),
    ]
    for row in rows:
        cells = [
            format(row[column.field], column.form if column.form != 's' else '')
            for column in columns
        ]
        lines.append('| ' + ' | '.join(cells) + ' |')
    return '\n'.join(lines)


def save(name: str, rows: Sequence[dict], text: str) -> None:
    """Write a measurement's JSON file and Markdown page, and print the page."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    value = {'python': platform.python_version(), 'rows': list(rows)}
    (FOLDER / f'{name}.json').write_text(json.dumps(value, indent=1) + '\n', encoding='utf-8')
    (FOLDER / f'{name}.md').write_text(text.rstrip() + '\n', encoding='utf-8')
    print(text, flush=True)


def as_row(figures: object, **extra) -> dict:
    """Return the figures as a row, with extra columns."""
    return extra | asdict(figures)


def plot_points(name: str, groups: dict[str, list[dict]], x: str, y: str, title: str) -> None:
    """Plot the points of several labelled groups to a PNG file."""
    figure, axes = plt.subplots(figsize=PLOT_INCHES)
    for label, rows in groups.items():
        axes.plot([row[x] for row in rows], [row[y] for row in rows], 'o-', label=label)
    axes.set_xlabel(x.replace('_', ' '))
    axes.set_ylabel(y.replace('_', ' '))
    axes.set_title(title)
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(FOLDER / f'{name}.png', dpi=100, metadata={'Software': None})
    plt.close(figure)
