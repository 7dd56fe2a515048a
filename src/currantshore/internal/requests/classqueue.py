"""The waiting requests of one priority class; its callers take turns."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import Final

from currantshore.internal.requests.runs import Work
from currantshore.internal.snapshot import PriorityClass
from currantshore.wire import Endpoint

# One caller may hold an eighth of a class's queue, but always a few places.
_CALLER_PART: Final = 8
_MIN_CALLER_LIMIT: Final = 4

# Weight of the newest run in the mean run time: about the last 20 runs.
_MEAN_GAIN: Final = 0.05


class ClassQueue:
    """A bounded queue for each caller, served in turns.

    ``used_s`` is the slot time that the class has used, counted against its
    guaranteed share; ``mean_run_s`` is 0 until a run has ended.
    """

    __slots__ = ('_turns', 'mean_run_s', 'priority', 'size', 'used_s')

    def __init__(self, priority: PriorityClass) -> None:
        """Start empty."""
        self.priority = priority
        self.size = 0
        self.used_s = 0.0
        self.mean_run_s = 0.0
        self._turns: OrderedDict[Endpoint, deque[Work]] = OrderedDict()

    @property
    def caller_limit(self) -> int:
        """Most requests of one caller that may wait."""
        return max(_MIN_CALLER_LIMIT, self.priority.queue_limit // _CALLER_PART)

    def is_full(self) -> bool:
        """Tell whether the whole class may not queue more."""
        return self.size >= self.priority.queue_limit

    def length(self, caller: Endpoint) -> int:
        """Return how many requests of ``caller`` wait."""
        return len(self._turns.get(caller, ()))

    def ahead(self, caller: Endpoint) -> int:
        """Return about how many requests run before a new one."""
        turns = self.length(caller) + 1
        return min(self.size, turns * len(self._turns))

    def push(self, work: Work) -> None:
        """Put ``work`` last in its caller's queue."""
        self._turns.setdefault(work.caller, deque()).append(work)
        self.size += 1

    def push_front(self, work: Work) -> None:
        """Put ``work`` back as the next one of the class."""
        self._turns.setdefault(work.caller, deque()).appendleft(work)
        self._turns.move_to_end(work.caller, last=False)
        self.size += 1

    def pop(self) -> Work:
        """Take the next request of the caller whose turn it is."""
        caller, waiting = next(iter(self._turns.items()))
        work = waiting.popleft()
        self.size -= 1
        if waiting:
            self._turns.move_to_end(caller)
        else:
            self._turns.pop(caller)
        return work

    def remove(self, work: Work) -> bool:
        """Take ``work`` out of the queue; ``False`` if it is not in it."""
        waiting = self._turns.get(work.caller)
        if waiting is None or work not in waiting:
            return False
        waiting.remove(work)
        self.size -= 1
        if not waiting:
            self._turns.pop(work.caller)
        return True

    def drop_longest(self, than: int) -> Work | None:
        """Take the newest request of the caller with the most requests.

        Returns ``None`` if no caller has more than ``than`` of them.
        """
        longest = max(self._turns.values(), key=len, default=None)
        if longest is None or len(longest) <= than:
            return None
        newest = longest[-1]
        self.remove(newest)
        return newest

    def works(self) -> Iterator[Work]:
        """Go through the waiting requests."""
        return (work for queue in self._turns.values() for work in queue)

    def drain(self) -> list[Work]:
        """Take every request out."""
        waiting = list(self.works())
        self._turns.clear()
        self.size = 0
        return waiting

    def learn(self, run_s: float) -> None:
        """Update the mean run time."""
        if self.mean_run_s:
            self.mean_run_s += (run_s - self.mean_run_s) * _MEAN_GAIN
        else:
            self.mean_run_s = run_s
