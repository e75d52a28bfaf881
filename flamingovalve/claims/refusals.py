"""Errors of non-idempotent calls that get no response."""

from __future__ import annotations

from flamingovalve.errors import ErrorKind, Ran, ServingError


def claim_needed() -> ServingError:
    """Return the error of a non-idempotent call without a key."""
    return ServingError(
        ErrorKind.CLAIM_NEEDED,
        'this call must not run twice: send the permit that /v1/entry gives '
        "for it, or a UUIDv7 of your own, in 'Idempotency-Key'",
    )


def key_without_time() -> ServingError:
    """Return the error of a key without a creation time."""
    return ServingError(
        ErrorKind.CLAIM_NEEDED,
        'the idempotency key does not tell when it was made: use a UUIDv7, '
        "send 'X-Idempotency-Time' with its Unix time, or use a permit",
    )


def clock_ahead() -> ServingError:
    """Return the error of a key whose creation time is in the future."""
    return ServingError(
        ErrorKind.CLAIM_NEEDED,
        'the idempotency key was made in the future; set the clock of the '
        'caller, or use a permit from /v1/entry, which needs no clock',
    )


def forged_permit() -> ServingError:
    """Return the error of a permit that this executor did not make."""
    return ServingError(
        ErrorKind.CLAIM_NEEDED,
        'this VM did not make the permit; ask /v1/entry for a new one',
    )


def key_reused() -> ServingError:
    """Return the error of a key that was used with another body."""
    return ServingError(
        ErrorKind.CLAIM_REUSED,
        'the key was used for another body, and this one was not run; use '
        'one key for each call',
    )


def key_too_old(seconds: float) -> ServingError:
    """Return the error of a key whose record may have expired."""
    return ServingError(
        ErrorKind.CLAIM_EXPIRED,
        f'the key is older than {seconds:g} s, and what became of it is no '
        'longer known; check at the service before you send a new one',
        ran=Ran.UNKNOWN,
    )


def expired(ran: Ran) -> ServingError:
    """Return the error of an expired permit."""
    return ServingError(
        ErrorKind.CLAIM_EXPIRED,
        'the permit has expired; ask /v1/entry for a new one',
        ran=ran,
    )


def holders_silent() -> ServingError:
    """Return the error of a call for which too few holders answer."""
    return ServingError(
        ErrorKind.CLAIM_BLOCKED,
        'VMs that remember this key do not answer, so the call was not run '
        'and never will be under this key; send it with a permit',
        retry_after=1,
    )


def table_full() -> ServingError:
    """Return the error of a call that a full table cannot record."""
    return ServingError(
        ErrorKind.OVERLOADED,
        'this VM holds too many records of calls; the call was not run; ask '
        '/v1/entry again and use the new permit',
        retry_after=5,
    )


def leaving() -> ServingError:
    """Return the error of a call whose executor is leaving."""
    return ServingError(
        ErrorKind.LEAVING,
        'the VM that would run this call is leaving; it was not run and '
        'never will be under this key; ask another VM for a permit',
        retry_after=1,
    )


def sealed() -> ServingError:
    """Return the error of a call whose key is sealed."""
    return ServingError(
        ErrorKind.CLAIM_SEALED,
        'the call was not run and never will be under this key; ask '
        '/v1/entry for a new permit and send it again',
        retry_after=1,
    )


def answer_not_kept() -> ServingError:
    """Return the error of a call that ran and whose response was dropped."""
    return ServingError(
        ErrorKind.ANSWER_NOT_KEPT,
        'the call ran, but its answer is no longer kept; read the outcome '
        'at the service and do not send the call again',
        ran=Ran.DONE,
    )


def outcome_unknown(
    reason: str,
    retry_after: float | None = None,
) -> ServingError:
    """Return the error of a call that may have run."""
    return ServingError(
        ErrorKind.OUTCOME_UNKNOWN,
        f'whether the call ran is unknown: {reason}; it will not run again '
        'under this key; send it again with the same key to ask, or check '
        'at the service',
        ran=Ran.UNKNOWN,
        retry_after=retry_after,
    )
