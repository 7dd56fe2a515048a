"""When a host that has started may be sent packets.

What a host lists at its start may be seconds old and name servers that have
left. It waits to be told that it holds what the store holds, unless nobody can
tell it: while the store is away, a host that holds what others hold serves.
"""

from typing import Final

# A host that holds everything waits this long to be confirmed as up to
# date: two rounds of digests.
CONFIRM_PATIENCE_S: Final = 1.0


class Readiness:
    """Decides once; what becomes old later takes no host out of service."""

    __slots__ = ('_complete_s', 'is_reached')

    def __init__(self) -> None:
        """Start with a host that holds nothing."""
        self._complete_s = 0.0
        self.is_reached = False

    def decide(
        self,
        *,
        is_complete: bool,
        is_current: bool,
        now_s: float,
    ) -> bool:
        """Tell whether the host may be sent packets.

        ``is_complete`` tells whether it holds a list of servers and a
        configuration, ``is_current`` whether they are confirmed as up to date.
        """
        if self.is_reached or not is_complete:
            return self.is_reached
        self._complete_s = self._complete_s or now_s
        is_patient = now_s - self._complete_s < CONFIRM_PATIENCE_S
        self.is_reached = is_current or not is_patient
        return self.is_reached
