"""Configuration records of a pool, as the platform's objects contain them."""

from currantshore.internal.snapshot import (
    BackendServer,
    BackendState,
    HostState,
    HostStatus,
    PoolHost,
    PoolMembers,
    PoolSnapshot,
    PriorityClass,
    ServiceSnapshot,
    pool_key,
    service_key,
)

__all__ = (
    'BackendServer',
    'BackendState',
    'HostState',
    'HostStatus',
    'PoolHost',
    'PoolMembers',
    'PoolSnapshot',
    'PriorityClass',
    'ServiceSnapshot',
    'pool_key',
    'service_key',
)
