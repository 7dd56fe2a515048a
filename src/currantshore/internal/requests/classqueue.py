"""Queues the requests of one priority class, round robin between callers."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import Final

from currantshore.internal.requests.runs import Work
from currantshore.internal.snapshot import PriorityClass
from currantshore.wire import Endpoint

# One caller may fill an eighth of a class's queue, and always a few places.
_CALLER_LIMIT_DIVISOR: Final = 8
_MIN_CALLER_LIMIT: Final = 4

# Weight of the newest run in the moving average, which covers about 20 runs.
_MEAN_GAIN: Final = 0.05


class ClassQueue:
    """A queue for each caller, served round robin.

    ``AdmissionQueue`` enforces the limits before it adds a request.
    ``used_s`` is the slot time charged against the guaranteed share of the
    class; ``mean_run_s`` is the mean run time, 0 until a run has ended.
    """

    __slots__ = ('_queues', 'mean_run_s', 'priority', 'size', 'used_s')

    def __init__(self, priority: PriorityClass) -> None:
        """Initialize empty."""
        self.priority = priority
        self.size = 0
        self.used_s = 0.0
        self.mean_run_s = 0.0
        self._queues: OrderedDict[Endpoint, deque[Work]] = OrderedDict()

    @property
    def caller_limit(self) -> int:
        """Maximum number of waiting requests of one caller."""
        return max(
            _MIN_CALLER_LIMIT,
            self.priority.queue_limit // _CALLER_LIMIT_DIVISOR,
        )

    def is_full(self) -> bool:
        """Return whether the class has reached its queue limit."""
        return self.size >= self.priority.queue_limit

    def caller_length(self, caller: Endpoint) -> int:
        """Return the number of waiting requests of ``caller``."""
        return len(self._queues.get(caller, ()))

    def count_ahead(self, caller: Endpoint) -> int:
        """Estimate how many requests run before a new one of ``caller``."""
        rounds = self.caller_length(caller) + 1
        return min(self.size, rounds * len(self._queues))

    def push(self, work: Work) -> None:
        """Append ``work`` to its caller's queue."""
        self._queues.setdefault(work.caller, deque()).append(work)
        self.size += 1

    def push_front(self, work: Work) -> None:
        """Put ``work`` back as the next request of the class."""
        self._queues.setdefault(work.caller, deque()).appendleft(work)
        self._queues.move_to_end(work.caller, last=False)
        self.size += 1

    def pop(self) -> Work:
        """Remove and return the next request of the next caller."""
        caller, waiting = next(iter(self._queues.items()))
        work = waiting.popleft()
        self.size -= 1
        if waiting:
            self._queues.move_to_end(caller)
        else:
            self._queues.pop(caller)
        return work

    def remove(self, work: Work) -> bool:
        """Remove ``work``; return ``False`` if it is not in the queue."""
        waiting = self._queues.get(work.caller)
        if waiting is None or work not in waiting:
            return False
        waiting.remove(work)
        self.size -= 1
        if not waiting:
            self._queues.pop(work.caller)
        return True

    def drop_from_longest(self, above: int) -> Work | None:
        """Remove and return the newest request of the longest caller queue.

        Returns ``None`` if no caller has more than ``above`` requests.
        """
        longest = max(self._queues.values(), key=len, default=None)
        if longest is None or len(longest) <= above:
            return None
        newest = longest[-1]
        self.remove(newest)
        return newest

    def works(self) -> Iterator[Work]:
        """Iterate over the waiting requests."""
        return (work for queue in self._queues.values() for work in queue)

    def drain(self) -> list[Work]:
        """Remove and return all requests."""
        waiting = list(self.works())
        self._queues.clear()
        self.size = 0
        return waiting

    def record_run(self, run_s: float) -> None:
        """Update the mean run time by a run of ``run_s`` seconds."""
        if self.mean_run_s:
            self.mean_run_s += (run_s - self.mean_run_s) * _MEAN_GAIN
        else:
            self.mean_run_s = run_s
