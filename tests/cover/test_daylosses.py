"""Tests of the summary of lost worth, with a report of three windows."""

import testtools

from tooling.daylosses import summarize, losses_by_term, losses_by_window

_NO_FAILURES = {'refused': 0, 'late': 0, 'failed': 0}
_REPORT = {
    'G': 0.80004,
    'parts': [['whole day', 0.5, 0.9], ['worst windows', 0.5, 0.7]],
    'prices': [['cloud calls', 500.0, 0.01], ['duties missed', 0.0, 0.0]],
    'windows': [
        {'name': '0', 'n': 100, 'worth': 1.0, **_NO_FAILURES},
        {'name': '2', 'n': 100, 'worth': 0.4, **_NO_FAILURES, 'failed': 60},
        {'name': '4', 'n': 200, 'worth': 0.9, **_NO_FAILURES, 'late': 28},
    ],
    'unserved_by': [['deadline', 60, ['42.697 s  sent']]],
}


class DayLossesTests(testtools.TestCase):
    """Guards against a summary that points at causes that lose nothing."""

    def test_terms_lose_by_weight_and_prices_by_their_deduction(self):
        lost = losses_by_term(_REPORT)
        self.assertAlmostEqual(0.05, lost['whole day'])
        self.assertAlmostEqual(0.15, lost['worst windows'])
        self.assertEqual(0.01, lost['cloud calls'])
        self.assertNotIn('duties missed', lost)

    def test_windows_are_sorted_by_lost_worth(self):
        windows = losses_by_window(_REPORT)
        self.assertEqual([2, 4, 0], [window['from_s'] for window in windows])
        self.assertAlmostEqual(60, windows[0]['lost'])

    def test_a_summary_names_how_requests_went_unserved(self):
        summary = summarize(_REPORT)
        self.assertEqual(
            [{'how': 'deadline', 'count': 60}], summary['unserved']
        )
        self.assertEqual(0, summary['lost_elsewhere'])
        self.assertEqual(0.8, summary['worth'])
