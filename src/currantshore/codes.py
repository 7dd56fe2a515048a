"""Numbered result codes and flow refusals, and reasons of retries and drops.

The table in ``docs/result-codes.md`` explains each one. A test checks that the
enumerations, the table and the exported counters agree.
"""

import enum


@enum.unique
class ResultCode(enum.IntEnum):
    """The result of a request or a flow, as sent to the caller.

    Codes from 100 mean that the request was not run, and codes from 200 that
    the outcome is unknown. The latter include the token codes: a balancer that
    cannot verify a token does not know whether another copy of the request,
    with an intact token, reached the executor.
    """

    OK = 0
    QUEUE_FULL = 101
    DEADLINE_TOO_SHORT = 102
    DEADLINE_PASSED = 103
    NO_BACKEND_SERVER = 104
    BACKEND_SERVER_SHED = 105
    UNKNOWN_PRIORITY_CLASS = 106
    CANCELLED_BEFORE_RUN = 107
    CALLER_LIMIT = 108
    BALANCER_LEAVING = 109
    PAYLOAD_TOO_LARGE = 110
    OUTCOME_UNKNOWN = 201
    EXECUTOR_LOST = 202
    REQUEST_ID_TOO_OLD = 203
    BACKEND_SERVER_LOST = 204
    CANCELLED_WHILE_RUNNING = 205
    ANSWER_TIMEOUT = 206
    FLOW_SILENT = 207
    TOKEN_MISSING = 208
    TOKEN_INVALID = 209


_FIRST_UNKNOWN_OUTCOME = 200


def is_not_run(code: ResultCode) -> bool:
    """Return whether ``code`` guarantees that the request was not run."""
    return ResultCode.OK < code < _FIRST_UNKNOWN_OUTCOME


@enum.unique
class RetryReason(enum.StrEnum):
    """Why a balancer repeated a request, a lookup or another call."""

    BACKEND_SERVER_SHED = 'backend_server_shed'
    BACKEND_SERVER_LOST = 'backend_server_lost'
    LOOKUP_TIMEOUT = 'lookup_timeout'
    OWNER_WARMING = 'owner_warming'
    HANDOVER_FAILED = 'handover_failed'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    CONFIGURATION_FETCH_FAILED = 'configuration_fetch_failed'


@enum.unique
class DropReason(enum.StrEnum):
    """Why a datagram was dropped without an answer."""

    MALFORMED = 'malformed'
    UNKNOWN_SERVICE = 'unknown_service'
    OVERSIZED = 'oversized'
    PEER_TAG_INVALID = 'peer_tag_invalid'
    UNKNOWN_BACKEND_SERVER = 'unknown_backend_server'
    SERVICE_MISMATCH = 'service_mismatch'
    ANSWER_UNMATCHED = 'answer_unmatched'
    ANSWER_DUPLICATE = 'answer_duplicate'
    LOOKUP_QUEUE_FULL = 'lookup_queue_full'
    NO_BACKEND_SERVER = 'no_backend_server'
    TOKEN_INVALID = 'token_invalid'
    NOT_READY = 'not_ready'
    REPLY_UNMATCHED = 'reply_unmatched'


@enum.unique
class FlowRefusal(enum.IntEnum):
    """Why an entry process did not forward a packet of a flow.

    With a code below 350, the caller gets a reset. With a code from 350 it
    does not, because this host may have less information than others.
    """

    NO_ROUTE = 301
    ROUTE_REMOVED = 302
    NO_BACKEND_SERVER = 303
    BACKEND_SERVER_GONE = 304
    SERVICE_FULL = 305
    ZONE_EVACUATED = 306
    SERVICE_WARMING = 307
    NOT_CURRENT = 351
    TOKEN_UNKNOWN = 352
    SERVICE_MISMATCH = 353

    @property
    def is_told(self) -> bool:
        """Return whether the caller gets a reset."""
        return self < _FIRST_SILENT_REFUSAL


_FIRST_SILENT_REFUSAL = 350
