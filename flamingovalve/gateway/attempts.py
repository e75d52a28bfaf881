"""How often a request is sent, and what its caller hears in the end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ErrorKind, Ran, ServingError
from flamingovalve.gateway.relay import Outcome, failure, may_send_again
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.quarantine import CrashQuarantine
    from flamingovalve.gateway.relay import Sent
    from flamingovalve.gateway.retries import FleetRetryBudget
    from flamingovalve.generated.ids import ServiceId

logger = get_logger(__name__)

# Refusals cost nothing at an upstream, but each takes a part of the budget.
MOST_SENDS: Final = 5

# By then another upstream of the service has mostly registered.
_NO_UPSTREAM_SECONDS: Final = 0.5


class Attempts:
    """Notes each send of a request and judges whether one more is due."""

    def __init__(
        self,
        budget: FleetRetryBudget,
        quarantine: CrashQuarantine,
    ) -> None:
        """Take repeats from ``budget``; report each send to ``quarantine``."""
        self._budget = budget
        self._quarantine = quarantine

    def may_repeat(self, request: InboundRequest, last: Sent) -> bool:
        """Tell whether a request may be sent once more after ``last``."""
        if not may_send_again(request, last.outcome):
            return False
        if len(request.tried) >= request.route.most_upstreams:
            return False
        if request.remaining() <= 0:
            return False
        if last.outcome is Outcome.UNREACHABLE:
            return True
        return self._budget.take(request.service)

    async def note(
        self,
        request: InboundRequest,
        upstream: Upstream,
        sent: Sent,
    ) -> None:
        """Remember where a request was sent, and whether it may have run."""
        if sent.outcome in {Outcome.NOT_RUN, Outcome.UNREACHABLE}:
            request.refused_by.append(upstream.id)
        else:
            request.tried.append(upstream.id)
        note(
            logger,
            'send',
            id=request.id,
            route=request.route.name,
            upstream=upstream.id,
            tried=len(request.tried),
            outcome=sent.outcome.value,
            first_event=round(sent.first_event, 3),
            left=round(request.remaining(), 3),
        )
        # Apart, as whether an upstream crashed may take a while to find out.
        await curio.spawn(
            self._quarantine.note,
            request,
            upstream,
            sent.outcome,
            daemon=True,
        )


def settle(request: InboundRequest, outcome: Outcome) -> ServingError:
    """Give the final error; an earlier send may have run the request."""
    error = failure(outcome)
    if request.tried:
        error.ran = Ran.UNKNOWN
    return error


def no_upstream(service: ServiceId) -> ServingError:
    """Give the error of a service without an upstream."""
    return ServingError(
        ErrorKind.NO_UPSTREAM,
        f'no upstream of service {service} takes requests; come back',
        retry_after=_NO_UPSTREAM_SECONDS,
    )
