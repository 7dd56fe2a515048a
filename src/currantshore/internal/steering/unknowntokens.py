"""Decides how to refuse packets whose tokens name no known backend.

Such tokens are forged, or belong to backends whose entries arrive late or have
just lapsed. The caller receives the refusal that its backend has gone only
after a grace period since the token was first unknown, during which this host
was current whenever such a token arrived.
"""

import math
from typing import Final, Self

from currantshore.codes import FlowRefusal
from currantshore.internal.steering.directory import LAPSE_GRACE_S
from currantshore.internal.steering.mechanisms import Mechanism, SwitchedOff

# A token that is in no entry of a current listing for this long belongs to a
# backend that has gone.
_GONE_AFTER_S: Final = LAPSE_GRACE_S

# Maximum number of stored tokens. If there are more, most are forged. All are
# then forgotten, and packets with unknown tokens get no answer for another
# grace period.
_MAX_TOKENS: Final = 256


class UnknownTokens:
    """Records when each unknown token was received first."""

    __slots__ = ('_first_seen_s', '_gone_after_s')

    def __init__(self, gone_after_s: float = _GONE_AFTER_S) -> None:
        """Initialize; unknown tokens count as gone after ``gone_after_s``."""
        self._first_seen_s: dict[int, float] = {}
        self._gone_after_s = gone_after_s

    @classmethod
    def from_config(cls, switched_off: SwitchedOff) -> Self:
        """Build; if switched off, no token ever counts as gone."""
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
            self._first_seen_s.clear()
            return FlowRefusal.TOKEN_UNKNOWN
        if len(self._first_seen_s) >= _MAX_TOKENS:
            self._first_seen_s.clear()
        first_seen_s = self._first_seen_s.setdefault(token, now_s)
        if now_s - first_seen_s < self._gone_after_s:
            return FlowRefusal.TOKEN_UNKNOWN
        return FlowRefusal.BACKEND_SERVER_GONE
