"""Which backend servers are looked at in each tick, and against which other.

The load that this answers: thousands of servers of which a host has requests
under way at a few. A tick costs by those few: a server is looked at from its
first unanswered opening or request until it has answered all of them and is
not suspected.
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

# Servers that are looked at for a control when no server has answered this
# host lately.
_CONTROL_CANDIDATES: Final = 16


class Judgement(NamedTuple):
    """Silent servers: those to connect to, and those that were replaced."""

    to_try: list[Backend]
    replaced: list[Backend]


class BackendWatches:
    """The silence watch of each server that has been in traffic."""

    __slots__ = (
        '_directory',
        '_may_check',
        '_may_replace',
        '_records',
        '_watches',
    )

    def __init__(
        self,
        directory: BackendDirectory,
        records: FlowRecords,
        switched_off: SwitchedOff = NOTHING_OFF,
    ) -> None:
        """Watch the servers of ``directory`` by the flows of ``records``."""
        self._directory = directory
        self._records = records
        self._may_check = Mechanism.SERVER_CHECKS not in switched_off
        self._may_replace = Mechanism.REPLACED_ADDRESSES not in switched_off
        self._watches: dict[str, SilenceWatch] = {}

    def watch(self, backend: Backend) -> SilenceWatch:
        """Return the watch of a server; the first call starts it."""
        return self._watches.setdefault(
            backend.entry.backend_id, SilenceWatch()
        )

    def health(self, backend: Backend) -> Health:
        """Tell what flows have shown of ``backend``."""
        watch = self._watches.get(backend.entry.backend_id)
        return Health.ANSWERING if watch is None else watch.health

    def judge(self, now_s: float, late_opening_s: float) -> Judgement:
        """Judge the servers with work under way."""
        found = Judgement([], [])
        busy = self._records.busy
        for backend in tuple(busy):
            watch = self.watch(backend)
            self._judge_one(backend, watch, now_s, late_opening_s, found)
            is_idle = not (backend.openings or backend.asked)
            if is_idle and watch.health is Health.ANSWERING:
                busy.pop(backend)
        return found

    def control_of(self, backend: Backend) -> Backend | None:
        """Return another server, the one that answered a flow last.

        Where no other has answered lately, some server that is not known to
        be silent; None where there is none.
        """
        some = itertools.islice(
            self._directory.all_backends(), _CONTROL_CANDIDATES
        )
        latest_first = (
            *reversed(self._records.answered),
            *sorted(some, key=_last_answer_s, reverse=True),
        )
        for other in latest_first:
            if self._may_control(other, backend):
                return other
        return None

    def clear(self) -> None:
        """Doubt every verdict: this host stood still."""
        for watch in self._watches.values():
            watch.clear()

    def forget_gone(self, known_ids: Collection[str]) -> None:
        """Drop the watches of servers that are not in ``known_ids``."""
        for backend_id in self._watches.keys() - known_ids:
            self._watches.pop(backend_id)

    def _judge_one(
        self,
        backend: Backend,
        watch: SilenceWatch,
        now_s: float,
        late_opening_s: float,
        found: Judgement,
    ) -> None:
        # A server of which only the entry is missing may be cut off from the
        # store and alive.
        is_replaced = backend.is_replaced and self._may_replace
        may_try = watch.judge(
            backend, now_s, late_opening_s, is_replaced=is_replaced
        )
        if is_replaced and watch.health is Health.SUSPECT:
            watch.confirm(now_s)
            found.replaced.append(backend)
        elif may_try and self._may_check:
            found.to_try.append(backend)

    def _may_control(self, other: Backend, backend: Backend) -> bool:
        if other is backend or other.standing is Standing.LAPSED:
            return False
        return self.health(other) is Health.ANSWERING


def _last_answer_s(backend: Backend) -> float:
    return backend.last_answer_s
