"""The gRPC service (grpclib) between the balancers of a pool.

The metadata of each call contains a keyed BLAKE2b tag of the request, so that
only holders of the pool's key get an answer.
"""

import asyncio
import dataclasses
import hashlib
import hmac
import socket
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any, Final, Protocol

import msgspec
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from currantshore.errors import CurrantshoreError
from currantshore.internal.events import (
    FlowsHandedOver,
    HandOverFlows,
    HandOverRequests,
    RequestsHandedOver,
)
from currantshore.internal.hashing import stable_hash
from currantshore.internal.process.protos import peers_grpc, peers_pb2
from currantshore.internal.snapshot import (
    PoolMembers,
    PoolSnapshot,
    ServiceSnapshot,
    pool_key,
    service_key,
)
from currantshore.wire import Endpoint

# A lost answer to a handover delays the commit of a configuration change, which
# waits for handovers for at most 2.5 s.
CALL_TIMEOUT_S: Final = 1.0

_TAG_NAME: Final = 'currantshore-tag'
_TAG_SIZE_BYTES: Final = 16
_CALL_ERRORS: Final = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
)


class PeerCallError(CurrantshoreError):
    """Raised when a call to another balancer failed."""


class PeerHandler(Protocol):
    """The interface that the service needs from its process."""

    def on_handed_over(
        self, event: FlowsHandedOver | RequestsHandedOver
    ) -> None:
        """Pass a handover on to the core."""

    def pool(self) -> PoolSnapshot | None:
        """Return the configuration of this process."""


class PeerService(peers_grpc.PeersBase):
    """Answers the calls of other balancers."""

    __slots__ = ('_handler', '_key')

    def __init__(self, handler: PeerHandler, key: bytes) -> None:
        """Initialize with the receiver of all requests and the pool's key."""
        self._handler = handler
        self._key = key

    # The names of the three methods come from the .proto file.
    async def FetchConfiguration(self, stream: Any) -> None:  # noqa: N802
        """Answer with the objects that are newer than the sender's."""
        request = await self._receive(stream)
        pool = self._handler.pool()
        objects: Iterable[peers_pb2.ConfigurationObject] = ()
        if pool is not None:
            objects = newer_objects(pool, request.held_versions)
        await stream.send_message(
            peers_pb2.FetchConfigurationReply(objects=objects),
        )

    async def HandOverFlows(self, stream: Any) -> None:  # noqa: N802
        """Pass handed-over flows to the core; the reply acknowledges them.

        They are exceptions: flows whose backend server is not that of their
        bucket.
        """
        request = await self._receive(stream)
        for handover in request.handovers:
            self._handler.on_handed_over(
                FlowsHandedOver(
                    request.sender,
                    handover.service_id,
                    dict(handover.flows),
                    handover.settled_version,
                    dict(handover.settled),
                ),
            )
        await stream.send_message(peers_pb2.HandOverReply(is_accepted=True))

    async def HandOverRequests(self, stream: Any) -> None:  # noqa: N802
        """Pass request ids of a leaving executor to the core."""
        request = await self._receive(stream)
        self._handler.on_handed_over(
            RequestsHandedOver(
                request.sender,
                request.sender_incarnation,
                request.service_id,
                request.body,
            ),
        )
        await stream.send_message(peers_pb2.HandOverReply(is_accepted=True))

    async def _receive(self, stream: Any) -> Any:
        request = await stream.recv_message()
        sent_tag = str(stream.metadata.get(_TAG_NAME, ''))
        if request is None or not hmac.compare_digest(
            sent_tag.encode(), _compute_tag(request, self._key).encode()
        ):
            raise GRPCError(Status.UNAUTHENTICATED, 'the tag does not match')
        return request


