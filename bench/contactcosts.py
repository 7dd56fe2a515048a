"""What a core does when it first hears of all hosts of its pool."""

import time
from collections.abc import Collection
from typing import Any, Final, TypeAlias

from bench.fits import fit_line
from bench.statecosts import new_core
from bench.virtualpool import PEER_KEY, build_pool
from currantshore.core import BalancerCore
from currantshore.internal import peerwire
from currantshore.internal.events import (
    Action,
    HandoverFinished,
    HandOverFlows,
    PeerDatagram,
)
from currantshore.internal.hashing import short_hash
from currantshore.internal.members.configuration import digest_of

Figures: TypeAlias = dict[str, Any]

_BACKENDS_PER_SERVICE: Final = 2
_TICK_S: Final = 0.05
_TICKS: Final = 40
_TICKS_PER_BEAT: Final = 10


def measure_contact(hosts: Collection[int], services: int) -> Figures:
    """Return handovers and CPU time of the first two seconds by hosts."""
    sizes = list(hosts)
    rows = [_contact(size, services) for size in sizes]
    return {
        'hosts': sizes,
        'services': services,
        'rows': rows,
        'fit_handovers': fit_line(sizes, [row['handovers'] for row in rows]),
        'fit_cpu_s': fit_line(sizes, [row['cpu_s'] for row in rows]),
    }


def _contact(host_count: int, services: int) -> Figures:
    core = new_core(build_pool(host_count, services, _BACKENDS_PER_SERVICE))
    names = [f'host-{place:02}' for place in range(1, host_count)]
    handovers: list[HandOverFlows] = []
    started_s = time.process_time()
    for step in range(1, 1 + _TICKS):
        now_s = 1.0 + step * _TICK_S
        actions: list[Action] = []
        if step % _TICKS_PER_BEAT == 1:
            for name in names:
                beat = _heartbeat(core, name, step)
                actions.extend(core.handle(beat, now_s))
        actions.extend(core.tick(now_s))
        found = [one for one in actions if isinstance(one, HandOverFlows)]
        handovers.extend(found)
        for one in found:
            core.handle(_acknowledged(one), now_s)
    empty = [each for each in handovers if not any(each.flows.values())]
    return {
        'handovers': len(handovers),
        'empty_handovers': len(empty),
        'cpu_s': round(time.process_time() - started_s, 3),
    }


def _heartbeat(core: BalancerCore, name: str, counter: int) -> PeerDatagram:
    beat = peerwire.Heartbeat(
        sender=name,
        incarnation=5,
        is_leaving=False,
        is_warm=True,
        counters={short_hash(name): (5, counter)},
        configuration_digest=digest_of(core.pool()),
        prepared_digest=0,
        demands={},
    )
    return PeerDatagram(peerwire.seal(beat, PEER_KEY))


def _acknowledged(action: HandOverFlows) -> HandoverFinished:
    return HandoverFinished(
        action.host_id,
        action.service_id,
        action.handover_id,
        is_acknowledged=True,
    )
