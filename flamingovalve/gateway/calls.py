"""Serves calls of plain services through load-balanced upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingovalve.gateway.attempts import MAX_SENDS, final_error, no_upstream
from flamingovalve.gateway.relay import Outcome, SendOptions

if TYPE_CHECKING:
    from flamingovalve.gateway.attempts import Attempts
    from flamingovalve.gateway.balancer import Balancer
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.relay import SendResult, UpstreamRelay
    from flamingovalve.http.server import Responder


class CallServer:
    """Serves calls whose response is read completely before it is returned."""

    def __init__(
        self,
        catalogue: Catalogue,
        balancer: Balancer,
        relay: UpstreamRelay,
        attempts: Attempts,
    ) -> None:
        """Serve through the upstreams in ``catalogue``."""
        self._catalogue = catalogue
        self._balancer = balancer
        self._relay = relay
        self._attempts = attempts

    async def serve(
        self,
        request: InboundRequest,
        responder: Responder,
    ) -> None:
        """Serve one call.

        :raises ServingError: if no upstream returned a response
        """
        sent = await self._send_with_retries(request)
        if sent is None:
            raise no_upstream(request.service)
        if sent.response is None:
            raise final_error(request, sent)
        await responder.send(sent.response)

    async def _send_with_retries(
        self,
        request: InboundRequest,
    ) -> SendResult | None:
        sent: SendResult | None = None
        for _attempt in range(MAX_SENDS):
            upstream = self._choose_upstream(request)
            if upstream is None:
                break
            sent = await self._send_once(request, upstream)
            if not self._attempts.may_retry(request, sent):
                break
        return sent

    def _choose_upstream(self, request: InboundRequest) -> Upstream | None:
        upstreams = self._catalogue.upstreams(request.service)
        avoided = {*request.tried, *request.refused_by}
        return self._balancer.choose(upstreams, avoided)

    async def _send_once(
        self,
        request: InboundRequest,
        upstream: Upstream,
    ) -> SendResult:
        options = SendOptions(
            request.remaining(), patience=request.send_patience()
        )
        self._balancer.started(upstream.id)
        try:
            sent = await self._relay.exchange(request, upstream, options)
        except BaseException:
            self._balancer.abandoned(upstream.id)
            raise
        await self._attempts.record(request, upstream, sent)
        if sent.outcome is Outcome.DONE:
            self._balancer.succeeded(upstream.id)
        elif sent.outcome in {Outcome.HELD_BACK, Outcome.REJECTED}:
            self._balancer.abandoned(upstream.id)
        else:
            is_unresponsive = sent.outcome in {
                Outcome.UNREACHABLE,
                Outcome.TIMED_OUT,
            }
            self._balancer.failed(upstream.id, unreachable=is_unresponsive)
        return sent
