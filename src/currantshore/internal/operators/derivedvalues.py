"""Values of a declaration, derived from what matters most to the user.

The questionnaire writes each value together with its reason.
"""

import dataclasses
import math
from collections.abc import Sequence
from typing import Final, Generic, TypeVar

from currantshore.internal.operators.answers import (
    Answers,
    Concern,
    ServiceAnswers,
)
from currantshore.internal.snapshot import MAX_BUCKET_COUNT

_ValueT = TypeVar('_ValueT')

# With fewer buckets for each backend server, the buckets add more imbalance
# than the flows themselves.
BUCKETS_PER_BACKEND: Final = 2048

# Heartbeats are sent every 0.5 s; spreading a change and acknowledging it takes
# two of them.
_TWO_HEARTBEATS_S: Final = 1.0
# Consecutive hops that gossip, lookups and handovers of one change may need.
_HOPS_PER_CHANGE: Final = 20
_MAX_PREPARE_TIMEOUT_S: Final = 2.5
_QUEUE_LIMITS: Final = (16, 1024)
_MS_PER_S: Final = 1000


_IDLE_FACTORS: Final = (
    (
        Concern.BROKEN_FLOWS,
        (3.0, 'three times that, so that a late packet still finds its flow'),
    ),
    (
        Concern.IMBALANCE,
        (
            1.25,
            'a quarter more, because a moved bucket is used by new flows '
            'only as fast as old ones are forgotten',
        ),
    ),
    (
        Concern.FLOODS,
        (2.0, 'twice that, to spare memory for the flows of a flood'),
    ),
)
_ANSWER_FACTORS: Final = (
    (
        Concern.BROKEN_FLOWS,
        (2.0, 'twice that, because a late answer is better than none'),
    ),
    (Concern.IMBALANCE, (1.5, 'half more')),
    (
        Concern.FLOODS,
        (1.25, 'a quarter more, because a slot that waits is missing'),
    ),
)
_PREPARE_TIMEOUTS_S: Final = (
    (
        Concern.BROKEN_FLOWS,
        (
            _MAX_PREPARE_TIMEOUT_S,
            'The longest wait with which a drain stops new work within 3 s, '
            'so that a slow host still hands over its flows',
        ),
    ),
    (
        Concern.IMBALANCE,
        (1.5, 'A host that does not acknowledge delays the even spread'),
    ),
    (
        Concern.FLOODS,
        (
            2.0,
            'A host that is busy with a flood gets time to acknowledge, and '
            'a drain still stops new work within 3 s',
        ),
    ),
)
# By concern: sum of all shares, weight of the most urgent class, reason.
_SHARE_RULES: Final = (
    (
        Concern.BROKEN_FLOWS,
        (
            0.8,
            2,
            'Broken work matters most: the most urgent kind keeps twice the '
            'share of each other',
        ),
    ),
    (Concern.IMBALANCE, (0.8, 1, 'All kinds of work keep equal shares')),
    (
        Concern.FLOODS,
        (
            0.9,
            1,
            'Floods matter most: all kinds of work keep equal shares in a '
            'flood of any other, and little is left unreserved',
        ),
    ),
)
_QUEUE_REASON: Final = (
    'no more than can meet the deadline at the usual run time.'
)
_FLOOD_QUEUE_REASON: Final = (
    'no more than can meet the deadline at the usual run time, and half of '
    'that for the less urgent, so that a flood is refused early.'
)


@dataclasses.dataclass(frozen=True, slots=True)
class DerivedValue(Generic[_ValueT]):
    """A value and the reason for it."""

    value: _ValueT
    reason: str


def bucket_count(
    answers: Answers, service: ServiceAnswers
) -> DerivedValue[int]:
    """Choose the number of buckets; it is fixed for the service's lifetime."""
    expected = service.expected_backend_count or 0
    max_count = max(service.backend_count, expected)
    needed = min(
        MAX_BUCKET_COUNT, _power_of_two(BUCKETS_PER_BACKEND * max_count)
    )
    if answers.concern is Concern.IMBALANCE:
        increased = min(MAX_BUCKET_COUNT, 4 * needed)
        return DerivedValue(
            increased,
            'Imbalance matters most: four times the needed buckets for up to '
            f'{max_count} backend servers halve the unevenness of the table, '
            'for 2 bytes of memory for each bucket and table. It is fixed.',
        )
    return DerivedValue(
        needed,
        f'The next power of two above {BUCKETS_PER_BACKEND} buckets for each '
        f'of up to {max_count} backend servers, so that buckets add less '
        'imbalance than the flows themselves. It is fixed.',
    )


