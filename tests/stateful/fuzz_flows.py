"""Runs the state machine of flow placement with random examples.

``python -m tests.stateful.fuzz_flows SEED EXAMPLES`` prints one line with the
first broken flow, or ``ok``. The test suite runs 60 fixed examples; this module
searches for more failures. An example takes about 0.2 s.
"""

import sys

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.stateful.test_flows import FlowMachine


def main() -> int:
    """Run the machine; return 1 when a flow broke."""
    number, examples = (int(text) for text in sys.argv[1:3])
    chosen = settings(
        max_examples=examples,
        stateful_step_count=16,
        deadline=None,
        derandomize=False,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    machine = seed(number)(FlowMachine)
    try:
        run_state_machine_as_test(machine, settings=chosen)
    except AssertionError as broken:
        sys.stdout.write(f'seed {number}, {examples} examples: {broken}\n')
        return 1
    sys.stdout.write(f'seed {number}, {examples} examples: ok\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
