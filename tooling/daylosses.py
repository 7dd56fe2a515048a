"""Where a day of the users' bench loses worth.

``python -m tooling.daylosses REPORT...`` reads files that ``fleetbench run
--report`` wrote and prints, for each, the worth lost by term and by price, and
the windows that lose most, as one JSON line.
"""

import json
import sys
from pathlib import Path
from typing import Any, Final

# Windows that are named; the rest is summed up.
_WORST_WINDOWS: Final = 4


def terms_lost(report: dict[str, Any]) -> dict[str, float]:
    """Return what each term takes of the day's worth, in parts of 1."""
    terms = {
        name: weight * (1 - part) for name, weight, part in report['parts']
    }
    prices = {name: price for name, _, price in report['prices'] if price}
    return {**terms, **prices}


def windows_lost(report: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the windows that lose most, the worst one first.

    ``lost`` is the worth not earned, in requests of worth 1.
    """
    found = [
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
    return sorted(found, key=_lost, reverse=True)


def summarize(report: dict[str, Any]) -> dict[str, Any]:
    """Return the figures of one report that a table of losses needs."""
    windows = windows_lost(report)
    worst = windows[:_WORST_WINDOWS]
    return {
        'worth': round(report['G'], 4),
        'terms': {
            name: round(lost, 4) for name, lost in terms_lost(report).items()
        },
        'worst_windows': [
            {**window, 'lost': round(window['lost'], 1)} for window in worst
        ],
        'lost_elsewhere': round(sum(map(_lost, windows[_WORST_WINDOWS:])), 1),
        'unserved': [
            {'how': how, 'count': count}
            for how, count, _ in report['unserved_by']
        ],
    }


def main() -> None:
    """Print one line for each report that the command line names."""
    for name in sys.argv[1:]:
        report = json.loads(Path(name).read_text())
        print(json.dumps({'report': Path(name).name, **summarize(report)}))


def _lost(window: dict[str, Any]) -> float:
    lost: float = window['lost']
    return lost


if __name__ == '__main__':
    main()
