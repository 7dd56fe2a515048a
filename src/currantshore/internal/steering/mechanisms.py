"""Names the mechanisms that can be switched off.

Each has a simple baseline that replaces it. Operators switch a mechanism off
when it misbehaves; ablation runs switch it off to measure its benefit. Objects
read the set of switched-off mechanisms only when they are built.
docs/OPERATIONS.md lists the baselines.
"""

import enum
from typing import Final, TypeAlias


@enum.unique
class Mechanism(enum.Enum):
    """A mechanism; its value is its name in settings."""

    LOAD_PLACEMENT = 'load_placement'
    BUSY_SHARES = 'busy_shares'
    ZONE_COSTS = 'zone_costs'
    SLOW_COSTS = 'slow_costs'
    SILENCE_COSTS = 'silence_costs'
    LAPSE_GRACE = 'lapse_grace'
    WARMUP_LIMIT = 'warmup_limit'
    OPENING_COPIES = 'opening_copies'
    OPENING_GATE = 'opening_gate'
    WAIT_SHARES = 'wait_shares'
    SERVER_CHECKS = 'server_checks'
    CHECK_CONTROL = 'check_control'
    REPLACED_ADDRESSES = 'replaced_addresses'
    STALL_DOUBT = 'stall_doubt'
    UNKNOWN_TOKENS = 'unknown_tokens'
    ZONE_READERS = 'zone_readers'
    HOST_MESSAGES = 'host_messages'
    STOP_LINGER = 'stop_linger'
    LATE_LIBRARIES = 'late_libraries'


SwitchedOff: TypeAlias = frozenset[Mechanism]

NOTHING_OFF: Final[SwitchedOff] = frozenset()
