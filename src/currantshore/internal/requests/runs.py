"""Defines requests at their executor and the runs sent to backend servers."""

import dataclasses
from typing import Final, TypeAlias

from currantshore.internal.hashing import stable_hash
from currantshore.wire import Endpoint, Request, Run, RunAnswer, RunShed

# An answer is kept in memory until its last part arrives; 1,024 parts are
# 1.4 MB.
MAX_PARTS: Final = 1024

# Longer deadlines are cut to this, because the field for the deadline in a run
# order does not fit every integer.
MAX_DEADLINE_S: Final = 86400.0

_MS_PER_S: Final = 1000
_RUN_ID_SHIFT: Final = 32
_RUN_ID_PREFIX_MASK: Final = 0x7FFFFFFF

# Flow key and request id.
RequestKey: TypeAlias = tuple[int, int]


@dataclasses.dataclass(slots=True, eq=False)
class Work:
    """A request from its arrival at the executor to its final outcome.

    ``has_run`` is set during a run and after a run that was not shed;
    ``may_have_run_elsewhere`` is set when another balancer may have run it. If
    either is set, no refusal promises "not run". ``run_id`` is the id of the
    outstanding run, or 0. ``tried`` are the backend servers that shed the
    request or did not answer it. ``charged_s`` is the slot time charged to
    the priority class.
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
    may_have_run_elsewhere: bool = False
    tried: frozenset[str] = frozenset()
    run_id: int = 0
    charged_s: float = 0

    @property
    def key(self) -> RequestKey:
        """Key of the request at this executor.

        Two flows have the same 64-bit flow key with negligible probability.
        """
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
        """Return the work for a request that arrived at ``now_s``."""
        remaining_s = min(request.deadline_ms / _MS_PER_S, MAX_DEADLINE_S)
        return cls(
            service_id,
            caller,
            flow_key,
            request,
            backend_id,
            now_s,
            now_s + remaining_s,
            request.attempt,
        )


@dataclasses.dataclass(slots=True, eq=False)
class ActiveRun:
    """One run of a request, ordered from one backend server.

    ``expires_s`` is the time until which the executor waits for the complete
    answer. ``has_run_before`` is ``Work.has_run`` from before this run.
    ``unusable_since_s`` is the time from which the backend server has been
    unusable, None while it is usable.
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

    def matches_answer(self, source: Endpoint, answer: RunAnswer) -> bool:
        """Return whether ``answer`` from ``source`` belongs to this run."""
        return (
            source == self.target
            and answer.service_id == self.work.service_id
            and answer.caller == self.work.caller
        )

    def matches_shed(self, source: Endpoint, shed: RunShed) -> bool:
        """Return whether ``shed`` from ``source`` sheds this run.

        A run of which a part of the answer has arrived was not shed.
        """
        return (
            source == self.target
            and shed.service_id == self.work.service_id
            and not self.parts
        )

    def to_message(self, now_s: float) -> Run:
        """Return the message that orders this run."""
        work = self.work
        remaining_ms = int((work.deadline_s - now_s) * _MS_PER_S)
        return Run(
            work.service_id,
            work.caller,
            self.run_id,
            work.request.request_id,
            work.attempt,
            work.request.priority_class,
            max(remaining_ms, 1),
            work.request.payload,
        )

    def add_part(self, answer: RunAnswer) -> bool:
        """Store a part; return ``False`` for a copy or an invalid index."""
        if not 0 < answer.parts <= MAX_PARTS:
            return False
        if self.part_count and self.part_count != answer.parts:
            return False
        if not 0 <= answer.part < answer.parts or answer.part in self.parts:
            return False
        self.part_count = answer.parts
        self.parts[answer.part] = answer.payload
        return True

    def is_complete(self) -> bool:
        """Return whether every part has arrived."""
        return self.part_count > 0 and len(self.parts) == self.part_count

    def payloads(self) -> tuple[bytes, ...]:
        """Return the parts in order."""
        return tuple(self.parts[index] for index in range(self.part_count))


class RunIds:
    """Run ids with a prefix hashed from host id and incarnation.

    A backend server may answer a run of an earlier process at the same
    address. If every process counted from 1, that answer would match a run of
    another caller.
    """

    __slots__ = ('_next',)

    def __init__(self, host_id: str, incarnation: int) -> None:
        """Initialize at a number that is derived from the process."""
        prefix = stable_hash('run', host_id, incarnation) & _RUN_ID_PREFIX_MASK
        self._next = (prefix << _RUN_ID_SHIFT) + 1

    def next_id(self) -> int:
        """Return the next id."""
        run_id = self._next
        self._next += 1
        return run_id
