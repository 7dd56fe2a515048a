"""Settings of the balancer process: flags and environment variables.

Every setting is a flag ``--some-name`` and a variable
``CURRANTSHORE_SOME_NAME``; a flag wins. All of them are checked at start, and
one error names every bad setting.
"""

import argparse
import dataclasses
import enum
import re
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, NoReturn

from currantshore.errors import SettingsError
from currantshore.internal.process.logs import LOG_FORMATS, LOG_LEVELS
from currantshore.wire import Endpoint

_PREFIX: Final = 'CURRANTSHORE_'

# Settings of the operators' commands, which an operator's shell may have set.
_OPERATORS_SETTINGS: Final = ('operator', 'timeout_s', 'address_map')
_NAME_PATTERN: Final = re.compile(r'[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?')
_HOST_PATTERN: Final = re.compile(r'[0-9A-Fa-f.:]+')
_MAX_PORT: Final = 65535
_MAX_KEY_SIZE_BYTES: Final = 64
_MIN_KEY_SIZE_BYTES: Final = 16
_MAX_SEED: Final = 2**63


@enum.unique
class ExitCode(enum.IntEnum):
    """Exit codes of the balancer process."""

    OK = 0
    INTERNAL_ERROR = 1
    BAD_SETTINGS = 2
    ADDRESS_UNAVAILABLE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Checked settings of one balancer process."""

    host_id: str
    zone: str
    pool_id: str
    peer_key: bytes
    platform_url: str
    peer_address: Endpoint
    rpc_address: Endpoint
    backend_address: Endpoint
    admin_address: Endpoint
    service_host: str
    service_addresses: Mapping[str, Endpoint]
    seed_peers: tuple[Endpoint, ...]
    drain_timeout_s: float
    leave_linger_s: float
    platform_timeout_s: float
    status_interval_s: float
    seed: int
    log_format: str
    log_level: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Spec:
    parse: Callable[[str], Any]
    accepted: str
    explanation: str
    default: str | None = None


def parse_endpoint(text: str) -> Endpoint:
    """Parse ``host:port`` with an IP number; raises ``ValueError``."""
    host, _, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    if not _HOST_PATTERN.fullmatch(host) or not 0 <= int(port) <= _MAX_PORT:
        raise ValueError(text)
    return Endpoint(host, int(port))


def _parse_name(text: str) -> str:
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


def _parse_host(text: str) -> str:
    if text and not _HOST_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


def _parse_key(text: str) -> bytes:
    key = bytes.fromhex(text)
    if not _MIN_KEY_SIZE_BYTES <= len(key) <= _MAX_KEY_SIZE_BYTES:
        raise ValueError(text)
    return key


def _parse_url(text: str) -> str:
    if not text.startswith(('http://', 'https://')):
        raise ValueError(text)
    return text.rstrip('/')


def _parse_endpoints(text: str) -> tuple[Endpoint, ...]:
    return tuple(parse_endpoint(part) for part in text.split(',') if part)


def _parse_addresses(text: str) -> dict[str, Endpoint]:
    parts = [part.split('=', 1) for part in text.split(',') if part]
    return {_parse_name(name): parse_endpoint(rest) for name, rest in parts}


def _number(lowest: float, highest: float) -> Callable[[str], float]:
    def parse(text: str) -> float:  # noqa: WPS430
        number = float(text)
        if not lowest <= number <= highest:
            raise ValueError(text)
        return number

    return parse


def _parse_seed(text: str) -> int:
    seed = int(text)
    if not 0 <= seed < _MAX_SEED:
        raise ValueError(text)
    return seed


def _choice(choices: tuple[str, ...]) -> Callable[[str], str]:
    def parse(text: str) -> str:  # noqa: WPS430
        if text not in choices:
            raise ValueError(text)
        return text

    return parse


_NAME: Final = 'a name of 1 to 63 characters from a-z, 0-9 and "-"'
_ADDRESS: Final = 'an IP number and a port as host:port, port 0 to 65535'

SPECS: Final[Mapping[str, _Spec]] = {
    'host_id': _Spec(_parse_name, _NAME, 'name of this entry host'),
    'zone': _Spec(_parse_name, _NAME, 'availability zone of this host'),
    'pool_id': _Spec(_parse_name, _NAME, 'pool that this host belongs to'),
    'peer_key': _Spec(
        _parse_key,
        '16 to 64 bytes in hexadecimal, the same on all hosts of the pool',
        'key that seals messages between balancers and flow tokens',
    ),
    'platform_url': _Spec(
        _parse_url,
        'a URL that starts with http:// or https://',
        'object API of the platform',
    ),
    'peer_address': _Spec(
        parse_endpoint,
        _ADDRESS,
        'UDP address for other balancers, as in the pool object',
    ),
    'rpc_address': _Spec(
        parse_endpoint,
        _ADDRESS,
        'TCP address for other balancers, as in the pool object',
    ),
    'backend_address': _Spec(
        parse_endpoint,
        _ADDRESS,
        'UDP address that backend servers answer to',
        '0.0.0.0:0',
    ),
    'admin_address': _Spec(
        parse_endpoint,
        _ADDRESS,
        'TCP address of /metrics, /healthz and /readyz',
        '127.0.0.1:9464',
    ),
    'service_host': _Spec(
        _parse_host,
        'an IP number, or empty for the address that the service declares',
        'IP number at which this host receives all services',
        '',
    ),
    'service_addresses': _Spec(
        _parse_addresses,
        'a list service=host:port,..., or empty',
        'addresses of single services on this host',
        '',
    ),
    'seed_peers': _Spec(
        _parse_endpoints,
        'a list host:port,... of rpc addresses, or empty',
        'balancers to ask for configuration while the platform is down',
        '',
    ),
    'drain_timeout_s': _Spec(
        _number(0, 3600),
        'a number of seconds from 0 to 3600',
        'how long a stopping balancer finishes requests',
        '30',
    ),
    'leave_linger_s': _Spec(
        _number(0, 600),
        'a number of seconds from 0 to 600',
        'how long a stopping balancer goes on forwarding, because the fabric '
        'learns late that it leaves',
        '2',
    ),
    'platform_timeout_s': _Spec(
        _number(0.1, 60),
        'a number of seconds from 0.1 to 60',
        'how long to wait for an answer of the platform',
        '2',
    ),
    'status_interval_s': _Spec(
        _number(1, 3600),
        'a number of seconds from 1 to 3600',
        'time between two writes of the status object',
        '5',
    ),
    'seed': _Spec(
        _parse_seed,
        'a whole number from 0 to 2**63 - 1',
        'seed of all random choices',
        '0',
    ),
    'log_format': _Spec(
        _choice(LOG_FORMATS),
        f'one of {", ".join(LOG_FORMATS)}',
        'form of log lines',
        'json',
    ),
    'log_level': _Spec(
        _choice(LOG_LEVELS),
        f'one of {", ".join(LOG_LEVELS)}',
        'lowest level that is logged',
        'info',
    ),
}


class _Parser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        raise SettingsError([message])


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the flags; it leaves all checks to us."""
    parser = _Parser('currantshore balancer', allow_abbrev=False)
    for name, spec in SPECS.items():
        default = '' if spec.default is None else f'; default {spec.default!r}'
        parser.add_argument(
            flag_name(name),
            dest=name,
            help=f'{spec.explanation} ({spec.accepted}{default})',
        )
    return parser


