"""Limits retries so that they do not amplify an overload."""

from typing import Final

_RETRY_RATIO: Final = 0.1
_EXTRA_RETRIES_PER_S: Final = 1.0
_MAX_RETRIES: Final = 20.0


class RetryBudget:
    """A token bucket of retries: 10% of requests plus one per second.

    The bucket holds at most 20 retries, so that an hour with low load does not
    permit a burst of retries in the next overload.
    """

    __slots__ = ('_refilled_s', '_retries')

    def __init__(self) -> None:
        """Initialize with the retries of one second."""
        self._retries = _EXTRA_RETRIES_PER_S
        self._refilled_s: float | None = None

    def on_request(self, now_s: float) -> None:
        """Add the share of a retry that one request permits."""
        self._refill(now_s)
        self._add(_RETRY_RATIO)

    def spend(self, now_s: float) -> bool:
        """Spend one retry; return ``False`` if there is none."""
        self._refill(now_s)
        if self._retries < 1:
            return False
        self._retries -= 1
        return True

    def _refill(self, now_s: float) -> None:
        if self._refilled_s is not None:
            self._add((now_s - self._refilled_s) * _EXTRA_RETRIES_PER_S)
        self._refilled_s = now_s

    def _add(self, amount: float) -> None:
        self._retries = min(self._retries + max(amount, 0), _MAX_RETRIES)
