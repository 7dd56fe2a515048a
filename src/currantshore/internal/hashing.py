"""Hash functions shared by placement, ownership and slot shares.

Rendezvous (highest random weight) hashing follows Thaler and Ravishankar, "A
name-based mapping scheme for rendezvous" (1996).
"""

from collections.abc import Iterable

import xxhash

from currantshore.wire import Endpoint


def flow_key(service_id: str, caller: Endpoint) -> int:
    """Return the 64-bit key of the flow of ``caller`` to a service."""
    return xxhash.xxh3_64_intdigest(
        f'{service_id}|{caller.host}|{caller.port}'.encode(),
    )


def stable_hash(*parts: str | int) -> int:
    """Return a 64-bit hash that is the same in every process."""
    text = '|'.join(str(part) for part in parts)
    return xxhash.xxh3_64_intdigest(text.encode())


def short_hash(name: str) -> int:
    """Return a 32-bit hash of an id, for compact messages."""
    return xxhash.xxh32_intdigest(name.encode())


def ranked(names: Iterable[str], *scope: str | int) -> list[str]:
    """Order ``names`` by rendezvous weight for ``scope``, highest first."""
    return sorted(
        names,
        key=lambda name: (stable_hash(name, *scope), name),
        reverse=True,
    )
