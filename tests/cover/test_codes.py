"""Result codes, reasons and counts, and their tables in the documentation."""

import pathlib
import re

import testtools

from currantshore.codes import (
    DropReason,
    FlowRefusal,
    ResultCode,
    RetryReason,
    is_not_run,
)
from currantshore.internal.counters import Count

_TABLE = pathlib.Path(__file__).parents[2] / 'docs' / 'result-codes.md'


class ResultCodeTests(testtools.TestCase):
    """Guards against a code that operators cannot look up."""

    def setUp(self):
        super().setUp()
        self.page = _TABLE.read_text()

    def test_every_code_has_a_row_with_its_number_and_no_other(self):
        rows = re.findall(r'^\| (\d+) \| (\w+) \|', self.page, re.MULTILINE)
        listed = {(int(number), name) for number, name in rows}
        codes = [*ResultCode, *FlowRefusal]
        self.assertEqual({(code.value, code.name) for code in codes}, listed)

    def test_every_reason_has_a_row_and_no_other(self):
        rows = re.findall(r'^\| `(\w+)` \|', self.page, re.MULTILINE)
        reasons = [*RetryReason, *DropReason]
        self.assertEqual(
            sorted(str(reason) for reason in reasons), sorted(rows)
        )

    def test_a_caller_gets_a_reset_only_for_certain_refusals(self):
        reset_codes = {code for code in FlowRefusal if code.is_told}
        self.assertEqual(
            {code for code in FlowRefusal if code < 350}, reset_codes
        )
        self.assertNotIn(FlowRefusal.TOKEN_UNKNOWN, reset_codes)

    def test_only_codes_under_two_hundred_guarantee_not_run(self):
        guaranteed = {code for code in ResultCode if is_not_run(code)}
        self.assertEqual(
            {code for code in ResultCode if 100 < code < 200}, guaranteed
        )

    def test_a_bad_token_does_not_guarantee_that_nothing_ran(self):
        # Another copy of the same request may have reached the executor.
        self.assertFalse(is_not_run(ResultCode.TOKEN_INVALID))
        self.assertFalse(is_not_run(ResultCode.TOKEN_MISSING))


class MetricPageTests(testtools.TestCase):
    """Guards against a metric that the operators' page does not explain."""

    def test_every_count_has_a_row(self):
        page = (_TABLE.parent / 'operators' / 'metrics.md').read_text()
        rows = re.findall(r'^\| `currantshore_(\w+)_total` \| \|', page, re.M)
        self.assertEqual(sorted(Count), sorted(rows))