def flow_idle_timeout_s(
    answers: Answers,
    service: ServiceAnswers,
) -> DerivedValue[float]:
    """Choose after how many idle seconds a flow expires."""
    silence_s = service.longest_silence_s
    factor, why = dict(_IDLE_FACTORS)[answers.concern]
    return DerivedValue(
        float(math.ceil(silence_s * factor)),
        f'Flows are silent for up to {silence_s:g} s; {why}.',
    )


def answer_timeout_s(
    answers: Answers,
    service: ServiceAnswers,
) -> DerivedValue[float]:
    """Choose the timeout of a run that sends no answer."""
    longest_ms = max(request.deadline_ms for request in service.requests)
    one_way_ms = answers.zone_delay_ms + answers.caller_delay_ms
    round_trip_ms = 2 * one_way_ms
    factor, why = dict(_ANSWER_FACTORS)[answers.concern]
    chosen_ms = longest_ms * factor + round_trip_ms
    return DerivedValue(
        math.ceil(chosen_ms / 100) / 10,
        f'The longest deadline is {longest_ms} ms; {why}; plus a round trip '
        f'of {round_trip_ms:g} ms.',
    )


def prepare_timeout_s(answers: Answers) -> DerivedValue[float]:
    """Choose how long a change waits for hosts to acknowledge it."""
    preferred_s, why = dict(_PREPARE_TIMEOUTS_S)[answers.concern]
    delay_s = answers.zone_delay_ms * _HOPS_PER_CHANGE / _MS_PER_S
    lowest_s = _TWO_HEARTBEATS_S + delay_s
    chosen_s = min(_MAX_PREPARE_TIMEOUT_S, max(preferred_s, lowest_s))
    return DerivedValue(round(chosen_s, 2), f'{why}.')


def share_ratios(
    answers: Answers,
    service: ServiceAnswers,
) -> DerivedValue[Sequence[float]]:
    """Choose the guaranteed share of each class, most urgent first."""
    given_shares = [
        request.guaranteed_share_ratio for request in service.requests
    ]
    fixed_shares = [share for share in given_shares if share is not None]
    if len(fixed_shares) == len(given_shares):
        reason = 'As in the answers; a class may use what others leave free.'
        return DerivedValue(fixed_shares, reason)
    share_limit, first_weight, why = dict(_SHARE_RULES)[answers.concern]
    weights = [first_weight, *(1 for _ in given_shares[1:])]
    shares = _fill_shares(
        given_shares, weights, max(0, share_limit - sum(fixed_shares))
    )
    return DerivedValue(
        shares, f'{why}; a class may use what others leave free.'
    )


def _fill_shares(
    given_shares: Sequence[float | None],
    weights: Sequence[int],
    remaining: float,
) -> list[float]:
    total_weight = sum(
        weight
        for weight, share in zip(weights, given_shares, strict=True)
        if share is None
    )
    return [
        _floor_share(remaining * weight / total_weight)
        if share is None
        else share
        for weight, share in zip(weights, given_shares, strict=True)
    ]


def queue_limits(
    answers: Answers,
    service: ServiceAnswers,
) -> DerivedValue[Sequence[int]]:
    """Choose how many requests of each class one host may queue."""
    slots = service.backend_count * service.slot_count
    runs_per_ms = slots / answers.host_count / service.typical_run_ms
    is_halved = answers.concern is Concern.FLOODS
    limits = [
        _clamp_queue(
            request.deadline_ms * runs_per_ms,
            is_halved=is_halved and urgency > 0,
        )
        for urgency, request in enumerate(service.requests)
    ]
    return DerivedValue(
        limits, _FLOOD_QUEUE_REASON if is_halved else _QUEUE_REASON
    )


def _clamp_queue(useful_limit: float, *, is_halved: bool) -> int:
    lowest, highest = _QUEUE_LIMITS
    preferred = math.ceil(useful_limit / 2 if is_halved else useful_limit)
    return min(highest, max(lowest, preferred))


def _power_of_two(number: int) -> int:
    return 1 << (number - 1).bit_length()


def _floor_share(share: float) -> float:
    # Rounding down keeps the sum of the shares at most 1.0; the tolerance
    # corrects binary fractions such as 0.29 * 100 = 28.99999.
    return math.floor(share * 100 + 1e-6) / 100
