"""Planned changes: ``plan`` compares, ``apply`` writes.

A plan holds the records that it will write and the versions that it was made
against. Each write is conditional on its version and carries the plan's
writer id, so a plan can be applied again after an interruption: a step whose
object carries the plan's id is done, one whose object is still at the planned
version is to do, and any other is a conflict with another operator.
"""

import dataclasses
import secrets
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import msgspec

from currantshore.declarations import Declarations
from currantshore.errors import (
    InvalidArgumentError,
    PlanRefusedError,
    VersionConflictError,
)
from currantshore.internal.objectapi.objects import PlatformObject
from currantshore.internal.objectapi.platform import PlatformClient
from currantshore.internal.operators.differences import describe_change
from currantshore.internal.operators.inforce import InForce, read_in_force
from currantshore.internal.operators.overlay import describe_conflict, overlay
from currantshore.internal.operators.plansteps import (
    Step,
    compact_step,
    plan_steps,
)
from currantshore.internal.operators.promises import (
    Evidence,
    broken_promises,
    faults_between_objects,
)
from currantshore.internal.operators.status import read_status
from currantshore.internal.operators.writers import check_operator, operator_of

PLAN_FORMAT: Final = 1
_PLAN_ID_SIZE_BYTES: Final = 8


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A planned change, as written to the plan file."""

    plan_id: str
    pool_id: str
    operator: str
    revision: int
    summary: tuple[str, ...]
    steps: tuple[Step, ...]
    assumed_drained: tuple[str, ...] = ()
    format: int = PLAN_FORMAT

    @property
    def writer(self) -> str:
        """The writer id of the plan's writes."""
        return f'{self.operator}/plan-{self.plan_id}'


class StepResult(msgspec.Struct, frozen=True):
    """What became of a step.

    ``was_in_force`` tells that an earlier run had written it already, and
    ``overwritten_by`` names the operator who has changed the object since.
    """

    key: str
    version: int
    was_in_force: bool
    overwritten_by: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class _Outlook:
    """The steps of a plan compared with the platform."""

    done: tuple[StepResult, ...]
    to_do: tuple[tuple[Step, PlatformObject | None], ...]
    conflicts: tuple[str, ...]


async def make_plan(
    client: PlatformClient,
    declarations: Declarations,
    operator: str,
    assumed_drained: Iterable[str] = (),
    new_id: Callable[[int], str] = secrets.token_hex,
) -> Plan:
    """Compare declarations with what is in force.

    A plan without steps says that everything is in force. ``new_id`` takes a
    size in bytes and returns an id that no other plan has.

    Raises:
        PlanRefusedError: the change would break promises to users; lists all.
        PlatformUnavailableError: when the platform does not answer.
    """
    check_operator(operator)
    pool_id = declarations.pool.pool_id
    in_force = await read_in_force(client, pool_id)
    after = declarations.to_snapshot(in_force.pool)
    drained = frozenset(assumed_drained)
    evidence = Evidence(await read_status(client, pool_id), drained)
    problems = broken_promises(in_force.pool, after, evidence)
    steps, held = await plan_steps(client, in_force, after)
    problems.extend(held)
    if problems:
        raise PlanRefusedError(problems)
    return Plan(
        new_id(_PLAN_ID_SIZE_BYTES),
        pool_id,
        operator,
        in_force.revision,
        tuple(describe_change(in_force.pool, after)),
        tuple(steps),
        tuple(sorted(drained)),
    )


def encode_plan(plan: Plan) -> bytes:
    """Return the contents of the plan file."""
    text = msgspec.json.format(msgspec.json.encode(plan), indent=1)
    return b'%b\n' % text


def decode_plan(content: bytes) -> Plan:
    """Read a plan file.

    Raises:
        InvalidArgumentError: when it is not a plan of this format.
    """
    try:
        plan = msgspec.json.decode(content, type=Plan)
    except msgspec.DecodeError as error:
        raise InvalidArgumentError(
            f'the plan file is not readable ({error}); make the plan again'
        ) from error
    if plan.format != PLAN_FORMAT:
        raise InvalidArgumentError.from_value(
            'format', plan.format, f'{PLAN_FORMAT}; make the plan again'
        )
    steps = tuple(compact_step(step) for step in plan.steps)
    return msgspec.structs.replace(plan, steps=steps)


