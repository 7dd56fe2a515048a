"""Stores the verdicts of other balancers about backend servers."""

from collections.abc import Collection
from typing import Final

from currantshore.internal.peerwire import HealthReport

# Down verdicts are repeated to each peer within 80 s while they last.
VOTE_LIFETIME_S: Final = 120.0
QUORUM: Final = 2
_ReportOrder = tuple[int, int]


class Votes:
    """The newest vote of each balancer that considers a server down."""

    __slots__ = ('_down', '_newest')

    def __init__(self) -> None:
        """Initialize without votes."""
        self._down: dict[str, dict[str, float]] = {}
        self._newest: dict[tuple[str, str], _ReportOrder] = {}

    def record(self, report: HealthReport, now_s: float) -> bool:
        """Record the newer verdicts of ``report``; return whether any is."""
        order = (report.incarnation, report.sequence)
        is_new = False
        for backend_id, is_usable in report.verdicts.items():
            pair = (report.sender, backend_id)
            if order <= self._newest.get(pair, (-1, -1)):
                continue
            self._newest[pair] = order
            is_new = True
            self._store(report.sender, backend_id, is_usable, now_s)
        return is_new

    def suspected(self) -> set[str]:
        """Return the ids that another balancer considers down.

        They may include ids whose votes were withdrawn since ``expire``.
        """
        return set(self._down)

    def down_count(self, backend_id: str) -> int:
        """Return how many balancers consider ``backend_id`` down."""
        return len(self._down.get(backend_id, ()))

    def forget(self, senders: Collection[str]) -> None:
        """Drop the votes of hosts whose process is new.

        A new process does not remember the votes of the earlier one.
        """
        for voters in self._down.values():
            for sender in senders:
                voters.pop(sender, None)

    def expire(
        self,
        live: Collection[str],
        backends: Collection[str],
        now_s: float,
    ) -> None:
        """Drop old votes, and those by hosts or about servers that left."""
        for backend_id, voters in list(self._down.items()):
            kept = {
                sender: voted_s
                for sender, voted_s in voters.items()
                if sender in live and now_s - voted_s < VOTE_LIFETIME_S
            }
            if kept and backend_id in backends:
                self._down[backend_id] = kept
            else:
                self._down.pop(backend_id)
        self._newest = {
            pair: order
            for pair, order in self._newest.items()
            if pair[0] in live and pair[1] in backends
        }

    def _store(
        self,
        sender: str,
        backend_id: str,
        is_usable: bool,
        now_s: float,
    ) -> None:
        if is_usable:
            self._down.get(backend_id, {}).pop(sender, None)
        else:
            self._down.setdefault(backend_id, {})[sender] = now_s
