"""Records the flows whose packets pass this host.

Most packets could be forwarded without a record, because their token names the
backend. Records serve to detect which backends answer. Only callers' packets
pass a host, so that a backend's answers show only in the callers'
acknowledgements.
"""

from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple

from currantshore.internal.steering.busyshares import build_flow_shares
from currantshore.internal.steering.directory import Backend
from currantshore.internal.steering.latencies import LatencyHistogram
from currantshore.internal.steering.mechanisms import NOTHING_OFF, SwitchedOff
from currantshore.internal.steering.quantiles import RunningQuantile

# A caller has at most this many packets in flight. If it sends more, the
# backend has acknowledged some of them.
_WINDOW_PACKETS: Final = 16

# Weight of the newest sample in a backend's mean latency, which is a moving
# average over about the last ten.
_LATENCY_WEIGHT: Final = 0.1

# Number of kept backends that answered last. If one is silent, an attempt to
# connect to another one of these is the control (``steering/silence.py``).
_MAX_RECENTLY_ANSWERED: Final = 8

# Callers give up an unanswered opening after 1.4 s.
OPENING_LIFE_S: Final = 1.5

# The usual time until an opening is answered is the 95th percentile.
_USUAL_QUANTILE: Final = 0.95
_OPENING_PRIOR_S: Final = 0.015

# Sequence and acknowledgement numbers are 32 bits wide and wrap.
_NUMBER_MASK: Final = 0xFFFFFFFF
_HALF_RANGE: Final = 0x80000000

# Records per sweep, so that the sweep of a large table does not delay packets.
_SWEEP_RECORDS: Final = 400


class Segment(NamedTuple):
    """A caller's packet that follows the opening.

    ``sequence`` and ``acknowledged`` count bytes and wrap at 32 bits. With
    ``is_closing``, the caller sends no further request; with ``is_end``, it has
    dropped the flow.
    """

    token: int
    sequence: int
    acknowledged: int
    size_bytes: int
    is_closing: bool
    is_end: bool


class FlowRecord:
    """One flow: its backend and the sequence numbers of both sides.

    ``tried`` are the backends that the opening or a copy of it was sent to.
    ``datagram`` is the opening packet, until it has been answered.
    ``request_packets`` counts the packets of the pending request;
    ``is_retransmitted`` is whether one of them was sent again.
    """

    __slots__ = (
        'acknowledged',
        'address_key',
        'backend',
        'datagram',
        'is_closing',
        'is_open',
        'is_retransmitted',
        'last_seen_s',
        'request_packets',
        'sequence',
        'tried',
    )

    def __init__(self, backend: Backend, now_s: float) -> None:
        """Initialize the record of a flow whose opening has no answer yet."""
        self.backend = backend
        self.tried: tuple[Backend, ...] = (backend,)
        self.address_key = b''
        self.datagram = b''
        self.last_seen_s = now_s
        self.is_open = False
        self.is_closing = False
        self.is_retransmitted = False
        self.acknowledged = 0
        self.sequence = 0
        self.request_packets = 0

    def has_tried(self, token: int) -> bool:
        """Return whether the opening was sent to the backend of ``token``."""
        return any(tried.token == token for tried in self.tried)

    def is_near(self, acknowledged: int, max_distance_bytes: int) -> bool:
        """Return whether a number is close to the last one acknowledged."""
        ahead_bytes = (acknowledged - self.acknowledged) & _NUMBER_MASK
        return (
            min(ahead_bytes, _NUMBER_MASK - ahead_bytes) <= max_distance_bytes
        )


