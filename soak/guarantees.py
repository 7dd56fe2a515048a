"""Checks guarantees of the system from what callers and backends receive."""

import bisect
import dataclasses
from collections.abc import Iterable
from typing import Final

from standins.packetends import PacketBackend

# Required bounds: a drain and a configuration are in force within 3 s on hosts,
# backends and a store that no fault has disturbed for 4 s.
IN_FORCE_S: Final = 3.0
UNDISTURBED_S: Final = 4.0

# On a busy machine, this process may receive a packet late that was sent in
# time.
_TOLERANCE_S: Final = 0.5


@dataclasses.dataclass(slots=True)
class Disturbances:
    """Times of the last fault; by address for hosts, by name for backends."""

    hosts_s: dict[str, float] = dataclasses.field(default_factory=dict)
    backends_s: dict[str, float] = dataclasses.field(default_factory=dict)
    store_s: float = 0.0

    def is_host_undisturbed(
        self, host: str, since_s: float, now_s: float
    ) -> bool:
        """Return whether the host and the store were undisturbed.

        The last fault must precede ``since_s`` and be more than
        ``UNDISTURBED_S`` before ``now_s``.
        """
        disturbed_s = max(self.hosts_s.get(host, 0), self.store_s)
        return disturbed_s < min(since_s, now_s - UNDISTURBED_S)


class GuaranteeChecker:
    """Checks guarantees and collects one message for each broken one."""

    def __init__(self, disturbances: Disturbances) -> None:
        """Allow for the faults whose times ``disturbances`` records."""
        self.broken: list[str] = []
        self.checked = 0
        self._disturbances = disturbances

    def check(self, is_kept: bool, message: str) -> None:
        """Count a check; record ``message`` unless the guarantee is kept."""
        self.checked += 1
        if not is_kept:
            self.broken.append(message)

    def check_answer(self, flow: str, request: bytes, answer: bytes) -> None:
        """Check that an answer is complete and matches the flow's request."""
        is_own = answer.partition(b':')[2] == request
        self.check(is_own, f'{flow}: asked {request!r}, got {answer!r}')

    def check_reset(self, flow: str, backend: str, now_s: float) -> None:
        """Check that an open flow is reset only after a backend fault."""
        disturbed_s = self._disturbances.backends_s.get(backend, 0)
        is_allowed = now_s - disturbed_s < UNDISTURBED_S
        self.check(
            is_allowed,
            f'{flow}: reset at {now_s:.2f} while {backend} serves',
        )

    def check_backends(
        self,
        backends: Iterable[PacketBackend],
        ports: dict[str, set[int]],
    ) -> None:
        """Check that backends got no packets of other services or flows."""
        for backend in backends:
            self.check(
                not backend.strangers,
                f'{backend.name}: {backend.strangers} packets of others',
            )
            foreign_ports = {
                opening.service_port for opening in backend.openings
            }
            foreign_ports -= ports[backend.name]
            self.check(
                not foreign_ports, f'{backend.name}: opened for {foreign_ports}'
            )

    def check_out_of_use(
        self,
        backend: PacketBackend,
        cause: str,
        accepted_s: float,
        until_s: float,
    ) -> None:
        """Check that undisturbed hosts open no flow on a backend.

        The store accepted ``cause``, a drain or an evacuation, at
        ``accepted_s``; it ended at ``until_s``.
        """
        for opening in backend.openings:
            is_late = (
                accepted_s + IN_FORCE_S + _TOLERANCE_S < opening.at_s < until_s
            )
            if is_late and self._disturbances.is_host_undisturbed(
                opening.entry_host, accepted_s, opening.at_s
            ):
                late_s = opening.at_s - accepted_s
                self.check(
                    False,
                    f'{backend.name}: opening {late_s:.2f} s after {cause}, '
                    f'through {opening.entry_host}',
                )
        self.checked += 1

    def check_warmup(
        self,
        backend: PacketBackend,
        started_s: float,
        warm_s: float,
        most: float,
    ) -> None:
        """Check the openings of a cold backend in each second.

        All hosts count, disturbed or not, but for the openings that had been
        sent before the start.
        """
        times_s = sorted(
            opening.at_s
            for opening in backend.openings
            if started_s + _TOLERANCE_S < opening.at_s < warm_s
        )
        for place, time_s in enumerate(times_s):
            count = bisect.bisect_left(times_s, time_s + 1) - place
            self.check(
                count <= most,
                f'{backend.name}: {count} openings in the second from '
                f'{time_s - started_s:.2f} s after its start',
            )
