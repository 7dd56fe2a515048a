"""Queues packets of unknown flows until an owner replies."""

import dataclasses
import enum
from collections.abc import Iterator
from typing import Final

from currantshore.wire import Endpoint

# Well above the round trip between availability zones (10 ms), so that a
# missing reply means a lost message or a dead owner.
LOOKUP_TIMEOUT_S: Final = 0.1

# Lookups nest: a caller's balancer sends one to the owners, a second owner
# sends one to the first owner, and an owner polls its peers. Each must outlast
# the nested one with two lost messages, so that an owner is not overruled while
# it still decides.
_NESTED_TIMEOUT_S: Final = 0.05
_POLL_ROUNDS: Final = 2
_RELAY_ROUNDS: Final = 5
_SECOND_OWNER_ROUNDS: Final = 12
_LOOKUP_ROUNDS: Final = 8

# Limits of the queue of one service: 1,024 flows with 8 packets of 1,400 bytes
# use at most 12 MB.
_WAITING_FLOWS_LIMIT: Final = 1024
_WAITING_PACKETS_LIMIT: Final = 8


@enum.unique
class LookupKind(enum.Enum):
    """The hosts that a lookup is sent to.

    ``OWNERS``: the first owner, then both. ``FIRST_OWNER``: only the first
    owner, sent by the second one. ``RELAY``: only the highest ranked owner,
    sent because a peer waits for the result. ``POLL``: all candidates at once,
    which reply with the backend server only if they already know the flow.
    """

    OWNERS = (LOOKUP_TIMEOUT_S, _LOOKUP_ROUNDS)
    FIRST_OWNER = (_NESTED_TIMEOUT_S, _SECOND_OWNER_ROUNDS)
    RELAY = (_NESTED_TIMEOUT_S, _RELAY_ROUNDS)
    POLL = (_NESTED_TIMEOUT_S, _POLL_ROUNDS)

    @property
    def timeout_s(self) -> float:
        """Return how long one round waits for a reply."""
        return self.value[0]

    @property
    def rounds(self) -> int:
        """Return how many rounds of messages are sent."""
        return self.value[1]


@dataclasses.dataclass(slots=True)
class PendingLookup:
    """A flow whose backend server is not known yet.

    ``candidates`` are the hosts to send the lookup to, in order of ownership.
    ``requesters`` are the peers that wait for the result.
    """

    flow_key: int
    candidates: list[str]
    kind: LookupKind
    due_s: float
    round_number: int = 0
    has_ruled_out: bool = False
    second_owner_slot: int | None = None
    packets: list[tuple[Endpoint, bytes]] = dataclasses.field(
        default_factory=list,
    )
    requesters: set[str] = dataclasses.field(default_factory=set)

    def targets(self) -> list[str]:
        """Return the hosts to send the lookup to in this round."""
        if self.kind is LookupKind.POLL:
            return list(self.candidates)
        is_single = self.round_number == 0 or self.has_ruled_out
        return self.candidates[: 1 if is_single else 2]

    def is_exhausted(self) -> bool:
        """Return whether no host or no round is left."""
        return not self.candidates or self.round_number >= self.kind.rounds

    def rule_out(self, host: str, now_s: float) -> None:
        """Continue with the next host after an empty reply."""
        self.candidates.remove(host)
        self.has_ruled_out = True
        if self.kind is not LookupKind.POLL:
            self.due_s = now_s + self.kind.timeout_s

    def next_round(self, now_s: float) -> None:
        """Start the next round after a missing reply."""
        self.round_number += 1
        self.due_s = now_s + self.kind.timeout_s

    def restart(
        self,
        candidates: list[str],
        kind: LookupKind,
        now_s: float,
    ) -> None:
        """Continue as a lookup of another kind."""
        self.candidates = candidates
        self.kind = kind
        self.round_number = 0
        self.due_s = now_s + kind.timeout_s


class LookupQueue:
    """Pending lookups of one service, bounded in flows and packets."""

    __slots__ = ('_pending',)

    def __init__(self) -> None:
        """Initialize without lookups."""
        self._pending: dict[int, PendingLookup] = {}

    def __len__(self) -> int:
        """Return the number of waiting flows."""
        return len(self._pending)

    def find(self, flow_key: int) -> PendingLookup | None:
        """Return the pending lookup of a flow."""
        return self._pending.get(flow_key)

    def start(
        self,
        flow_key: int,
        candidates: list[str],
        kind: LookupKind,
        now_s: float,
    ) -> PendingLookup | None:
        """Start a lookup; return None when the queue is full."""
        if len(self._pending) >= _WAITING_FLOWS_LIMIT:
            return None
        due_s = now_s + kind.timeout_s
        pending = PendingLookup(flow_key, candidates, kind, due_s)
        self._pending[flow_key] = pending
        return pending

    def finish(self, flow_key: int) -> PendingLookup:
        """Remove and return a lookup."""
        return self._pending.pop(flow_key)

    def due(self, now_s: float) -> Iterator[PendingLookup]:
        """Yield the lookups whose reply did not arrive in time."""
        for pending in tuple(self._pending.values()):
            if pending.due_s <= now_s:
                yield pending


def add_packet(
    pending: PendingLookup,
    caller: Endpoint,
    payload: bytes,
) -> bool:
    """Queue a packet; return False when too many packets wait already."""
    if len(pending.packets) >= _WAITING_PACKETS_LIMIT:
        return False
    pending.packets.append((caller, payload))
    return True
