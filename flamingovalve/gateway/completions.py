"""Serves completions: a place on an engine, then its events as they come."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.errors import ConnectionLost
from flamingovalve.gateway.attempts import MOST_SENDS, no_upstream, settle
from flamingovalve.gateway.model import Repeat
from flamingovalve.gateway.relay import EventSink, Outcome, Sending
from flamingovalve.generated.messages import PlaceAsk, PlaceOutcome

if TYPE_CHECKING:
    from flamingovalve.gateway.attempts import Attempts
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.inbound import Completion, InboundRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.place_finder import PlaceFinder
    from flamingovalve.gateway.places import PlaceClient, PlaceLease
    from flamingovalve.gateway.relay import Sent, UpstreamRelay
    from flamingovalve.generated.ids import DomainId
    from flamingovalve.http.server import Responder

_PLACE_OUTCOMES: Final = {
    Outcome.DONE: PlaceOutcome.FINISHED,
    Outcome.NOT_RUN: PlaceOutcome.REFUSED,
    Outcome.LOST: PlaceOutcome.LOST,
    Outcome.UNREACHABLE: PlaceOutcome.LOST,
}


class CompletionServer:
    """Serves completions on the engines of their service."""

    def __init__(
        self,
        domain: DomainId,
        catalogue: Catalogue,
        relay: UpstreamRelay,
        attempts: Attempts,
        finder: PlaceFinder,
        places: PlaceClient,
    ) -> None:
        """Serve from a VM in ``domain``."""
        self._domain = domain
        self._catalogue = catalogue
        self._relay = relay
        self._attempts = attempts
        self._finder = finder
        self._places = places

    async def serve(
        self,
        request: InboundRequest,
        completion: Completion,
        responder: Responder,
    ) -> None:
        """Serve one completion.

        :raises ServingError: when no engine ran it
        :raises ConnectionLost: when its stream broke and cannot go on
        """
        resumable = request.route.repeat is Repeat.RESUMABLE
        sink = EventSink(responder, whole_events=resumable)
        ask = self._ask_of(request, completion)
        last = await self._send_until_answered(request, ask, sink)
        if last.outcome is Outcome.DONE:
            await responder.end()
        elif sink.started:
            raise ConnectionLost('the stream ended before its last event')
        elif last.response is None:
            raise settle(request, last.outcome)
        else:
            await responder.send(last.response)

    async def _send_until_answered(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
        sink: EventSink,
    ) -> Sent:
        last = await self._send(request, ask, sink)
        for _send in range(1, MOST_SENDS):
            if not self._attempts.may_repeat(request, last):
                break
            last = await self._send(request, ask, sink)
        return last

    async def _send(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
        sink: EventSink,
    ) -> Sent:
        lease = await self._finder.take(request, ask)
        outcome, first_event = PlaceOutcome.ABANDONED, 0.0
        try:
            upstream = self._leased(request, lease)
            sending = self._sending(request, lease, sink)
            sent = await self._relay.stream(request, upstream, sending, sink)
            outcome = _PLACE_OUTCOMES.get(sent.outcome, PlaceOutcome.FAILED)
            first_event = sent.first_event
        finally:
            await self._places.end(lease, outcome, first_event)
        await self._attempts.note(request, upstream, sent)
        return sent

    def _sending(
        self,
        request: InboundRequest,
        lease: PlaceLease,
        sink: EventSink,
    ) -> Sending:
        return Sending(
            request.remaining(),
            request.priority,
            lease.grant.version,
            sink.last_event,
        )

    def _leased(
        self,
        request: InboundRequest,
        lease: PlaceLease,
    ) -> Upstream:
        for upstream in self._catalogue.upstreams(request.service):
            if upstream.id == lease.grant.upstream:
                return upstream
        raise no_upstream(request.service)

    def _ask_of(
        self,
        request: InboundRequest,
        completion: Completion,
    ) -> PlaceAsk:
        return PlaceAsk(
            request_id=request.id,
            model=completion.model,
            adapter=completion.adapter,
            prompt_tokens=completion.prompt_tokens,
            output_tokens=completion.output_tokens,
            parts=completion.parts,
            priority=request.priority,
            domain=self._domain,
        )
