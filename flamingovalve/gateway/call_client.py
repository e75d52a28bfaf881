"""Asks the keeper of a plain service which upstream takes a call.

Calls must not depend on the keeper: where it does not answer within a small
part of the target latency, the VM chooses by its own observations.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import return_times
from flamingovalve.gateway.hedge_delays import HedgeDelays
from flamingovalve.gateway.relay import Outcome
from flamingovalve.generated.messages import (
    CallAsk,
    CallEnd,
    CallGrant,
    CallOutcome,
    Refusal,
)
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from flamingovalve.gateway.answers.sink import AnswerSink
    from flamingovalve.gateway.balancer import Balancer
    from flamingovalve.gateway.call_keeper import CallKeeper
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.keepers import KeeperClient
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.relay import SendResult
    from flamingovalve.gateway.retries import RetryPermit
    from flamingovalve.generated.ids import DomainId, ServiceId, VmId
    from flamingovalve.util.tasks import TaskSet

logger = get_logger(__name__)

# Several exchanges between failure domains, with those that open a connection.
_ASK_SECONDS: Final = 0.03
_ASK_SHARE_OF_TARGET: Final = 0.1
# While this many keepers are skipped, none is asked: the fault is probably the
# link of this VM, or other VMs run a version without keepers of calls.
_MAX_SKIPPED_KEEPERS: Final = 2
_MIN_RETRY_SECONDS: Final = 0.1
_MIN_EXPECTED_SECONDS: Final = 0.001
_OUTCOMES: Final = {
    Outcome.DONE: CallOutcome.ANSWERED,
    Outcome.NOT_RUN: CallOutcome.NOT_RUN,
    # The rest of an upstream concerns this VM only.
    Outcome.REJECTED: CallOutcome.ABANDONED,
    Outcome.HELD_BACK: CallOutcome.ABANDONED,
    Outcome.QUARANTINED: CallOutcome.ABANDONED,
    Outcome.OVER_BUDGET: CallOutcome.ABANDONED,
    Outcome.LEAVING: CallOutcome.ABANDONED,
    Outcome.UNREACHABLE: CallOutcome.TIMED_OUT,
    Outcome.TIMED_OUT: CallOutcome.TIMED_OUT,
}


@dataclass
class CallCounts:
    """Counters of the calls of plain services through this VM.

    :ivar granted: calls whose upstream a keeper chose
    :ivar refused: calls that a keeper refused
    :ivar unanswered: keepers that did not answer in time
    :ivar local: calls whose upstream this VM chose by itself
    :ivar hedged: calls sent to a second upstream before the first answered
    :ivar hedges_won: those whose second upstream answered first
    """

    granted: int = 0
    refused: int = 0
    unanswered: int = 0
    local: int = 0
    hedged: int = 0
    hedges_won: int = 0


@dataclass(slots=True)
class CallChoice:
    """The upstream of one call.

    :ivar keeper: the VM that granted it; None if this VM chose by itself
    :ivar expected: seconds until the answer, as the keeper expects; positive,
        or 0 if this VM chose by itself
    :ivar is_overdue: whether another upstream answered although this one got
        the call earlier
    :ivar sent_at: when this VM began to send the call, on the monotonic
        clock; None before
    :ivar permit: permission to send the call, by the retry budget
    :ivar sink: passes on an answer that is too large to be held
    """

    upstream: Upstream
    keeper: VmId | None = None
    expected: float = 0
    is_overdue: bool = False
    sent_at: float | None = None
    permit: RetryPermit | None = None
    sink: AnswerSink | None = None

    def seconds(self) -> float:
        """Return the time since the call was sent; 0 before."""
        return 0 if self.sent_at is None else clock.now() - self.sent_at


class CallClient:
    """Chooses the upstream of each call with its keeper, or without one."""

    def __init__(
        self,
        domain: DomainId,
        balancer: Balancer,
        keepers: KeeperClient,
        keeper: CallKeeper,
        background: TaskSet,
        *,
        is_shared: bool,
    ) -> None:
        """Ask remote keepers through ``keepers``, the local one directly.

        :param domain: failure domain of this VM
        :param keepers: a client of its own, as it skips keepers that are too
            slow for calls
        :param is_shared: whether keepers are asked
        """
        self.counts = CallCounts()
        self.delays = HedgeDelays()
        self._domain = domain
        self._balancer = balancer
        self._keepers = keepers
        self._keeper = keeper
        self._background = background
        self._is_shared = is_shared

    async def choose(
        self,
        request: InboundRequest,
        upstreams: list[Upstream],
    ) -> CallChoice | None:
        """Choose the upstream of a call.

        :param upstreams: all upstreams of its service
        :returns: None if no upstream is left to try
        :raises ServingError: if its keeper expects no answer in time
        """
        excluded = {*request.tried, *request.refused_by}
        choice = await self.ask(request, upstreams, excluded)
        if isinstance(choice, Refusal):
            raise self._refused(request, choice)
        if choice is not None:
            return choice
        vm_count = self._keepers.vm_count()
        open_upstreams = [
            one for one in upstreams if self._balancer.has_room(one, vm_count)
        ]
        upstream = self._balancer.choose(open_upstreams, excluded)
        if upstream is None:
            return None
        self.counts.local += 1
        return CallChoice(upstream)

    async def ask(
        self,
        request: InboundRequest,
        upstreams: list[Upstream],
        excluded: set[str],
    ) -> CallChoice | Refusal | None:
        """Ask the keeper for the upstream of a call.

        :param excluded: upstreams that must not take the call
        :returns: a refusal if the keeper expects no answer in time; None if no
            keeper can tell
        """
        allowed = {
            one.id: one for one in self._balancer.accepting(upstreams, excluded)
        }
        vm = self._keeper_of(request.service)
        if vm is None or len(upstreams) < 2 or not allowed:
            return None
        avoided = [one.id for one in upstreams if one.id not in allowed]
        reply = await self._exchange(
            vm, self._ask_for(request, avoided), request
        )
        if isinstance(reply, Refusal):
            is_late = reply.kind == ErrorKind.OVERLOADED.label
            return reply if is_late else None
        if not isinstance(reply, CallGrant):
            return None
        upstream = allowed.get(reply.upstream)
        if upstream is None:
            # The keeper's list of upstreams is newer or older.
            await self._report(
                vm,
                CallEnd(
                    request.id,
                    request.service,
                    reply.upstream,
                    CallOutcome.ABANDONED,
                ),
            )
            return None
        self.counts.granted += 1
        expected = max(reply.wait_seconds, _MIN_EXPECTED_SECONDS)
        return CallChoice(upstream, vm, expected)

    async def end(
        self,
        request: InboundRequest,
        choice: CallChoice,
        sent: SendResult | None = None,
    ) -> None:
        """Tell the keeper that granted a call how it ended.

        :param sent: None if it was not sent or is not waited for any more,
            because its caller has disconnected or another upstream answered
        """
        if choice.keeper is None:
            return
        is_measured = sent is not None and sent.seconds > 0
        if sent is not None and sent.outcome is Outcome.DONE and is_measured:
            self.delays.record(request.service, sent.seconds / choice.expected)
        await self._report(
            choice.keeper,
            CallEnd(
                request.id,
                request.service,
                choice.upstream.id,
                _outcome_of(request, choice, sent),
                sent.seconds if sent else choice.seconds(),
                sent.bears if sent else 0,
                sent is not None and sent.is_rejected,
            ),
        )

    async def _report(self, vm: VmId, end: CallEnd) -> None:
        if self._keepers.is_here(vm):
            self._keeper.end(end)
        else:
            await self._background.spawn(self._keepers.notify, vm, end)

    def _keeper_of(self, service: ServiceId) -> VmId | None:
        if not self._is_shared:
            return None
        if self._keepers.skipped_count() >= _MAX_SKIPPED_KEEPERS:
            return None
        vms = self._keepers.keepers(f'calls {service}')
        return vms[0] if vms else None

    def _ask_for(self, request: InboundRequest, avoided: list[str]) -> CallAsk:
        return CallAsk(
            request.id,
            request.service,
            request.until_target_latency(),
            request.remaining(),
            avoided,
            self._domain,
        )

    async def _exchange(
        self, vm: VmId, ask: CallAsk, request: InboundRequest
    ) -> CallGrant | Refusal | None:
        if self._keepers.is_here(vm):
            return self._keeper.decide(ask)
        target = request.route.target_latency
        seconds = min(_ASK_SECONDS, target * _ASK_SHARE_OF_TARGET)
        reply = await self._keepers.ask(vm, ask, seconds)
        self.counts.unanswered += reply is None
        return reply

    def _refused(
        self, request: InboundRequest, refusal: Refusal
    ) -> ServingError:
        self.counts.refused += 1
        pause = max(refusal.retry_after, _MIN_RETRY_SECONDS)
        pause = return_times.add_jitter(pause, request.id)
        note(
            logger,
            'refused, no upstream answers in time',
            id=request.id,
            service=request.service,
            left=round(request.remaining(), 3),
            possible_after=round(refusal.retry_after, 3),
            retry_after=round(pause, 3),
        )
        return ServingError(
            ErrorKind.OVERLOADED,
            f'{refusal.message}; retry after {pause:.1f} s',
            retry_after=pause,
        )


def _outcome_of(
    request: InboundRequest,
    choice: CallChoice,
    sent: SendResult | None,
) -> CallOutcome:
    if sent is None:
        is_overdue = choice.is_overdue
        return CallOutcome.TIMED_OUT if is_overdue else CallOutcome.ABANDONED
    if sent.outcome is Outcome.UNREACHABLE and request.remaining() <= 0:
        # Its deadline passed before it was sent.
        return CallOutcome.ABANDONED
    if sent.is_path_failure():
        return CallOutcome.ABANDONED
    return _OUTCOMES.get(sent.outcome, CallOutcome.FAILED)
