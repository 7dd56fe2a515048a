"""The output of the commands: text for people or one JSON line."""

import dataclasses
import enum
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

import msgspec

from currantshore.errors import (
    CurrantshoreError,
    DeclarationError,
    InvalidArgumentError,
    PlanRefusedError,
    PlatformError,
    PlatformUnavailableError,
    SettingsError,
    VersionConflictError,
)
from currantshore.internal.operators.operations import Outcome
from currantshore.internal.operators.status import HostView, StatusView
from currantshore.planning import Plan, StepResult


@enum.unique
class ExitCode(enum.IntEnum):
    """Exit codes of the operators' commands; their meaning never changes."""

    OK = 0
    INTERNAL_ERROR = 1
    BAD_SETTINGS = 2
    DECLARATIONS_INVALID = 3
    PLAN_REFUSED = 4
    CONFLICT = 5
    PLATFORM_UNAVAILABLE = 6
    NOT_IN_FORCE = 7
    INTERRUPTED = 130


class NotInForceError(CurrantshoreError):
    """Raised when a version is not in force on all hosts before the timeout."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The result of a command: ``fields`` for JSON, ``lines`` for text."""

    fields: Mapping[str, Any]
    lines: Sequence[str]

    def as_json(self) -> str:
        """Return one JSON line."""
        content = {'ok': True, 'exit_code': 0, **self.fields}
        return msgspec.json.encode(content).decode()

    def as_text(self) -> str:
        """Return the lines as one text."""
        return '\n'.join(self.lines)


# The first matching class is used, so classes precede their base classes.
_FAILURES: Final = (
    (
        SettingsError,
        ExitCode.BAD_SETTINGS,
        'correct these settings and run the command again',
    ),
    (
        InvalidArgumentError,
        ExitCode.BAD_SETTINGS,
        'correct the arguments and run the command again',
    ),
    (
        DeclarationError,
        ExitCode.DECLARATIONS_INVALID,
        'correct these files, or the answers, and run the command again',
    ),
    (
        PlanRefusedError,
        ExitCode.PLAN_REFUSED,
        'this run wrote nothing; follow the advice of each line and plan again',
    ),
    (
        VersionConflictError,
        ExitCode.CONFLICT,
        'agree with the other operator, then run plan again',
    ),
    (
        PlatformUnavailableError,
        ExitCode.PLATFORM_UNAVAILABLE,
        'the outcome is unknown; run the same command again, which does not '
        'repeat completed writes',
    ),
    (
        NotInForceError,
        ExitCode.NOT_IN_FORCE,
        'check the hosts that are behind or do not report, then wait again',
    ),
    (
        PlatformError,
        ExitCode.INTERNAL_ERROR,
        'check the URL and the pool id; the platform sent an unexpected answer',
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Why a command failed and what the operator can do next."""

    exit_code: ExitCode
    problems: tuple[str, ...]
    next_step: str

    @classmethod
    def from_error(cls, error: CurrantshoreError) -> 'Failure':
        """Build the failure of an expected error."""
        problems = tuple(str(error).splitlines())
        if isinstance(error, SettingsError):
            problems = error.problems
        for kind, exit_code, next_step in _FAILURES:
            if isinstance(error, kind):
                return cls(exit_code, problems, next_step)
        return cls(ExitCode.INTERNAL_ERROR, problems, 'report this as a bug')

    def as_json(self) -> str:
        """Return one JSON line."""
        content = {
            'ok': False,
            'exit_code': int(self.exit_code),
            'error': self.exit_code.name.lower(),
            'problems': self.problems,
            'next_step': self.next_step,
        }
        return msgspec.json.encode(content).decode()

    def as_text(self) -> str:
        """Return the problems and the next step."""
        return '\n'.join((*self.problems, f'Next: {self.next_step}.'))


def plan_report(plan: Plan, file: str) -> Report:
    """Return the report of a plan; ``file`` is empty if it has no steps."""
    fields = {
        'plan_id': plan.plan_id,
        'plan_file': file,
        'revision': plan.revision,
        'changes': plan.summary,
        'planned_versions': {
            step.key: step.planned_version for step in plan.steps
        },
    }
    if not plan.steps:
        return Report(fields, ['Nothing to do: everything is in force.'])
    return Report(
        fields,
        [
            *plan.summary,
            f'Planned {len(plan.steps)} writes against revision '
            f'{plan.revision}.',
            f'Next: currantshore apply {file}',
        ],
    )


def apply_report(results: Sequence[StepResult]) -> Report:
    """Return the report of an applied plan."""
    version = max((step.version for step in results), default=0)
    lines = [_step_line(step) for step in results]
    if results:
        lines.append(f'Next: currantshore status --wait {version}')
    else:
        lines.append('Nothing to do: the plan has no steps.')
    return Report({'version': version, 'steps': results}, lines)


def outcome_report(outcome: Outcome) -> Report:
    """Return the report of a drain or a join."""
    verb = 'was already' if outcome.was_in_force else 'is now'
    lines = [
        f'{outcome.member_id} {verb} {outcome.state} '
        f'({outcome.key} version {outcome.version})'
    ]
    if outcome.overwritten_by:
        lines.append(f'{outcome.overwritten_by} has changed the object since')
    lines.append(f'Next: currantshore status --wait {outcome.version}')
    return Report(dataclasses.asdict(outcome), lines)


def status_report(view: StatusView) -> Report:
    """Return the report of which hosts have which versions."""
    fields = msgspec.to_builtins(view)
    fields['is_in_force'] = view.is_in_force()
    return Report(fields, list(_status_lines(view)))


def progress_line(view: StatusView) -> str:
    """Return a line with the number of hosts on which a version is in force."""
    required = view.required_hosts()
    ready = [host for host in required if host.is_up_to_date()]
    waiting = [host.host_id for host in required if not host.is_up_to_date()]
    line = (
        f'pool {view.pool_id}: version {view.version} is in force on '
        f'{len(ready)} of {len(required)} hosts'
    )
    return f'{line}; waiting for {", ".join(waiting)}' if waiting else line


def _step_line(step: StepResult) -> str:
    line = f'{step.key}: version {step.version}'
    if step.was_in_force:
        line = f'{line}, was in force already'
    if step.overwritten_by:
        line = f'{line}, changed since by {step.overwritten_by}'
    return line


def _status_lines(view: StatusView) -> Iterator[str]:
    yield progress_line(view)
    for host in view.hosts:
        state = host.state.value
        yield (
            f'  host {host.host_id} ({host.zone}, {state}): '
            f'{_describe_host(host)}'
        )
    for service_id, states in view.backend_states.items():
        servers = ', '.join(
            f'{name} {state.value}' for name, state in states.items()
        )
        yield f'  service {service_id}: {servers}'
    for drain in view.draining:
        flows = 'open flows are not reported'
        if drain.open_flows is not None:
            flows = f'{drain.open_flows} open flows'
        yield f'  draining {drain.backend_id}: {flows}'


def _describe_host(host: HostView) -> str:
    if not host.is_reporting:
        return 'does not report'
    if not host.behind:
        return 'in force'
    behind = ', '.join(
        f'{key} at {version}' for key, version in host.behind.items()
    )
    return f'behind: {behind}'
