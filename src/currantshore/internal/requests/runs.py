"""Requests at their executor and the runs that it has sent out."""

import dataclasses
from typing import Final, TypeAlias

from currantshore.internal.hashing import stable_hash
from currantshore.wire import Endpoint, Request, Run, RunAnswer, RunShed

# The whole answer is held until its last part came; 1,024 parts are 1.4 MB.
MAX_PARTS: Final = 1024

# Longer deadlines are cut to this; a run order could not carry any integer.
MAX_DEADLINE_S: Final = 86400.0

_MS_PER_S: Final = 1000
_RUN_ID_SHIFT: Final = 32
_RUN_ID_PREFIX_MASK: Final = 0x7FFFFFFF

# Flow key and request id.
RequestKey: TypeAlias = tuple[int, int]


@dataclasses.dataclass(slots=True, eq=False)
class Work:
    """A request from its arrival at the executor to its final outcome.

    ``has_run`` is set while a run is out and after a run that was not shed,
    ``is_shared`` when another balancer may have run the request; with either,
    the caller is never told that it was not run. ``run_id`` is that of the
    run that is out, or 0; ``tried`` are the backend servers that shed the
    request or did not answer it; ``charged_s`` is the slot time charged to
    its class.
    """

    service_id: str
    caller: Endpoint
    flow_key: int
    request: Request
    backend_id: str
    arrived_s: float
    deadline_s: float
    attempt: int
    has_run: bool = False
    is_shared: bool = False
    tried: frozenset[str] = frozenset()
    run_id: int = 0
    charged_s: float = 0

    @property
    def key(self) -> RequestKey:
        """Identify the request among all flows of this executor."""
        return (self.flow_key, self.request.request_id)

    @classmethod
    def from_request(
        cls,
        service_id: str,
        caller: Endpoint,
        flow_key: int,
        backend_id: str,
        request: Request,
        now_s: float,
    ) -> 'Work':
        """Build the work of a request that arrived at ``now_s``."""
        left_s = min(request.deadline_ms / _MS_PER_S, MAX_DEADLINE_S)
        return cls(
            service_id,
            caller,
            flow_key,
            request,
            backend_id,
            now_s,
            now_s + left_s,
            request.attempt,
        )


@dataclasses.dataclass(slots=True, eq=False)
class ActiveRun:
    """One order to run a request, sent to one backend server.

    ``expires_s`` is when the executor gives up waiting for the whole answer;
    ``has_run_before`` is the work's ``has_run`` before this run was sent.
    """

    run_id: int
    work: Work
    backend_id: str
    target: Endpoint
    started_s: float
    expires_s: float
    has_run_before: bool
    unusable_since_s: float | None = None
    parts: dict[int, bytes] = dataclasses.field(default_factory=dict)
    part_count: int = 0

    def is_answered_by(self, source: Endpoint, answer: RunAnswer) -> bool:
        """Tell whether ``answer`` from ``source`` is about this run."""
        return (
            source == self.target
            and answer.service_id == self.work.service_id
            and answer.caller == self.work.caller
        )

    def is_shed_by(self, source: Endpoint, shed: RunShed) -> bool:
        """Tell whether ``shed`` can be true: no part of an answer came."""
        return (
            source == self.target
            and shed.service_id == self.work.service_id
            and not self.parts
        )

    def to_order(self, now_s: float) -> Run:
        """Return the order to the backend server."""
        work = self.work
        left_ms = int((work.deadline_s - now_s) * _MS_PER_S)
        return Run(
            work.service_id,
            work.caller,
            self.run_id,
            work.request.request_id,
            work.attempt,
            work.request.priority_class,
            max(left_ms, 1),
            work.request.payload,
        )

    def add_part(self, answer: RunAnswer) -> bool:
        """Keep one part; ``False`` if it is a copy or does not fit."""
        if not 0 < answer.parts <= MAX_PARTS:
            return False
        if self.part_count and self.part_count != answer.parts:
            return False
        if not 0 <= answer.part < answer.parts or answer.part in self.parts:
            return False
        self.part_count = answer.parts
        self.parts[answer.part] = answer.payload
        return True

    def is_whole(self) -> bool:
        """Tell whether every part has come."""
        return self.part_count > 0 and len(self.parts) == self.part_count

    def whole(self) -> tuple[bytes, ...]:
        """Return the parts in order."""
        return tuple(self.parts[index] for index in range(self.part_count))


class RunIds:
    """Run ids that no other incarnation of any balancer uses.

    A backend server may answer a run of an earlier process at the same
    address; a shared counter that starts at 1 would match that answer to
    another caller's run.
    """

    __slots__ = ('_next',)

    def __init__(self, host_id: str, incarnation: int) -> None:
        """Start at a number that depends on the process."""
        prefix = stable_hash('run', host_id, incarnation) & _RUN_ID_PREFIX_MASK
        self._next = (prefix << _RUN_ID_SHIFT) + 1

    def take(self) -> int:
        """Return the next id."""
        taken = self._next
        self._next += 1
        return taken
