"""Settings of the balancer process: flags and environment variables.

Every setting is a flag ``--some-name`` and a variable
``CURRANTSHORE_SOME_NAME``; the flag takes precedence. All settings are checked
at start, and one error lists all bad ones.
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

# Names whose variables are accepted and ignored, because an operator's shell
# may set them for the operators' commands.
_OPERATOR_SETTINGS: Final = ('operator', 'timeout_s', 'address_map')
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
class _SettingSpec:
    parse: Callable[[str], Any]
    accepted: str
    explanation: str
    default: str | None = None


def parse_endpoint(text: str) -> Endpoint:
    """Parse ``host:port``; raises ``ValueError``.

    The host may contain only the characters of an IP address.
    """
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


def _number_parser(lowest: float, highest: float) -> Callable[[str], float]:
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


def _choice_parser(choices: tuple[str, ...]) -> Callable[[str], str]:
    def parse(text: str) -> str:  # noqa: WPS430
        if text not in choices:
            raise ValueError(text)
        return text

    return parse


_ACCEPTED_NAME: Final = (
    'a name of 1 to 63 characters from a-z, 0-9 and "-" that starts and ends '
    'with a letter or digit'
)
_ACCEPTED_ADDRESS: Final = (
    'an IP address and a port as host:port, port 0 to 65535'
)

SPECS: Final[Mapping[str, _SettingSpec]] = {
    'host_id': _SettingSpec(
        _parse_name, _ACCEPTED_NAME, 'name of this entry host'
    ),
    'zone': _SettingSpec(
        _parse_name, _ACCEPTED_NAME, 'availability zone of this host'
    ),
    'pool_id': _SettingSpec(
        _parse_name, _ACCEPTED_NAME, 'pool that this host belongs to'
    ),
    'peer_key': _SettingSpec(
        _parse_key,
        '16 to 64 bytes in hexadecimal, the same on all hosts of the pool',
        'key that authenticates flow tokens and messages between balancers',
    ),
    'platform_url': _SettingSpec(
        _parse_url,
        'a URL that starts with http:// or https://',
        'object API of the platform',
    ),
    'peer_address': _SettingSpec(
        parse_endpoint,
        _ACCEPTED_ADDRESS,
        'UDP address for other balancers, as in the pool object',
    ),
    'rpc_address': _SettingSpec(
        parse_endpoint,
        _ACCEPTED_ADDRESS,
        'TCP address for other balancers, as in the pool object',
    ),
    'backend_address': _SettingSpec(
        parse_endpoint,
        _ACCEPTED_ADDRESS,
        'UDP address that backend servers answer to',
        '0.0.0.0:0',
    ),
    'admin_address': _SettingSpec(
        parse_endpoint,
        _ACCEPTED_ADDRESS,
        'TCP address of /metrics, /healthz and /readyz',
        '127.0.0.1:9464',
    ),
    'service_host': _SettingSpec(
        _parse_host,
        'an IP address, or empty for the declared address of each service',
        'IP address at which this host receives the packets of all services',
        '',
    ),
    'service_addresses': _SettingSpec(
        _parse_addresses,
        'a list service=host:port,..., or empty',
        'addresses of individual services on this host, instead of the '
        'declared ones',
        '',
    ),
    'seed_peers': _SettingSpec(
        _parse_endpoints,
        'a list host:port,... of rpc addresses, or empty',
        'balancers to fetch configuration from at start and while the '
        'platform is down',
        '',
    ),
    'drain_timeout_s': _SettingSpec(
        _number_parser(0, 3600),
        'a number of seconds from 0 to 3600',
        'how long a stopping balancer may take to finish requests',
        '30',
    ),
    'leave_linger_s': _SettingSpec(
        _number_parser(0, 600),
        'a number of seconds from 0 to 600',
        'how long a stopping balancer keeps forwarding, because the fabric '
        '(the network in front of the hosts) detects the leave with a delay',
        '2',
    ),
    'platform_timeout_s': _SettingSpec(
        _number_parser(0.1, 60),
        'a number of seconds from 0.1 to 60',
        'how long to wait for an answer from the platform',
        '2',
    ),
    'status_interval_s': _SettingSpec(
        _number_parser(1, 3600),
        'a number of seconds from 1 to 3600',
        'time between two writes of the status object',
        '5',
    ),
    'seed': _SettingSpec(
        _parse_seed,
        'an integer from 0 to 2**63 - 1',
        'seed of all random choices',
        '0',
    ),
    'log_format': _SettingSpec(
        _choice_parser(LOG_FORMATS),
        f'one of {", ".join(LOG_FORMATS)}',
        'format of log lines',
        'json',
    ),
    'log_level': _SettingSpec(
        _choice_parser(LOG_LEVELS),
        f'one of {", ".join(LOG_LEVELS)}',
        'lowest level that is logged',
        'info',
    ),
}


class _Parser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        raise SettingsError([message])


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the flags, which does not check their values."""
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
    """Read flags and variables.

    Raises:
        SettingsError: lists every bad setting.
    """
    flags, unknown = build_parser().parse_known_args(list(argv))
    problems = [f'{flag!r} is not a known flag' for flag in unknown]
    problems += _unknown_variables(environment)
    accepted: dict[str, Any] = {}
    for name in SPECS:
        text = getattr(flags, name)
        if text is None:
            text = environment.get(variable_name(name))
        try:
            accepted[name] = _parse_setting(name, text)
        except SettingsError as error:
            problems.extend(error.problems)
    if problems:
        raise SettingsError(problems)
    return Settings(**accepted)


def _unknown_variables(environment: Mapping[str, str]) -> list[str]:
    known = {variable_name(name) for name in (*SPECS, *_OPERATOR_SETTINGS)}
    return [
        f'{name} is not a known variable'
        for name in sorted(environment)
        if name.startswith(_PREFIX) and name not in known
    ]


def _parse_setting(name: str, given: str | None) -> Any:
    spec = SPECS[name]
    text = spec.default if given is None else given
    label = f'{flag_name(name)} ({variable_name(name)})'
    if text is None:
        raise SettingsError([f'{label} is missing; expected {spec.accepted}'])
    try:
        return spec.parse(text)
    except ValueError as error:
        # The key is a secret and must not appear in logs.
        shown = '<hidden>' if name == 'peer_key' else repr(text)
        raise SettingsError(
            [f'{label} is {shown}; expected {spec.accepted}'],
        ) from error
