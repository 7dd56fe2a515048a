"""Counters of the core, exported by the admin adapter."""

import enum
from collections import Counter

from currantshore.codes import DropReason, ResultCode, RetryReason


@enum.unique
class Count(enum.StrEnum):
    """Events and bytes counted besides refusals, retries and drops."""

    PACKETS_FORWARDED = 'packets_forwarded'
    PACKETS_DELIVERED = 'packets_delivered'
    FLOWS_PLACED = 'flows_placed'
    FLOWS_LOOKED_UP = 'flows_looked_up'
    FLOWS_ANSWERED = 'flows_answered'
    FLOWS_LOST_BACKEND = 'flows_lost_backend'
    FLOWS_SILENT = 'flows_silent'
    FLOWS_DECIDED_ALONE = 'flows_decided_alone'
    REQUESTS_RECEIVED = 'requests_received'
    REQUESTS_RUN = 'requests_run'
    REQUESTS_ANSWERED = 'requests_answered'
    REQUESTS_RELAYED = 'requests_relayed'
    REQUESTS_DUPLICATE = 'requests_duplicate'
    REQUESTS_CANCELLED = 'requests_cancelled'
    CONTROL_SENT_BYTES = 'control_sent_bytes'
    RELAY_SENT_BYTES = 'relay_sent_bytes'
    CONFIGURATION_CHANGES = 'configuration_changes'
    PREPARE_TIMEOUTS = 'prepare_timeouts'
    SELF_SUSPICIONS = 'self_suspicions'


class Counters:
    """Monotonic counts by kind; an adapter exports them as metrics."""

    __slots__ = ('counts', 'drops', 'refusals', 'retries')

    def __init__(self) -> None:
        """Initialize every count to zero."""
        self.counts: Counter[Count] = Counter()
        self.refusals: Counter[ResultCode] = Counter()
        self.retries: Counter[RetryReason] = Counter()
        self.drops: Counter[DropReason] = Counter()

    def count(self, kind: Count, amount: int = 1) -> None:
        """Add ``amount`` to ``kind``."""
        self.counts[kind] += amount

    def refuse(self, code: ResultCode) -> None:
        """Count one refusal."""
        self.refusals[code] += 1

    def retry(self, reason: RetryReason) -> None:
        """Count one retry."""
        self.retries[reason] += 1

    def drop(self, reason: DropReason) -> None:
        """Count one dropped datagram."""
        self.drops[reason] += 1
