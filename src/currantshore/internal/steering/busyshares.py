"""How much of the time an open flow has a request in progress.

The load that this answers: long flows, of which a host knows how many a server
has, but of which only some ask at any moment. What one of them weighs when
servers are compared is the share of open flows that were seen at work, which
is 0.06 where a flow asks once a second for 60 ms, and 1 for a flow of its own
for each request.
"""

from typing import Final, Protocol

from currantshore.internal.steering.mechanisms import Mechanism, SwitchedOff

# Prior, before flows have been looked at: one flow in ten is at work. It has
# given way to what was seen after some dozens of looks.
_PRIOR_LOOKS: Final = 20.0
_PRIOR_AT_WORK: Final = 2.0

# Looks after which older ones count half as much.
_HALVED_LOOKS: Final = 2000.0


class FlowShares(Protocol):
    """Tells how much of a request an open flow counts for."""

    def note(self, service_id: str, *, is_at_work: bool) -> None:
        """Count a look at an open flow of a service."""

    def share(self, service_id: str) -> float:
        """Return the share of a service's open flows that are at work."""


def build_flow_shares(switched_off: SwitchedOff) -> FlowShares:
    """Build what is in force."""
    if Mechanism.BUSY_SHARES in switched_off:
        return EqualShares()
    return BusyShares()


class EqualShares:
    """Counts each open flow as a request; the baseline (least connections)."""

    __slots__ = ()

    def note(self, service_id: str, *, is_at_work: bool) -> None:
        """Learn nothing."""

    def share(self, service_id: str) -> float:
        """Return 1."""
        return 1


class BusyShares:
    """Counts looks at open flows, by service, with falling weights."""

    __slots__ = ('_at_work', '_looks')

    def __init__(self) -> None:
        """Start with the prior."""
        self._looks: dict[str, float] = {}
        self._at_work: dict[str, float] = {}

    def note(self, service_id: str, *, is_at_work: bool) -> None:
        """Count a look at an open flow of a service."""
        looks = self._looks.get(service_id, _PRIOR_LOOKS) + 1
        at_work = self._at_work.get(service_id, _PRIOR_AT_WORK) + is_at_work
        if looks > _HALVED_LOOKS:
            looks /= 2
            at_work /= 2
        self._looks[service_id] = looks
        self._at_work[service_id] = at_work

    def share(self, service_id: str) -> float:
        """Return the share of a service's open flows that are at work."""
        looks = self._looks.get(service_id, _PRIOR_LOOKS)
        return self._at_work.get(service_id, _PRIOR_AT_WORK) / looks
