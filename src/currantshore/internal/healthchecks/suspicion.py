"""Suspicion that a fault lies on this balancer's own side."""

from collections.abc import Collection, Mapping
from typing import Final

from currantshore.internal.healthchecks.verdicts import Verdict

# A row of hosts on one power feed is far less than this share of the backend
# servers of a pool; a cut cable of this host is all of them.
_START_RATIO: Final = 0.8
_STOP_RATIO: Final = 0.5
_MIN_BACKENDS: Final = 3
_MIN_EVIDENCE_AGE_S: Final = 5.0
_INTERVALS: Final = 2.5


class SelfSuspicion:
    """Active while nearly all backend servers seem to fail."""

    __slots__ = ('is_active',)

    def __init__(self) -> None:
        """Start without suspicion."""
        self.is_active = False

    def judge(
        self,
        verdicts: Mapping[str, Verdict],
        confirmed: Collection[str],
        probe_interval_s: float,
        now_s: float,
    ) -> bool:
        """Look at all verdicts; tell whether the suspicion has just begun.

        A backend server that worked within a few probe intervals counts as
        working: between two probes nothing new is heard of an idle one. A
        failing one that another balancer holds down (``confirmed``) counts for
        nothing, since a fault here does not explain it.
        """
        age_s = max(_MIN_EVIDENCE_AGE_S, _INTERVALS * probe_interval_s)
        failing = 0
        working = 0
        for backend_id, verdict in verdicts.items():
            if verdict.is_failing or verdict.is_down:
                failing += backend_id not in confirmed
            elif now_s - verdict.last_success_s < age_s:
                working += 1
        known = failing + working
        was_active = self.is_active
        limit_ratio = _STOP_RATIO if was_active else _START_RATIO
        is_many = known >= _MIN_BACKENDS or was_active
        self.is_active = is_many and failing > known * limit_ratio
        return self.is_active and not was_active
