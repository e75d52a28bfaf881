"""Retry decisions for a request, and the error its caller gets."""

from __future__ import annotations

import math
from dataclasses import asdict
from typing import TYPE_CHECKING, Any, Final, Self

import curio

from flamingovalve.errors import ErrorKind, Ran, ServingError
from flamingovalve.gateway import return_times
from flamingovalve.gateway.model import RepeatPolicy
from flamingovalve.gateway.quarantine.quarantine import quarantined
from flamingovalve.gateway.relay import (
    NOT_RUN_OUTCOMES,
    WITHHELD_OUTCOMES,
    Outcome,
    error_for_outcome,
    may_send_again,
)
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.quarantine.quarantine import CrashQuarantine
    from flamingovalve.gateway.relay import SendResult
    from flamingovalve.gateway.retries import FleetRetryBudget, RetryPermit
    from flamingovalve.generated.ids import ServiceId

logger = get_logger(__name__)

# A refusal costs an upstream nothing, but the retry after it uses the retry
# budget.
MAX_SENDS: Final = 5

_NOT_ACCEPTED_OUTCOMES: Final = frozenset(
    (Outcome.HELD_BACK, Outcome.REJECTED),
)
# Mostly long enough for another upstream of the service to register.
_NO_UPSTREAM_SECONDS: Final = 0.5
_MIN_RETRY_SECONDS: Final = 0.1


class Attempts:
    """Records each attempt of a request and decides about retries."""

    def __init__(
        self,
        budget: FleetRetryBudget,
        quarantine: CrashQuarantine,
    ) -> None:
        """Take retries from ``budget``; report attempts to ``quarantine``."""
        self._budget = budget
        self._quarantine = quarantine

    def permits_for(self, request: InboundRequest) -> RequestPermits:
        """Return the permits of a request, to be used as a context."""
        return RequestPermits(request, self._budget, self._quarantine)

    def may_hedge(self, request: InboundRequest) -> bool:
        """Return whether a request in progress may run at one more upstream."""
        return (
            request.route.repeat is not RepeatPolicy.ONCE
            and len(request.tried) + 1 < request.route.max_upstreams
            and request.remaining() > 0
            and self._quarantine.may_hedge(request)
        )

    async def reserve_hedge(
        self, request: InboundRequest
    ) -> RetryPermit | None:
        """Reserve a hedge; None if the retry budget does not allow one."""
        permit = await self._budget.reserve(request.service)
        _log_retry(request, None, permit, self._budget)
        return permit

    async def record(
        self,
        request: InboundRequest,
        upstream: Upstream,
        sent: SendResult,
    ) -> None:
        """Record where a request was sent and whether it may have run."""
        if sent.outcome in NOT_RUN_OUTCOMES:
            request.refused_by.append(upstream.id)
            if sent.outcome in _NOT_ACCEPTED_OUTCOMES:
                request.accepted_after = min(
                    request.accepted_after, sent.retry_after
                )
        else:
            request.tried.append(upstream.id)
            is_lost = sent.outcome is Outcome.LOST
            request.losses += is_lost and not sent.is_path_failure()
            request.is_answered |= sent.is_success_of(request)
        note(
            logger,
            'send',
            id=request.id,
            route=request.route.name,
            upstream=upstream.id,
            software=upstream.software,
            **request.log_fields(),
            resumed_id=request.resumed_id,
            resumed_after=sent.resumed_after,
            tried=len(request.tried),
            outcome=sent.outcome.value,
            **_body_fields(sent),
            first_event=round(sent.first_event, 3),
            max_gap=round(sent.max_gap, 3),
            retry_after=_json_seconds(sent.retry_after),
            left=round(request.remaining(), 3),
            **self._quarantine.knowledge.log_fields(),
        )
        # In its own task, as detecting a crashed upstream may take a while.
        await curio.spawn(
            self._quarantine.record,
            request,
            upstream,
            sent,
            daemon=True,
        )


