"""What a host remembers of the flows that pass it.

Nothing here is needed to forward a packet: the token in it names the server.
A record tells which server answers and which does not, since only packets of
callers pass a host; a server's answers show in what callers acknowledge.
"""

from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple

from currantshore.internal.steering.busyshares import build_flow_shares
from currantshore.internal.steering.directory import Backend
from currantshore.internal.steering.latencies import LatencyCounts
from currantshore.internal.steering.mechanisms import NOTHING_OFF, SwitchedOff
from currantshore.internal.steering.quantiles import RunningQuantile

# A caller has at most this many packets in flight, so that a later one shows
# that the server acknowledged some.
_WINDOW_PACKETS: Final = 16

# Weight of the newest sample in a server's mean latency: about the last ten.
_LATENCY_WEIGHT: Final = 0.1

# Servers that answered last, from which a control is taken when one is silent.
_MAX_ANSWERED: Final = 8

# A caller gives an opening up after 1.4 s.
OPENING_LIFE_S: Final = 1.5

# Of openings that are answered, 19 in 20 take the usual time or less.
_USUAL_SHARE: Final = 0.95
_OPENING_PRIOR_S: Final = 0.015

# Sequence and acknowledgement numbers are 32 bits wide and wrap.
_NUMBER_MASK: Final = 0xFFFFFFFF
_HALF_RANGE: Final = 0x80000000

# Records looked at in each sweep, so that a sweep of a large table never
# holds up packets.
_SWEEP_RECORDS: Final = 400


class Segment(NamedTuple):
    """A packet of a caller after the opening one.

    ``sequence`` and ``acknowledged`` count bytes and wrap at 32 bits. A caller
    that is closing sends no further request; at the end it holds the flow no
    longer.
    """

    token: int
    sequence: int
    acknowledged: int
    size_bytes: int
    is_closing: bool
    is_end: bool


class FlowRecord:
    """One flow: its server and how far either side has come."""

    __slots__ = (
        'acknowledged',
        'address_key',
        'asked_packets',
        'backend',
        'datagram',
        'is_closing',
        'is_open',
        'is_repeated',
        'seen_s',
        'sequence',
        'tried',
    )

    def __init__(self, backend: Backend, now_s: float) -> None:
        """Start a record that no packet after the opening has reached."""
        self.backend = backend
        self.tried: tuple[Backend, ...] = (backend,)
        self.address_key = b''
        self.datagram = b''
        self.seen_s = now_s
        self.is_open = False
        self.is_closing = False
        self.is_repeated = False
        self.acknowledged = 0
        self.sequence = 0
        self.asked_packets = 0

    def has_tried(self, token: int) -> bool:
        """Tell whether the opening went to the server of ``token``."""
        return any(tried.token == token for tried in self.tried)

    def is_near(self, acknowledged: int, reach_bytes: int) -> bool:
        """Tell whether a number lies about where the flow has come to."""
        ahead_bytes = (acknowledged - self.acknowledged) & _NUMBER_MASK
        return min(ahead_bytes, _NUMBER_MASK - ahead_bytes) <= reach_bytes


