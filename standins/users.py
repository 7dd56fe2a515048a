"""Pools of the two example workspaces, for the demo and process tests."""

import pathlib
from typing import Final

import msgspec

from currantshore.declarations import load_pool
from currantshore.internal.snapshot import PoolSnapshot

_EXAMPLES: Final = pathlib.Path(__file__).resolve().parent.parent / 'examples'
_HOST_COUNT: Final = 6


def lakeshore(host_count: int = _HOST_COUNT) -> PoolSnapshot:
    """Return the pool of the example ``lakeshore``."""
    return _load('lakeshore', host_count)


def beaulac(host_count: int = _HOST_COUNT) -> PoolSnapshot:
    """Return the pool of the example ``beaulac``."""
    return _load('beaulac', host_count)


def _load(user_id: str, host_count: int) -> PoolSnapshot:
    # The addresses in the files are placeholders that the cluster replaces.
    pool = load_pool(_EXAMPLES / user_id)
    members = msgspec.structs.replace(
        pool.members, hosts=pool.members.hosts[:host_count]
    )
    return PoolSnapshot(members, pool.services)
