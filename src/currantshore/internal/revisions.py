"""Order the revisions of a store that may be restored from an older copy.

A restored store counts its revisions again from that of the copy, so that its
own revisions do not tell what is newer. Hosts therefore order by the number of
restores first, then by the store's revision, like an epoch in front of a log
position (Ongaro and Ousterhout, "In Search of an Understandable Consensus
Algorithm", 2014).

Both are held in one integer, because hosts compare and send it as one. Without
a restore it equals the store's revision, as hosts of earlier releases send it;
after one, those hosts accept what hosts of this release send as newer.
"""

from typing import Final

# 3,200 writes a second take 170 years to use up these bits.
_STORE_REVISION_BITS: Final = 44
MAX_STORE_REVISION: Final = 2**_STORE_REVISION_BITS - 1

# Revisions take at most 63 bits.
MAX_RESTORES: Final = 2 ** (63 - _STORE_REVISION_BITS) - 1


def build_revision(restores: int, store_revision: int) -> int:
    """Return the revision of a store that was restored ``restores`` times."""
    return restores << _STORE_REVISION_BITS | store_revision


def restores_of(revision: int) -> int:
    """Return how often the store had been restored at ``revision``."""
    return revision >> _STORE_REVISION_BITS


def store_revision_of(revision: int) -> int:
    """Return the store's own revision, which it gives out again."""
    return revision & MAX_STORE_REVISION
