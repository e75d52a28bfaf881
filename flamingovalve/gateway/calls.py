"""Serves calls of plain services: one upstream at a time, by its load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingovalve.gateway.attempts import MOST_SENDS, no_upstream, settle
from flamingovalve.gateway.relay import Outcome, Sending

if TYPE_CHECKING:
    from flamingovalve.gateway.attempts import Attempts
    from flamingovalve.gateway.balancer import Balancer
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.relay import Sent, UpstreamRelay
    from flamingovalve.http.server import Responder


class CallServer:
    """Serves calls, each answered whole."""

    def __init__(
        self,
        catalogue: Catalogue,
        balancer: Balancer,
        relay: UpstreamRelay,
        attempts: Attempts,
    ) -> None:
        """Serve by what ``catalogue`` knows."""
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

        :raises ServingError: when no upstream answered it
        """
        last = await self._send_until_answered(request)
        if last is None:
            raise no_upstream(request.service)
        if last.response is None:
            raise settle(request, last.outcome)
        await responder.send(last.response)

    async def _send_until_answered(
        self,
        request: InboundRequest,
    ) -> Sent | None:
        last: Sent | None = None
        for _send in range(MOST_SENDS):
            upstream = self._choose(request)
            if upstream is None:
                break
            last = await self._send(request, upstream)
            if not self._attempts.may_repeat(request, last):
                break
        return last

    def _choose(self, request: InboundRequest) -> Upstream | None:
        upstreams = self._catalogue.upstreams(request.service)
        avoided = {*request.tried, *request.refused_by}
        return self._balancer.choose(upstreams, avoided)

    async def _send(
        self,
        request: InboundRequest,
        upstream: Upstream,
    ) -> Sent:
        sending = Sending(request.remaining())
        self._balancer.started(upstream.id)
        try:
            sent = await self._relay.whole(request, upstream, sending)
        except BaseException:
            self._balancer.abandoned(upstream.id)
            raise
        await self._attempts.note(request, upstream, sent)
        if sent.outcome is Outcome.DONE:
            self._balancer.succeeded(upstream.id)
        else:
            silent = sent.outcome in {Outcome.UNREACHABLE, Outcome.TIMED_OUT}
            self._balancer.failed(upstream.id, unreachable=silent)
        return sent
