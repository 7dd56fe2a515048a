"""Queues the requests of one priority class, round robin between callers."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import Final

from currantshore.internal.requests.runs import Work
from currantshore.internal.snapshot import PriorityClass
from currantshore.wire import Endpoint

# One caller may fill an eighth of a class's queue, and always a few places.
_CALLER_PART: Final = 8
_MIN_CALLER_LIMIT: Final = 4

# Weight of the newest run in the moving average, which covers about 20 runs.
_MEAN_GAIN: Final = 0.05


class ClassQueue:
    """A bounded queue for each caller, served round robin.

    ``used_s`` is the slot time charged against the guaranteed share of the
    class; ``mean_run_s`` is the mean run time, 0 until a run has ended.
    """

    __slots__ = ('_turns', 'mean_run_s', 'priority', 'size', 'used_s')

    def __init__(self, priority: PriorityClass) -> None:
        """Initialize empty."""
        self.priority = priority
        self.size = 0
        self.used_s = 0.0
        self.mean_run_s = 0.0
        self._turns: OrderedDict[Endpoint, deque[Work]] = OrderedDict()

    @property
    def caller_limit(self) -> int:
        """Maximum number of waiting requests of one caller."""
        return max(_MIN_CALLER_LIMIT, self.priority.queue_limit // _CALLER_PART)

    def is_full(self) -> bool:
        """Return whether the class has reached its queue limit."""
        return self.size >= self.priority.queue_limit

    def length(self, caller: Endpoint) -> int:
        """Return the number of waiting requests of ``caller``."""
        return len(self._turns.get(caller, ()))

    def ahead(self, caller: Endpoint) -> int:
        """Estimate how many requests run before a new one of ``caller``."""
        turns = self.length(caller) + 1
        return min(self.size, turns * len(self._turns))

    def push(self, work: Work) -> None:
        """Append ``work`` to its caller's queue."""
        self._turns.setdefault(work.caller, deque()).append(work)
        self.size += 1

    def push_front(self, work: Work) -> None:
        """Put ``work`` back as the next request of the class."""
        self._turns.setdefault(work.caller, deque()).appendleft(work)
        self._turns.move_to_end(work.caller, last=False)
        self.size += 1

    def pop(self) -> Work:
        """Remove and return the next request of the next caller."""
        caller, waiting = next(iter(self._turns.items()))
        work = waiting.popleft()
        self.size -= 1
        if waiting:
            self._turns.move_to_end(caller)
        else:
            self._turns.pop(caller)
        return work

    def remove(self, work: Work) -> bool:
        """Remove ``work``; return ``False`` if it is not in the queue."""
        waiting = self._turns.get(work.caller)
        if waiting is None or work not in waiting:
            return False
        waiting.remove(work)
        self.size -= 1
        if not waiting:
            self._turns.pop(work.caller)
        return True

    def drop_longest(self, than: int) -> Work | None:
        """Remove and return the newest request of the longest caller queue.

        Returns ``None`` if no caller has more than ``than`` requests.
        """
        longest = max(self._turns.values(), key=len, default=None)
        if longest is None or len(longest) <= than:
            return None
        newest = longest[-1]
        self.remove(newest)
        return newest

    def works(self) -> Iterator[Work]:
        """Iterate over the waiting requests."""
        return (work for queue in self._turns.values() for work in queue)

    def drain(self) -> list[Work]:
        """Remove and return all requests."""
        waiting = list(self.works())
        self._turns.clear()
        self.size = 0
        return waiting

    def learn(self, run_s: float) -> None:
        """Update the mean run time by a run of ``run_s`` seconds."""
        if self.mean_run_s:
            self.mean_run_s += (run_s - self.mean_run_s) * _MEAN_GAIN
        else:
            self.mean_run_s = run_s
