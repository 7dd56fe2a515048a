"""Derives slowness of backends and waits of requests from answers.

The latency of an answer shows how slow its backend is and how long its request
waited. The opening gate uses the wait to detect floods.
"""

from collections.abc import Container

from currantshore.internal.steering.catalog import RequestKind, Route
from currantshore.internal.steering.directory import Backend
from currantshore.internal.steering.mechanisms import SwitchedOff
from currantshore.internal.steering.openinggate import Gate
from currantshore.internal.steering.slowness import SlownessTracker
from currantshore.internal.steering.waiting import build_wait_estimator


class AnswerRecorder:
    """Records latencies of answers and reports wait shares to the gate."""

    __slots__ = ('_gate', '_slowness_tracker', '_wait_estimator')

    def __init__(self, gate: Gate, switched_off: SwitchedOff) -> None:
        """Initialize; wait shares are reported to ``gate``."""
        self._gate = gate
        self._slowness_tracker = SlownessTracker()
        self._wait_estimator = build_wait_estimator(switched_off)

    def record(
        self,
        route: Route,
        backend: Backend,
        latency_s: float,
        now_s: float,
    ) -> None:
        """Record an answer of ``backend`` to a request of ``route``.

        Answers to uploads are ignored, because an upload's latency is mostly
        the time in which its own packets are sent.
        """
        if route.kind is RequestKind.UPLOAD:
            return
        self._slowness_tracker.record(route, backend, latency_s, now_s)
        if route.target_latency_s > 0:
            wait_share = self._wait_estimator.record(route, latency_s, now_s)
            self._gate.record_answer(
                backend.entry.service_id, wait_share, now_s
            )

    def forget_gone(self, routes: Container[bytes], now_s: float) -> None:
        """Forget routes not in ``routes``, services without recent answers."""
        self._gate.forget_gone(routes, now_s)
        self._wait_estimator.forget_gone(routes)
        self._slowness_tracker.forget_gone(routes)
