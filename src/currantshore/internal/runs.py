"""Requests at their executor and the runs that it has sent out."""

import dataclasses
from typing import Final, TypeAlias

from currantshore.internal.hashing import stable_hash
from currantshore.wire import Endpoint, Request, RunAnswer

# The whole answer is held until its last part came; 1,024 parts are 1.4 MB.
MAX_PARTS: Final = 1024

_RUN_ID_SHIFT: Final = 32
_RUN_ID_PREFIX_MASK: Final = 0x7FFFFFFF

# Flow key and request id.
RequestKey: TypeAlias = tuple[int, int]


@dataclasses.dataclass(slots=True)
class Work:
    """A request from its arrival at the executor to its final outcome.

    ``may_have_run`` is set as soon as a run was sent and not shed, or when
    another balancer may have run the request; from then on the caller is
    never told that it was not run.
    """

    service_id: str
    caller: Endpoint
    flow_key: int
    request: Request
    backend_id: str
    deadline_s: float
    attempt: int
    may_have_run: bool = False
    tried: frozenset[str] = frozenset()
    charged_s: float = 0

    @property
    def key(self) -> RequestKey:
        """Identify the request among all flows of this executor."""
        return (self.flow_key, self.request.request_id)


@dataclasses.dataclass(slots=True)
class ActiveRun:
    """One order to run a request, sent to one backend server.

    ``expires_s`` is when the executor gives up waiting for the whole answer.
    """

    run_id: int
    work: Work
    backend_id: str
    target: Endpoint
    started_s: float
    expires_s: float
    parts: dict[int, bytes] = dataclasses.field(default_factory=dict)
    part_count: int = 0

    def accepts(self, source: Endpoint, service_id: str) -> bool:
        """Tell whether a message from ``source`` can be about this run."""
        return source == self.target and service_id == self.work.service_id

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
