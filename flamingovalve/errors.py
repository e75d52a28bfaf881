"""The errors that flamingovalve reports, as typed kinds."""

from __future__ import annotations

import math
from enum import Enum
from typing import Final


class Ran(Enum):
    """Whether a failed request has run, as far as is known."""

    NOT = 'no'
    DONE = 'yes'
    UNKNOWN = 'unknown'


class ErrorKind(Enum):
    """Kinds of failure, each with its label and HTTP status."""

    MALFORMED_REQUEST = ('malformed_request', 400)
    REQUEST_TOO_LARGE = ('request_too_large', 413)
    HEADERS_TOO_LARGE = ('headers_too_large', 431)
    CALLER_TOO_SLOW = ('caller_too_slow', 408)
    UNKNOWN_PATH = ('unknown_path', 404)
    METHOD_NOT_ALLOWED = ('method_not_allowed', 405)
    UNKNOWN_ADAPTER = ('unknown_adapter', 404)
    UNKNOWN_VERSION = ('unknown_version', 404)
    UNKNOWN_SERVICE = ('unknown_service', 404)
    UNKNOWN_APPLICATION = ('unknown_application', 401)
    UNKNOWN_KEY = ('unknown_key', 401)
    APPLICATION_NOT_ALLOWED = ('application_not_allowed', 403)
    RATE_LIMITED = ('rate_limited', 429)
    QUOTA_UNAVAILABLE = ('quota_unavailable', 503)
    OVERLOADED = ('overloaded', 503)
    DEADLINE_TOO_SHORT = ('deadline_too_short', 503)
    DEADLINE_PASSED = ('deadline_passed', 504)
    NOT_READY = ('not_ready', 503)
    STALE_CONFIGURATION = ('stale_configuration', 503)
    LEAVING = ('leaving', 503)
    NOT_OWNER = ('not_owner', 503)
    NO_GOOD_PLACE = ('no_good_place', 503)
    NO_UPSTREAM = ('no_upstream', 503)
    STREAM_NOT_RESUMABLE = ('stream_not_resumable', 503)
    UPSTREAM_UNREACHABLE = ('upstream_unreachable', 502)
    UPSTREAM_FAILED = ('upstream_failed', 502)
    UPSTREAM_CRASHED = ('upstream_crashed', 502)
    UPSTREAM_SILENT = ('upstream_silent', 504)
    UPSTREAM_REFUSED = ('upstream_refused', 502)
    WRONG_ANSWER = ('wrong_answer', 502)
    FRAGMENT = ('fragment', 502)
    LOAD_FAILED = ('load_failed', 503)
    POISON_REQUEST = ('poison_request', 422)
    QUARANTINED = ('quarantined', 503)
    CLAIM_NEEDED = ('claim_needed', 428)
    CLAIM_REUSED = ('claim_reused', 422)
    CLAIM_EXPIRED = ('claim_expired', 410)
    CLAIM_BLOCKED = ('claim_blocked', 503)
    CLAIM_SEALED = ('claim_sealed', 409)
    ANSWER_NOT_KEPT = ('answer_not_kept', 410)
    OUTCOME_UNKNOWN = ('outcome_unknown', 502)
    INTERNAL = ('internal', 500)

    def __init__(self, label: str, status: int) -> None:
        """Split the value into its label and its HTTP status."""
        self.label = label
        self.status = status


BY_LABEL: Final = {kind.label: kind for kind in ErrorKind}


class ServingError(Exception):
    """A failure with its kind, its remedy and whether the request ran.

    Functions that make a decision return it as the error side of a
    ``Result``; it is raised where a task unwinds.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        ran: Ran = Ran.NOT,
        retry_after: float | None = None,
    ) -> None:
        """Describe the failure.

        :param kind: kind of the failure
        :param message: what happened and how to remedy it
        :param ran: whether an upstream may have run the request
        :param retry_after: seconds after which a retry makes sense
        :raises ValueError: when ``retry_after`` is negative or not finite
        """
        if retry_after is not None and not 0 <= retry_after < math.inf:
            raise ValueError(f'cannot retry after {retry_after} s: {message}')
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.ran = ran
        self.retry_after = retry_after

    def to_json(self) -> dict[str, object]:
        """Return the JSON object that callers receive."""
        return {
            'error': {
                'type': self.kind.label,
                'message': self.message,
                'ran': self.ran.value,
            },
        }


class Fault:
    """One fault in the settings or the inventory.

    :ivar place: where the fault was found
    :ivar problem: what is wrong
    :ivar remedy: how to correct it
    """

    def __init__(self, place: str, problem: str, remedy: str) -> None:
        """Describe the fault found at ``place``."""
        self.place = place
        self.problem = problem
        self.remedy = remedy

    def __str__(self) -> str:
        """Return the message for operators."""
        return f'{self.place}: {self.problem}; {self.remedy}'


class ConnectionLost(Exception):
    """A connection closed or failed before its exchange was complete."""


class CallerLost(ConnectionLost):
    """A caller disconnected or stopped reading during its response.

    Its upstream is not to blame, and another one cannot help.
    """


class HeldBack(Exception):
    """A request that an upstream does not accept now, and that was not sent.

    :ivar seconds: time after which the upstream is expected to accept it
    """

    def __init__(self, message: str, seconds: float) -> None:
        """Create the error with its reason."""
        super().__init__(message)
        self.seconds = seconds


class WrongPeer(Exception):
    """A peer failed authentication or violated the protocol."""


class Undecodable(Exception):
    """Published bytes that cannot be decoded; their publisher must fix them."""


class StoreUnavailable(Exception):
    """The platform's store sent no usable response; retry later."""


class HistoryGone(Exception):
    """The store no longer has the requested history; read everything again."""
