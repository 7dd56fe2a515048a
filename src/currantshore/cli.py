"""The command line for operators: ``currantshore COMMAND``.

``balancer`` runs the balancer process. The other commands exit with one of the
codes of ``ExitCode``, which docs/operators/planned-change.md explains.
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
    arguments = list(sys.argv[1:] if argv is None else argv)
    if arguments[:1] == [_BALANCER]:
        return _run_balancer(arguments[1:])
    is_json = _JSON_FLAG in arguments
    try:
        report = _run_command(arguments)
    except CurrantshoreError as error:
        failure = Failure.from_error(error)
    except KeyboardInterrupt:
        failure = _INTERRUPTED_FAILURE
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
    """Generate the declarations of a pool from answers.

    :param directory: directory to write the declarations and the answers to
    :param answers: answers file (TOML); without it, asks at the terminal
    :param replace: replace existing files that have other contents
    :param json: print one JSON line
    """
    if answers is None:
        given_answers, content = answer_at_terminal(
            _prompt_at_terminal, _print_error
        )
    else:
        given_answers = answer_from_file(answers)
        content = answers.read_bytes()
    files = {ANSWERS_FILE: content, **generate(given_answers)}
    changed_names = write_files(directory, files, may_replace=replace)
    lines = [f'wrote {directory / name}' for name in changed_names]
    lines.append(f'Next: currantshore plan {directory}')
    return Report(
        {'directory': str(directory), 'written': changed_names}, lines
    )


def schema(*, json: bool = False) -> Report:
    """Print the JSON Schema of the declarations.

    :param json: print one JSON line
    """
    json_schema = build_schema()
    text = msgspec.json.format(msgspec.json.encode(json_schema), indent=2)
    return Report({'schema': json_schema}, [text.decode()])


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
    """Compare declarations with the configuration in force; write a plan file.

    :param directory: directory with the declarations of a pool
    :param out: plan file to write; plan.json by default
    :param address_map: TOML file that maps addresses to their replacements
    :param assume_drained: ids of leaving hosts and draining backend servers to
        treat as having no flows
    :param platform_url: URL of the object API
    :param platform_timeout_s: timeout of one call in seconds
    :param operator: your name, shown to other operators in conflicts
    :param json: print one JSON line
    """
    settings = _read_settings(
        platform_url=platform_url,
        platform_timeout_s=platform_timeout_s,
        operator=operator,
    )
    declarations = _load_declarations(directory, address_map)
    new_plan = _run_with_client(
        settings,
        partial(
            make_plan,
            declarations=declarations,
            operator=settings.operator,
            assumed_drained=assume_drained,
        ),
    )
    if not new_plan.steps:
        return plan_report(new_plan, '')
    file = out or Path(_PLAN_FILE)
    file.write_bytes(encode_plan(new_plan))
    return plan_report(new_plan, str(file))


def apply(
    plan_file: Path,
    *,
    platform_url: str = '',
    platform_timeout_s: str = '',
    json: bool = False,
) -> Report:
    """Write a plan's changes unless its objects have changed since.

    :param plan_file: file that "plan" wrote
    :param platform_url: URL of the object API
    :param platform_timeout_s: timeout of one call in seconds
    :param json: print one JSON line
    """
    try:
        content = plan_file.read_bytes()
    except OSError as error:
        raise InvalidArgumentError.from_value(
            'plan_file', str(plan_file), 'a file that "plan" wrote'
        ) from error
    loaded_plan = decode_plan(content)
    settings = _read_settings(
        platform_url=platform_url,
        platform_timeout_s=platform_timeout_s,
        operator=loaded_plan.operator,
    )
    return apply_report(
        _run_with_client(settings, partial(apply_plan, plan=loaded_plan))
    )


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
    """Stop new work on a host or a backend server; no flow breaks.

    :param member_id: id of the host or backend server
    :param allow_empty: also drain the last backend server of a service
    :param pool_id: id of the pool
    :param platform_url: URL of the object API
    :param platform_timeout_s: timeout of one call in seconds
    :param operator: your name, shown to other operators in conflicts
    :param json: print one JSON line
    """
    settings = _read_settings(
        pool_id=pool_id,
        platform_url=platform_url,
        platform_timeout_s=platform_timeout_s,
        operator=operator,
    )
    outcome = _run_with_client(
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
    """Allow new work on a host or a backend server, also after a drain.

    :param member_id: id of the host or backend server
    :param pool_id: id of the pool
    :param platform_url: URL of the object API
    :param platform_timeout_s: timeout of one call in seconds
    :param operator: your name, shown to other operators in conflicts
    :param json: print one JSON line
    """
    settings = _read_settings(
        pool_id=pool_id,
        platform_url=platform_url,
        platform_timeout_s=platform_timeout_s,
        operator=operator,
    )
    outcome = _run_with_client(
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
    """Show which hosts have which versions in force.

    :param wait: wait until this version is in force on every host that is not
        leaving; 0 means everything that is on the platform
    :param timeout_s: timeout of --wait in seconds
    :param pool_id: id of the pool
    :param platform_url: URL of the object API
    :param platform_timeout_s: timeout of one call in seconds
    :param json: print one JSON line
    """
    settings = _read_settings(
        pool_id=pool_id,
        platform_url=platform_url,
        platform_timeout_s=platform_timeout_s,
    )
    if wait is None:
        view = _run_with_client(
            settings, partial(read_view, pool_id=settings.pool_id)
        )
    else:
        view = _run_with_client(
            settings,
            partial(
                _wait_until_in_force,
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
# The balancer parses its own settings, so it is not a defopt command.
_EPILOG: Final = '"currantshore balancer" runs a balancer; see its --help.'
_INTERRUPTED_FAILURE: Final = Failure(
    ExitCode.INTERRUPTED,
    ('interrupted',),
    'run the same command again, which does not repeat completed writes',
)


def _run_command(argv: list[str]) -> Report:
    report: Report = defopt.run(
        list(_COMMANDS),
        argv=argv,
        # Without short flags, because they would change when a command gets
        # another setting.
        short={},
        no_negated_flags=True,
        argparse_kwargs={'prog': 'currantshore', 'epilog': _EPILOG},
    )
    return report


def _run_balancer(argv: list[str]) -> int:
    # Imported here, because the other commands do not need its libraries.
    from currantshore.internal.process.daemon import run_balancer

    return run_balancer(argv)


def _read_settings(**flags: str) -> OperatorSettings:
    return OperatorSettings.from_values(
        flags, os.environ, needs_pool='pool_id' in flags
    )


def _load_declarations(
    directory: Path, address_map: Path | None
) -> Declarations:
    file = find_address_map(address_map, os.environ)
    address_replacements = load_address_map(Path(file)) if file else {}
    return load_declarations(directory, address_replacements)


def _run_with_client(
    settings: OperatorSettings,
    work: Callable[[PlatformClient], Awaitable[_ResultT]],
) -> _ResultT:
    return asyncio.run(_run_with_client_async(settings, work))


async def _run_with_client_async(
    settings: OperatorSettings,
    work: Callable[[PlatformClient], Awaitable[_ResultT]],
) -> _ResultT:
    client = PlatformClient.from_config(
        settings.platform_url, timeout_s=settings.platform_timeout_s
    )
    async with client:
        return await work(client)


async def _wait_until_in_force(
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
    except TimeoutError as timeout_error:
        raise NotInForceError(progress.last) from timeout_error


class _Progress:
    """Prints progress to standard error, separate from the result."""

    __slots__ = ('last',)

    def __init__(self) -> None:
        self.last = 'the platform did not answer in time'

    def show(self, view: StatusView) -> None:
        self.last = progress_line(view)
        _print_error(self.last)


def _prompt_at_terminal(prompt: str) -> str:
    _print_error(prompt, end='')
    line = sys.stdin.readline()
    if not line:
        raise EOFError
    return line


def _print_error(line: str, end: str = '\n') -> None:
    # Standard output is only for results.
    print(line, end=end, file=sys.stderr, flush=True)


if __name__ == '__main__':
    sys.exit(main())
