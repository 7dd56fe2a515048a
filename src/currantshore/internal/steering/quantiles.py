"""Estimates a quantile of a stream of values in constant memory."""

from typing import Final

# Step as a share of the estimate. A median follows a change within some dozens
# of values, a quantile near 0 or 1 more slowly in one direction.
_STEP_RATIO: Final = 0.1


class RunningQuantile:
    """Estimates one quantile of values whose distribution changes slowly.

    After Robbins and Monro, "A stochastic approximation method", 1951: each
    value above the estimate increases it a little and each value below
    decreases it. The ratio of the two steps keeps the estimate at the quantile,
    with an error of a few percent.
    """

    __slots__ = ('_share', '_step_ratio', 'estimate')

    def __init__(
        self,
        share: float,
        prior: float,
        step_ratio: float = _STEP_RATIO,
    ) -> None:
        """Estimate the ``share`` quantile (0 to 1).

        ``prior``, above 0, is the first estimate. It no longer matters after
        some dozens of values if it is not far above the quantile. With a
        smaller step, this takes longer and the estimate varies less.
        """
        self._share = share
        self._step_ratio = step_ratio
        self.estimate = prior

    def record(self, value: float) -> None:
        """Record one value."""
        step = self.estimate * self._step_ratio
        if value > self.estimate:
            self.estimate += step * self._share
        else:
            self.estimate -= step * (1 - self._share)
