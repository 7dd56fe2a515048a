"""The command line of operators: ``currantshore COMMAND``.

``balancer`` runs the balancer process; the other commands exit with one of
the codes of ``ExitCode``, which docs/operators/planned-change.md explains.
"""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Final, TypeVar

import defopt
import msgspec

from currantshore import __version__
from currantshore.declarations import (
    Declarations,
    load_address_map,
    load_declarations,
)
from currantshore.declarations import schema as build_schema
from currantshore.errors import (
    CurrantshoreError,
    InvalidArgumentError,
)
from currantshore.internal.objectapi.platform import PlatformClient
from currantshore.internal.operators import operations
from currantshore.internal.operators.operatorsettings import (
    OperatorSettings,
    find_address_map,
)
from currantshore.internal.operators.status import (
    StatusView,
    read_view,
    wait_until_in_force,
)
from currantshore.internal.operators.textreports import (
    ExitCode,
    Failure,
    NotInForceError,
    Report,
    apply_report,
    outcome_report,
    plan_report,
    progress_line,
    status_report,
)
from currantshore.planning import (
    apply_plan,
    decode_plan,
    encode_plan,
    make_plan,
)
from currantshore.questionnaire import (
    ANSWERS_FILE,
    answer_at_terminal,
    answer_from_file,
    generate,
    write_files,
)

_BALANCER: Final = 'balancer'
_JSON_FLAG: Final = '--json'
_PLAN_FILE: Final = 'plan.json'

_ResultT = TypeVar('_ResultT')


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    given = list(sys.argv[1:] if argv is None else argv)
    if given[:1] == [_BALANCER]:
        return _run_balancer(given[1:])
    is_json = _JSON_FLAG in given
    try:
        report = _run_command(given)
    except CurrantshoreError as error:
        failure = Failure.from_error(error)
    except KeyboardInterrupt:
        failure = _INTERRUPTED
    else:
        print(report.as_json() if is_json else report.as_text())
        return ExitCode.OK
    if is_json:
        print(failure.as_json())
    else:
        print(failure.as_text(), file=sys.stderr)
    return failure.exit_code


def questionnaire(
    directory: Path,
    *,
    answers: Path | None = None,
    replace: bool = False,
    json: bool = False,
) -> Report:
    """Write the declarations of a pool from answers.

    :param directory: where the declarations and the answers are written
    :param answers: a file of answers (TOML); asked at the terminal without it
    :param replace: replace files that are there with other contents
    :param json: print one JSON line
    """
    if answers is None:
        given, content = answer_at_terminal(_ask, _tell_error)
    else:
        given = answer_from_file(answers)
        content = answers.read_bytes()
    files = {ANSWERS_FILE: content, **generate(given)}
    changed = write_files(directory, files, may_replace=replace)
    lines = [f'wrote {directory / name}' for name in changed]
    lines.append(f'Next: currantshore plan {directory}')
    return Report({'directory': str(directory), 'written': changed}, lines)


def schema(*, json: bool = False) -> Report:
    """Print the JSON Schema of the declarations.

    :param json: print it in one line
    """
    found = build_schema()
    text = msgspec.json.format(msgspec.json.encode(found), indent=2)
    return Report({'schema': found}, [text.decode()])


def plan(
    directory: Path,
    *,
    out: Path | None = None,
    address_map: Path | None = None,
    assume_drained: Sequence[str] = (),
    platform_url: str = '',
    platform_timeout_s: str = '',
    operator: str = '',
    json: bool = False,
) -> Report:
    """Compare declarations with what is in force and write a plan file.

    :param directory: the declarations of a pool
    :param out: the plan file, plan.json without it
    :param address_map: TOML file that replaces addresses by other addresses
    :param assume_drained: ids of draining members that have no flows
    :param platform_url: URL of the object API
    :param platform_timeout_s: longest wait for one answer in seconds
    :param operator: your name, which others see in conflicts
    :param json: print one JSON line
    """
    settings = _settings(
        platform_url=platform_url,
        platform_timeout_s=platform_timeout_s,
        operator=operator,
    )
    declared = _load(directory, address_map)
    made = _call(
        settings,
        partial(
            make_plan,
            declarations=declared,
            operator=settings.operator,
            assumed_drained=assume_drained,
        ),
    )
    if not made.steps:
        return plan_report(made, '')
    file = out or Path(_PLAN_FILE)
    file.write_bytes(encode_plan(made))
    return plan_report(made, str(file))


def apply(
    plan_file: Path,
    *,
    platform_url: str = '',
    platform_timeout_s: str = '',
    json: bool = False,
) -> Report:
    """Put a plan in force if what it was planned against still is.

    :param plan_file: the file that "plan" wrote
    :param platform_url: URL of the object API
    :param platform_timeout_s: longest wait for one answer in seconds
    :param json: print one JSON line
    """
    try:
        content = plan_file.read_bytes()
    except OSError as error:
        raise InvalidArgumentError.from_value(
            'plan_file', str(plan_file), 'a file that "plan" wrote'
        ) from error
    planned = decode_plan(content)
    settings = _settings(
        platform_url=platform_url,
        platform_timeout_s=platform_timeout_s,
        operator=planned.operator,
    )
    return apply_report(_call(settings, partial(apply_plan, plan=planned)))


