"""Whether another balancer may have run a repeatable request of this one."""

from collections.abc import Collection
from typing import Final

from currantshore.internal.views import LiveView

# Ticks come every 50 ms. A pause shorter than this is too short for peers to
# take this process for dead: they wait 2 s for its heartbeats.
PAUSE_LIMIT_S: Final = 1.0

# A re-sent request may follow the first by the time that callers wait.
DOUBT_S: Final = 15.0

# Until then, datagrams that were read after a pause may have waited through it.
_STALE_READ_S: Final = 2.0


class Exclusivity:
    """Tells when "not run" cannot be promised for repeatable requests.

    Another balancer runs a repeatable request when it takes this process for
    dead. This process assumes that this may have happened when it was paused,
    or when it does not see every host of the pool itself.
    """

    __slots__ = ('_doubt_until_s', '_last_s', '_sees_all', '_stale_until_s')

    def __init__(self) -> None:
        """Start without doubt."""
        self._doubt_until_s = float('-inf')
        self._stale_until_s = float('-inf')
        self._last_s: float | None = None
        self._sees_all = True

    def on_time(self, now_s: float, retention_s: float) -> bool:
        """Note the time of a call; ``True`` if the process was paused."""
        last_s = self._last_s
        self._last_s = now_s
        if last_s is None or now_s - last_s <= PAUSE_LIMIT_S:
            return False
        self._doubt_until_s = now_s + DOUBT_S
        if now_s - last_s > retention_s / 2:
            self._stale_until_s = now_s + _STALE_READ_S
        return True

    def on_view(
        self,
        view: LiveView,
        hosts: Collection[str],
        now_s: float,
    ) -> bool:
        """Note the live hosts; ``True`` if one of ``hosts`` is missing."""
        if not self._sees_all:
            self._doubt_until_s = now_s + DOUBT_S
        self._sees_all = all(host_id in view.peers for host_id in hosts)
        return not self._sees_all

    def is_in_doubt(self, now_s: float) -> bool:
        """Tell whether another balancer may run repeatable requests."""
        return not self._sees_all or now_s < self._doubt_until_s

    def is_stale(self, now_s: float) -> bool:
        """Tell whether a datagram may be older than the request logs."""
        return now_s < self._stale_until_s
