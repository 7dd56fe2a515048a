"""Estimates the share of open flows that have a request in progress.

This is meant for long flows: a host counts the open flows of each backend, but
only some of them have a request in progress at any time. When backends are
compared, an open flow without a request that this host knows of counts as this
fraction of a request. It is 0.06 where flows send one request of 60 ms per
second, and 1 where each request has a flow of its own.
"""

from typing import Final, Protocol

from currantshore.internal.steering.mechanisms import Mechanism, SwitchedOff

# The prior is one busy flow in ten, with the weight of 20 samples. After some
# dozens of samples, the measured share outweighs it.
_PRIOR_SAMPLES: Final = 20.0
_PRIOR_BUSY: Final = 2.0

# After this many samples, the weight of the older ones is halved.
_MAX_SAMPLES: Final = 2000.0


class FlowShares(Protocol):
    """Estimates the number of requests in progress per open flow."""

    def record(self, service_id: str, *, is_busy: bool) -> None:
        """Record whether an open flow of a service has a request."""

    def share(self, service_id: str) -> float:
        """Return the share of a service's open flows with a request."""


def build_flow_shares(switched_off: SwitchedOff) -> FlowShares:
    """Build the estimate, or its baseline where it is switched off."""
    if Mechanism.BUSY_SHARES in switched_off:
        return EqualShares()
    return BusyShares()


class EqualShares:
    """Counts each open flow as a request; the baseline (least connections)."""

    __slots__ = ()

    def record(self, service_id: str, *, is_busy: bool) -> None:
        """Ignore the sample."""

    def share(self, service_id: str) -> float:
        """Return 1."""
        return 1


class BusyShares:
    """Shares of busy flows by service, with less weight on old samples."""

    __slots__ = ('_busy', '_samples')

    def __init__(self) -> None:
        """Initialize every service with the prior."""
        self._samples: dict[str, float] = {}
        self._busy: dict[str, float] = {}

    def record(self, service_id: str, *, is_busy: bool) -> None:
        """Record whether an open flow of a service has a request."""
        samples = self._samples.get(service_id, _PRIOR_SAMPLES) + 1
        busy = self._busy.get(service_id, _PRIOR_BUSY) + is_busy
        if samples > _MAX_SAMPLES:
            samples /= 2
            busy /= 2
        self._samples[service_id] = samples
        self._busy[service_id] = busy

    def share(self, service_id: str) -> float:
        """Return the share of a service's open flows with a request."""
        samples = self._samples.get(service_id, _PRIOR_SAMPLES)
        return self._busy.get(service_id, _PRIOR_BUSY) / samples
