"""What answers show of routes, servers and services.

The latency of an answer tells how slow its server is and how long its request
waited; the gate of floods goes by the latter.
"""

from collections.abc import Container

from currantshore.internal.steering.catalog import RequestKind, Route
from currantshore.internal.steering.directory import Backend
from currantshore.internal.steering.mechanisms import SwitchedOff
from currantshore.internal.steering.openinggate import Gate
from currantshore.internal.steering.slowness import Slownesses
from currantshore.internal.steering.waiting import build_waits


class AnswerEvidence:
    """Takes latencies, and passes on to the gate what they show."""

    __slots__ = ('_gate', '_slownesses', '_waits')

    def __init__(self, gate: Gate, switched_off: SwitchedOff) -> None:
        """Tell ``gate`` how long requests have waited."""
        self._gate = gate
        self._slownesses = Slownesses()
        self._waits = build_waits(switched_off)

    def note(
        self,
        route: Route,
        backend: Backend,
        latency_s: float,
        now_s: float,
    ) -> None:
        """Take an answer of ``backend`` to a request of ``route``.

        What an upload takes is the time of its own packets, and shows nothing.
        """
        if route.kind is RequestKind.UPLOAD:
            return
        self._slownesses.note(route, backend, latency_s, now_s)
        if route.target_latency_s > 0:
            share = self._waits.note(route, latency_s, now_s)
            self._gate.note_answer(backend.entry.service_id, share, now_s)

    def forget_gone(self, routes: Container[bytes], now_s: float) -> None:
        """Forget routes that are not in ``routes``, and silent services."""
        self._gate.forget_gone(routes, now_s)
        self._waits.forget_gone(routes)
        self._slownesses.forget_gone(routes)
