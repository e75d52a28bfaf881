"""Serves one request: which upstream, how often, and what its caller gets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ConnectionLost, ErrorKind, Ran, ServingError
from flamingovalve.gateway.model import Repeat
from flamingovalve.gateway.places import OwnerSilent
from flamingovalve.gateway.relay import (
    EventSink,
    Result,
    Sending,
    Sent,
    failure,
    may_send_again,
)
from flamingovalve.generated.ids import GroupId
from flamingovalve.generated.messages import PlaceAsk, PlaceOutcome
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    import random

    from flamingovalve.gateway.balancer import Balancer
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.inbound import Completion, InboundRequest
    from flamingovalve.gateway.model import Upstream, UpstreamService
    from flamingovalve.gateway.ownership import GroupClaims
    from flamingovalve.gateway.places import PlaceClient, PlaceLease
    from flamingovalve.gateway.relay import UpstreamRelay
    from flamingovalve.gateway.retries import FleetRetryBudget
    from flamingovalve.generated.ids import DomainId, ServiceId, VmId
    from flamingovalve.http.server import Responder

logger = get_logger(__name__)

# A new owner claims within about this time after the old one was seen to be
# gone; asking more often only adds load to it.
_OWNER_PAUSE_SECONDS: Final = 0.1
# Beyond this a caller had better come back than wait for an owner.
_OWNER_PATIENCE_SECONDS: Final = 0.8
_MOST_SENDS: Final = 5

_OUTCOMES: Final = {
    Result.DONE: PlaceOutcome.FINISHED,
    Result.NOT_RUN: PlaceOutcome.REFUSED,
}


class RequestServer:
    """Serves the requests of published routes."""

    def __init__(
        self,
        domain: DomainId,
        catalogue: Catalogue,
        balancer: Balancer,
        relay: UpstreamRelay,
        budget: FleetRetryBudget,
        claims: GroupClaims,
        places: PlaceClient,
        chance: random.Random,
    ) -> None:
        """Serve by what ``catalogue`` knows."""
        self._domain = domain
        self._catalogue = catalogue
        self._balancer = balancer
        self._relay = relay
        self._budget = budget
        self._claims = claims
        self._places = places
        self._chance = chance
        self.silence_listener = _ignore_silence

    async def serve(
        self,
        request: InboundRequest,
        responder: Responder,
    ) -> None:
        """Serve one request.

        :raises ServingError: when it cannot be served
        """
        service = self._service_of(request)
        self._budget.note_request(service.name)
        if service.engine is not None and request.completion is not None:
            await self._serve_completion(request, service, responder)
        else:
            await self._serve_call(request, service, responder)

    def _service_of(self, request: InboundRequest) -> UpstreamService:
        shares = request.route.services
        names = [share.service for share in shares]
        weights = [share.weight for share in shares]
        name = self._chance.choices(names, weights)[0]
        service = self._catalogue.configuration.services_by_name.get(name)
        if service is None:
            raise _no_upstream(name)
        return service

    # -- Plain services

    async def _serve_call(
        self,
        request: InboundRequest,
        service: UpstreamService,
        responder: Responder,
    ) -> None:
        last: Sent | None = None
        for count in range(_MOST_SENDS):
            if last is not None and not self._may_repeat(request, last):
                break
            upstream = self._choose(request, service.name)
            if upstream is None:
                break
            last = await self._send_call(request, upstream)
            log_send(request, upstream, last, count)
            if last.result is Result.DONE and last.response is not None:
                await responder.send(last.response)
                return
        if last is None:
            raise _no_upstream(service.name)
        if last.response is not None:
            await responder.send(last.response)
            return
        raise settle(request, last.result)

    def _choose(
        self,
        request: InboundRequest,
        service: ServiceId,
    ) -> Upstream | None:
        upstreams = self._catalogue.upstreams(service)
        avoided = {*request.tried, *request.refused_by}
        return self._balancer.choose(upstreams, avoided)

    async def _send_call(
        self,
        request: InboundRequest,
        upstream: Upstream,
    ) -> Sent:
        balancer = self._balancer
        balancer.started(upstream.id)
        try:
            sent = await self._relay.whole(
                request,
                upstream,
                Sending(request.remaining()),
            )
        except BaseException:
            balancer.abandoned(upstream.id)
            raise
        note_send(request, upstream, sent.result)
        if sent.result is Result.DONE:
            balancer.succeeded(upstream.id)
        else:
            silent = sent.result in {Result.UNREACHABLE, Result.TIMED_OUT}
            balancer.failed(upstream.id, unreachable=silent)
        return sent

    def _may_repeat(self, request: InboundRequest, last: Sent) -> bool:
        if not may_send_again(request, last.result):
            return False
        if len(request.tried) >= request.route.most_upstreams:
            return False
        if request.remaining() <= 0:
            return False
        service = request.route.services[0].service
        if last.result is Result.UNREACHABLE:
            return True
        return self._budget.take(service)

    # -- Model engines

    async def _serve_completion(
        self,
        request: InboundRequest,
        service: UpstreamService,
        responder: Responder,
    ) -> None:
        resumable = request.route.repeat is Repeat.RESUMABLE
        sink = EventSink(responder, whole_events=resumable)
        last: Sent | None = None
        for count in range(_MOST_SENDS):
            if last is not None and not self._may_repeat(request, last):
                break
            last = await self._send_completion(request, service, sink, count)
            if last.result is Result.DONE:
                await responder.end()
                return
        assert last is not None
        if sink.started:
            raise ConnectionLost('the stream ended before its last event')
        if last.response is not None:
            await responder.send(last.response)
            return
        raise settle(request, last.result)

    async def _send_completion(
        self,
        request: InboundRequest,
        service: UpstreamService,
        sink: EventSink,
        count: int,
    ) -> Sent:
        lease = await self._take_place(request, service)
        outcome, first_event = PlaceOutcome.ABANDONED, 0.0
        try:
            upstream = self._leased(lease, service)
            sending = Sending(
                request.remaining(),
                request.route.priority,
                lease.grant.version,
                sink.last_event,
            )
            sent = await self._relay.stream(request, upstream, sending, sink)
            outcome = _OUTCOMES.get(sent.result, PlaceOutcome.FAILED)
            first_event = sent.first_event
        finally:
            await self._places.end(lease, outcome, first_event)
        note_send(request, upstream, sent.result)
        log_send(request, upstream, sent, count)
        return sent

    def _leased(
        self,
        lease: PlaceLease,
        service: UpstreamService,
    ) -> Upstream:
        for upstream in self._catalogue.upstreams(service.name):
            if upstream.id == lease.grant.upstream:
                return upstream
        raise _no_upstream(service.name)

    async def _take_place(
        self,
        request: InboundRequest,
        service: UpstreamService,
    ) -> PlaceLease:
        assert request.completion is not None
        ask = self._ask_of(request, request.completion, service.name)
        waited = 0.0
        while True:
            owner = self._claims.owner(ask.group)
            try:
                if owner is not None:
                    return await self._places.take(owner, ask)
            except OwnerSilent as silent:
                await self.silence_listener(owner)
                note(
                    logger,
                    'owner silent',
                    id=request.id,
                    owner=owner,
                    reason=str(silent),
                )
            except ServingError as refused:
                if refused.kind is not ErrorKind.NOT_OWNER:
                    raise
            if waited > _OWNER_PATIENCE_SECONDS:
                raise _no_owner()
            waited += _OWNER_PAUSE_SECONDS
            await curio.sleep(_OWNER_PAUSE_SECONDS)
            ask.remaining = request.remaining()
            ask.patience = request.until_first_event()
            ask.target = request.until_late()

    def _ask_of(
        self,
        request: InboundRequest,
        completion: Completion,
        service: ServiceId,
    ) -> PlaceAsk:
        return PlaceAsk(
            request.id,
            GroupId(service),
            completion.model,
            completion.adapter,
            completion.prompt_tokens,
            completion.output_tokens,
            completion.parts,
            request.route.priority,
            request.until_late(),
            request.remaining(),
            [*request.tried],
            self._domain,
            request.until_first_event(),
        )


async def _ignore_silence(_vm: VmId | None) -> None:
    """Leave a silent owner to the usual probes."""


def note_send(
    request: InboundRequest,
    upstream: Upstream,
    result: Result,
) -> None:
    """Remember where a request was sent, and whether it may have run."""
    if result in {Result.NOT_RUN, Result.UNREACHABLE}:
        request.refused_by.append(upstream.id)
    else:
        request.tried.append(upstream.id)


def settle(request: InboundRequest, result: Result) -> ServingError:
    """Give the final error; an earlier send may have run the request."""
    error = failure(result)
    if request.tried:
        error.ran = Ran.UNKNOWN
    return error


def log_send(
    request: InboundRequest,
    upstream: Upstream,
    sent: Sent,
    count: int,
) -> None:
    """Write what came of one send."""
    note(
        logger,
        'send',
        id=request.id,
        route=request.route.name,
        upstream=upstream.id,
        number=count + 1,
        result=sent.result.value,
        first_event=round(sent.first_event, 3),
        left=round(request.remaining(), 3),
    )


def _no_upstream(service: ServiceId) -> ServingError:
    return ServingError(
        ErrorKind.NO_UPSTREAM,
        f'no upstream of service {service} takes requests; come back',
        retry_after=0.5,
    )


def _no_owner() -> ServingError:
    return ServingError(
        ErrorKind.NOT_OWNER,
        'no VM gives out places of these engines at the moment; come back',
        retry_after=0.5,
    )
