"""Since when tokens that name no known backend server have been seen.

The load that this answers: forged tokens, and tokens of servers whose entries
come late or have just lapsed. Only what stays unknown to a host that is current
for a whole grace is told to have gone.
"""

import math
from typing import Final, Self

from currantshore.codes import FlowRefusal
from currantshore.internal.steering.directory import LAPSE_GRACE_S
from currantshore.internal.steering.mechanisms import Mechanism, SwitchedOff

# A token that is in no entry of a current listing for this long is of a
# server that has gone.
_UNKNOWN_TOKEN_S: Final = LAPSE_GRACE_S

# Remembered tokens; more are forged and get no answer.
_MAX_TOKENS: Final = 256


class UnknownTokens:
    """Remembers when each unknown token was seen first."""

    __slots__ = ('_first_s', '_gone_after_s')

    def __init__(self, gone_after_s: float = _UNKNOWN_TOKEN_S) -> None:
        """Start without tokens; tell of none before ``gone_after_s``."""
        self._first_s: dict[int, float] = {}
        self._gone_after_s = gone_after_s

    @classmethod
    def from_config(cls, switched_off: SwitchedOff) -> Self:
        """Build; where it is switched off, no token is ever told to be gone."""
        is_off = Mechanism.UNKNOWN_TOKENS in switched_off
        return cls(math.inf) if is_off else cls()

    def refuse(
        self,
        token: int,
        now_s: float,
        *,
        is_current: bool,
    ) -> FlowRefusal:
        """Return the refusal of a packet with an unknown token."""
        if not is_current:
            self._first_s.clear()
            return FlowRefusal.TOKEN_UNKNOWN
        if len(self._first_s) >= _MAX_TOKENS:
            self._first_s.clear()
        first_s = self._first_s.setdefault(token, now_s)
        if now_s - first_s < self._gone_after_s:
            return FlowRefusal.TOKEN_UNKNOWN
        return FlowRefusal.BACKEND_SERVER_GONE
