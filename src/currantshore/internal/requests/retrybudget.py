"""A budget that keeps retries from multiplying an overload."""

from typing import Final

_RETRY_RATIO: Final = 0.1
_FLOOR_PER_S: Final = 1.0
_MAX_SAVED: Final = 20.0


class RetryBudget:
    """Allows retries up to 10% of requests plus one each second.

    At most 20 retries are saved up, so that a quiet hour does not pay for a
    burst of retries in the next overload.
    """

    __slots__ = ('_refilled_s', '_saved')

    def __init__(self) -> None:
        """Start with one second's floor."""
        self._saved = _FLOOR_PER_S
        self._refilled_s: float | None = None

    def on_request(self, now_s: float) -> None:
        """Add a request's part."""
        self._refill(now_s)
        self._add(_RETRY_RATIO)

    def take(self, now_s: float) -> bool:
        """Spend one retry if there is one."""
        self._refill(now_s)
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

    def _refill(self, now_s: float) -> None:
        if self._refilled_s is not None:
            self._add((now_s - self._refilled_s) * _FLOOR_PER_S)
        self._refilled_s = now_s

    def _add(self, amount: float) -> None:
        self._saved = min(self._saved + max(amount, 0), _MAX_SAVED)
