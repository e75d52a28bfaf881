"""Serves calls of plain services through load-balanced upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.errors import ConnectionLost, ServingError
from flamingovalve.gateway.answers.sink import AnswerSink
from flamingovalve.gateway.attempts import (
    MAX_SENDS,
    final_error,
    last_sent,
    no_upstream,
)
from flamingovalve.gateway.hedges import Hedges
from flamingovalve.gateway.model import RepeatPolicy
from flamingovalve.gateway.relay import Outcome, SendOptions
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.attempts import Attempts
    from flamingovalve.gateway.balancer import Balancer
    from flamingovalve.gateway.call_client import CallChoice, CallClient
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.relay import SendResult, UpstreamRelay
    from flamingovalve.gateway.stream_versions import StreamVersions
    from flamingovalve.http.server import Responder

_NEUTRAL_OUTCOMES: Final = frozenset(
    (
        Outcome.HELD_BACK,
        Outcome.REJECTED,
        Outcome.QUARANTINED,
        Outcome.OVER_BUDGET,
        Outcome.LEAVING,
    ),
)


class CallServer:
    """Serves calls whose response is read completely before it is returned."""

    def __init__(
        self,
        catalogue: Catalogue,
        balancer: Balancer,
        relay: UpstreamRelay,
        attempts: Attempts,
        client: CallClient,
        versions: StreamVersions,
    ) -> None:
        """Serve through the upstreams in ``catalogue``.

        :param client: chooses the upstream of each call
        """
        self._catalogue = catalogue
        self._balancer = balancer
        self._relay = relay
        self._attempts = attempts
        self._client = client
        self._versions = versions
        self._hedges = Hedges(
            self._upstreams_of, client, attempts, self._send_once
        )

    async def serve(
        self,
        request: InboundRequest,
        responder: Responder,
    ) -> None:
        """Serve one call.

        :raises ServingError: if no upstream returned a response, or none can
            in time
        """
        sink = AnswerSink(responder)
        sent = await self._send_with_retries(request, sink)
        if sent is None:
            raise no_upstream(request.service)
        if sink.started:
            await _end_passed_on(sent, responder)
            return
        if sent.response is None:
            raise final_error(request, sent)
        await responder.send(sent.response)

    async def _send_with_retries(
        self,
        request: InboundRequest,
        sink: AnswerSink,
    ) -> SendResult | None:
        sent: SendResult | None = None
        with self._attempts.permits_for(request) as permits:
            for _attempt in range(MAX_SENDS):
                choice = await self._choose(request, sent)
                if choice is None:
                    break
                choice.permit = permits.permit
                choice.sink = sink
                latest = await self._hedges.send(request, choice)
                sent = last_sent(sent or latest, latest)
                if sink.is_claimed or not await permits.may_retry(latest):
                    break
        return sent

    async def _choose(
        self,
        request: InboundRequest,
        last: SendResult | None,
    ) -> CallChoice | None:
        """Choose the upstream of an attempt.

        :param last: result of the attempt before; None for the first one
        :returns: None if there is none, or not in time for another attempt
        """
        upstreams = self._upstreams_of(request)
        try:
            return await self._client.choose(request, upstreams)
        except ServingError as refusal:
            if last is None:
                raise
            # What the caller gets is derived from the last attempt.
            last.retry_after = max(last.retry_after, refusal.retry_after or 0)
            return None

    def _upstreams_of(self, request: InboundRequest) -> list[Upstream]:
        upstreams = self._catalogue.upstreams(request.service)
        return self._versions.allowed(request, upstreams)

    async def _send_once(
        self,
        request: InboundRequest,
        choice: CallChoice,
    ) -> SendResult:
        upstream = choice.upstream
        options = SendOptions(
            request.remaining(),
            patience=request.send_patience(),
            permit=choice.permit,
            sink=choice.sink,
        )
        self._balancer.started(upstream.id)
        choice.sent_at = clock.now()
        try:
            sent = await self._relay.exchange(request, upstream, options)
        except BaseException:
            if choice.is_overdue:
                self._balancer.overdue(upstream.id)
            else:
                self._balancer.abandoned(upstream.id)
            await self._client.end(request, choice)
            raise
        # Before anything that may be cancelled.
        self._record(upstream, sent)
        await self._client.end(request, choice, sent)
        await self._attempts.record(request, upstream, sent)
        if sent.outcome is Outcome.DONE and _is_resumable(request):
            await self._versions.record(request, upstream, 0)
        return sent

    def _record(self, upstream: Upstream, sent: SendResult) -> None:
        if sent.outcome is Outcome.DONE:
            self._balancer.succeeded(upstream.id)
        elif sent.is_path_failure() or sent.outcome in _NEUTRAL_OUTCOMES:
            self._balancer.abandoned(upstream.id)
        else:
            is_unresponsive = sent.outcome in {
                Outcome.UNREACHABLE,
                Outcome.TIMED_OUT,
            }
            self._balancer.failed(upstream.id, unreachable=is_unresponsive)


async def _end_passed_on(sent: SendResult, responder: Responder) -> None:
    """End an answer that was passed on as it arrived.

    :raises ConnectionLost: if it is not complete
    """
    if sent.outcome is not Outcome.DONE:
        raise ConnectionLost('the answer broke off before its end')
    await responder.end()


def _is_resumable(request: InboundRequest) -> bool:
    return request.route.repeat is RepeatPolicy.RESUMABLE
