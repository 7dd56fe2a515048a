"""What a soak checks while it runs, from what callers and servers see."""

import dataclasses
from collections.abc import Iterable
from typing import Final

from standins.packetends import PacketBackend

# The users' bounds: a drain and a configuration are in force within 3 s, for
# hosts, servers and a store that nothing has disturbed for 4 s.
IN_FORCE_S: Final = 3.0
STABLE_S: Final = 4.0

# How late this process may see what was sent in time, on a busy machine.
_SLACK_S: Final = 0.5


@dataclasses.dataclass(slots=True)
class Disturbances:
    """When each part was disturbed last; hosts by address, servers by name."""

    hosts_s: dict[str, float] = dataclasses.field(default_factory=dict)
    backends_s: dict[str, float] = dataclasses.field(default_factory=dict)
    store_s: float = 0.0

    def is_host_calm(self, host: str, since_s: float, now_s: float) -> bool:
        """Tell whether nothing disturbed a host or the store since then."""
        last_s = max(self.hosts_s.get(host, 0), self.store_s)
        return last_s < min(since_s, now_s - STABLE_S)


class Promises:
    """Collects broken promises, one sentence each."""

    def __init__(self, disturbances: Disturbances) -> None:
        """Judge with the times of ``disturbances``."""
        self.broken: list[str] = []
        self.checked = 0
        self._disturbances = disturbances

    def check(self, is_kept: bool, sentence: str) -> None:
        """Note ``sentence`` unless the promise is kept."""
        self.checked += 1
        if not is_kept:
            self.broken.append(sentence)

    def judge_answer(self, flow: str, asked: bytes, answer: bytes) -> None:
        """An answer is the whole one to the flow's own request."""
        is_own = answer.partition(b':')[2] == asked
        self.check(is_own, f'{flow}: asked {asked!r}, got {answer!r}')

    def judge_reset(self, flow: str, backend: str, now_s: float) -> None:
        """An open flow is not reset while its server is undisturbed."""
        last_s = self._disturbances.backends_s.get(backend, 0)
        is_allowed = now_s - last_s < STABLE_S
        self.check(
            is_allowed,
            f'{flow}: reset at {now_s:.2f} while {backend} serves',
        )

    def judge_backends(
        self,
        backends: Iterable[PacketBackend],
        ports: dict[str, set[int]],
    ) -> None:
        """No packet reaches a server of another service or flow."""
        for backend in backends:
            self.check(
                not backend.strangers,
                f'{backend.name}: {backend.strangers} packets of others',
            )
            foreign = {one.service_port for one in backend.openings}
            foreign -= ports[backend.name]
            self.check(not foreign, f'{backend.name}: opened for {foreign}')

    def judge_drain(
        self,
        backend: PacketBackend,
        accepted_s: float,
        until_s: float,
    ) -> None:
        """A drained server gets no opening through a calm host."""
        for opening in backend.openings:
            is_late = (
                accepted_s + IN_FORCE_S + _SLACK_S < opening.at_s < until_s
            )
            if is_late and self._disturbances.is_host_calm(
                opening.entry_host, accepted_s, opening.at_s
            ):
                late_s = opening.at_s - accepted_s
                self.check(
                    False,
                    f'{backend.name}: opening {late_s:.2f} s after its drain, '
                    f'through {opening.entry_host}',
                )
        self.checked += 1
