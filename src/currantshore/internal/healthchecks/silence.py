"""Detection of flows that have gone silent for good.

Something between a balancer and a backend server may lose track of one flow
while new ones work. Such a flow was answered before, packets still go up, none
comes back, and other flows of the same backend server are answered meanwhile.
"""

import dataclasses
from collections import Counter
from typing import Final

from currantshore.wire import Endpoint

# Fewer unanswered packets may be one lost answer and its repetitions.
_MIN_UNANSWERED: Final = 4
# Longer than a slow answer of the users' services and several resends.
_MIN_SILENCE_S: Final = 5.0
# Bounds memory; each generation holds the flows of the last period.
MAX_FLOWS_PER_GENERATION: Final = 8192
_GENERATION_S: Final = 30.0

_FlowId = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class SilentFlow:
    """A flow found silent; ``caller`` is None for an opaque flow."""

    service_id: str
    flow_key: int
    backend_id: str
    caller: Endpoint | None


class _Watched:
    """What is known of one answered flow."""

    __slots__ = (
        'backend_id',
        'first_unanswered_s',
        'is_reported',
        'unanswered',
    )

    def __init__(self, backend_id: str) -> None:
        self.backend_id = backend_id
        self.first_unanswered_s = 0.0
        self.unanswered = 0
        self.is_reported = False


class SilenceTracker:
    """Follows a bounded number of answered flows.

    A flow beyond the bound is not followed until the next generation.
    """

    __slots__ = (
        '_answered_s',
        '_current',
        '_previous',
        '_rotate_s',
        'silent_flows',
    )

    def __init__(self) -> None:
        """Start without flows; ``silent_flows`` counts by backend id."""
        self._current: dict[_FlowId, _Watched] = {}
        self._previous: dict[_FlowId, _Watched] = {}
        self._answered_s: dict[str, tuple[float, int]] = {}
        self._rotate_s: float | None = None
        self.silent_flows: Counter[str] = Counter()

    @property
    def memory_size(self) -> int:
        """Return the number of flows that are followed."""
        return len(self._current) + len(self._previous)

    def forget_backends(self, kept: frozenset[str]) -> None:
        """Drop what is known of backend servers that are not in ``kept``."""
        for known in (self._answered_s, self.silent_flows):
            for backend_id in set(known) - kept:
                known.pop(backend_id)

    def note_answer(
        self,
        flow: _FlowId,
        backend_id: str,
        now_s: float,
    ) -> None:
        """Note a packet from the backend server to the caller."""
        self._answered_s[backend_id] = (now_s, flow[1])
        watched = self._find(flow)
        if watched is not None and watched.backend_id == backend_id:
            watched.unanswered = 0
            watched.is_reported = False
        elif len(self._current) < MAX_FLOWS_PER_GENERATION:
            self._current[flow] = _Watched(backend_id)

    def note_order(
        self,
        flow: _FlowId,
        backend_id: str,
        now_s: float,
        caller: Endpoint | None,
    ) -> SilentFlow | None:
        """Note a packet to the backend server; return a newly silent flow."""
        watched = self._find(flow)
        if watched is None or watched.backend_id != backend_id:
            return None
        if watched.unanswered == 0:
            watched.first_unanswered_s = now_s
        watched.unanswered += 1
        if watched.is_reported or not self._is_silent(watched, flow, now_s):
            return None
        watched.is_reported = True
        self.silent_flows[backend_id] += 1
        return SilentFlow(flow[0], flow[1], backend_id, caller)

    def tick(self, now_s: float) -> None:
        """Forget flows without packets for a generation or two."""
        if self._rotate_s is None:
            self._rotate_s = now_s + _GENERATION_S
        if now_s >= self._rotate_s:
            self._previous = self._current
            self._current = {}
            self._rotate_s = now_s + _GENERATION_S

    def _find(self, flow: _FlowId) -> _Watched | None:
        watched = self._current.get(flow)
        if watched is not None:
            return watched
        if len(self._current) >= MAX_FLOWS_PER_GENERATION:
            return self._previous.get(flow)
        watched = self._previous.pop(flow, None)
        if watched is not None:
            self._current[flow] = watched
        return watched

    def _is_silent(
        self,
        watched: _Watched,
        flow: _FlowId,
        now_s: float,
    ) -> bool:
        if watched.unanswered < _MIN_UNANSWERED:
            return False
        if now_s - watched.first_unanswered_s < _MIN_SILENCE_S:
            return False
        answered_s, other_key = self._answered_s[watched.backend_id]
        is_other = other_key != flow[1]
        return is_other and answered_s > watched.first_unanswered_s
