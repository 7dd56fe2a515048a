"""Read the settings of the entry process from a file and from flags.

The file has ``CURRANTSHORE_NAME=text`` lines and is read again when it changes.
A flag ``--some-name`` takes precedence over the file. A single error names all
bad settings.
"""

import dataclasses
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, Final, TypeAlias

from currantshore.errors import SettingsError
from currantshore.internal.steering.mechanisms import Mechanism, SwitchedOff
from currantshore.wire import Endpoint

_PREFIX: Final = 'CURRANTSHORE_'
_FLAG_PREFIX: Final = '--'
_FILE_FLAG: Final = '--settings-file'
_MAX_PORT: Final = 65535
_IP_PARTS: Final = 4
_IP_PART_LIMIT: Final = 256


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Validated settings of one entry process.

    ``internal_ports`` is the first and the last port that the platform allows
    for traffic between hosts, the same on every host; this process uses the
    first. ``seed_addresses`` are the first hosts to contact, and may be stale;
    only their IP addresses are used. ``switched_off`` are the mechanisms that
    are replaced by a simpler baseline. ``has_evacuations`` is whether the
    platform's store can hold evacuations of zones. ``warmup_overshoot_ratio``
    and ``warmup_slack_openings`` are the bounds of ``WarmupBounds``.
    """

    host_id: str
    zone: str
    packet_address: Endpoint
    ready_address: Endpoint
    metrics_address: Endpoint | None
    seed_addresses: tuple[Endpoint, ...]
    internal_ports: tuple[int, int]
    store_address: Endpoint
    link_mbit_per_s: float
    grace_s: float
    switched_off: SwitchedOff
    has_evacuations: bool = False
    warmup_overshoot_ratio: float = 1.0
    warmup_slack_openings: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Spec:
    parse: Callable[[str], Any]
    accepted: str
    default: str | None = None


def parse_address(text: str) -> Endpoint:
    """Parse ``number:port`` of IP version 4; raises ``ValueError``."""
    host, _, port = text.rpartition(':')
    parts = [int(part) for part in host.split('.')]
    is_number = len(parts) == _IP_PARTS and all(
        0 <= part < _IP_PART_LIMIT for part in parts
    )
    if not is_number or not 0 <= int(port) <= _MAX_PORT:
        raise ValueError(text)
    return Endpoint(host, int(port))


def _parse_optional_address(text: str) -> Endpoint | None:
    return parse_address(text) if text else None


def _parse_addresses(text: str) -> tuple[Endpoint, ...]:
    return tuple(parse_address(part) for part in text.split(',') if part)


def _parse_name(text: str) -> str:
    if not text or text.split() != [text]:
        raise ValueError(text)
    return text


def _parse_ports(text: str) -> tuple[int, int]:
    first, last = (int(part) for part in text.split(','))
    if first < 1 or last < first or last > _MAX_PORT:
        raise ValueError(text)
    return first, last


def _parse_seconds(text: str) -> float:
    seconds = float(text)
    if not 0 <= seconds <= 3600:
        raise ValueError(text)
    return seconds


def _parse_flag(text: str) -> bool:
    if text not in {'', 'false', 'true'}:
        raise ValueError(text)
    return text == 'true'


_MAX_OVERSHOOT: Final = 100
_MAX_SLACK: Final = 1_000_000


def _parse_overshoot(text: str) -> float:
    ratio = float(text or 1)
    if not 1 <= ratio <= _MAX_OVERSHOOT:
        raise ValueError(text)
    return ratio


def _parse_slack(text: str) -> float:
    openings = float(text or 0)
    if not 0 <= openings <= _MAX_SLACK:
        raise ValueError(text)
    return openings


_MECHANISMS: Final = ', '.join(
    sorted(mechanism.value for mechanism in Mechanism)
)


def _parse_mechanisms(text: str) -> SwitchedOff:
    return frozenset(Mechanism(part) for part in text.split(',') if part)


# Setting texts by flag or variable name, and a sentence for each problem.
_TextsAndProblems: TypeAlias = tuple[dict[str, str], list[str]]


def _parse_rate(text: str) -> float:
    rate = float(text)
    if rate <= 0:
        raise ValueError(text)
    return rate


_ADDRESS: Final = 'an IPv4 address and a port as address:port'

SPECS: Final[Mapping[str, _Spec]] = {
    'host_id': _Spec(_parse_name, 'a name without blanks'),
    'zone': _Spec(_parse_name, 'a name without blanks'),
    'packet_address': _Spec(parse_address, _ADDRESS),
    'ready_address': _Spec(parse_address, _ADDRESS),
    'metrics_address': _Spec(
        _parse_optional_address, f'{_ADDRESS}, or empty', ''
    ),
    'seed_addresses': _Spec(
        _parse_addresses, 'a comma-separated list of address:port, or empty', ''
    ),
    'internal_ports': _Spec(
        _parse_ports, 'two ports first,last from 1 to 65535'
    ),
    'store_address': _Spec(parse_address, _ADDRESS),
    # Bandwidth of the host's own link.
    'link_mbit_per_s': _Spec(
        _parse_rate, 'a number above 0, in Mbit/s', '1000'
    ),
    # The platform's time between a stop request and killing the process.
    'grace_s': _Spec(_parse_seconds, 'a number of seconds up to 3600', '6'),
    # Whether operators can evacuate zones by objects of the store.
    'has_evacuations': _Spec(_parse_flag, "'true', 'false' or empty", ''),
    # How far the openings of a second at a cold backend server may exceed the
    # rate that the configuration states.
    'warmup_overshoot_ratio': _Spec(
        _parse_overshoot, 'a number from 1 to 100, or empty', ''
    ),
    'warmup_slack_openings': _Spec(
        _parse_slack, 'a number from 0 to 1000000, or empty', ''
    ),
    'switched_off': _Spec(
        _parse_mechanisms,
        f'a comma-separated list of {_MECHANISMS}, or empty',
        '',
    ),
}


def flag_name(name: str) -> str:
    """Return the flag of setting ``name``."""
    dashed = name.replace('_', '-')
    return f'{_FLAG_PREFIX}{dashed}'


def variable_name(name: str) -> str:
    """Return the name of setting ``name`` in the settings file."""
    return _PREFIX + name.upper()


def load_entry_settings(argv: Sequence[str]) -> EntrySettings:
    """Read the flags and the settings file that a flag names.

    Raises:
        SettingsError: with a sentence for each problem.
    """
    flags, problems = _read_flags(argv)
    path = flags.pop(_FILE_FLAG, '')
    texts: dict[str, str] = {}
    if path:
        texts, faults = _read_file(Path(path))
        problems += faults
    accepted: dict[str, Any] = {}
    for name, spec in SPECS.items():
        text = texts.get(variable_name(name), spec.default)
        text = flags.get(flag_name(name), text)
        try:
            accepted[name] = _parse(spec, text)
        except ValueError:
            problems.append(_describe(name, text))
    if problems:
        raise SettingsError(problems)
    return EntrySettings(**accepted)


def settings_file(argv: Sequence[str]) -> str:
    """Return the settings file that a flag names; empty for none."""
    return _read_flags(argv)[0].get(_FILE_FLAG, '')


def _describe(name: str, text: str | None) -> str:
    accepted = SPECS[name].accepted
    label = f'{flag_name(name)} ({variable_name(name)})'
    return f'{label} is {text!r}; expected {accepted}'


def _parse(spec: _Spec, text: str | None) -> Any:
    if text is None:
        raise ValueError('missing')
    return spec.parse(text)


def _read_flags(argv: Sequence[str]) -> _TextsAndProblems:
    known_names = {flag_name(name) for name in SPECS} | {_FILE_FLAG}
    flags: dict[str, str] = {}
    problems: list[str] = []
    remaining = list(argv)
    while remaining:
        name, separator, text = remaining.pop(0).partition('=')
        if not separator and remaining:
            text = remaining.pop(0)
        if name in known_names:
            flags[name] = text
        else:
            problems.append(f'{name!r} is not a known flag')
    return flags, problems


def _read_file(path: Path) -> _TextsAndProblems:
    try:
        text = path.read_text()
    except OSError as error:
        return {}, [f'{path}: {error}']
    texts: dict[str, str] = {}
    problems: list[str] = []
    known_names = {variable_name(name) for name in SPECS}
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        name, separator, value = stripped.partition('=')
        if separator and name in known_names:
            texts[name] = value
        elif stripped and not stripped.startswith('#'):
            problems.append(f'{path}, line {number}: {stripped!r} is unknown')
    return texts, problems
