"""Serves completions: obtains a place on an engine and streams its events."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Final

from flamingovalve.errors import ConnectionLost
from flamingovalve.gateway.attempts import (
    MAX_SENDS,
    final_error,
    last_sent,
    no_upstream,
)
from flamingovalve.gateway.event_pauses import EventPauses
from flamingovalve.gateway.model import RepeatPolicy
from flamingovalve.gateway.relay import EventSink, Outcome, SendOptions
from flamingovalve.generated.messages import PlaceAsk, PlaceEnd, PlaceOutcome
from flamingovalve.http.bodies import Framing

if TYPE_CHECKING:
    from flamingovalve.gateway.attempts import Attempts, RequestPermits
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.inbound import Completion, InboundRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.place_finder import PlaceFinder
    from flamingovalve.gateway.places import PlaceClient, PlaceLease
    from flamingovalve.gateway.relay import SendResult, UpstreamRelay
    from flamingovalve.gateway.stream_versions import StreamVersions
    from flamingovalve.generated.ids import DomainId
    from flamingovalve.http.server import Responder

# More levels than the priorities of routes and workspaces span.
_YIELDING_LEVELS: Final = 5
_PLACE_OUTCOMES: Final = {
    Outcome.DONE: PlaceOutcome.FINISHED,
    Outcome.NOT_RUN: PlaceOutcome.REFUSED,
    Outcome.LOST: PlaceOutcome.LOST,
    Outcome.UNREACHABLE: PlaceOutcome.LOST,
    Outcome.HELD_BACK: PlaceOutcome.DEFERRED,
    Outcome.REJECTED: PlaceOutcome.REJECTED,
    Outcome.QUARANTINED: PlaceOutcome.ABANDONED,
    Outcome.OVER_BUDGET: PlaceOutcome.ABANDONED,
    Outcome.LEAVING: PlaceOutcome.ABANDONED,
}


class CompletionServer:
    """Serves completions on the engines of a service."""

    def __init__(
        self,
        domain: DomainId,
        catalogue: Catalogue,
        relay: UpstreamRelay,
        attempts: Attempts,
        finder: PlaceFinder,
        places: PlaceClient,
        versions: StreamVersions,
    ) -> None:
        """Serve from a VM in the failure domain ``domain``.

        :param versions: holds streams to the version that began them
        """
        self._domain = domain
        self._catalogue = catalogue
        self._relay = relay
        self._attempts = attempts
        self._finder = finder
        self._places = places
        self._versions = versions

    async def serve(
        self,
        request: InboundRequest,
        completion: Completion,
        responder: Responder,
    ) -> None:
        """Serve one completion.

        :raises ServingError: if no place was granted in time or no engine
            returned a response
        :raises ConnectionLost: if the stream broke and could not be resumed
        """
        resumable = request.route.repeat is RepeatPolicy.RESUMABLE
        sink = EventSink(responder, whole_events=resumable)
        place_ask = self._place_ask_of(request, completion)
        sent = await self._send_with_retries(request, place_ask, sink)
        if sent.outcome is Outcome.DONE:
            _check_end(sent, responder)
            await responder.end()
        elif sink.started:
            raise ConnectionLost('the stream broke before its last event')
        elif sent.response is None:
            raise final_error(request, sent)
        else:
            await responder.send(sent.response)

    async def _send_with_retries(
        self,
        request: InboundRequest,
        place_ask: PlaceAsk,
        sink: EventSink,
    ) -> SendResult:
        with self._attempts.permits_for(request) as permits:
            latest = await self._send_once(request, place_ask, sink, permits)
            sent = latest
            for _attempt in range(1, MAX_SENDS):
                if not self._versions.may_resume(request):
                    break
                if not await permits.may_retry(latest):
                    break
                latest = await self._send_once(
                    request, place_ask, sink, permits
                )
                sent = last_sent(sent, latest)
        return sent

    async def _send_once(
        self,
        request: InboundRequest,
        place_ask: PlaceAsk,
        sink: EventSink,
        permits: RequestPermits,
    ) -> SendResult:
        _pin(request, place_ask)
        lease = await self._finder.take(request, place_ask)
        sink.pauses = EventPauses()
        end = PlaceEnd(PlaceOutcome.ABANDONED)
        try:
            upstream = self._upstream_of(request, lease)
            sink.listener = functools.partial(
                self._versions.record, request, upstream, lease.grant.born
            )
            options = self._options_of(request, lease, sink, permits)
            sent = await self._relay.stream(request, upstream, options, sink)
            end = PlaceEnd(
                _place_outcome(sent),
                sent.first_event,
                sent.retry_after,
                sent.is_leaving,
                rejected=sent.is_rejected,
            )
        finally:
            # Callers leave in long pauses, which the owner learns from.
            end.max_gap = sink.pauses.longest
            await self._places.end(lease, end)
        await self._attempts.record(request, upstream, sent)
        return sent

    def _options_of(
        self,
        request: InboundRequest,
        lease: PlaceLease,
        sink: EventSink,
        permits: RequestPermits,
    ) -> SendOptions:
        priority = request.priority
        if lease.grant.yields:
            priority += _YIELDING_LEVELS
        return SendOptions(
            request.remaining(),
            priority,
            lease.grant.version,
            sink.last_event_id,
            request.send_patience(),
            permits.permit,
        )

    def _upstream_of(
        self,
        request: InboundRequest,
        lease: PlaceLease,
    ) -> Upstream:
        upstreams = self._catalogue.upstreams(request.service)
        for upstream in self._versions.allowed(request, upstreams):
            if upstream.id == lease.grant.upstream:
                return upstream
        raise no_upstream(request.service)

    def _place_ask_of(
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
            max_event_gap=request.route.max_event_gap,
            workspace=request.workspace,
        )


def _pin(request: InboundRequest, place_ask: PlaceAsk) -> None:
    """Ask for engines of the version that began the stream."""
    origin = request.origin
    if origin is not None:
        place_ask.pins_software = True
        place_ask.software = origin.software


def _check_end(sent: SendResult, responder: Responder) -> None:
    """Check that a stream has shown to be as complete as its framing says.

    The upstream that began a stream determines its framing, another one may
    have completed it.

    :raises ConnectionLost: if it has not
    """
    received = sent.received
    is_unproven = received is not None and received.is_unproven()
    if is_unproven and responder.framing is not Framing.CONNECTION:
        raise ConnectionLost('nothing shows that the stream is complete')


def _place_outcome(sent: SendResult) -> PlaceOutcome:
    """Return how a place ended, as far as it concerns its engine."""
    if sent.is_path_failure():
        return PlaceOutcome.ABANDONED
    return _PLACE_OUTCOMES.get(sent.outcome, PlaceOutcome.FAILED)
