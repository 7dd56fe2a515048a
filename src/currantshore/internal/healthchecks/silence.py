"""Detects flows that have become permanently silent.

A component between a balancer and a backend server may lose track of one flow
while new flows work. Such a flow was answered before. Its packets still go to
the backend server, but none comes back, while other flows of the same backend
server are answered.
"""

import dataclasses
from collections import Counter
from typing import Final

from currantshore.wire import Endpoint

# Fewer unanswered packets may be one lost answer and the resent packets.
_MIN_UNANSWERED: Final = 4
# Longer than a slow answer of the services plus several resends.
_MIN_SILENCE_S: Final = 5.0
# Limits the memory; a generation holds the flows of the last period.
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


class _FlowState:
    """The state of one flow that was answered."""

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
    """Tracks a bounded number of answered flows.

    A flow beyond the limit is not tracked until the next generation.
    """

    __slots__ = (
        '_current',
        '_last_answers',
        '_previous',
        '_rotate_s',
        'silent_flows',
    )

    def __init__(self) -> None:
        """Initialize without flows; ``silent_flows`` counts by backend id."""
        self._current: dict[_FlowId, _FlowState] = {}
        self._previous: dict[_FlowId, _FlowState] = {}
        self._last_answers: dict[str, tuple[float, int]] = {}
        self._rotate_s: float | None = None
        self.silent_flows: Counter[str] = Counter()

    @property
    def flow_count(self) -> int:
        """Return the number of flows that are tracked."""
        return len(self._current) + len(self._previous)

    def forget_backends(self, kept: frozenset[str]) -> None:
        """Drop the state of backend servers that are not in ``kept``."""
        for known in (self._last_answers, self.silent_flows):
            for backend_id in set(known) - kept:
                known.pop(backend_id)

    def record_answered(
        self,
        flow: _FlowId,
        backend_id: str,
        now_s: float,
    ) -> None:
        """Record a packet from the backend server to the caller."""
        self._last_answers[backend_id] = (now_s, flow[1])
        state = self._find(flow)
        if state is not None and state.backend_id == backend_id:
            state.unanswered = 0
            state.is_reported = False
        elif len(self._current) < MAX_FLOWS_PER_GENERATION:
            self._current[flow] = _FlowState(backend_id)

    def record_sent(
        self,
        flow: _FlowId,
        backend_id: str,
        now_s: float,
        caller: Endpoint | None,
    ) -> SilentFlow | None:
        """Record a packet to the backend server; return a newly silent flow."""
        state = self._find(flow)
        if state is None or state.backend_id != backend_id:
            return None
        if state.unanswered == 0:
            state.first_unanswered_s = now_s
        state.unanswered += 1
        if state.is_reported or not self._is_silent(state, flow, now_s):
            return None
        state.is_reported = True
        self.silent_flows[backend_id] += 1
        return SilentFlow(flow[0], flow[1], backend_id, caller)

    def tick(self, now_s: float) -> None:
        """Forget flows that had no packet for one to two generations."""
        if self._rotate_s is None:
            self._rotate_s = now_s + _GENERATION_S
        if now_s >= self._rotate_s:
            self._previous = self._current
            self._current = {}
            self._rotate_s = now_s + _GENERATION_S

    def _find(self, flow: _FlowId) -> _FlowState | None:
        state = self._current.get(flow)
        if state is not None:
            return state
        if len(self._current) >= MAX_FLOWS_PER_GENERATION:
            return self._previous.get(flow)
        state = self._previous.pop(flow, None)
        if state is not None:
            self._current[flow] = state
        return state

    def _is_silent(
        self,
        state: _FlowState,
        flow: _FlowId,
        now_s: float,
    ) -> bool:
        if state.unanswered < _MIN_UNANSWERED:
            return False
        if now_s - state.first_unanswered_s < _MIN_SILENCE_S:
            return False
        answered_s, other_key = self._last_answers[state.backend_id]
        is_other = other_key != flow[1]
        return is_other and answered_s > state.first_unanswered_s