async def apply_plan(
    client: PlatformClient,
    plan: Plan,
) -> tuple[StepResult, ...]:
    """Write the plan's steps, if what it was planned against is in force.

    Returns the result of each step, in the plan's order.

    Raises:
        VersionConflictError: another operator has changed an object of the
            plan; says who and what. Steps may be in force already when the
            other operator was faster in the middle of this call. Also when
            the plan is in force and does not fit a change of another object
            that was made during this call.
        PlanRefusedError: together with other operators' changes, the plan
            would break promises to users.
        PlatformUnavailableError: some steps may be in force; apply again.
    """
    in_force = await read_in_force(client, plan.pool_id)
    outlook = await _compare(client, plan, in_force)
    if outlook.conflicts:
        raise _conflict(plan, outlook.done, outlook.conflicts)
    if outlook.to_do:
        await _check_promises(client, plan, in_force)
    results = list(outlook.done)
    to_do = list(outlook.to_do)
    while to_do:
        step, current = to_do.pop(0)
        results.append(await _write(client, plan, step, current, results))
    if outlook.to_do:
        await _check_result(client, plan)
    order = [step.key for step in plan.steps]
    return tuple(sorted(results, key=lambda one: order.index(one.key)))


async def _compare(
    client: PlatformClient,
    plan: Plan,
    in_force: InForce,
) -> _Outlook:
    done: list[StepResult] = []
    to_do: list[tuple[Step, PlatformObject | None]] = []
    conflicts: list[str] = []
    waiting = list(plan.steps)
    while waiting:
        step = waiting.pop(0)
        current = in_force.objects.get(step.key)
        if current is None:
            # Claims are not below the pool's prefix.
            current = await client.get(step.key)
        if current is not None and plan.writer in current.trail():
            done.append(_done_before(plan, current))
        elif step.planned_version == _version(current):
            to_do.append((step, current))
        else:
            conflicts.extend(
                describe_conflict(step.key, step.replaced(), current)
            )
    return _Outlook(tuple(done), tuple(to_do), tuple(conflicts))


def _version(found: PlatformObject | None) -> int:
    return 0 if found is None else found.version


def _done_before(plan: Plan, current: PlatformObject) -> StepResult:
    newest = current.trail()[0]
    by = '' if newest == plan.writer else operator_of(newest)
    return StepResult(
        current.key, current.version, was_in_force=True, overwritten_by=by
    )


def _conflict(
    plan: Plan,
    done: Iterable[StepResult],
    conflicts: Iterable[str],
) -> VersionConflictError:
    lines = [f'plan {plan.plan_id} is out of date:', *conflicts]
    in_force = [step.key for step in done]
    if in_force:
        lines.append(f'of this plan, {", ".join(in_force)} is in force')
    lines.append('make the plan again and look at its differences')
    return VersionConflictError('\n'.join(lines))


async def _check_promises(
    client: PlatformClient,
    plan: Plan,
    in_force: InForce,
) -> None:
    status = await read_status(client, plan.pool_id)
    evidence = Evidence(status, frozenset(plan.assumed_drained))
    values: Mapping[str, msgspec.Raw] = {
        step.key: step.value for step in plan.steps
    }
    after = overlay(in_force, values)
    problems = broken_promises(in_force.pool, after, evidence)
    if problems:
        raise PlanRefusedError(problems)


async def _check_result(client: PlatformClient, plan: Plan) -> None:
    """Look for what two operators made together by writing different objects.

    The platform has no writes of several objects at once, so two plans that
    pass their checks at the same moment can still clash; it is seen here.
    """
    in_force = await read_in_force(client, plan.pool_id)
    if in_force.pool is None:
        return
    problems = list(faults_between_objects(in_force.pool))
    if problems:
        lines = [
            f'plan {plan.plan_id} is in force, but not with what others '
            'have put in force at the same time:',
            *problems,
        ]
        raise VersionConflictError('\n'.join(lines))


async def _write(
    client: PlatformClient,
    plan: Plan,
    step: Step,
    current: PlatformObject | None,
    done: Iterable[StepResult],
) -> StepResult:
    try:
        written = await client.put_settled(
            step.key,
            bytes(step.value),
            step.planned_version,
            plan.writer,
            current,
        )
    except VersionConflictError as conflict:
        found = await client.get(step.key)
        lines = describe_conflict(step.key, step.replaced(), found)
        raise _conflict(plan, done, lines) from conflict
    return StepResult(
        step.key,
        written.version,
        was_in_force=False,
        overwritten_by=operator_of(written.overwritten_by),
    )
