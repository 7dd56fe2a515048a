"""Summarizes where a day of the users' bench loses worth.

``python -m tooling.daylosses REPORT...`` reads files that
``fleetbench run --report`` wrote. For each report it prints one JSON line with
the worth lost by term and by price, and the windows that lose the most.
"""

import json
import sys
from pathlib import Path
from typing import Any, Final

# Windows listed one by one; the losses of the others are added up.
_LISTED_WINDOW_COUNT: Final = 4


def losses_by_term(report: dict[str, Any]) -> dict[str, float]:
    """Return the share of the day's worth lost by term and price, 0 to 1."""
    terms = {
        name: weight * (1 - part) for name, weight, part in report['parts']
    }
    prices = {name: price for name, _, price in report['prices'] if price}
    return {**terms, **prices}


def losses_by_window(report: dict[str, Any]) -> list[dict[str, Any]]:
    """Return all windows, sorted by lost worth, the largest first.

    ``lost`` is the worth that was not earned, in requests of worth 1.
    """
    losses = [
        {
            'from_s': float(window['name']),
            'lost': window['n'] * (1 - window['worth']),
            'asked': window['n'],
            'late': window['late'],
            'refused': window['refused'],
            'failed': window['failed'],
        }
        for window in report['windows']
    ]
    return sorted(losses, key=_lost_worth, reverse=True)


def summarize(report: dict[str, Any]) -> dict[str, Any]:
    """Return the figures of one report for a table of losses."""
    windows = losses_by_window(report)
    worst = windows[:_LISTED_WINDOW_COUNT]
    return {
        'worth': round(report['G'], 4),
        'terms': {
            name: round(lost, 4)
            for name, lost in losses_by_term(report).items()
        },
        'worst_windows': [
            {**window, 'lost': round(window['lost'], 1)} for window in worst
        ],
        'lost_elsewhere': round(
            sum(map(_lost_worth, windows[_LISTED_WINDOW_COUNT:])), 1
        ),
        'unserved': [
            {'how': how, 'count': count}
            for how, count, _ in report['unserved_by']
        ],
    }


def main() -> None:
    """Print one JSON line for each report named on the command line."""
    for name in sys.argv[1:]:
        report = json.loads(Path(name).read_text())
        print(json.dumps({'report': Path(name).name, **summarize(report)}))


def _lost_worth(window: dict[str, Any]) -> float:
    lost: float = window['lost']
    return lost


if __name__ == '__main__':
    main()
