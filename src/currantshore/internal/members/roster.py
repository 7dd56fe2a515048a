"""What gossip says about each host of the pool.

A host is ordered by (incarnation, counter): a process raises its counter with
each heartbeat, and a new process has a higher incarnation.
"""

from typing import Final

from currantshore.internal import chartloader
from currantshore.internal.hashing import short_hash

_CHART: Final = chartloader.load('host')
_LIVE_STATES: Final = frozenset(('live', 'leaving'))
_LEAVING_STATES: Final = frozenset(('leaving', 'left'))


class Member:
    """The newest known state of one host of the pool."""

    __slots__ = (
        'appeared_s',
        'counter',
        'demands',
        'draining',
        'draining_digest',
        'digest',
        'host_id',
        'incarnation',
        'is_warm',
        'key',
        'last_rise_s',
        'prepared_digest',
        'queried_s',
        'replied_s',
        'search_count',
        'state',
        'status_counter',
        'successor',
        'zone',
    )

    def __init__(self, host_id: str, zone: str) -> None:
        """Start as a host of which nothing was heard."""
        self.host_id = host_id
        self.zone = zone
        self.key = short_hash(host_id)
        self.incarnation = -1
        self.counter = -1
        self.state = _CHART.initial
        self.last_rise_s = float('-inf')
        self.appeared_s = float('-inf')
        self.queried_s = float('-inf')
        self.replied_s = float('-inf')
        self.search_count = 0
        self.reset_status()

    @property
    def is_live(self) -> bool:
        """Tell whether its counter has risen recently."""
        return self.state in _LIVE_STATES

    @property
    def is_leaving(self) -> bool:
        """Tell whether its process has announced its leave."""
        return self.state in _LEAVING_STATES

    def move(self, event: str) -> None:
        """Apply an event of the host chart."""
        self.state = _CHART.next_state(self.state, event)

    def reset_status(self) -> None:
        """Forget what an earlier process of the host reported."""
        self.status_counter = -1
        self.is_warm = False
        self.prepared_digest = 0
        self.digest = 0
        self.demands: dict[str, int] = {}
        self.successor = ''
        self.draining: dict[str, int] | None = None
        self.draining_digest = 0

    def rise(self, incarnation: int, counter: int, now_s: float) -> bool:
        """Take over a newer (incarnation, counter); tell whether it was."""
        if (incarnation, counter) <= (self.incarnation, self.counter):
            return False
        if incarnation > self.incarnation:
            self.reset_status()
            self.move('restart')
            self.incarnation = incarnation
            self.appeared_s = now_s
        if not self.is_live:
            self.appeared_s = now_s
        self.counter = counter
        self.last_rise_s = now_s
        self.move('rise')
        return True
