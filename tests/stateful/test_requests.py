"""Stateful tests of request planes on a lossy link against an oracle."""

import testtools
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from currantshore.codes import is_not_run
from tests.stateful.request_world import (
    BACKENDS,
    CALLERS,
    CLASSES,
    HOSTS,
    World,
    sorted_bytes,
    expected_answer,
)

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

_hosts = st.sampled_from(HOSTS)
_index = st.integers(0, 63)


def check_runs(world):
    """Check at-most-once execution and that "not run" is true."""
    for key, sent in world.sent.items():
        runs = world.runs[key]
        refusers = world.not_run[key]
        if not world.has_left:
            others = set(refusers) - {world.executor_of(sent)}
            assert not others, ('not refused by its executor', sent)
        if sent.request.is_repeatable:
            # Another balancer may run the request after it declared the
            # executor dead. So "not run" is checked for each process. It is
            # checked for all processes together if every view was complete
            # and no process was paused.
            if refusers and world.is_undisturbed:
                assert not runs, ('refused as not run', sent)
            assert not set(refusers) & set(runs), ('ran where refused', sent)
            continue
        assert len(runs) <= 1, ('ran twice', sent)
        assert not (runs and refusers), ('refused as not run', sent)


def check_outcomes(world):
    """Check that callers receive complete answers of their own.

    Also checks that the outcomes of a request do not contradict each other.
    """
    for (caller, request_id), sent in world.sent.items():
        outcomes = set(sent.outcomes)
        expected = sorted_bytes(expected_answer(caller, request_id))
        answers = {each for each in outcomes if isinstance(each, bytes)}
        assert {sorted_bytes(each) for each in answers} <= {expected}, sent
        codes = outcomes - answers
        final = {code for code in codes if is_not_run(code)}
        if not sent.request.is_repeatable:
            assert len(final) + len(answers) <= 1, ('two outcomes', sent)
        assert len(outcomes) <= sent.send_count, (
            'more outcomes than sent',
            sent,
        )


def open_requests(world):
    """Return the requests without an outcome."""
    return [sent for sent in world.sent.values() if not sent.outcomes]


def _has_open_requests(machine):
    return bool(open_requests(machine.world))


def _has_sent(machine):
    return bool(machine.world.sent)


def _has_link(machine):
    return bool(machine.world.link)


class RequestMachine(RuleBasedStateMachine):
    """Injects faults between any two steps of a request."""

    def __init__(self):
        super().__init__()
        self.world = World()

    @rule(
        caller=st.sampled_from(CALLERS),
        host_id=_hosts,
        is_repeatable=st.booleans(),
        priority_class=st.sampled_from([each.name for each in CLASSES]),
        deadline_ms=st.sampled_from([300, 2000, 8000]),
    )
    def send(self, caller, host_id, **fields):
        self.world.send(caller, host_id, **fields)

    @precondition(_has_sent)
    @rule(index=_index, host_id=_hosts)
    def resend(self, index, host_id):
        # Also re-sends after an outcome: the network may delay a copy.
        sent = list(self.world.sent.values())
        self.world.resend(sent[index % len(sent)], host_id)

    @precondition(_has_open_requests)
    @rule(index=_index, host_id=_hosts)
    def cancel(self, index, host_id):
        waiting = open_requests(self.world)
        self.world.cancel(waiting[index % len(waiting)], host_id)

    @precondition(_has_link)
    @rule(index=_index)
    def deliver(self, index):
        self.world.deliver(index)

    @precondition(_has_link)
    @rule(index=_index)
    def duplicate(self, index):
        self.world.duplicate(index)

    @precondition(_has_link)
    @rule(index=_index)
    def drop(self, index):
        self.world.drop(index)

    @rule()
    def settle(self):
        self.world.settle()

    @rule(step_s=st.sampled_from([0.1, 0.5, 2.5]))
    def advance(self, step_s):
        self.world.advance(step_s)

    # One rule for all host faults, so that most steps still process requests.
    @rule(
        kind=st.sampled_from(
            ['restart', 'freeze', 'leave', 'see', 'see_truth', 'open'],
        ),
        host_id=_hosts,
        live=st.sets(_hosts),
        caller=st.sampled_from(CALLERS),
    )
    def disturb_hosts(self, kind, host_id, live, caller):
        world = self.world
        host = world.hosts[host_id]
        match kind:
            case 'restart':
                world.restart(host_id)
            case 'freeze':
                host.is_paused = not host.is_paused
                world.is_undisturbed = False
            case 'leave' if not host.is_paused:
                world.leave(host_id)
            case 'see':
                world.set_view(host_id, live)
            case 'open':
                world.open(caller, host_id)
            case _:
                world.set_true_views()

    @rule(
        kind=st.sampled_from(['shed', 'slow', 'lose', 'answer', 'health']),
        backend=st.sampled_from(BACKENDS),
    )
    def disturb_backends(self, kind, backend):
        if kind == 'health':
            self.world.health.bad ^= {backend.backend_id}
        else:
            self.world.release()
            self.world.behaviour[backend.backend_id] = kind

    @invariant()
    def runs_and_refusals_agree(self):
        check_runs(self.world)
        check_outcomes(self.world)

    def teardown(self):
        """Check that every request gets its outcome after the faults."""
        world = self.world
        world.health.bad.clear()
        world.behaviour = dict.fromkeys(world.behaviour, 'answer')
        for host in world.hosts.values():
            host.is_paused = False
        world.set_true_views()
        for _ in range(12):
            world.settle()
            world.release()
            world.advance(1.0)
        for sent in open_requests(self.world):
            world.resend(sent, 'h1')
        world.settle()
        world.advance(4.0)
        world.settle()
        check_runs(world)
        check_outcomes(world)
        assert not open_requests(self.world)
        for host in world.hosts.values():
            assert host.plane.is_idle()


class RequestFuzzTests(testtools.TestCase):
    """Guards against repeated runs and wrong refusals under any faults."""

    def test_no_fault_order_breaks_a_guarantee(self):
        machine = RequestMachine.TestCase()
        machine.settings = settings(
            max_examples=60,
            stateful_step_count=40,
            deadline=None,
            derandomize=True,
        )
        machine.runTest()


class FoundCaseTests(testtools.TestCase):
    """Minimal failing examples found by the state machine."""

    def test_a_late_handover_is_not_for_a_restarted_successor(self):
        # The successor refused the request. A repeated handover then reached
        # its next incarnation, which ran the request.
        world = World()
        sent = world.send(CALLERS[0], 'h0')
        world.leave('h0')
        world.deliver(1)
        successor = world.hosts['h0'].plane.successor
        world.cancel(sent, successor)
        world.advance(2.5)
        world.deliver(1)
        world.restart(successor)
        world.settle()
        check_runs(world)
