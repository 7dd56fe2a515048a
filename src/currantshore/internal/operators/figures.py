"""Figures of a declaration, derived from what matters most to the user.

Each figure comes with its reason, which the questionnaire writes next to it.
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

_FigureT = TypeVar('_FigureT')

# Fewer buckets for a backend server add more imbalance than the flows do.
BUCKETS_PER_BACKEND: Final = 2048

# A heartbeat is sent each 0.5 s; the news of a change and its acknowledgement
# take two of them.
_TWO_HEARTBEATS_S: Final = 1.0
# Hops that gossip, lookups and handovers of one change may need in a row.
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
# Sum of the shares, weight of the most urgent class, reason.
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
_QUEUES: Final = 'no more than can meet the deadline at the usual run time.'
_FLOOD_QUEUES: Final = (
    'no more than can meet the deadline at the usual run time, and half of '
    'that for the less urgent, so that a flood is refused early.'
)


@dataclasses.dataclass(frozen=True, slots=True)
class Figure(Generic[_FigureT]):
    """A value and why it was chosen."""

    value: _FigureT
    reason: str


def bucket_count(answers: Answers, service: ServiceAnswers) -> Figure[int]:
    """Choose the number of buckets; it is fixed for the service's life."""
    expected = service.expected_backend_count or 0
    most = max(service.backend_count, expected)
    lowest = min(MAX_BUCKET_COUNT, _power_of_two(BUCKETS_PER_BACKEND * most))
    if answers.concern is Concern.IMBALANCE:
        more = min(MAX_BUCKET_COUNT, 4 * lowest)
        return Figure(
            more,
            'Imbalance matters most: four times the needed buckets for up to '
            f'{most} backend servers halve the unevenness of the table, for 2 '
            'bytes of memory for each bucket and table. It is fixed.',
        )
    return Figure(
        lowest,
        f'The next power of two above {BUCKETS_PER_BACKEND} buckets for each '
        f'of up to {most} backend servers, so that buckets add less '
        'imbalance than the flows themselves. It is fixed.',
    )


def flow_idle_timeout_s(
    answers: Answers,
    service: ServiceAnswers,
) -> Figure[float]:
    """Choose how long a silent flow is remembered."""
    silence_s = service.longest_silence_s
    factor, why = dict(_IDLE_FACTORS)[answers.concern]
    return Figure(
        float(math.ceil(silence_s * factor)),
        f'Flows are silent for up to {silence_s:g} s; {why}.',
    )


def answer_timeout_s(
    answers: Answers,
    service: ServiceAnswers,
) -> Figure[float]:
    """Choose after how long a run without an answer is given up."""
    longest_ms = max(one.deadline_ms for one in service.requests)
    one_way_ms = answers.zone_delay_ms + answers.caller_delay_ms
    round_trip_ms = 2 * one_way_ms
    factor, why = dict(_ANSWER_FACTORS)[answers.concern]
    chosen_ms = longest_ms * factor + round_trip_ms
    return Figure(
        math.ceil(chosen_ms / 100) / 10,
        f'The longest deadline is {longest_ms} ms; {why}; plus a round trip '
        f'of {round_trip_ms:g} ms.',
    )


def prepare_timeout_s(answers: Answers) -> Figure[float]:
    """Choose how long a change waits for hosts that do not acknowledge."""
    wished_s, why = dict(_PREPARE_TIMEOUTS_S)[answers.concern]
    delay_s = answers.zone_delay_ms * _HOPS_PER_CHANGE / _MS_PER_S
    lowest_s = _TWO_HEARTBEATS_S + delay_s
    chosen_s = min(_MAX_PREPARE_TIMEOUT_S, max(wished_s, lowest_s))
    return Figure(round(chosen_s, 2), f'{why}.')


def share_ratios(
    answers: Answers,
    service: ServiceAnswers,
) -> Figure[Sequence[float]]:
    """Choose the guaranteed share of each class, the most urgent first."""
    given = [one.guaranteed_share_ratio for one in service.requests]
    fixed = [one for one in given if one is not None]
    if len(fixed) == len(given):
        reason = 'As in the answers; a class may use what others leave free.'
        return Figure(fixed, reason)
    limit, first_weight, why = dict(_SHARE_RULES)[answers.concern]
    weights = [first_weight, *(1 for _ in given[1:])]
    shares = _fill_shares(given, weights, max(0, limit - sum(fixed)))
    return Figure(shares, f'{why}; a class may use what others leave free.')


def _fill_shares(
    given: Sequence[float | None],
    weights: Sequence[int],
    left: float,
) -> list[float]:
    open_weight = sum(
        weight
        for weight, one in zip(weights, given, strict=True)
        if one is None
    )
    return [
        _floor_share(left * weight / open_weight) if one is None else one
        for weight, one in zip(weights, given, strict=True)
    ]


def queue_limits(
    answers: Answers,
    service: ServiceAnswers,
) -> Figure[Sequence[int]]:
    """Choose how many requests of each class wait on one host."""
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
    return Figure(limits, _FLOOD_QUEUES if is_halved else _QUEUES)


def _clamp_queue(useful: float, *, is_halved: bool) -> int:
    lowest, highest = _QUEUE_LIMITS
    wished = math.ceil(useful / 2 if is_halved else useful)
    return min(highest, max(lowest, wished))


def _power_of_two(number: int) -> int:
    return 1 << (number - 1).bit_length()


def _floor_share(share: float) -> float:
    # Rounding down keeps the sum of the shares at most 1.0; the tolerance
    # undoes binary fractions such as 0.8 / 4 = 0.19999.
    return math.floor(share * 100 + 1e-6) / 100