class FlowRecords:
    """Records by flow key, and what they show about backends."""

    __slots__ = (
        '_records',
        '_sweep',
        'busy_backends',
        'busy_shares',
        'latencies',
        'recently_answered',
        'usual_opening',
    )

    def __init__(self, switched_off: SwitchedOff = NOTHING_OFF) -> None:
        """Initialize without flows."""
        self._records: dict[bytes, FlowRecord] = {}
        self._sweep: Iterator[bytes] = iter(())
        # The last backends that answered, in order of their newest answer.
        self.recently_answered: dict[Backend, None] = {}
        # Backends with an unanswered opening or request; ``BackendWatches``
        # removes those that are idle.
        self.busy_backends: dict[Backend, None] = {}
        self.busy_shares = build_flow_shares(switched_off)
        self.usual_opening = RunningQuantile(_USUAL_QUANTILE, _OPENING_PRIOR_S)
        self.latencies = {
            'opening': LatencyHistogram(),
            'first_answer': LatencyHistogram(),
        }

    def __len__(self) -> int:
        return len(self._records)

    def find(self, flow_key: bytes) -> FlowRecord | None:
        """Return the record of a flow, or None."""
        return self._records.get(flow_key)

    def add_opening(
        self,
        flow_key: bytes,
        backend: Backend,
        now_s: float,
    ) -> FlowRecord:
        """Record an opening that is sent to ``backend``."""
        self.drop(flow_key)
        record = FlowRecord(backend, now_s)
        self._records[flow_key] = record
        backend.pending_openings[flow_key] = now_s
        self.busy_backends[backend] = None
        return record

    def add_attempt(
        self,
        flow_key: bytes,
        record: FlowRecord,
        backend: Backend,
        now_s: float,
    ) -> None:
        """Record that the opening is sent again, usually to another backend."""
        record.tried = (*record.tried, backend)
        record.backend = backend
        record.last_seen_s = now_s
        backend.pending_openings[flow_key] = now_s
        self.busy_backends[backend] = None

    def add_open_flow(
        self,
        flow_key: bytes,
        backend: Backend,
        segment: Segment,
        now_s: float,
    ) -> FlowRecord:
        """Record a flow that another host opened."""
        record = FlowRecord(backend, now_s)
        record.acknowledged = segment.acknowledged
        record.sequence = segment.sequence
        record.is_open = True
        backend.flow_count += 1
        self._records[flow_key] = record
        return record

    def record_segment(
        self,
        flow_key: bytes,
        record: FlowRecord,
        segment: Segment,
        now_s: float,
    ) -> float | None:
        """Record a packet of a flow and what it shows about the backend.

        Returns the latency in seconds of the answer that the packet
        acknowledges, or None without one. Returns None as well if the request
        was sent again, because a loss delayed its answer.
        """
        latency_s: float | None = None
        backend = record.backend
        record.last_seen_s = now_s
        if not record.is_open:
            self._open(flow_key, record, segment, now_s)
        elif _is_later(segment.acknowledged, record.acknowledged):
            record.acknowledged = segment.acknowledged
            requested_s = backend.pending_requests.pop(flow_key, None)
            self._record_response(backend, now_s, requested_s)
            if requested_s is not None:
                answer_latency_s = now_s - requested_s
                _update_mean_latency(backend, answer_latency_s)
                self.latencies['first_answer'].add(answer_latency_s)
                latency_s = (
                    None if record.is_retransmitted else answer_latency_s
                )
        if segment.size_bytes and not record.is_closing:
            self._record_request(flow_key, record, segment, now_s)
        if segment.is_closing and not record.is_closing:
            # The record is kept for the last packets of the flow.
            record.is_closing = True
            backend.flow_count -= 1
            backend.pending_requests.pop(flow_key, None)
        return latency_s

    def drop(self, flow_key: bytes) -> None:
        """Drop the record of a flow that has ended."""
        record = self._records.pop(flow_key, None)
        if record is None:
            return
        for backend in record.tried:
            backend.pending_openings.pop(flow_key, None)
        record.backend.pending_requests.pop(flow_key, None)
        if record.is_open and not record.is_closing:
            record.backend.flow_count -= 1

    def sweep(self, idle_timeout_s: float, now_s: float) -> None:
        """Drop idle flows and sample the others, for a part of the records."""
        left = _SWEEP_RECORDS
        for flow_key in self._sweep:
            record = self._records.get(flow_key)
            if record and now_s - record.last_seen_s > idle_timeout_s:
                self.drop(flow_key)
            elif record and record.is_open:
                backend = record.backend
                self.busy_shares.record(
                    backend.entry.service_id,
                    is_busy=flow_key in backend.pending_requests,
                )
            left -= 1
            if not left:
                return
        self._sweep = iter(tuple(self._records))

    def expire_openings(self, now_s: float) -> None:
        """Remove pending openings that their callers have given up."""
        for backend in self.busy_backends:
            openings = backend.pending_openings
            while openings:
                flow_key, opened_s = next(iter(openings.items()))
                if now_s - opened_s < OPENING_LIFE_S:
                    break
                openings.pop(flow_key)

    def unanswered_requests(
        self, backend: Backend
    ) -> Sequence[tuple[bytes, int]]:
        """Return (flow key, acknowledged) of each unanswered request."""
        return [
            (flow_key, self._records[flow_key].acknowledged)
            for flow_key in backend.pending_requests
            if flow_key in self._records
        ]

    def _open(
        self,
        flow_key: bytes,
        record: FlowRecord,
        segment: Segment,
        now_s: float,
    ) -> None:
        answered_opening_s = None
        for tried in record.tried:
            opened_s = tried.pending_openings.pop(flow_key, None)
            if tried is record.backend and opened_s is not None:
                answered_opening_s = opened_s
                self.latencies['opening'].add(now_s - opened_s)
                self.usual_opening.record(now_s - opened_s)
        record.is_open = True
        record.datagram = b''
        record.acknowledged = segment.acknowledged
        record.sequence = segment.sequence
        record.backend.flow_count += 1
        self._record_response(record.backend, now_s, answered_opening_s)

    def _record_request(
        self,
        flow_key: bytes,
        record: FlowRecord,
        segment: Segment,
        now_s: float,
    ) -> None:
        backend = record.backend
        if flow_key not in backend.pending_requests:
            backend.pending_requests[flow_key] = now_s
            self.busy_backends[backend] = None
            record.request_packets = 0
            record.is_retransmitted = False
        elif not _is_later(segment.sequence, record.sequence):
            record.is_retransmitted = True
        if _is_later(segment.sequence, record.sequence):
            record.sequence = segment.sequence
            record.request_packets += 1
            if record.request_packets > _WINDOW_PACKETS:
                self._record_response(backend, now_s)

    def _record_response(
        self, backend: Backend, now_s: float, sent_s: float | None = None
    ) -> None:
        backend.record_answer(now_s, sent_s)
        answered = self.recently_answered
        answered.pop(backend, None)
        answered[backend] = None
        if len(answered) > _MAX_RECENTLY_ANSWERED:
            answered.pop(next(iter(answered)))


def _is_later(number: int, reference: int) -> bool:
    return 0 < (number - reference) & _NUMBER_MASK < _HALF_RANGE


def _update_mean_latency(backend: Backend, latency_s: float) -> None:
    mean_s = backend.mean_latency_s
    if mean_s:
        backend.mean_latency_s += (latency_s - mean_s) * _LATENCY_WEIGHT
    else:
        backend.mean_latency_s = latency_s
