"""Chooses the backends to evaluate in each tick and their controls.

This is meant for thousands of backends, of which only a few have requests of
this host in progress. The cost of a tick depends on those few: a backend is
evaluated from its first unanswered opening or request until it has none left
and is not suspected.
"""

import itertools
from collections.abc import Collection
from typing import Final, NamedTuple

from currantshore.internal.steering.directory import (
    Backend,
    BackendDirectory,
    Standing,
)
from currantshore.internal.steering.flowrecords import FlowRecords
from currantshore.internal.steering.mechanisms import (
    NOTHING_OFF,
    Mechanism,
    SwitchedOff,
)
from currantshore.internal.steering.silence import Health, SilenceWatch

# Candidates for a control when no backend has answered this host lately.
_CONTROL_CANDIDATES: Final = 16


class SilentBackends(NamedTuple):
    """Silent backends: those to try to connect to, and replaced ones."""

    to_check: list[Backend]
    replaced: list[Backend]


class BackendWatches:
    """The silence watches of all backends that had traffic."""

    __slots__ = (
        '_directory',
        '_may_check',
        '_may_reset_replaced',
        '_records',
        '_watches',
    )

    def __init__(
        self,
        directory: BackendDirectory,
        records: FlowRecords,
        switched_off: SwitchedOff = NOTHING_OFF,
    ) -> None:
        """Watch the backends of ``directory`` by the flows of ``records``."""
        self._directory = directory
        self._records = records
        self._may_check = Mechanism.SERVER_CHECKS not in switched_off
        self._may_reset_replaced = (
            Mechanism.REPLACED_ADDRESSES not in switched_off
        )
        self._watches: dict[str, SilenceWatch] = {}

    def watch(self, backend: Backend) -> SilenceWatch:
        """Return the watch of a backend; the first call creates it."""
        return self._watches.setdefault(
            backend.entry.backend_id, SilenceWatch()
        )

    def health(self, backend: Backend) -> Health:
        """Return the state of ``backend`` as observed through its flows."""
        watch = self._watches.get(backend.entry.backend_id)
        return Health.ANSWERING if watch is None else watch.health

    def evaluate(self, now_s: float, late_opening_s: float) -> SilentBackends:
        """Evaluate the backends with unanswered openings or requests."""
        silent = SilentBackends([], [])
        busy = self._records.busy_backends
        for backend in tuple(busy):
            watch = self.watch(backend)
            self._evaluate_backend(
                backend, watch, now_s, late_opening_s, silent
            )
            is_idle = not (backend.pending_openings or backend.pending_requests)
            if is_idle and watch.health is Health.ANSWERING:
                busy.pop(backend)
        return silent

    def control_of(self, backend: Backend) -> Backend | None:
        """Return the control for attempts to connect to ``backend``.

        Of the other backends, this is the one that answered most recently. If
        none of the last ones that answered is usable, some other backends of
        the directory are compared. Silent and lapsed backends are not used.
        """
        sample = itertools.islice(
            self._directory.all_backends(), _CONTROL_CANDIDATES
        )
        latest_first = (
            *reversed(self._records.recently_answered),
            *sorted(sample, key=_last_answer_s, reverse=True),
        )
        for other in latest_first:
            if self._can_be_control(other, backend):
                return other
        return None

    def clear(self) -> None:
        """Treat all backends as answering, after a stall of this host."""
        for watch in self._watches.values():
            watch.clear()

    def forget_gone(self, known_ids: Collection[str]) -> None:
        """Drop the watches of backends that are not in ``known_ids``."""
        for backend_id in self._watches.keys() - known_ids:
            self._watches.pop(backend_id)

    def _evaluate_backend(
        self,
        backend: Backend,
        watch: SilenceWatch,
        now_s: float,
        late_opening_s: float,
        silent: SilentBackends,
    ) -> None:
        # A lapsed entry alone is no reason for a reset, since the backend may
        # be alive and cut off from the store.
        is_replaced = backend.is_replaced and self._may_reset_replaced
        may_check = watch.evaluate(
            backend, now_s, late_opening_s, is_replaced=is_replaced
        )
        if is_replaced and watch.health is Health.SUSPECT:
            watch.mark_dead(now_s)
            silent.replaced.append(backend)
        elif may_check and self._may_check:
            silent.to_check.append(backend)

    def _can_be_control(self, other: Backend, backend: Backend) -> bool:
        if other is backend or other.standing is Standing.LAPSED:
            return False
        return self.health(other) is Health.ANSWERING


def _last_answer_s(backend: Backend) -> float:
    return backend.last_answer_s
