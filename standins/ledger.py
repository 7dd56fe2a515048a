"""Compares the answers to callers with the runs of backend servers."""

import dataclasses
from collections import Counter
from collections.abc import Iterable
from typing import Any, TypeAlias

from currantshore.codes import ResultCode
from standins.caller import Flow

# Service, caller address, request id.
RequestKey: TypeAlias = tuple[str, str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Counts of broken guarantees; each must be 0."""

    refused_but_ran: int
    ran_twice: int
    answered_but_not_run: int
    wrong_service: int


def count_runs(records: Iterable[Any]) -> Counter[RequestKey]:
    """Count the runs of each request over all backend servers."""
    runs: Counter[RequestKey] = Counter()
    for record in records:
        for caller, request_id, *_ in record['ran']:
            runs[(record['service_id'], caller, request_id)] += 1
    return runs


def compare(flows: Iterable[Flow], records: list[Any]) -> Verdict:
    """Compare every request of ``flows`` with the backends' records."""
    runs = count_runs(records)
    refused_but_ran = 0
    answered_but_not_run = 0
    for flow in flows:
        for outcome in flow.outcomes:
            ran = runs[(flow.service_id, flow.address, outcome.request_id)]
            refused_but_ran += outcome.is_refused_not_run() and ran > 0
            answered_but_not_run += outcome.code is ResultCode.OK and not ran
    return Verdict(
        refused_but_ran,
        _count_repeats(records),
        answered_but_not_run,
        sum(record['counts'].get('wrong_service', 0) for record in records),
    )


def _count_repeats(records: list[Any]) -> int:
    # A payload contains its flow, its request and whether it may run again.
    once: Counter[tuple[str, str, str]] = Counter()
    for record in records:
        for caller, _, _, _, payload in record['ran']:
            if payload.startswith('once:'):
                once[(record['service_id'], caller, payload)] += 1
    return sum(1 for count in once.values() if count > 1)
