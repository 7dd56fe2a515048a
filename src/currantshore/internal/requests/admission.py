"""Admits requests of a service to its queues and selects the next to run."""

import dataclasses
import math
from collections.abc import Iterable, Sequence
from typing import Final

from currantshore.codes import ResultCode
from currantshore.internal.requests.classqueue import ClassQueue
from currantshore.internal.requests.runs import Work
from currantshore.internal.snapshot import PriorityClass

# Time constant of the decay of the slot time that is counted against the
# guaranteed shares.
_SHARE_WINDOW_S: Final = 5.0

# An idle class accumulates credit for this long. Without credit, a class with
# bursty load gets less than its share; see docs/measurements/overload.md.
_MAX_CREDIT_S: Final = 0.5

# Shares are raised by up to this factor, because randomly arriving requests
# with deadlines need more than their mean slot time; see
# docs/measurements/overload.md.
_MAX_SHARE_FACTOR: Final = 1.3

# Charged for a run until the class has a mean run time.
_ASSUMED_RUN_S: Final = 0.02

_MS_PER_S: Final = 1000
_MIN_RETRY_AFTER_MS: Final = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A request that is refused instead of queued.

    ``work`` is the offered request or an older one dropped in its place.
    """

    work: Work
    code: ResultCode
    retry_after_ms: int


class AdmissionQueue:
    """The queues of one service, one for each priority class.

    Classes below their guaranteed share are served first, in order of urgency,
    then the most urgent class with waiting requests. Shares are measured in
    slot time, so a class with long runs gets no more than one with short runs.
    An idle class accumulates at most 0.5 s of its share; with more it could
    block urgent requests for seconds.
    """

    __slots__ = ('_classes', '_decayed_s', '_share_factor', '_total_s')

    def __init__(self) -> None:
        """Initialize without classes."""
        self._classes: dict[str, ClassQueue] = {}
        self._decayed_s = 0.0
        self._total_s = 0.0
        self._share_factor = 1.0

    def __bool__(self) -> bool:
        """Return whether any request is waiting."""
        for queue in self._classes.values():
            if queue.size:
                return True
        return False

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(queue.size for queue in self._classes.values())

    def configure(self, classes: Sequence[PriorityClass]) -> list[Work]:
        """Apply ``classes``; return the requests of removed classes."""
        previous = self._classes
        self._classes = {}
        for priority in sorted(classes, key=lambda each: each.urgency):
            queue = previous.pop(priority.name, None) or ClassQueue(priority)
            queue.priority = priority
            self._classes[priority.name] = queue
        shares = sum(each.guaranteed_share_ratio for each in classes)
        self._share_factor = min(_MAX_SHARE_FACTOR, 1 / shares) if shares else 1
        return [work for queue in previous.values() for work in queue.drain()]

    def offer(self, work: Work, slots: int, now_s: float) -> Rejection | None:
        """Queue ``work``; return the request to refuse, if any.

        ``slots`` is the maximum number of concurrent runs.
        """
        queue = self._classes.get(work.request.priority_class)
        if queue is None:
            return Rejection(work, ResultCode.UNKNOWN_PRIORITY_CLASS, 0)
        wait_s = self.wait_s(work, slots)
        code = self._find_refusal(queue, work, wait_s, now_s)
        if code is not None:
            return Rejection(work, code, _retry_after_ms(wait_s))
        rejection = None
        if queue.is_full():
            rejection = _make_room(queue, work, wait_s)
        if rejection is None or rejection.work is not work:
            self._limit_credit(queue, slots)
            queue.push(work)
        return rejection

    def wait_s(self, work: Work, slots: int) -> float:
        """Estimate how long ``work`` would wait for a slot."""
        own = self._classes.get(work.request.priority_class)
        if own is None or not len(self):
            return 0
        own_s = own.count_ahead(work.caller) * own.mean_run_s
        urgent_s = 0.0
        reserved = 0.0
        for queue in self._classes.values():
            if not queue.size or queue is own:
                continue
            if queue.priority.urgency < own.priority.urgency:
                urgent_s += queue.size * queue.mean_run_s
            else:
                reserved += queue.priority.guaranteed_share_ratio
        open_ratio = max(1 - reserved, own.priority.guaranteed_share_ratio)
        by_urgency_s = (urgent_s + own_s) / (slots * open_ratio or 1)
        share = own.priority.guaranteed_share_ratio * self._share_factor
        if not share:
            return by_urgency_s
        credit_s = max(self._entitled_s(own) - own.used_s, 0)
        return min(by_urgency_s, max(own_s - credit_s, 0) / (slots * share))

    def pop_next(self) -> Work | None:
        """Remove and return the request that runs next."""
        queue = self._next_class()
        if queue is None:
            return None
        return queue.pop()

    def requeue(self, works: Iterable[Work]) -> None:
        """Put requests back at the front to run now or to be retried."""
        for work in works:
            queue = self._classes.get(work.request.priority_class)
            if queue is not None:
                queue.push_front(work)

    def withdraw(self, work: Work) -> bool:
        """Remove ``work``; return ``False`` if it is not waiting."""
        queue = self._classes.get(work.request.priority_class)
        return queue is not None and queue.remove(work)

    def remove_late(self, now_s: float) -> list[Work]:
        """Remove and return the requests that cannot meet their deadline."""
        late = [
            work
            for queue in self._classes.values()
            for work in queue.works()
            if self.is_too_late(work, now_s)
        ]
        for work in late:
            self.withdraw(work)
        return late

    def is_too_late(self, work: Work, now_s: float) -> bool:
        """Return whether ``work`` can no longer finish by its deadline."""
        queue = self._classes.get(work.request.priority_class)
        needed_s = queue.mean_run_s if queue else 0
        # A request that did not wait is not refused because of the mean run
        # time. If every request with a short deadline were refused, the mean
        # run time could never fall.
        if work.arrived_s >= now_s:
            needed_s = 0
        return work.deadline_s - now_s <= needed_s

    def can_requeue(self, work: Work, now_s: float) -> bool:
        """Return whether ``work`` may be put back and can finish in time."""
        known = work.request.priority_class in self._classes
        return known and not self.is_too_late(work, now_s)

    def drain(self) -> list[Work]:
        """Remove and return all waiting requests."""
        return [
            work for queue in self._classes.values() for work in queue.drain()
        ]

    def on_start(self, work: Work, now_s: float) -> None:
        """Charge the expected slot time to the class."""
        queue = self._classes.get(work.request.priority_class)
        if queue is not None:
            self._decay(now_s)
            work.charged_s = queue.mean_run_s or _ASSUMED_RUN_S
            self._total_s += work.charged_s
            # A class may use slot time above its share while other classes
            # leave it free. This must not reduce its share in a later flood.
            max_used_s = self._entitled_s(queue) + work.charged_s
            queue.used_s = min(queue.used_s + work.charged_s, max_used_s)

    def on_end(self, work: Work, run_s: float, *, is_answered: bool) -> None:
        """Replace the charge by the actual slot time of the run."""
        queue = self._classes.get(work.request.priority_class)
        if queue is not None:
            excess_s = run_s - work.charged_s
            queue.used_s = max(queue.used_s + excess_s, 0)
            self._total_s = max(self._total_s + excess_s, 0)
            if is_answered:
                queue.record_run(run_s)

    def _find_refusal(
        self,
        queue: ClassQueue,
        work: Work,
        wait_s: float,
        now_s: float,
    ) -> ResultCode | None:
        left_s = work.deadline_s - now_s
        if left_s <= 0:
            return ResultCode.DEADLINE_PASSED
        if queue.caller_length(work.caller) >= queue.caller_limit:
            return ResultCode.CALLER_LIMIT
        if wait_s and wait_s + queue.mean_run_s > left_s:
            return ResultCode.DEADLINE_TOO_SHORT
        return None

    def _limit_credit(self, queue: ClassQueue, slots: int) -> None:
        if not queue.size:
            share = queue.priority.guaranteed_share_ratio
            min_used_s = self._entitled_s(queue) - share * slots * _MAX_CREDIT_S
            queue.used_s = max(queue.used_s, min_used_s)

    def _entitled_s(self, queue: ClassQueue) -> float:
        """Return the slot time of the raised guaranteed share."""
        share = queue.priority.guaranteed_share_ratio * self._share_factor
        return self._total_s * share

    def _next_class(self) -> ClassQueue | None:
        waiting = [queue for queue in self._classes.values() if queue.size]
        for queue in waiting:
            if queue.used_s < self._entitled_s(queue):
                return queue
        return waiting[0] if waiting else None

    def _decay(self, now_s: float) -> None:
        factor = math.exp((self._decayed_s - now_s) / _SHARE_WINDOW_S)
        self._decayed_s = now_s
        self._total_s *= factor
        for queue in self._classes.values():
            queue.used_s *= factor


def _make_room(queue: ClassQueue, work: Work, wait_s: float) -> Rejection:
    # Drops a request of the caller with the most waiting requests, so that one
    # caller cannot fill a class and lock out the others.
    dropped = queue.drop_from_longest(queue.caller_length(work.caller) + 1)
    return Rejection(
        dropped or work,
        ResultCode.QUEUE_FULL,
        _retry_after_ms(wait_s),
    )


def _retry_after_ms(wait_s: float) -> int:
    return max(_MIN_RETRY_AFTER_MS, int(wait_s * _MS_PER_S))