def drain(
    member_id: str,
    *,
    allow_empty: bool = False,
    pool_id: str = '',
    platform_url: str = '',
    platform_timeout_s: str = '',
    operator: str = '',
    json: bool = False,
) -> Report:
    """Take a host or a backend server out of new work; its flows stay.

    :param member_id: id of the host or backend server
    :param allow_empty: drain the last backend server of a service too
    :param pool_id: the pool
    :param platform_url: URL of the object API
    :param platform_timeout_s: longest wait for one answer in seconds
    :param operator: your name, which others see in conflicts
    :param json: print one JSON line
    """
    settings = _settings(
        pool_id=pool_id,
        platform_url=platform_url,
        platform_timeout_s=platform_timeout_s,
        operator=operator,
    )
    outcome = _call(
        settings,
        partial(
            operations.drain,
            pool_id=settings.pool_id,
            member_id=member_id,
            operator=settings.operator,
            allow_empty=allow_empty,
        ),
    )
    return outcome_report(outcome)


def join(
    member_id: str,
    *,
    pool_id: str = '',
    platform_url: str = '',
    platform_timeout_s: str = '',
    operator: str = '',
    json: bool = False,
) -> Report:
    """Let a host or a backend server take new work, also after a drain.

    :param member_id: id of the host or backend server
    :param pool_id: the pool
    :param platform_url: URL of the object API
    :param platform_timeout_s: longest wait for one answer in seconds
    :param operator: your name, which others see in conflicts
    :param json: print one JSON line
    """
    settings = _settings(
        pool_id=pool_id,
        platform_url=platform_url,
        platform_timeout_s=platform_timeout_s,
        operator=operator,
    )
    outcome = _call(
        settings,
        partial(
            operations.join,
            pool_id=settings.pool_id,
            member_id=member_id,
            operator=settings.operator,
        ),
    )
    return outcome_report(outcome)


def status(
    *,
    wait: int | None = None,
    timeout_s: float = 30.0,
    pool_id: str = '',
    platform_url: str = '',
    platform_timeout_s: str = '',
    json: bool = False,
) -> Report:
    """Show which hosts hold which versions.

    :param wait: wait until this version is in force on every host that is not
        leaving; 0 stands for all that is on the platform now
    :param timeout_s: longest time to wait in seconds
    :param pool_id: the pool
    :param platform_url: URL of the object API
    :param platform_timeout_s: longest wait for one answer in seconds
    :param json: print one JSON line
    """
    settings = _settings(
        pool_id=pool_id,
        platform_url=platform_url,
        platform_timeout_s=platform_timeout_s,
    )
    if wait is None:
        view = _call(settings, partial(read_view, pool_id=settings.pool_id))
    else:
        view = _call(
            settings,
            partial(
                _wait,
                pool_id=settings.pool_id,
                wanted=wait,
                timeout_s=timeout_s,
            ),
        )
    return status_report(view)


def version(*, json: bool = False) -> Report:
    """Print the version of currantshore.

    :param json: print one JSON line
    """
    return Report({'version': __version__}, [__version__])


_COMMANDS: Final = (
    questionnaire,
    schema,
    plan,
    apply,
    drain,
    join,
    status,
    version,
)
# The balancer reads its own settings, so defopt does not know it.
_EPILOG: Final = 'A balancer is run by "currantshore balancer"; see its --help.'
_INTERRUPTED: Final = Failure(
    ExitCode.INTERRUPTED,
    ('interrupted',),
    'run the same command again, it does nothing twice',
)


def _run_command(argv: list[str]) -> Report:
    report: Report = defopt.run(
        list(_COMMANDS),
        argv=argv,
        # Short flags would change when a command gets another setting.
        short={},
        no_negated_flags=True,
        argparse_kwargs={'prog': 'currantshore', 'epilog': _EPILOG},
    )
    return report


def _run_balancer(argv: list[str]) -> int:
    # The balancer's libraries are not needed for the other commands.
    from currantshore.internal.process.daemon import run_balancer

    return run_balancer(argv)


def _settings(**flags: str) -> OperatorSettings:
    return OperatorSettings.from_values(
        flags, os.environ, needs_pool='pool_id' in flags
    )


def _load(directory: Path, address_map: Path | None) -> Declarations:
    file = find_address_map(address_map, os.environ)
    replaced = load_address_map(Path(file)) if file else {}
    return load_declarations(directory, replaced)


def _call(
    settings: OperatorSettings,
    work: Callable[[PlatformClient], Awaitable[_ResultT]],
) -> _ResultT:
    return asyncio.run(_call_platform(settings, work))


async def _call_platform(
    settings: OperatorSettings,
    work: Callable[[PlatformClient], Awaitable[_ResultT]],
) -> _ResultT:
    client = PlatformClient.from_config(
        settings.platform_url, timeout_s=settings.platform_timeout_s
    )
    async with client:
        return await work(client)


async def _wait(
    client: PlatformClient,
    pool_id: str,
    wanted: int,
    timeout_s: float,
) -> StatusView:
    progress = _Progress()
    try:
        async with asyncio.timeout(timeout_s):
            return await wait_until_in_force(
                client, pool_id, wanted, progress.show
            )
    except TimeoutError as late:
        raise NotInForceError(progress.last) from late


class _Progress:
    """Shows progress on standard error, apart from the result."""

    __slots__ = ('last',)

    def __init__(self) -> None:
        self.last = 'the platform did not answer in time'

    def show(self, view: StatusView) -> None:
        self.last = progress_line(view)
        _tell_error(self.last)


def _ask(prompt: str) -> str:
    _tell_error(prompt, end='')
    line = sys.stdin.readline()
    if not line:
        raise EOFError
    return line


def _tell_error(line: str, end: str = '\n') -> None:
    # Standard output is for results.
    print(line, end=end, file=sys.stderr, flush=True)


if __name__ == '__main__':
    sys.exit(main())
