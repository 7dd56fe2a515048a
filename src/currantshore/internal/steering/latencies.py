"""Counts latencies in a histogram for the metrics page."""

import bisect
from collections.abc import Iterator
from typing import Final

# The upper bounds double from a round trip within a zone to the longest
# deadline of a request.
BOUNDS_S: Final = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56)


class LatencyHistogram:
    """A histogram with fixed bounds."""

    __slots__ = ('_counts', 'total_s')

    def __init__(self) -> None:
        """Initialize an empty histogram."""
        self._counts = [0 for _ in (*BOUNDS_S, None)]
        self.total_s = 0.0

    def add(self, latency_s: float) -> None:
        """Count one latency."""
        self._counts[bisect.bisect_left(BOUNDS_S, latency_s)] += 1
        self.total_s += latency_s

    def cumulative(self) -> Iterator[tuple[str, float]]:
        """Yield (upper bound, count up to it); the last bound is ``+Inf``."""
        count = 0
        for bound_s, bucket_count in zip(
            (*BOUNDS_S, None), self._counts, strict=True
        ):
            count += bucket_count
            yield '+Inf' if bound_s is None else str(bound_s), count
