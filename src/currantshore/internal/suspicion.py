"""Suspicion that a fault lies on this balancer's own side."""

from collections.abc import Iterable
from typing import Final

from currantshore.internal.verdicts import Verdict

# A row of hosts on one power feed is far less than this share of the backend
# servers of a pool; a cut cable of this host is all of them.
_START_RATIO: Final = 0.8
_STOP_RATIO: Final = 0.5
_MIN_BACKENDS: Final = 3
_EVIDENCE_AGE_S: Final = 5.0


class SelfSuspicion:
    """Active while nearly all backend servers seem to fail."""

    __slots__ = ('is_active',)

    def __init__(self) -> None:
        """Start without suspicion."""
        self.is_active = False

    def judge(self, verdicts: Iterable[Verdict], now_s: float) -> bool:
        """Look at all verdicts; tell whether the suspicion has just begun."""
        failing = 0
        working = 0
        for verdict in verdicts:
            if verdict.is_failing or verdict.is_down:
                failing += 1
            elif now_s - verdict.last_success_s < _EVIDENCE_AGE_S:
                working += 1
        known = failing + working
        was_active = self.is_active
        limit_ratio = _STOP_RATIO if was_active else _START_RATIO
        is_many = known >= _MIN_BACKENDS or was_active
        self.is_active = is_many and failing > known * limit_ratio
        return self.is_active and not was_active
