"""What a balancer tells its peers about backend servers."""

from collections.abc import Collection, Iterator, Mapping
from itertools import islice
from typing import Final

from currantshore.internal.peerwire import HealthReport

# Keeps a report with ids of 16 bytes under 800 bytes.
_MAX_VERDICTS: Final = 40
# A lost return is made good by repeating it to each peer once.
_RETURN_MEMORY_S: Final = 90.0


class Reports:
    """Verdicts that the peers were told, and the order of the reports."""

    __slots__ = ('_host_id', '_sequence', '_told')

    def __init__(self, host_id: str) -> None:
        """Start as having told that everything is usable."""
        self._host_id = host_id
        self._sequence = 0
        self._told: dict[str, tuple[bool, float]] = {}

    def take_changed(
        self,
        down: Collection[str],
        now_s: float,
    ) -> dict[str, bool]:
        """Return the verdicts that differ from what the peers were told."""
        changed: dict[str, bool] = {}
        for backend_id in sorted(self._told.keys() | set(down)):
            is_usable = backend_id not in down
            told, _ = self._told.get(backend_id, (True, now_s))
            if told != is_usable:
                self._told[backend_id] = (is_usable, now_s)
                changed[backend_id] = is_usable
        return changed

    def lasting(self, now_s: float) -> dict[str, bool]:
        """Return what peers must hear that have missed it."""
        self._told = {
            backend_id: (is_usable, since_s)
            for backend_id, (is_usable, since_s) in self._told.items()
            if not is_usable or now_s - since_s < _RETURN_MEMORY_S
        }
        return {known: told[0] for known, told in self._told.items()}

    def forget(self, backend_id: str) -> None:
        """Drop a backend server that was removed."""
        self._told.pop(backend_id, None)

    def build(
        self,
        verdicts: Mapping[str, bool],
        incarnation: int,
    ) -> Iterator[HealthReport]:
        """Return reports of all verdicts, each of bounded size.

        Backend ids are unique in a pool, so one report may cover several
        services and names none.
        """
        pending = iter(sorted(verdicts.items()))
        while chunk := dict(islice(pending, _MAX_VERDICTS)):
            self._sequence += 1
            yield HealthReport(
                sender=self._host_id,
                service_id='',
                verdicts=chunk,
                incarnation=incarnation,
                sequence=self._sequence,
            )
