"""Quarantines what repeatedly crashes upstreams.

A request may crash every upstream that runs it, while its caller retries it
through any VM, and so may all requests that have something in common. When an
upstream crashes, the cause cannot be distinguished from what else the upstream
ran, as each VM sees only a part of it. But sound requests succeed in between,
while the cause crashes an upstream each time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway.quarantine.causes import (
    call_of,
    causes_of,
    is_call,
)
from flamingovalve.gateway.quarantine.counts import CrashCounts
from flamingovalve.gateway.quarantine.ends import End, Instance
from flamingovalve.gateway.quarantine.knowledge import Knowledge
from flamingovalve.gateway.quarantine.reports import EndReports, end_of
from flamingovalve.gateway.quarantine.suspects import Suspects
from flamingovalve.gateway.quarantine.trials import (
    TRIAL_SECONDS,
    Trial,
    Trials,
)
from flamingovalve.gateway.quarantine.untold_ends import UntoldEnds
from flamingovalve.gateway.quarantine.upstream_ends import EndSign
from flamingovalve.gateway.quarantine.verdicts import Verdicts
from flamingovalve.gateway.relay import NOT_RUN_OUTCOMES, Outcome
from flamingovalve.generated.messages import TrialRumour
from flamingovalve.membership.gossip import Dissemination
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.quarantine.causes import Cause
    from flamingovalve.gateway.relay import SendResult
    from flamingovalve.generated.ids import Fingerprint, UpstreamId
    from flamingovalve.generated.messages import EndRumour, EndsReply

    PublishRumour = Callable[[EndRumour | TrialRumour], Awaitable[None]]

logger = get_logger(__name__)

# Losses, in this attempt and before it, from which on a request is sent once
# per attempt.
_LOSSES_TO_SEND_ONCE: Final = 2
# Ends of a call from which on it runs once at a time, at all VMs.
_ENDS_TO_TRY_ALONE: Final = 2
# An upstream that was heard of this recently has not fallen silent.
_RECENT_SECONDS: Final = 0.5


class FindEnd(Protocol):
    """Finds out whether an upstream has ended."""

    async def __call__(
        self, upstream: Upstream, since: float, *, identifies: bool
    ) -> EndSign | None:
        """Return what shows it, as :meth:`UpstreamEnds.find` does."""


def _sees_all() -> bool:
    """Return that this VM sees all others; the default of a VM alone."""
    return True


class CrashQuarantine:
    """Refuses requests with a cause that is convicted of ends of upstreams."""

    def __init__(
        self,
        seconds: float,
        find_end: FindEnd,
        heard_at: Callable[[UpstreamId], float],
        is_prober: Callable[[Fingerprint], bool],
        heard_from: Callable[[], int] = int,
        sees_majority: Callable[[], bool] = _sees_all,
        upstreams: Callable[[], list[Upstream]] = list,
    ) -> None:
        """Keep ends and successes for ``seconds``.

        :param find_end: returns what shows that an upstream has ended since a
            time
        :param heard_at: returns when an upstream last answered this VM, on the
            monotonic clock
        :param is_prober: returns whether this VM sends the probes of a cause
        :param heard_from: returns the number of VMs that a datagram has
            arrived from
        :param sees_majority: returns whether this VM sees most others
        :param upstreams: returns the upstreams of all services
        """
        self.counts = CrashCounts()
        self.publish: PublishRumour = _discard_rumour
        self.enqueue: Callable[[EndRumour], None] = _drop_rumour
        self._seconds = seconds
        self._find_end = find_end
        self._heard_at = heard_at
        self._suspects = Suspects(seconds)
        self.reports = EndReports(self._suspects)
        self.knowledge = Knowledge(self._suspects, heard_from, sees_majority)
        self._untold = UntoldEnds(upstreams, self.knowledge, seconds)
        self._trials = Trials()
        self.verdicts = Verdicts(
            seconds, self._suspects, self.counts, is_prober, self._untold
        )

    # -- Decisions

    def admit(self, request: InboundRequest) -> None:
        """Check that a request is not quarantined, and whether it is suspect.

        :raises ServingError: if it is convicted for one of its causes
        """
        self._untold.look()
        if not self._suspects:
            return
        request.lost_before = self._suspicion(causes_of(request))
        _cause, seconds = self.verdicts.refusal(request)
        seconds = seconds or self._trial_seconds(request)
        if seconds:
            raise quarantined(seconds)

    def refusal_seconds(self, request: InboundRequest) -> float:
        """Return for how long a request is refused from now on; 0 if it is not.

        Called again when the request is sent, as it may have waited meanwhile.
        If it is the probe of a convicted cause, it has to be sent.
        """
        if not self._suspects:
            return 0
        cause, seconds = self.verdicts.refusal(request)
        if cause is not None and not seconds:
            self.verdicts.record_probe(request, cause)
        return seconds or self._trial_seconds(request)

    async def record_sending(self, request: InboundRequest) -> None:
        """Notify all VMs that a call with several ends is about to run."""
        if not self._suspects:
            return
        call = call_of(request)
        ends = self._suspects.count(call)
        if ends < _ENDS_TO_TRY_ALONE or self._suspects.is_answered(call):
            return
        trial = Trial(ends, clock.now() + TRIAL_SECONDS, request.id)
        if self._trials.record(call, trial):
            note(logger, 'a suspect call is tried', id=request.id, ends=ends)
            await self.publish(TrialRumour(call, ends, TRIAL_SECONDS))

    def _trial_seconds(self, request: InboundRequest) -> float:
        """Return for how long a request waits for another run of its call."""
        call = call_of(request)
        ends = self._suspects.count(call)
        seconds = self._trials.seconds_left(call, ends, request.id)
        is_tried = seconds > 0 and ends >= _ENDS_TO_TRY_ALONE
        if not is_tried or self._suspects.is_answered(call):
            return 0
        self.counts.refused += 1
        note(
            logger,
            'refused, its call is tried',
            id=request.id,
            ends=ends,
            seconds_left=round(seconds, 3),
        )
        return seconds

    def may_retry(self, request: InboundRequest) -> bool:
        """Return whether a request may be sent again in this attempt."""
        losses = self._losses_of(request)
        untold = self._untold.count(request.service)
        if self._suspects.may_be_deadly(losses, untold):
            return False
        return losses < _LOSSES_TO_SEND_ONCE

    def may_hedge(self, request: InboundRequest) -> bool:
        """Return whether a request may run on two upstreams at a time."""
        return not self._losses_of(request)

    def _losses_of(self, request: InboundRequest) -> int:
        losses = request.lost_before + request.losses
        if not self._suspects:
            return losses
        return max(losses, self._suspicion(causes_of(request)))

    def _suspicion(self, causes: list[Cause]) -> int:
        """Return the ends against the call, or a cause with several ends."""
        calls, shared = [], []
        for cause in causes:
            group = calls if is_call(cause.fingerprint) else shared
            group.append(cause.fingerprint)
        ends = self._suspects.suspicion(shared)
        return max(self._suspects.suspicion(calls), ends if ends > 1 else 0)

    # -- Outcomes

    async def record(
        self,
        request: InboundRequest,
        upstream: Upstream,
        sent: SendResult,
    ) -> None:
        """Record the outcome of sending a request to an upstream."""
        if sent.outcome is Outcome.DONE:
            await self._record_answer(request, upstream, sent)
        elif sent.outcome is Outcome.LOST or self._is_silent(upstream, sent):
            await self._check(request, upstream, is_read=sent.is_acknowledged)
        if self._trials and sent.outcome not in NOT_RUN_OUTCOMES:
            self._trials.end(call_of(request), request.id)

    async def record_unanswered(
        self, request: InboundRequest, upstream: Upstream, sent_at: float
    ) -> None:
        """Check an upstream that has read a request and does not answer.

        :param sent_at: when the request was sent, on the monotonic clock
        """
        if self._heard_at(upstream.id) <= sent_at:
            await self._check(request, upstream, is_read=True, identifies=False)

    async def record_abandoned(
        self, request: InboundRequest, upstream: Upstream
    ) -> None:
        """Check an upstream some time after a request was cancelled there.

        Its caller has left, but the upstream may still end under the request.
        """
        abandoned_at = clock.now()
        await curio.sleep(_RECENT_SECONDS)
        if self._heard_at(upstream.id) <= abandoned_at:
            await self._check(request, upstream, is_read=False)

    async def _record_answer(
        self, request: InboundRequest, upstream: Upstream, sent: SendResult
    ) -> None:
        """Exonerate the causes of a request with a whole answer.

        Nothing may show whether a stream was whole or its upstream ended.
        """
        if sent.is_success_of(request) or not await self._check(
            request, upstream, is_read=True
        ):
            await self._exonerate(request)

    def _is_silent(self, upstream: Upstream, sent: SendResult) -> bool:
        """Return whether a request timed out at an upstream that fell silent."""
        if sent.outcome is not Outcome.TIMED_OUT:
            return False
        return self._heard_at(upstream.id) < clock.now() - _RECENT_SECONDS

    async def _check(
        self,
        request: InboundRequest,
        upstream: Upstream,
        *,
        is_read: bool,
        identifies: bool = True,
    ) -> bool:
        """Check an upstream after a loss; return whether it has ended."""
        lost_at = clock.now()
        sign = await self._find_end(upstream, lost_at, identifies=identifies)
        is_counted = sign is not None and not request.is_answered
        if sign is EndSign.SILENT and not is_read:
            is_counted = False
        note(
            logger,
            'upstream checked after a loss',
            id=request.id,
            upstream=upstream.id,
            **request.log_fields(),
            end=sign.value if sign else None,
            is_counted=is_counted,
            seconds=round(clock.now() - lost_at, 3),
        )
        if is_counted:
            await self._count(request, upstream, lost_at)
        return sign is not None

    async def _count(
        self, request: InboundRequest, upstream: Upstream, lost_at: float
    ) -> None:
        causes = causes_of(request)
        lost = {cause.fingerprint for cause in causes}
        report = End(
            Instance.from_upstream(upstream),
            lost_at,
            clock.now() + self._seconds,
            lost,
        )
        end, is_new = self._suspects.merge(report)
        if not is_new:
            return
        self.counts.crashes += 1
        self.verdicts.extend_refusals(lost)
        note(
            logger,
            'upstream ended while it ran a request',
            id=request.id,
            upstream=upstream.id,
            **request.log_fields(),
            crashes=self._suspects.suspicion(lost),
            suspects=[_described(one, self._suspects) for one in causes],
            convicted=self._suspects.convicted(lost) is not None,
        )
        await self.publish(self.reports.rumour_of(end))
        # Earlier ones too, as other VMs may not have received them yet.
        for earlier, repeated in self._suspects.repeated().items():
            if earlier is not end and not lost.isdisjoint(repeated):
                await self.publish(self.reports.rumour_of(earlier))

    async def _exonerate(self, request: InboundRequest) -> None:
        causes = {one.fingerprint for one in causes_of(request)}
        repeated = any(self._suspects.count(one) > 1 for one in causes)
        for end in self._suspects.record_success(causes):
            self.counts.cleared += 1
            note(
                logger,
                'a success exonerates causes',
                id=request.id,
                **request.log_fields(),
                upstream=end.instance.upstream,
            )
            if repeated:
                await self.publish(self.reports.rumour_of(end))
            else:
                self.enqueue(self.reports.rumour_of(end))
        self.verdicts.acquit(causes)

    # -- Rumours

    def apply_trial(self, rumour: TrialRumour) -> Dissemination:
        """Let repeats of a call wait for its run at another VM."""
        until = clock.now() + min(rumour.remaining, TRIAL_SECONDS)
        is_new = self._trials.record(
            rumour.cause, Trial(rumour.ends, until, None)
        )
        return Dissemination.URGENT if is_new else Dissemination.NONE

    def take_over(self, reply: EndsReply) -> None:
        """Take over the ends and refusals that another VM knows."""
        for rumour in reply.ends:
            self._suspects.merge(end_of(rumour))
        for record in reply.refusals:
            self.verdicts.refusals.take_over(record)
        self.knowledge.record_cover(reply.covered)

    def apply_rumour(self, rumour: EndRumour) -> Dissemination:
        """Apply the report of another VM; complete it by what is known here."""
        report = end_of(rumour)
        self.knowledge.record_report(rumour.known)
        known_before = self._suspects.ends.lost_with(report.instance)
        end, is_new = self._suspects.merge(report)
        if not is_new:
            return Dissemination.NONE
        self.verdicts.extend_refusals(report.lost - known_before)
        self.verdicts.acquit(end.exonerated & report.exonerated)
        crashes = self._suspects.suspicion(report.lost)
        note(
            logger,
            'another VM reports the end of an upstream',
            upstream=rumour.upstream,
            causes=len(end.lost),
            exonerated=len(end.exonerated),
            proven=len(end.proven),
            crashes=crashes,
            remaining=round(rumour.remaining, 3),
        )
        self.reports.complete(rumour, end)
        is_repeated = crashes >= _LOSSES_TO_SEND_ONCE
        return Dissemination.URGENT if is_repeated else Dissemination.ORDINARY


def quarantined(seconds: float) -> ServingError:
    """Return the error for a request that is refused for ``seconds``."""
    return ServingError(
        ErrorKind.QUARANTINED,
        'this request, or others with a part or adapter in common, crashed '
        'several upstreams; change it before sending it again',
        retry_after=seconds,
    )


def _described(cause: Cause, suspects: Suspects) -> str:
    """Return a cause with the ends against it, for a log line."""
    ends = suspects.count(cause.fingerprint)
    mark = ' proven' if suspects.is_proven(cause.fingerprint) else ''
    return f'{cause.kind.name.lower()} {cause.name}: {ends}{mark}'


async def _discard_rumour(_rumour: EndRumour | TrialRumour) -> None:
    """Discard a rumour; the default until the daemon sets a publisher."""


def _drop_rumour(_rumour: EndRumour) -> None:
    """Discard a rumour; the default until the daemon sets a queue."""