class RequestPermits:
    """The permits of a request for its sends, one after the other.

    A context that returns the credit of a send that is not made.

    :ivar permit: permits the next send
    """

    def __init__(
        self,
        request: InboundRequest,
        budget: FleetRetryBudget,
        quarantine: CrashQuarantine,
    ) -> None:
        """Permit the first send."""
        self.permit = budget.first_permit(request.service)
        self._request = request
        self._budget = budget
        self._quarantine = quarantine

    def __enter__(self) -> Self:
        """Return the permits."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Return unused credit."""
        self.permit.release()

    async def may_retry(self, last: SendResult) -> bool:
        """Obtain the permit for another send after ``last``.

        :returns: whether the request may be sent again
        """
        request = self._request
        if not self._may_run_elsewhere(last):
            return False
        if not self.permit.is_spent:
            self._budget.counts.exempt += 1
            _log_retry(request, last.outcome, self.permit, None)
            request.awaits_send = True
            return True
        has_run = last.outcome not in NOT_RUN_OUTCOMES
        if has_run and not self._quarantine.may_retry(request):
            return False
        permit = await self._budget.reserve(request.service)
        _log_retry(request, last.outcome, permit, self._budget)
        if permit is None:
            return False
        self.permit = permit
        request.awaits_send = True
        return True

    def _may_run_elsewhere(self, last: SendResult) -> bool:
        request = self._request
        return (
            may_send_again(request, last.outcome)
            and len(request.tried) < request.route.max_upstreams
            and request.remaining() > 0
        )


def last_sent(previous: SendResult, latest: SendResult) -> SendResult:
    """Return the result of the last send that this VM did not withhold."""
    is_sent = latest.outcome not in WITHHELD_OUTCOMES
    return latest if is_sent else previous


def _log_retry(
    request: InboundRequest,
    after: Outcome | None,
    permit: RetryPermit | None,
    budget: FleetRetryBudget | None,
) -> None:
    """Log whether a request may be sent again.

    :param after: outcome of the attempt before; None for a hedge
    :param budget: None if the send draws on no budget
    """
    facts: dict[str, Any] = {}
    if budget is not None:
        facts = asdict(budget.state(request.service))
    note(
        logger,
        'retry',
        id=request.id,
        service=request.service,
        after=None if after is None else after.value,
        tried=len(request.tried),
        refused_by=len(request.refused_by),
        left=round(request.remaining(), 3),
        granted=permit is not None,
        is_exempt=budget is None,
        **facts,
    )


def final_error(request: InboundRequest, sent: SendResult) -> ServingError:
    """Return the error for a request whose last attempt is ``sent``.

    If an earlier attempt may have run the request, the error says so.
    """
    error = error_for_outcome(sent.outcome)
    if sent.outcome is Outcome.QUARANTINED:
        error = quarantined(sent.retry_after)
    if sent.outcome in _NOT_ACCEPTED_OUTCOMES:
        error = not_accepted(request, request.accepted_after)
    elif error.retry_after:
        # The keeper may have refused another attempt until later.
        error.retry_after = max(error.retry_after, sent.retry_after)
    if request.tried:
        error.ran = Ran.UNKNOWN
    return error


def _body_fields(sent: SendResult) -> dict[str, str | None]:
    received = sent.received
    if received is None:
        return {'framing': None, 'body_end': None}
    return {'framing': received.framing.value, 'body_end': received.end.value}


def _json_seconds(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None


def not_accepted(request: InboundRequest, seconds: float) -> ServingError:
    """Return the error for a request that no upstream accepts now.

    :param seconds: time after which one accepts it; infinite if all leave
    """
    if math.isinf(seconds):
        return no_upstream(request.service)
    pause = max(seconds, _MIN_RETRY_SECONDS)
    pause = return_times.add_jitter(pause, request.id)
    note(
        logger,
        'refused, no upstream accepts it',
        id=request.id,
        service=request.service,
        accepted_after=round(seconds, 3),
        retry_after=round(pause, 3),
    )
    return ServingError(
        ErrorKind.OVERLOADED,
        f'no upstream of service {request.service} accepts the request; '
        f'retry after {pause:.1f} s',
        retry_after=pause,
    )


def no_upstream(service: ServiceId) -> ServingError:
    """Return the error for a service without an available upstream."""
    return ServingError(
        ErrorKind.NO_UPSTREAM,
        f'no upstream of service {service} accepts requests; retry later',
        retry_after=_NO_UPSTREAM_SECONDS,
    )
