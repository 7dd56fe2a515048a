"""Settings of the operators' commands: flags and environment variables.

Each of these settings has a flag ``--some-name`` and a variable
``CURRANTSHORE_SOME_NAME``; the flag takes precedence. One error lists all bad
settings.
"""

import dataclasses
import getpass
from collections.abc import Mapping
from pathlib import Path
from typing import Final, Self

from currantshore.errors import InvalidArgumentError, SettingsError
from currantshore.internal.operators.writers import check_operator

_PREFIX: Final = 'CURRANTSHORE_'
_DEFAULT_TIMEOUT_S: Final = '2.0'


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Checked settings; ``pool_id`` may be empty if it is not needed."""

    platform_url: str
    platform_timeout_s: float
    operator: str
    pool_id: str

    @classmethod
    def from_values(
        cls,
        flags: Mapping[str, str],
        environ: Mapping[str, str],
        *,
        needs_pool: bool,
    ) -> Self:
        """Read each setting from its flag, its variable or its default.

        Raises:
            SettingsError: lists every bad setting.
        """
        problems: list[str] = []
        settings = cls(
            _read_url(flags, environ, problems),
            _read_timeout_s(flags, environ, problems),
            _read_operator(flags, environ, problems),
            _find_value(flags, environ, 'pool_id'),
        )
        if needs_pool and not settings.pool_id:
            problems.append(_describe_fault('pool_id', '', 'the id of a pool'))
        if problems:
            raise SettingsError(problems)
        return settings


def find_address_map(flag: Path | None, environ: Mapping[str, str]) -> str:
    """Return the path of the address map, or an empty string."""
    given = '' if flag is None else str(flag)
    return _find_value({'address_map': given}, environ, 'address_map')


def _find_value(
    flags: Mapping[str, str],
    environ: Mapping[str, str],
    name: str,
) -> str:
    return flags.get(name) or environ.get(_variable_name(name), '')


def _variable_name(name: str) -> str:
    return f'{_PREFIX}{name.upper()}'


def _describe_fault(name: str, given: str, accepted: str) -> str:
    flag = name.replace('_', '-')
    return (
        f'{name}={given!r} is not accepted; expected {accepted}; pass '
        f'--{flag} or set {_variable_name(name)}'
    )


def _read_url(
    flags: Mapping[str, str],
    environ: Mapping[str, str],
    problems: list[str],
) -> str:
    url = _find_value(flags, environ, 'platform_url')
    if not url.startswith(('http://', 'https://')):
        accepted = 'a URL that starts with http:// or https://'
        problems.append(_describe_fault('platform_url', url, accepted))
    return url


def _read_timeout_s(
    flags: Mapping[str, str],
    environ: Mapping[str, str],
    problems: list[str],
) -> float:
    name = 'platform_timeout_s'
    text = _find_value(flags, environ, name) or _DEFAULT_TIMEOUT_S
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = 0
    if not 0 < timeout_s < float('inf'):
        problems.append(
            _describe_fault(name, text, 'a number of seconds above 0')
        )
    return timeout_s


def _read_operator(
    flags: Mapping[str, str],
    environ: Mapping[str, str],
    problems: list[str],
) -> str:
    operator = _find_value(flags, environ, 'operator') or _login_name()
    try:
        check_operator(operator)
    except InvalidArgumentError as error:
        problems.append(
            f'{error}; pass --operator or set CURRANTSHORE_OPERATOR'
        )
    return operator


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return ''
