"""Planned changes: ``plan`` compares, ``apply`` writes.

A plan contains the records to write and the object versions that it was made
against. Each write is conditional on that version and carries the plan's
writer id, so that a plan can be applied again after an interruption: a step is
done if its object's trail contains the plan's id, it is pending if the object
still has the planned version, and otherwise it conflicts with another
operator's change.
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
from currantshore.internal.operators.inforce import (
    ConfigurationInForce,
    read_in_force,
)
from currantshore.internal.operators.overlay import describe_conflict, overlay
from currantshore.internal.operators.plansteps import (
    Step,
    compact_step,
    plan_steps,
)
from currantshore.internal.operators.guarantees import (
    DrainEvidence,
    broken_guarantees,
    cross_object_faults,
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
    """The outcome of a step.

    ``was_in_force`` is true if an earlier run had already written it;
    ``overwritten_by`` names the operator who has changed the object since.
    """

    key: str
    version: int
    was_in_force: bool
    overwritten_by: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class _Progress:
    """The progress of a plan's steps on the platform."""

    done: tuple[StepResult, ...]
    pending: tuple[tuple[Step, PlatformObject | None], ...]
    conflicts: tuple[str, ...]


async def make_plan(
    client: PlatformClient,
    declarations: Declarations,
    operator: str,
    assumed_drained: Iterable[str] = (),
    new_id: Callable[[int], str] = secrets.token_hex,
) -> Plan:
    """Compare declarations with what is in force.

    A plan without steps means that everything is in force. ``new_id`` gets a
    size in bytes and returns a unique plan id.

    Raises:
        PlanRefusedError: the change would break guarantees to users; lists
            each.
        PlatformUnavailableError: the platform does not answer.
    """
    check_operator(operator)
    pool_id = declarations.pool.pool_id
    in_force = await read_in_force(client, pool_id)
    after = declarations.to_snapshot(in_force.pool)
    drained = frozenset(assumed_drained)
    evidence = DrainEvidence(await read_status(client, pool_id), drained)
    problems = broken_guarantees(in_force.pool, after, evidence)
    steps, conflicts = await plan_steps(client, in_force, after)
    problems.extend(conflicts)
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
    """Decode the contents of a plan file.

    Raises:
        InvalidArgumentError: the file is not a plan of this format.
    """
    try:
        plan = msgspec.json.decode(content, type=Plan)
    except msgspec.DecodeError as error:
        raise InvalidArgumentError(
            f'the plan file cannot be decoded ({error}); make the plan again'
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
    """Write the plan's steps if its planned versions are in force.

    Returns the result of each step, in the plan's order.

    Raises:
        VersionConflictError: another operator has changed an object of the
            plan; the message says who and what. Some steps may be in force if
            the other operator wrote during this call. Also raised if the
            whole plan is in force but is inconsistent with a change of
            another object that was made during this call.
        PlanRefusedError: together with other operators' changes, the plan
            would break guarantees to users.
        PlatformUnavailableError: some steps may be in force; apply the plan
            again.
    """
    in_force = await read_in_force(client, plan.pool_id)
    progress = await _compare(client, plan, in_force)
    if progress.conflicts:
        raise _build_conflict(plan, progress.done, progress.conflicts)
    if progress.pending:
        await _check_guarantees(client, plan, in_force)
    results = list(progress.done)
    pending = list(progress.pending)
    while pending:
        step, current = pending.pop(0)
        results.append(await _write_step(client, plan, step, current, results))
    if progress.pending:
        await _check_combined_result(client, plan)
    order = [step.key for step in plan.steps]
    return tuple(sorted(results, key=lambda result: order.index(result.key)))


async def _compare(
    client: PlatformClient,
    plan: Plan,
    in_force: ConfigurationInForce,
) -> _Progress:
    done: list[StepResult] = []
    pending: list[tuple[Step, PlatformObject | None]] = []
    conflicts: list[str] = []
    remaining = list(plan.steps)
    while remaining:
        step = remaining.pop(0)
        current = in_force.objects.get(step.key)
        if current is None:
            # The keys of claims do not have the pool's prefix.
            current = await client.get(step.key)
        if current is not None and plan.writer in current.trail():
            done.append(_earlier_result(plan, current))
        elif step.planned_version == _stored_version(current):
            pending.append((step, current))
        else:
            conflicts.extend(
                describe_conflict(step.key, step.replaced_value(), current)
            )
    return _Progress(tuple(done), tuple(pending), tuple(conflicts))


def _stored_version(stored: PlatformObject | None) -> int:
    return 0 if stored is None else stored.version


def _earlier_result(plan: Plan, current: PlatformObject) -> StepResult:
    newest = current.trail()[0]
    by = '' if newest == plan.writer else operator_of(newest)
    return StepResult(
        current.key, current.version, was_in_force=True, overwritten_by=by
    )


def _build_conflict(
    plan: Plan,
    done: Iterable[StepResult],
    conflicts: Iterable[str],
) -> VersionConflictError:
    lines = [f'plan {plan.plan_id} is out of date:', *conflicts]
    in_force = [step.key for step in done]
    if in_force:
        lines.append(f'of this plan, {", ".join(in_force)} is in force')
    lines.append('make the plan again and check its differences')
    return VersionConflictError('\n'.join(lines))


async def _check_guarantees(
    client: PlatformClient,
    plan: Plan,
    in_force: ConfigurationInForce,
) -> None:
    status = await read_status(client, plan.pool_id)
    evidence = DrainEvidence(status, frozenset(plan.assumed_drained))
    values: Mapping[str, msgspec.Raw] = {
        step.key: step.value for step in plan.steps
    }
    after = overlay(in_force, values)
    problems = broken_guarantees(in_force.pool, after, evidence)
    if problems:
        raise PlanRefusedError(problems)


async def _check_combined_result(client: PlatformClient, plan: Plan) -> None:
    """Check the plan together with other operators' changes of other objects.

    The platform cannot write several objects at once, so two plans that pass
    their checks at the same time can still be inconsistent with each other;
    this check detects that.
    """
    in_force = await read_in_force(client, plan.pool_id)
    if in_force.pool is None:
        return
    problems = list(cross_object_faults(in_force.pool))
    if problems:
        lines = [
            f'plan {plan.plan_id} is in force, but is inconsistent with '
            'what others have put in force at the same time:',
            *problems,
        ]
        raise VersionConflictError('\n'.join(lines))


async def _write_step(
    client: PlatformClient,
    plan: Plan,
    step: Step,
    current: PlatformObject | None,
    done: Iterable[StepResult],
) -> StepResult:
    try:
        written = await client.put_with_retry(
            step.key,
            bytes(step.value),
            step.planned_version,
            plan.writer,
            current,
        )
    except VersionConflictError as conflict:
        stored = await client.get(step.key)
        conflict_lines = describe_conflict(
            step.key, step.replaced_value(), stored
        )
        raise _build_conflict(plan, done, conflict_lines) from conflict
    return StepResult(
        step.key,
        written.version,
        was_in_force=False,
        overwritten_by=operator_of(written.overwritten_by),
    )
