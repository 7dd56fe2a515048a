"""Least-squares lines with their errors."""

from collections.abc import Sequence
from typing import TypeAlias

import numpy as np

Fit: TypeAlias = dict[str, float]


def fit_line(sizes: Sequence[float], figures: Sequence[float]) -> Fit:
    """Fit ``figure = intercept + slope * size``.

    The errors are standard errors of the two parameters; ``residual`` is the
    largest distance of a figure from the line, relative to the largest figure.
    """
    places = np.asarray(sizes, dtype=float)
    found = np.asarray(figures, dtype=float)
    columns = np.column_stack((np.ones_like(places), places))
    solution, _, _, _ = np.linalg.lstsq(columns, found, rcond=None)
    rest = found - columns @ solution
    freedom = max(len(places) - 2, 1)
    variance = float(rest @ rest) / freedom
    covariance = variance * np.linalg.inv(columns.T @ columns)
    errors = np.sqrt(np.diag(covariance))
    scale = float(np.abs(found).max()) or 1.0
    return {
        'intercept': _short(solution[0]),
        'intercept_error': _short(errors[0]),
        'slope': _short(solution[1]),
        'slope_error': _short(errors[1]),
        'residual': _short(np.abs(rest).max() / scale),
    }


def _short(number: float) -> float:
    return float(f'{number:.4g}')
