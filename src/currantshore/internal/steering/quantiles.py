"""A quantile of a stream of figures, in constant memory."""

from typing import Final

# A step is this part of the estimate, so that it follows a change of the
# figures within some dozens of them.
_STEP_RATIO: Final = 0.1


class RunningQuantile:
    """Follows one quantile of figures that change slowly.

    After Robbins and Monro, "A stochastic approximation method", 1951: the
    estimate rises a little for each figure above it and falls for each below,
    in the ratio that holds it at the quantile. The error is a few per cent.
    """

    __slots__ = ('_share', '_step_ratio', 'estimate')

    def __init__(
        self,
        share: float,
        prior: float,
        step_ratio: float = _STEP_RATIO,
    ) -> None:
        """Follow the figure below which ``share`` (0 to 1) of all lie.

        ``prior``, above 0, gives way within some dozens of figures; with a
        smaller step later, and what follows varies less.
        """
        self._share = share
        self._step_ratio = step_ratio
        self.estimate = prior

    def note(self, figure: float) -> None:
        """Take one figure."""
        step = self.estimate * self._step_ratio
        if figure > self.estimate:
            self.estimate += step * self._share
        else:
            self.estimate -= step * (1 - self._share)
