"""The table of what a day loses, from a report of three windows."""

import testtools

from tooling.daylosses import summarize, terms_lost, windows_lost

_NOTHING = {'refused': 0, 'late': 0, 'failed': 0}
_REPORT = {
    'G': 0.80004,
    'parts': [['whole day', 0.5, 0.9], ['worst windows', 0.5, 0.7]],
    'prices': [['cloud calls', 500.0, 0.01], ['duties missed', 0.0, 0.0]],
    'windows': [
        {'name': '0', 'n': 100, 'worth': 1.0, **_NOTHING},
        {'name': '2', 'n': 100, 'worth': 0.4, **_NOTHING, 'failed': 60},
        {'name': '4', 'n': 200, 'worth': 0.9, **_NOTHING, 'late': 28},
    ],
    'unserved_by': [['deadline', 60, ['42.697 s  sent']]],
}


class DayLossesTests(testtools.TestCase):
    """Guards against a round that is spent on what loses nothing."""

    def test_terms_lose_by_their_weight_and_prices_by_what_they_took(self):
        lost = terms_lost(_REPORT)
        self.assertAlmostEqual(0.05, lost['whole day'])
        self.assertAlmostEqual(0.15, lost['worst windows'])
        self.assertEqual(0.01, lost['cloud calls'])
        self.assertNotIn('duties missed', lost)

    def test_windows_come_by_what_they_lose_and_not_by_their_worth(self):
        windows = windows_lost(_REPORT)
        self.assertEqual([2, 4, 0], [window['from_s'] for window in windows])
        self.assertAlmostEqual(60, windows[0]['lost'])

    def test_a_summary_names_how_requests_went_unserved(self):
        found = summarize(_REPORT)
        self.assertEqual([{'how': 'deadline', 'count': 60}], found['unserved'])
        self.assertEqual(0, found['lost_elsewhere'])
        self.assertEqual(0.8, found['worth'])
