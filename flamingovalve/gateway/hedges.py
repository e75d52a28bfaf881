"""Sends idempotent calls that take unusually long to a second upstream.

Addresses calls that an upstream has accepted just before it stalls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from flamingovalve.gateway.call_client import CallChoice
from flamingovalve.gateway.relay import WITHHELD_OUTCOMES, Outcome
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.answers.sink import AnswerSink
    from flamingovalve.gateway.attempts import Attempts
    from flamingovalve.gateway.call_client import CallClient
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.relay import SendResult

    SendCall = Callable[[InboundRequest, CallChoice], Awaitable[SendResult]]

logger = get_logger(__name__)


class Hedges:
    """Sends calls, and hedges those that may run more than once.

    Only calls that a keeper has granted are hedged: without a keeper, a VM
    does not know how long a call should take, nor which upstream has room.
    """

    def __init__(
        self,
        upstreams_of: Callable[[InboundRequest], list[Upstream]],
        client: CallClient,
        attempts: Attempts,
        send: SendCall,
    ) -> None:
        """Send calls with ``send``; choose second upstreams with ``client``.

        :param upstreams_of: returns the upstreams that may run a request
        """
        self._upstreams_of = upstreams_of
        self._client = client
        self._attempts = attempts
        self._send = send

    async def send(
        self,
        request: InboundRequest,
        choice: CallChoice,
    ) -> SendResult:
        """Send a call to one upstream, or to a second one too.

        :returns: the first complete response; without one, the last result
        """
        if choice.keeper is None or not self._attempts.may_hedge(request):
            return await self._send(request, choice)
        delay = self._client.delays.delay(request.service, choice.expected)
        second = None
        try:
            # Leaving the group cancels the send that is not waited for any more.
            async with curio.TaskGroup(wait=None) as group:
                first = await group.spawn(self._send, request, choice)
                async with curio.ignore_after(delay):
                    await first.wait()
                if not first.terminated:
                    second = await self._choose_second(request, choice, first)
                if second is not None:
                    second.sink = choice.sink
                    await group.spawn(self._send, request, second)
                sent, winner = await _first_response(group, choice.sink)
                choice.is_overdue = winner is not first
        finally:
            _release(second)
        if second is not None:
            self._record(request, (choice, second), is_won=winner is not first)
        return sent

    async def _choose_second(
        self,
        request: InboundRequest,
        first: CallChoice,
        sending: curio.Task,
    ) -> CallChoice | None:
        """Choose a second upstream with the keeper.

        :param sending: the task that sends the call to the first one
        :returns: None if there is none, or the first one ended meanwhile
        """
        if not self._attempts.may_hedge(request):
            return None
        upstreams = self._upstreams_of(request)
        excluded = {*request.tried, *request.refused_by, first.upstream.id}
        second = await self._client.ask(request, upstreams, excluded)
        if not isinstance(second, CallChoice):
            return None
        if not sending.terminated:
            second.permit = await self._attempts.reserve_hedge(request)
        if second.permit is None or sending.terminated:
            _release(second)
            await self._client.end(request, second)
            return None
        self._client.delays.record_hedge(request.service)
        return second

    def _record(
        self,
        request: InboundRequest,
        choices: tuple[CallChoice, CallChoice],
        *,
        is_won: bool,
    ) -> None:
        self._client.counts.hedged += 1
        self._client.counts.hedges_won += is_won
        note(
            logger,
            'hedge',
            id=request.id,
            first=choices[0].upstream.id,
            second=choices[1].upstream.id,
            won=is_won,
            left=round(request.remaining(), 3),
        )


def _release(choice: CallChoice | None) -> None:
    """Return the credit of a hedge that was not sent."""
    if choice is not None and choice.permit is not None:
        choice.permit.release()


async def _first_response(
    group: curio.TaskGroup, sink: AnswerSink | None
) -> tuple[SendResult, curio.Task]:
    """Return the first complete response, or else the last result.

    One that is being passed on goes before all others.

    :returns: the result and the task that gave it
    :raises ConnectionLost: if the caller has disconnected
    """
    task = await group.next_done()
    while not _is_final(task.result, sink):
        following = await group.next_done()
        if following is None:
            break
        if following.result.outcome not in WITHHELD_OUTCOMES:
            task = following
    return task.result, task


def _is_final(sent: SendResult, sink: AnswerSink | None) -> bool:
    if sent.outcome is not Outcome.DONE:
        return False
    return sent.is_passed_on or sink is None or not sink.is_claimed
