"""Tests of the log of request ids of one flow."""

import testtools

from currantshore.internal.requests.requestlog import IdState, RequestLog

_LIMIT = 8
_MERGED_FLOOR = 100


class MergedFloorTests(testtools.TestCase):
    """Guards against a request that runs twice after a handover.

    A successor merges the log of another executor, whose floor is above its
    own ids. When its own low ids are dropped later, the floor must not fall:
    the ids in between may have run at the other executor.
    """

    def test_dropping_low_ids_does_not_lower_a_merged_floor(self):
        log = RequestLog()
        for request_id in range(1, _LIMIT + 1):
            log.record(request_id, limit=_LIMIT)
        log.merge(_MERGED_FLOOR, {})
        between = _MERGED_FLOOR // 2
        self.assertIs(IdState.TOO_OLD, log.state(between))
        log.record(_MERGED_FLOOR, limit=_LIMIT)
        self.assertIs(IdState.TOO_OLD, log.state(between))