def flag_name(name: str) -> str:
    """Return the flag of setting ``name``."""
    dashed = name.replace('_', '-')
    return f'--{dashed}'


def variable_name(name: str) -> str:
    """Return the environment variable of setting ``name``."""
    return _PREFIX + name.upper()


def load_settings(
    argv: Sequence[str],
    environment: Mapping[str, str],
) -> Settings:
    """Read flags and variables; raises ``SettingsError`` with every fault."""
    given, unknown = build_parser().parse_known_args(list(argv))
    problems = [f'{flag!r} is not a known flag' for flag in unknown]
    problems += _unknown_variables(environment)
    accepted: dict[str, Any] = {}
    for name in SPECS:
        text = getattr(given, name)
        if text is None:
            text = environment.get(variable_name(name))
        try:
            accepted[name] = _read(name, text)
        except SettingsError as error:
            problems.extend(error.problems)
    if problems:
        raise SettingsError(problems)
    return Settings(**accepted)


def _unknown_variables(environment: Mapping[str, str]) -> list[str]:
    known = {variable_name(name) for name in (*SPECS, *_OPERATORS_SETTINGS)}
    return [
        f'{name} is not a known variable'
        for name in sorted(environment)
        if name.startswith(_PREFIX) and name not in known
    ]


def _read(name: str, given: str | None) -> Any:
    spec = SPECS[name]
    text = spec.default if given is None else given
    label = f'{flag_name(name)} ({variable_name(name)})'
    if text is None:
        raise SettingsError([f'{label} is missing; expected {spec.accepted}'])
    try:
        return spec.parse(text)
    except ValueError as error:
        # A key is a secret and must not end up in logs.
        shown = '<hidden>' if name == 'peer_key' else repr(text)
        raise SettingsError(
            [f'{label} is {shown}; expected {spec.accepted}'],
        ) from error
