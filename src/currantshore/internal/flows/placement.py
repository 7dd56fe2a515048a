"""Builds bucket tables, which map new flows to backend servers.

Each bucket goes to the backend server with the highest rendezvous weight. The
table depends only on the current set of servers, not on its history, and a
change of the set moves only the buckets of the servers that changed.
"""

from collections.abc import Sequence
from typing import Final, TypeAlias

import numpy as np
from numpy.typing import NDArray

from currantshore.errors import InvalidArgumentError
from currantshore.internal.hashing import stable_hash

Slots: TypeAlias = NDArray[np.uint16]
Numbers: TypeAlias = NDArray[np.uint64]
Mask: TypeAlias = NDArray[np.bool_]

# Marks a bucket without a backend server, or a flow without a known slot.
NO_SLOT: Final = 0xFFFF

# Constants of the finalizer of splitmix64 (Steele, Lea and Flood, "Fast
# splittable pseudorandom number generators", 2014).
_GOLDEN_GAMMA: Final = np.uint64(0x9E3779B97F4A7C15)
_FIRST_FACTOR: Final = np.uint64(0xBF58476D1CE4E5B9)
_SECOND_FACTOR: Final = np.uint64(0x94D049BB133111EB)


class PlacementTable:
    """Maps the buckets of one service to slots of its backend servers."""

    __slots__ = ('_names', '_numbers', 'bucket_count', 'slots')

    def __init__(
        self,
        slots: Slots,
        names: Sequence[str],
        numbers: Sequence[int],
    ) -> None:
        """Initialize the table; use ``from_members`` instead."""
        self.slots = slots
        self.bucket_count = len(slots)
        self._names = tuple(names)
        self._numbers = tuple(numbers)

    @classmethod
    def from_members(
        cls,
        bucket_count: int,
        members: Sequence[tuple[str, int]],
    ) -> 'PlacementTable':
        """Build the table of the backend servers that accept new flows.

        ``members`` holds (backend id, slot number) pairs; the order does not
        matter. ``bucket_count`` must be a power of two; raises
        ``InvalidArgumentError`` otherwise.
        """
        if bucket_count < 1 or bucket_count & (bucket_count - 1):
            raise InvalidArgumentError.from_value(
                'bucket_count',
                bucket_count,
                'a power of two',
            )
        ordered = sorted(members)
        names = [name for name, _ in ordered]
        numbers = [number for _, number in ordered]
        return cls(
            _assign_buckets(bucket_count, names, numbers), names, numbers
        )

    def slot_of(self, flow_key: int) -> int:
        """Return the slot of a flow's bucket, or ``NO_SLOT``."""
        return int(self.slots[flow_key & (self.bucket_count - 1)])

    def has_slot(self, slot: int) -> bool:
        """Return whether a slot receives new flows in this table."""
        return slot in self._numbers

    def slots_of(self, flow_keys: Numbers) -> Slots:
        """Return the slots of many flows."""
        buckets = flow_keys & np.uint64(self.bucket_count - 1)
        return self.slots[buckets.astype(np.int64)]

    def ranked_slots(self, flow_key: int) -> list[int]:
        """Return the slots of a flow's bucket, highest weight first."""
        bucket = np.array([flow_key & (self.bucket_count - 1)], np.uint64)
        weights = [
            int(rendezvous_weights(name, bucket)[0]) for name in self._names
        ]
        order = sorted(
            range(len(weights)),
            key=weights.__getitem__,
            reverse=True,
        )
        return [self._numbers[index] for index in order]

    def moved_buckets(self, other: 'PlacementTable') -> Mask:
        """Return the buckets whose slot differs in ``other``."""
        return np.not_equal(self.slots, other.slots)


def _assign_buckets(
    bucket_count: int,
    names: Sequence[str],
    numbers: Sequence[int],
) -> Slots:
    best = np.zeros(bucket_count, np.uint64)
    slots = np.full(bucket_count, NO_SLOT, np.uint16)
    buckets = np.arange(bucket_count, dtype=np.uint64)
    for name, number in zip(names, numbers, strict=True):
        weights = rendezvous_weights(name, buckets)
        higher = weights > best
        best[higher] = weights[higher]
        slots[higher] = number
    return slots


def rendezvous_weights(
    name: str,
    buckets: Numbers,
) -> Numbers:
    """Return a uniform 64-bit weight of ``name`` for each bucket."""
    mixed = buckets * _GOLDEN_GAMMA + np.uint64(stable_hash(name))
    mixed = (mixed ^ (mixed >> np.uint64(30))) * _FIRST_FACTOR
    mixed = (mixed ^ (mixed >> np.uint64(27))) * _SECOND_FACTOR
    return mixed ^ (mixed >> np.uint64(31))
