"""Decides whether another balancer may have run this balancer's requests."""

from collections.abc import Collection
from typing import Final

from currantshore.internal.views import LiveView

# The process ticks every 50 ms, so a longer gap between calls is a pause.
# Peers wait 2 s for heartbeats, so they do not declare this process dead after
# a pause of less than 1 s.
PAUSE_LIMIT_S: Final = 1.0

# A re-sent request may arrive elsewhere until this long after a pause or an
# incomplete view: the time that callers wait for an outcome.
RESEND_WINDOW_S: Final = 15.0

# After a pause of more than half the retention time of the request logs,
# datagrams read within this time may have been queued during the pause.
_STALE_READ_S: Final = 2.0


class Exclusivity:
    """Decides when "not run" cannot be promised for repeatable requests.

    Another balancer runs a repeatable request of this process when it
    considers this process dead. This process assumes that this may have
    happened after it was paused or while its own live view lacks a host of the
    pool.
    """

    __slots__ = (
        '_last_call_s',
        '_sees_all_hosts',
        '_stale_until_s',
        '_uncertain_until_s',
    )

    def __init__(self) -> None:
        """Assume that no other balancer runs requests of this process."""
        self._uncertain_until_s = float('-inf')
        self._stale_until_s = float('-inf')
        self._last_call_s: float | None = None
        self._sees_all_hosts = True

    def record_time(self, now_s: float, retention_s: float) -> bool:
        """Record the time of a call; return whether the process was paused."""
        last_s = self._last_call_s
        self._last_call_s = now_s
        if last_s is None or now_s - last_s <= PAUSE_LIMIT_S:
            return False
        self._uncertain_until_s = now_s + RESEND_WINDOW_S
        if now_s - last_s > retention_s / 2:
            self._stale_until_s = now_s + _STALE_READ_S
        return True

    def on_view(
        self,
        view: LiveView,
        hosts: Collection[str],
        now_s: float,
    ) -> bool:
        """Apply a live view; return whether one of ``hosts`` is missing."""
        if not self._sees_all_hosts:
            self._uncertain_until_s = now_s + RESEND_WINDOW_S
        self._sees_all_hosts = all(host_id in view.peers for host_id in hosts)
        return not self._sees_all_hosts

    def may_run_elsewhere(self, now_s: float) -> bool:
        """Return whether another balancer may run repeatable requests too."""
        return not self._sees_all_hosts or now_s < self._uncertain_until_s

    def may_be_stale(self, now_s: float) -> bool:
        """Return whether a datagram may be older than the request logs."""
        return now_s < self._stale_until_s
