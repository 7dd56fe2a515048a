"""Stores the newest gossiped state of each host of the pool.

The states of a host are ordered by (incarnation, counter): a process raises
its counter with each heartbeat, and a new process has a higher incarnation.
"""

from typing import Final

from currantshore.internal import chartloader
from currantshore.internal.hashing import short_hash

_CHART: Final = chartloader.load('host')
_LIVE_STATES: Final = frozenset(('live', 'leaving'))
_LEAVING_STATES: Final = frozenset(('leaving', 'left'))


class Member:
    """The newest known state of one host of the pool.

    ``counter`` may come from any heartbeat, ``status_counter`` is that of the
    host's own last heartbeat. ``digest`` is that of the host's configuration,
    ``prepared_digest`` of the one that it has prepared, and
    ``draining_digest`` of the one to which ``draining`` belongs.
    """

    __slots__ = (
        'counter',
        'demands',
        'digest',
        'draining',
        'draining_digest',
        'host_id',
        'incarnation',
        'is_warm',
        'key',
        'last_rise_s',
        'live_since_s',
        'prepared_digest',
        'probed_s',
        'replied_s',
        'first_probe_count',
        'state',
        'status_counter',
        'successor',
        'zone',
    )

    def __init__(self, host_id: str, zone: str) -> None:
        """Initialize as a host without any heartbeat yet."""
        self.host_id = host_id
        self.zone = zone
        self.key = short_hash(host_id)
        self.incarnation = -1
        self.counter = -1
        self.state = _CHART.initial
        self.last_rise_s = float('-inf')
        self.live_since_s = float('-inf')
        self.probed_s = float('-inf')
        self.replied_s = float('-inf')
        self.first_probe_count = 0
        self.reset_status()

    @property
    def is_live(self) -> bool:
        """Return whether the counter has risen recently."""
        return self.state in _LIVE_STATES

    @property
    def is_leaving(self) -> bool:
        """Return whether the process has announced that it leaves."""
        return self.state in _LEAVING_STATES

    def apply_event(self, event: str) -> None:
        """Apply an event of the host chart."""
        self.state = _CHART.next_state(self.state, event)

    def reset_status(self) -> None:
        """Reset the status reported by an earlier process of the host."""
        self.status_counter = -1
        self.is_warm = False
        self.prepared_digest = 0
        self.digest = 0
        self.demands: dict[str, int] = {}
        self.successor = ''
        self.draining: dict[str, int] | None = None
        self.draining_digest = 0

    def update_counter(
        self, incarnation: int, counter: int, now_s: float
    ) -> bool:
        """Apply a newer (incarnation, counter); return ``False`` if older."""
        if (incarnation, counter) <= (self.incarnation, self.counter):
            return False
        if incarnation > self.incarnation:
            self.reset_status()
            self.apply_event('restart')
            self.incarnation = incarnation
            self.live_since_s = now_s
        if not self.is_live:
            self.live_since_s = now_s
        self.counter = counter
        self.last_rise_s = now_s
        self.apply_event('rise')
        return True
