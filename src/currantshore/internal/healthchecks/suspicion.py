"""Detects when this balancer itself, not the backend servers, is at fault."""

from collections.abc import Collection, Mapping
from typing import Final

from currantshore.internal.healthchecks.verdicts import Verdict

# A power failure of one row of hosts takes down far less than this share of the
# backend servers; a cut cable of this host makes all of them fail.
_START_RATIO: Final = 0.8
_STOP_RATIO: Final = 0.5
_MIN_BACKENDS: Final = 3
_MIN_EVIDENCE_AGE_S: Final = 5.0
_EVIDENCE_PROBE_INTERVALS: Final = 2.5


class SelfSuspicion:
    """Active while nearly all backend servers appear to fail."""

    __slots__ = ('is_active',)

    def __init__(self) -> None:
        """Initialize without suspicion."""
        self.is_active = False

    def update(
        self,
        verdicts: Mapping[str, Verdict],
        suspected_by_peers: Collection[str],
        probe_interval_s: float,
        now_s: float,
    ) -> bool:
        """Evaluate all verdicts; return whether the suspicion has just begun.

        A backend server that worked within the last few probe intervals counts
        as working, since there is no news about an idle one between two probes.
        A failing one in ``suspected_by_peers`` is not counted, since a fault of
        this balancer does not explain why another one considers it down.
        """
        age_s = max(
            _MIN_EVIDENCE_AGE_S, _EVIDENCE_PROBE_INTERVALS * probe_interval_s
        )
        failing = 0
        working = 0
        for backend_id, verdict in verdicts.items():
            if verdict.is_failing or verdict.is_down:
                failing += backend_id not in suspected_by_peers
            elif now_s - verdict.last_success_s < age_s:
                working += 1
        known = failing + working
        was_active = self.is_active
        limit_ratio = _STOP_RATIO if was_active else _START_RATIO
        has_enough = known >= _MIN_BACKENDS or was_active
        self.is_active = has_enough and failing > known * limit_ratio
        return self.is_active and not was_active
