"""Builds the reports of a balancer about backend servers."""

from collections.abc import Collection, Iterator, Mapping
from itertools import islice
from typing import Final

from currantshore.internal.peerwire import HealthReport

# Keeps a report with ids of 16 bytes under 800 bytes.
_MAX_VERDICTS: Final = 40
# A recovery is repeated for this long, so that each peer receives it once more
# in case the first report was lost.
_RECOVERY_REPEAT_S: Final = 90.0


class Reports:
    """Verdicts that were reported to the peers, and the report sequence."""

    __slots__ = ('_host_id', '_reported', '_sequence')

    def __init__(self, host_id: str) -> None:
        """Initialize; peers regard unreported backend servers as usable."""
        self._host_id = host_id
        self._sequence = 0
        self._reported: dict[str, tuple[bool, float]] = {}

    def pop_changed(
        self,
        down: Collection[str],
        now_s: float,
    ) -> dict[str, bool]:
        """Return the verdicts that changed, and count them as reported."""
        changed: dict[str, bool] = {}
        for backend_id in sorted(self._reported.keys() | set(down)):
            is_usable = backend_id not in down
            reported, _ = self._reported.get(backend_id, (True, now_s))
            if reported != is_usable:
                self._reported[backend_id] = (is_usable, now_s)
                changed[backend_id] = is_usable
        return changed

    def verdicts_to_repeat(self, now_s: float) -> dict[str, bool]:
        """Return the verdicts to repeat, in case a peer missed them."""
        self._reported = {
            backend_id: (is_usable, since_s)
            for backend_id, (is_usable, since_s) in self._reported.items()
            if not is_usable or now_s - since_s < _RECOVERY_REPEAT_S
        }
        return {
            backend_id: reported[0]
            for backend_id, reported in self._reported.items()
        }

    def forget(self, backend_id: str) -> None:
        """Drop a backend server that was removed."""
        self._reported.pop(backend_id, None)

    def build(
        self,
        verdicts: Mapping[str, bool],
        incarnation: int,
    ) -> Iterator[HealthReport]:
        """Return reports of all verdicts, each of bounded size.

        Backend ids are unique in a pool, so one report may cover several
        services, and its service id is empty.
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