class FlowRecords:
    """Records by flow key, and the evidence that they give on servers."""

    __slots__ = (
        '_records',
        '_sweep',
        'answered',
        'busy',
        'busy_shares',
        'latencies',
        'usual_opening_s',
    )

    def __init__(self, switched_off: SwitchedOff = NOTHING_OFF) -> None:
        """Start without flows."""
        self._records: dict[bytes, FlowRecord] = {}
        self._sweep: Iterator[bytes] = iter(())
        # Servers in order of their newest answer; few are kept.
        self.answered: dict[Backend, None] = {}
        # Servers with an opening or a request that they have not answered;
        # the watches take out those that are idle.
        self.busy: dict[Backend, None] = {}
        self.busy_shares = build_flow_shares(switched_off)
        self.usual_opening_s = RunningQuantile(_USUAL_SHARE, _OPENING_PRIOR_S)
        self.latencies = {
            'opening': LatencyCounts(),
            'first_answer': LatencyCounts(),
        }

    def __len__(self) -> int:
        return len(self._records)

    def find(self, flow_key: bytes) -> FlowRecord | None:
        """Return the record of a flow."""
        return self._records.get(flow_key)

    def begin(
        self,
        flow_key: bytes,
        backend: Backend,
        now_s: float,
    ) -> FlowRecord:
        """Record an opening that is sent to ``backend``."""
        self.drop(flow_key)
        record = FlowRecord(backend, now_s)
        self._records[flow_key] = record
        backend.openings[flow_key] = now_s
        self.busy[backend] = None
        return record

    def try_again(
        self,
        flow_key: bytes,
        record: FlowRecord,
        backend: Backend,
        now_s: float,
    ) -> None:
        """Record a copy of the opening that is sent to another server."""
        record.tried = (*record.tried, backend)
        record.backend = backend
        record.seen_s = now_s
        backend.openings[flow_key] = now_s
        self.busy[backend] = None

    def join(
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

    def note_segment(
        self,
        flow_key: bytes,
        record: FlowRecord,
        segment: Segment,
        now_s: float,
    ) -> float | None:
        """Learn from a packet what the flow's server has done.

        Returns the latency in seconds of an answer that the packet shows; none
        where the request was sent again, since a loss has delayed that answer.
        """
        latency_s: float | None = None
        backend = record.backend
        record.seen_s = now_s
        if not record.is_open:
            self._open(flow_key, record, segment, now_s)
        elif _is_later(segment.acknowledged, record.acknowledged):
            record.acknowledged = segment.acknowledged
            self._note_alive(backend, now_s)
            asked_s = backend.asked.pop(flow_key, None)
            if asked_s is not None:
                answered_in_s = now_s - asked_s
                _note_latency(backend, answered_in_s)
                self.latencies['first_answer'].add(answered_in_s)
                latency_s = None if record.is_repeated else answered_in_s
        if segment.size_bytes and not record.is_closing:
            self._note_request(flow_key, record, segment, now_s)
        if segment.is_closing and not record.is_closing:
            # The record stays for the packets that end the flow.
            record.is_closing = True
            backend.flow_count -= 1
            backend.asked.pop(flow_key, None)
        return latency_s

    def drop(self, flow_key: bytes) -> None:
        """Forget a flow that has ended."""
        record = self._records.pop(flow_key, None)
        if record is None:
            return
        for backend in record.tried:
            backend.openings.pop(flow_key, None)
        record.backend.asked.pop(flow_key, None)
        if record.is_open and not record.is_closing:
            record.backend.flow_count -= 1

    def sweep(self, idle_timeout_s: float, now_s: float) -> None:
        """Look at some flows; forget those that were idle for too long."""
        left = _SWEEP_RECORDS
        for flow_key in self._sweep:
            record = self._records.get(flow_key)
            if record and now_s - record.seen_s > idle_timeout_s:
                self.drop(flow_key)
            elif record and record.is_open:
                backend = record.backend
                self.busy_shares.note(
                    backend.entry.service_id,
                    is_at_work=flow_key in backend.asked,
                )
            left -= 1
            if not left:
                return
        self._sweep = iter(tuple(self._records))

    def expire_openings(self, now_s: float) -> None:
        """Forget openings that their callers have given up."""
        for backend in self.busy:
            openings = backend.openings
            while openings:
                flow_key, opened_s = next(iter(openings.items()))
                if now_s - opened_s < OPENING_LIFE_S:
                    break
                openings.pop(flow_key)

    def in_progress(self, backend: Backend) -> Sequence[tuple[bytes, int]]:
        """Return (flow key, acknowledged) of requests without an answer."""
        return [
            (flow_key, self._records[flow_key].acknowledged)
            for flow_key in backend.asked
            if flow_key in self._records
        ]

    def _open(
        self,
        flow_key: bytes,
        record: FlowRecord,
        segment: Segment,
        now_s: float,
    ) -> None:
        for tried in record.tried:
            opened_s = tried.openings.pop(flow_key, None)
            if tried is record.backend and opened_s is not None:
                self.latencies['opening'].add(now_s - opened_s)
                self.usual_opening_s.note(now_s - opened_s)
        record.is_open = True
        record.datagram = b''
        record.acknowledged = segment.acknowledged
        record.sequence = segment.sequence
        record.backend.flow_count += 1
        self._note_alive(record.backend, now_s)

    def _note_request(
        self,
        flow_key: bytes,
        record: FlowRecord,
        segment: Segment,
        now_s: float,
    ) -> None:
        backend = record.backend
        if flow_key not in backend.asked:
            backend.asked[flow_key] = now_s
            self.busy[backend] = None
            record.asked_packets = 0
            record.is_repeated = False
        elif not _is_later(segment.sequence, record.sequence):
            record.is_repeated = True
        if _is_later(segment.sequence, record.sequence):
            record.sequence = segment.sequence
            record.asked_packets += 1
            if record.asked_packets > _WINDOW_PACKETS:
                self._note_alive(backend, now_s)

    def _note_alive(self, backend: Backend, now_s: float) -> None:
        backend.last_answer_s = now_s
        answered = self.answered
        answered.pop(backend, None)
        answered[backend] = None
        if len(answered) > _MAX_ANSWERED:
            answered.pop(next(iter(answered)))


def _is_later(number: int, than: int) -> bool:
    return 0 < (number - than) & _NUMBER_MASK < _HALF_RANGE


def _note_latency(backend: Backend, latency_s: float) -> None:
    known_s = backend.latency_s
    if known_s:
        backend.latency_s += (latency_s - known_s) * _LATENCY_WEIGHT
    else:
        backend.latency_s = latency_s
