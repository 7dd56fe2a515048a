"""Stores the known flows of one service, in two generations.

A flow is identified by its fingerprint, the low 40 bits of its key. They
include the bucket, so two flows with the same fingerprint are in the same
bucket of every table, and a handover needs only five bytes for a flow.

Expiry checks no single flow: once per idle timeout, the current generation
becomes the previous one, and the previous one is dropped. A flow with a packet
moves to the current generation, so a flow is kept for one to two idle timeouts
after its last packet.
"""

from collections import Counter
from collections.abc import Iterator
from typing import Final

FINGERPRINT_SIZE_BYTES: Final = 5
FINGERPRINT_MASK: Final = (1 << 40) - 1

# An entry holds the slot of the flow's backend server and, in the lowest bit,
# whether the flow is framed. A small integer needs less memory than an object.


def entry_of(slot: int, is_framed: bool) -> int:
    """Pack the slot of a flow and its kind into one small integer."""
    return slot << 1 | is_framed


def slot_of(entry: int) -> int:
    """Return the slot of an entry."""
    return entry >> 1


def is_framed(entry: int) -> bool:
    """Return whether the caller of the flow speaks framed datagrams."""
    return bool(entry & 1)


class FlowTable:
    """Maps flows to entries and counts the flows of each slot.

    Methods accept a flow key or a fingerprint.
    """

    __slots__ = ('_idle_timeout_s', '_rotate_at_s', 'counts', 'current', 'old')

    def __init__(self, idle_timeout_s: float, now_s: float) -> None:
        """Initialize; flows stay ``idle_timeout_s`` or more after a packet."""
        self.current: dict[int, int] = {}
        self.old: dict[int, int] = {}
        self.counts: Counter[int] = Counter()
        self._idle_timeout_s = idle_timeout_s
        self._rotate_at_s = now_s + idle_timeout_s

    def __len__(self) -> int:
        """Return the number of known flows."""
        return len(self.current) + len(self.old)

    def find(self, flow_key: int) -> int | None:
        """Return the entry of a flow and mark it as seen."""
        fingerprint = flow_key & FINGERPRINT_MASK
        entry = self.current.get(fingerprint)
        if entry is None:
            entry = self.old.pop(fingerprint, None)
            if entry is not None:
                self.current[fingerprint] = entry
        return entry

    def put(self, flow_key: int, entry: int) -> None:
        """Add a flow or change its entry."""
        self.forget(flow_key)
        self.current[flow_key & FINGERPRINT_MASK] = entry
        self.counts[slot_of(entry)] += 1

    def forget(self, flow_key: int) -> None:
        """Remove a flow if it is known."""
        fingerprint = flow_key & FINGERPRINT_MASK
        entry = self.current.pop(fingerprint, None)
        if entry is None:
            entry = self.old.pop(fingerprint, None)
        if entry is not None:
            self.counts[slot_of(entry)] -= 1

    def rotate_if_due(self, now_s: float) -> bool:
        """Start a new generation when the current one is old enough."""
        if now_s < self._rotate_at_s:
            return False
        for entry, amount in Counter(self.old.values()).items():
            self.counts[slot_of(entry)] -= amount
        self.old = self.current
        self.current = {}
        self._rotate_at_s = now_s + self._idle_timeout_s
        return True

    def entries(self) -> Iterator[tuple[int, int]]:
        """Yield (fingerprint, entry) of every known flow."""
        yield from self.old.items()
        yield from self.current.items()
