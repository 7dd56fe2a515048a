"""Stores exceptions: flows that are not on the backend server of their bucket.

With 2,000 exceptions, the probability that an unknown flow has the fingerprint
of one of them is less than one in 500 million.
"""

from collections.abc import Iterable, Mapping
from typing import Final

import numpy as np

from currantshore.internal.flows.flowtable import (
    FINGERPRINT_MASK,
    FINGERPRINT_SIZE_BYTES,
    FlowTable,
    is_framed,
    slot_of,
)
from currantshore.internal.flows.placement import Numbers, PlacementTable, Slots

_KEY_SIZE_BYTES: Final = 8

# A balancer refreshes the exceptions that had packets once per idle timeout, so
# up to one idle timeout after a packet. Entries must outlast two idle timeouts.
_GENERATION_IDLE_TIMEOUTS: Final = 2


class ExceptionTable:
    """Maps fingerprints to slots, in two generations."""

    __slots__ = (
        '_current',
        '_generation_s',
        '_old',
        '_rotate_at_s',
        'unsent',
    )

    def __init__(self, idle_timeout_s: float, now_s: float) -> None:
        """Initialize; entries last at least twice ``idle_timeout_s``."""
        self._generation_s = idle_timeout_s * _GENERATION_IDLE_TIMEOUTS
        self._rotate_at_s = now_s + self._generation_s
        self._current: dict[int, int] = {}
        self._old: dict[int, int] = {}
        # Exceptions that this balancer may still have to send to all peers.
        self.unsent: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of exceptions that have not expired."""
        return len(self._current) + len(self._old)

    def find(self, flow_key: int) -> int | None:
        """Return the slot of a flow, or None if it is not an exception."""
        fingerprint = flow_key & FINGERPRINT_MASK
        slot = self._current.get(fingerprint)
        return self._old.get(fingerprint) if slot is None else slot

    def add(self, fingerprint: int, slot: int, is_unsent: bool) -> None:
        """Record or refresh an exception.

        The first recorded slot of a flow stays. A later one that differs comes
        from a balancer that decided without the owners of the flow.
        """
        if fingerprint in self._current:
            if not is_unsent:
                self.unsent.pop(fingerprint, None)
            return
        kept = self._old.pop(fingerprint, slot)
        self._current[fingerprint] = kept
        if is_unsent:
            self.unsent[fingerprint] = kept

    def replace(self, flow_key: int, slot: int) -> None:
        """Record that a flow lost its backend server and moves to ``slot``."""
        self.forget(flow_key)
        self.add(flow_key & FINGERPRINT_MASK, slot, is_unsent=True)

    def forget(self, flow_key: int) -> None:
        """Remove the exception of a flow that ended."""
        fingerprint = flow_key & FINGERPRINT_MASK
        for entries in (self._current, self._old, self.unsent):
            entries.pop(fingerprint, None)

    def rotate_if_due(self, now_s: float) -> None:
        """Start a new generation when the current one is old enough."""
        if now_s >= self._rotate_at_s:
            self._old = self._current
            self._current = {}
            self._rotate_at_s = now_s + self._generation_s
            expired = self.unsent.keys() - self._old.keys()
            for fingerprint in expired:
                self.unsent.pop(fingerprint)

    def items(self) -> dict[int, int]:
        """Return all exceptions by fingerprint."""
        return self._old | self._current


def misplaced(known: FlowTable, table: PlacementTable) -> dict[int, int]:
    """Return the known opaque flows that ``table`` would place elsewhere."""
    found: dict[int, int] = {}
    for generation in (known.old, known.current):
        found.update(_misplaced_in(generation, table))
    return found


def opaque(known: FlowTable) -> dict[int, int]:
    """Return all known flows that are not framed."""
    return {
        fingerprint: slot_of(entry)
        for fingerprint, entry in known.entries()
        if not is_framed(entry)
    }


def _misplaced_in(
    generation: Mapping[int, int],
    table: PlacementTable,
) -> Iterable[tuple[int, int]]:
    count = len(generation)
    keys = np.fromiter(generation.keys(), np.uint64, count)
    entries = np.fromiter(generation.values(), np.uint16, count)
    slots = entries >> np.uint16(1)
    is_opaque = np.equal(entries & np.uint16(1), 0)
    wrong = np.not_equal(table.slots_of(keys), slots) & is_opaque
    wrong_slots = slots[wrong].tolist()
    return zip(keys[wrong].tolist(), wrong_slots, strict=True)


def as_arrays(flows: Mapping[int, int]) -> tuple[Numbers, Slots]:
    """Return fingerprints and slots as arrays of the same length."""
    count = len(flows)
    fingerprints = np.fromiter(flows.keys(), np.uint64, count)
    return fingerprints, np.fromiter(flows.values(), np.uint16, count)


def pack(fingerprints: Numbers) -> bytes:
    """Pack fingerprints into five bytes each, little-endian."""
    wide = fingerprints.astype('<u8').view(np.uint8)
    columns = np.arange(FINGERPRINT_SIZE_BYTES)
    rows = wide.reshape(-1, _KEY_SIZE_BYTES)
    return np.take(rows, columns, axis=1).tobytes()


def unpack(packed: bytes) -> list[int]:
    """Unpack fingerprints; an incomplete one at the end is ignored."""
    count = len(packed) // FINGERPRINT_SIZE_BYTES
    size_bytes = count * FINGERPRINT_SIZE_BYTES
    narrow = np.frombuffer(packed, np.uint8, size_bytes)
    padding = _KEY_SIZE_BYTES - FINGERPRINT_SIZE_BYTES
    wide = np.pad(
        narrow.reshape(count, FINGERPRINT_SIZE_BYTES),
        ((0, 0), (0, padding)),
    )
    return [int(number) for number in wide.reshape(-1).view('<u8')]
