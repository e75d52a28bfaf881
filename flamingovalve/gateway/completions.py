"""Serves completions: a place on an engine, then its events as they come."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ConnectionLost, ErrorKind, ServingError
from flamingovalve.gateway.attempts import MOST_SENDS, no_upstream, settle
from flamingovalve.gateway.model import Repeat
from flamingovalve.gateway.places import OwnerSilent
from flamingovalve.gateway.relay import EventSink, Outcome, Sending
from flamingovalve.generated.ids import GroupId
from flamingovalve.generated.messages import PlaceAsk, PlaceOutcome
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.attempts import Attempts
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.inbound import Completion, InboundRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.ownership import GroupClaims
    from flamingovalve.gateway.places import PlaceClient, PlaceLease
    from flamingovalve.gateway.relay import Sent, UpstreamRelay
    from flamingovalve.generated.ids import DomainId, VmId
    from flamingovalve.http.server import Responder

logger = get_logger(__name__)

# A new owner claims within about this time after the old one was seen to be
# gone; asking more often only adds load to it.
_OWNER_PAUSE_SECONDS: Final = 0.1
# Beyond this a caller had better come back than wait for an owner.
_OWNER_PATIENCE_SECONDS: Final = 0.8
_NO_OWNER_RETRY_SECONDS: Final = 0.5

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
        claims: GroupClaims,
        places: PlaceClient,
    ) -> None:
        """Serve from a VM in ``domain``."""
        self.silence_listener: Callable[[VmId], Awaitable[None]] = _ignore
        self._domain = domain
        self._catalogue = catalogue
        self._relay = relay
        self._attempts = attempts
        self._claims = claims
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
        lease = await self._take_place(request, ask)
        outcome, first_event = PlaceOutcome.ABANDONED, 0.0
        try:
            upstream = self._leased(request, lease)
            sending = self._sending(request, lease, sink)
            sent = await self._relay.stream(request, upstream, sending, sink)
            outcome = _PLACE_OUTCOMES.get(sent.outcome, PlaceOutcome.FAILED)
            first_event = sent.first_event
        finally:
            await self._places.end(lease, outcome, first_event)
        self._attempts.note(request, upstream, sent)
        return sent

    def _sending(
        self,
        request: InboundRequest,
        lease: PlaceLease,
        sink: EventSink,
    ) -> Sending:
        return Sending(
            request.remaining(),
            request.route.priority,
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

    async def _take_place(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
    ) -> PlaceLease:
        began = clock.now()
        while True:
            ask.target = request.until_late()
            ask.remaining = request.remaining()
            ask.patience = request.until_first_event()
            ask.avoided = list(request.tried)
            lease = await self._ask_owner(request, ask)
            if lease is not None:
                return lease
            if clock.now() > began + _OWNER_PATIENCE_SECONDS:
                raise _no_owner()
            await curio.sleep(_OWNER_PAUSE_SECONDS)

    async def _ask_owner(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
    ) -> PlaceLease | None:
        owner = self._claims.owner(ask.group)
        if owner is None:
            return None
        try:
            return await self._places.take(owner, ask)
        except OwnerSilent as silent:
            reason = str(silent)
            await self.silence_listener(owner)
        except ServingError as refused:
            if refused.kind is not ErrorKind.NOT_OWNER:
                raise
            reason = refused.message
        note(
            logger,
            'no place from the owner',
            id=request.id,
            owner=owner,
            reason=reason,
        )
        return None

    def _ask_of(
        self,
        request: InboundRequest,
        completion: Completion,
    ) -> PlaceAsk:
        return PlaceAsk(
            request_id=request.id,
            group=GroupId(request.service),
            model=completion.model,
            adapter=completion.adapter,
            prompt_tokens=completion.prompt_tokens,
            output_tokens=completion.output_tokens,
            parts=completion.parts,
            priority=request.route.priority,
            domain=self._domain,
        )


async def _ignore(_vm: VmId) -> None:
    """Leave a silent owner to the usual probes."""


def _no_owner() -> ServingError:
    return ServingError(
        ErrorKind.NOT_OWNER,
        'no VM gives out places of these engines at the moment; come back',
        retry_after=_NO_OWNER_RETRY_SECONDS,
    )
