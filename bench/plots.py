"""Draws the slopes of a capacity run as small SVG files.

Run ``python -m bench.plots run.json docs/plots``; the same run gives the same
files.
"""

import argparse
import json
import pathlib
from collections.abc import Sequence
from typing import Any, Final, NamedTuple

import matplotlib as mpl

mpl.use('svg')

from matplotlib import pyplot  # noqa: E402

from bench.fits import Fit  # noqa: E402

_SIZE_INCHES: Final = (4.2, 2.6)


class Slope(NamedTuple):
    """One slope: what is drawn over what."""

    name: str
    section: str
    sizes: str
    figure: str
    x_label: str
    y_label: str


_SLOPES: Final = (
    Slope('heartbeat-bytes', 'traffic', 'hosts', 'sent_bytes_per_s',
          'hosts in the pool', 'bytes/s sent by a node'),
    Slope('heartbeat-cpu', 'traffic', 'hosts', 'cpu_ratio',
          'hosts in the pool', 'share of a core'),
    Slope('probe-bytes', 'health', 'backend_servers', 'sent_bytes_per_s',
          'backend servers in the pool', 'bytes/s sent by a node'),
    Slope('configuration-bytes', 'state', 'services', 'configuration_bytes',
          'services', 'bytes as JSON'),
    Slope('core-bytes', 'state', 'services', 'core_bytes',
          'services', 'bytes allocated'),
    Slope('apply-time', 'state', 'services', 'apply_s',
          'services', 'CPU seconds a change'),
    Slope('tick-cpu', 'state', 'services', 'tick_cpu_ratio',
          'services', 'share of a core'),
    Slope('health-bytes', 'backends', 'backend_servers', 'health_bytes',
          'backend servers in the pool', 'bytes allocated'),
)  # fmt: skip


def draw(
    target: pathlib.Path,
    labels: tuple[str, str],
    sizes: Sequence[float],
    figures: Sequence[float],
    fit: Fit,
) -> None:
    """Draw points and their fitted line, with the error of the slope."""
    mpl.rcParams['svg.hashsalt'] = 'currantshore'
    mpl.rcParams['svg.fonttype'] = 'none'
    drawing, axes = pyplot.subplots(figsize=_SIZE_INCHES, layout='tight')
    axes.plot(sizes, figures, 'o')
    line = [fit['intercept'] + fit['slope'] * size for size in sizes]
    text = f'slope {fit["slope"]:.3g} ± {fit["slope_error"]:.2g}'
    axes.plot(sizes, line, '-', label=text)
    axes.set_xlabel(labels[0])
    axes.set_ylabel(labels[1])
    axes.set_ylim(bottom=0)
    axes.legend(loc='upper left')
    drawing.savefig(target, metadata={'Date': None, 'Creator': None})
    pyplot.close(drawing)


def draw_all(run: dict[str, Any], folder: pathlib.Path) -> None:
    """Draw every slope of a run, and the spreading time."""
    folder.mkdir(parents=True, exist_ok=True)
    for slope in _SLOPES:
        section = run[slope.section]
        is_traffic = slope.section == 'traffic'
        rows = section['loss_1_percent' if is_traffic else 'rows']
        suffix = '_loss_1_percent' if is_traffic else ''
        draw(
            folder / f'{slope.name}.svg',
            (slope.x_label, slope.y_label),
            section[slope.sizes],
            [row[slope.figure] for row in rows],
            section[f'fit_{slope.figure}{suffix}'],
        )
    state = run['state']
    draw(
        folder / 'member-bytes.svg',
        ('hosts in the pool', 'bytes allocated'),
        state['member_hosts'],
        state['member_bytes'],
        state['fit_member_bytes'],
    )
    _draw_spread(run['spread'], folder / 'spread.svg')


def _draw_spread(spread: dict[str, Any], target: pathlib.Path) -> None:
    drawing, axes = pyplot.subplots(figsize=_SIZE_INCHES, layout='tight')
    for label in sorted(set(spread) - {'hosts'}):
        figures = [row['all_hosts_max_s'] for row in spread[label]]
        axes.plot(spread['hosts'], figures, 'o-', label=label)
    axes.set_xlabel('hosts in the pool')
    axes.set_ylabel('s to all hosts, worst run')
    axes.set_ylim(bottom=0)
    axes.legend(fontsize='small')
    drawing.savefig(target, metadata={'Date': None, 'Creator': None})
    pyplot.close(drawing)


def main() -> None:
    """Read a run and draw it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('run', type=pathlib.Path)
    parser.add_argument('folder', type=pathlib.Path)
    arguments = parser.parse_args()
    draw_all(json.loads(arguments.run.read_text('utf-8')), arguments.folder)


if __name__ == '__main__':
    main()
