"""The component that watches one pool's objects on the platform.

Only some hosts of a pool watch the platform, and one of them writes the
pool's status; the core decides which.
"""

import asyncio
import random
from typing import Final

from circuits import Component

from currantshore.core import BalancerCore
from currantshore.errors import PlatformError, VersionConflictError
from currantshore.internal.objectapi.objects import PlatformObject
from currantshore.internal.objectapi.platform import PlatformClient
from currantshore.internal.objectapi.records import pool_prefix, status_key
from currantshore.internal.operators.status import encode_status
from currantshore.internal.process.logs import get_logger
from currantshore.internal.process.peers import Peers
from currantshore.internal.process.settings import Settings

# Each watch is one call. A longer timeout makes fewer calls, but a host that
# stops being a watcher also keeps its last watch open for that long.
WATCH_TIMEOUT_S: Final = 25.0

_RETRY_MIN_S: Final = 0.2
_RETRY_MAX_S: Final = 5.0
_IDLE_CHECK_S: Final = 0.5


class PlatformFollower(Component):  # type: ignore[misc]
    """Watches objects while the core requires it; writes the pool's status."""

    channel = 'platform'

    def __init__(
        self,
        core: BalancerCore,
        client: PlatformClient,
        peers: Peers,
        settings: Settings,
    ) -> None:
        """Initialize; ``peers`` receives new objects."""
        self._core = core
        self._client = client
        self._peers = peers
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._key_prefix = pool_prefix(settings.pool_id)
        self._last_status = b''
        self._status_version = 0
        self._log = get_logger('platform')
        super().__init__()

    async def follow(self) -> None:
        """Fetch the first configuration, then watch; run until cancelled."""
        # Peers come first: a restarting host then does not need to read the
        # platform, and starts as fast while the platform is down.
        await self._fetch_from_seed_peers()
        failures = 0
        while True:
            if not self._core.watches_platform():
                await asyncio.sleep(_IDLE_CHECK_S)
                continue
            try:
                await self._watch_while_required()
            except PlatformError as error:
                failures += 1
                await self._wait_before_retry(failures, error)
            else:
                failures = 0

    async def report(self) -> None:
        """Write the status object while this host is the reporter."""
        while True:
            await asyncio.sleep(self._settings.status_interval_s)
            if self._core.reports_status():
                await self._write_status()

    async def _watch_while_required(self) -> None:
        # The listing gives the revision at which the watch starts, and brings a
        # host up to date that has just become a watcher.
        listing = await self._client.list_objects(self._key_prefix)
        self._merge_objects(listing.objects)
        after = listing.revision
        while self._core.watches_platform():
            seen = await self._client.watch(
                self._key_prefix, after, WATCH_TIMEOUT_S
            )
            after = max(after, seen.revision)
            self._merge_objects(seen.changes)
        self._log.info('watch_ended')

    async def _wait_before_retry(
        self, failures: int, error: PlatformError
    ) -> None:
        self._log.warning('platform_unavailable', error=str(error))
        if self._core.pool() is None:
            await self._fetch_from_seed_peers()
        longest_s = min(_RETRY_MAX_S, _RETRY_MIN_S * 2 ** min(failures, 8))
        await asyncio.sleep(self._rng.uniform(_RETRY_MIN_S, longest_s))

    async def _fetch_from_seed_peers(self) -> None:
        seeds = list(self._settings.seed_peers)
        self._rng.shuffle(seeds)
        while seeds and self._core.pool() is None:
            await self._peers.fetch_from(seeds.pop())

    def _merge_objects(self, objects: tuple[PlatformObject, ...]) -> None:
        self._peers.accept_objects(
            (found.key, found.version, bytes(found.value))
            for found in objects
            if not found.is_deleted
        )

    async def _write_status(self) -> None:
        body = encode_status(self._core.status_report())
        if body == self._last_status:
            return
        key = status_key(self._settings.pool_id)
        writer = f'{self._settings.host_id}-{self._rng.getrandbits(32):08x}'
        try:
            self._status_version = await self._client.put_if(
                key, body, self._status_version, writer
            )
        except VersionConflictError:
            # Another write came first, for example from the previous reporter;
            # the next write uses the object's current version.
            await self._read_status_version(key)
        except PlatformError as error:
            self._log.warning('status_write_failed', error=str(error))
        else:
            self._last_status = body

    async def _read_status_version(self, key: str) -> None:
        try:
            found = await self._client.get(key)
        except PlatformError as error:
            self._log.warning('status_read_failed', error=str(error))
        else:
            self._status_version = 0 if found is None else found.version