class PeerClient:
    """Calls other balancers over one persistent connection to each."""

    __slots__ = ('_channels', '_key', '_sender', 'sent_bytes')

    def __init__(self, sender: str, key: bytes) -> None:
        """Initialize; ``sender`` is this host and ``key`` is the pool's key."""
        self._sender = sender
        self._key = key
        self._channels: dict[Endpoint, Channel] = {}
        self.sent_bytes = 0

    async def fetch(
        self,
        target: Endpoint,
        current: PoolSnapshot | None,
    ) -> list[tuple[str, int, bytes]]:
        """Return (key, version, body) of objects newer than in ``current``.

        Raises ``PeerCallError``.
        """
        versions = {} if current is None else current.versions()
        request = peers_pb2.FetchConfigurationRequest(
            sender=self._sender,
            held_versions={
                stable_hash(key): version for key, version in versions.items()
            },
        )
        stub = self._open_stub(target)
        reply = await self._call(stub.FetchConfiguration, request)
        return [
            (found.key, found.version, found.body) for found in reply.objects
        ]

    async def hand_over_flows(
        self,
        target: Endpoint,
        actions: Iterable[HandOverFlows],
    ) -> bool:
        """Hand over flows; return whether they were acknowledged."""
        request = peers_pb2.HandOverFlowsRequest(
            sender=self._sender,
            handovers=[
                peers_pb2.FlowHandover(
                    service_id=action.service_id,
                    handover_id=action.handover_id,
                    flows=dict(action.flows),
                    settled_version=action.settled_version,
                    settled=dict(action.settled),
                )
                for action in actions
            ],
        )
        return await self._call_for_acknowledgement(
            self._open_stub(target).HandOverFlows, request
        )

    async def hand_over_requests(
        self,
        target: Endpoint,
        action: HandOverRequests,
        incarnation: int,
    ) -> bool:
        """Hand over request ids; return whether they were acknowledged."""
        request = peers_pb2.HandOverRequestsRequest(
            sender=self._sender,
            sender_incarnation=incarnation,
            service_id=action.service_id,
            body=action.body,
        )
        return await self._call_for_acknowledgement(
            self._open_stub(target).HandOverRequests, request
        )

    def close_all_except(self, targets: Collection[Endpoint]) -> None:
        """Close the connections to all endpoints but ``targets``."""
        for target in set(self._channels).difference(targets):
            self._channels.pop(target).close()

    def close(self) -> None:
        """Close all connections."""
        self.close_all_except(())

    def _open_stub(self, target: Endpoint) -> peers_grpc.PeersStub:
        if target not in self._channels:
            self._channels[target] = Channel(target.host, target.port)
        return peers_grpc.PeersStub(self._channels[target])

    async def _call_for_acknowledgement(
        self, method: Any, request: Any
    ) -> bool:
        try:
            reply = await self._call(method, request)
        except PeerCallError:
            return False
        return bool(reply.is_accepted)

    async def _call(
        self,
        method: Callable[..., Any],
        request: Any,
    ) -> Any:
        self.sent_bytes += request.ByteSize()
        metadata = {_TAG_NAME: _compute_tag(request, self._key)}
        try:
            return await method(
                request, timeout=CALL_TIMEOUT_S, metadata=metadata
            )
        except _CALL_ERRORS as error:
            raise PeerCallError(f'{type(error).__name__}: {error}') from error


@dataclasses.dataclass(frozen=True, slots=True)
class RunningPeerServer:
    """A running server and the address that it is bound to."""

    server: Server
    address: Endpoint


async def serve_peers(
    handler: PeerHandler,
    key: bytes,
    address: Endpoint,
) -> RunningPeerServer:
    """Listen for calls on ``address``; raises ``OSError``."""
    # The socket is bound here, because grpclib does not return its port.
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listener = socket.create_server((address.host, address.port), family=family)
    host, port = listener.getsockname()[:2]
    server = Server([PeerService(handler, key)])
    await server.start(sock=listener)
    return RunningPeerServer(server, Endpoint(host, port))


def newer_objects(
    pool: PoolSnapshot,
    held_versions: Mapping[int, int],
) -> list[peers_pb2.ConfigurationObject]:
    """Return the objects of ``pool`` that are newer than a peer's."""
    pool_id = pool.members.pool_id
    records: dict[str, PoolMembers | ServiceSnapshot] = {
        service_key(pool_id, service.service_id): service
        for service in pool.services
    }
    records[pool_key(pool_id)] = pool.members
    return [
        peers_pb2.ConfigurationObject(
            key=key,
            version=record.version,
            body=msgspec.json.encode(record),
        )
        for key, record in records.items()
        if record.version > held_versions.get(stable_hash(key), -1)
    ]


def _compute_tag(request: Any, key: bytes) -> str:
    body = request.SerializeToString(deterministic=True)
    scope = type(request).__name__.encode()[:16]
    return hashlib.blake2b(
        body,
        digest_size=_TAG_SIZE_BYTES,
        key=key,
        person=scope,
    ).hexdigest()
