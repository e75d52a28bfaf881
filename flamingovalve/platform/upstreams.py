"""Encodes requests to upstreams and decodes their responses."""

from __future__ import annotations

import re
import uuid
from typing import TYPE_CHECKING, Any, Final

from flamingovalve.errors import ConnectionLost, HeldBack, Undecodable
from flamingovalve.gateway.announcements import Announcement, Purpose
from flamingovalve.gateway.orders import OrderOutcome
from flamingovalve.gateway.relay import Verdict
from flamingovalve.http.bodies import BodyKind
from flamingovalve.http.client import UpstreamCall
from flamingovalve.platform import reports
from flamingovalve.platform.fields import Fields
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    from flamingovalve.gateway.announcements import SentRequest
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.orders import EngineReport, Order
    from flamingovalve.gateway.relay import SendOptions
    from flamingovalve.gateway.upstream_client import UpstreamClient
    from flamingovalve.http.client import ResponseHead
    from flamingovalve.http.messages import Response

logger = get_logger(__name__)

# Twice the slowest report of a busy engine; a report needs no slot.
_REPORT_SECONDS: Final = 0.6
_ORDER_SECONDS: Final = 0.6
# An order waits for its turn while requests wait for the adapter.
_ORDER_PATIENCE_SECONDS: Final = 1.5
_MS_PER_SECOND: Final = 1000
_MAX_PRIORITY: Final = 9
_STATUS_OK: Final = 200
_FIRST_SUCCESS: Final = 200
_LAST_SUCCESS: Final = 299
_STATUS_BAD_REQUEST: Final = 400
_STATUS_MISDIRECTED: Final = 421
_STATUS_UNAVAILABLE: Final = 503
_DECIMAL: Final = re.compile(r'\d{1,9}(\.\d{1,9})?')
_RESUME_HEADER: Final = 'last-event-id'
_NOT_EXECUTED: Final = 'not-executed'
_ID_HEADER: Final = 'Attempt-Id'
_ID_CHARACTERS: Final = 16


class PlatformWire:
    """The HTTP conventions of the platform's upstreams."""

    def call_of(
        self,
        request: InboundRequest,
        upstream: Upstream,
        options: SendOptions,
    ) -> UpstreamCall:
        """Build the call that forwards a request to an upstream."""
        budget = max(1, int(options.seconds * _MS_PER_SECOND))
        headers = [
            *request.headers,
            ('Time-Budget-Ms', str(budget)),
            ('Expect-Instance', upstream.id),
        ]
        if request.workspace:
            headers.append(('Tenant', request.workspace))
        if options.priority is not None:
            priority = min(options.priority, _MAX_PRIORITY)
            headers.append(('Request-Priority', str(priority)))
        if options.version:
            headers.append(('Expect-Version', str(options.version)))
        if options.resume_after:
            headers = [
                (name, text)
                for name, text in headers
                if name.lower() != _RESUME_HEADER
            ]
            headers.append(('Last-Event-Id', options.resume_after))
        host = request.route.host
        return UpstreamCall(
            request.method,
            request.target,
            headers,
            request.body,
            host,
            BodyKind.EVENTS if request.route.streams else BodyKind.OPAQUE,
        )

    def verdict(self, head: ResponseHead, request: InboundRequest) -> Verdict:
        """Classify the head of an upstream's response to ``request``."""
        headers = head.headers
        if _NOT_EXECUTED in headers or head.status == _STATUS_MISDIRECTED:
            if _rest_seconds(head):
                return Verdict.REJECTED
            return Verdict.NOT_RUN
        if 'response-seal' not in headers or 'content-encoding' in headers:
            return Verdict.UNSIGNED
        if _FIRST_SUCCESS <= head.status <= _LAST_SUCCESS:
            return Verdict.SUCCESS
        return Verdict.FAILURE

    def announcement(
        self, head: ResponseHead, sent: SentRequest
    ) -> Announcement:
        """Decode what the response to ``sent`` announces of its upstream."""
        headers = head.headers
        is_success = _FIRST_SUCCESS <= head.status <= _LAST_SUCCESS
        # A late response to an earlier request may precede the connection's.
        is_own = headers.get('attempt-id', sent.request_id) == sent.request_id
        return Announcement(
            _decimal(headers.get('server-limit', '')),
            headers.get('server-leaving', '').strip() == '1',
            _rest_seconds(head),
            is_success and is_own,
            _decimal(headers.get('server-brittle', '')) or 0,
            head.status == _STATUS_UNAVAILABLE and _NOT_EXECUTED in headers,
            is_own,
        )

    def identity_call(self, path: str, upstream: Upstream) -> UpstreamCall:
        """Build the call that asks for the instance behind an address."""
        return UpstreamCall('GET', path, [('Expect-Instance', upstream.id)])

    def is_other_instance(self, head: ResponseHead, upstream: Upstream) -> bool:
        """Return whether another instance than ``upstream`` has answered."""
        instance = head.headers.get('instance')
        if instance is None:
            return head.status == _STATUS_MISDIRECTED
        return instance != upstream.id

    def keep_alive_seconds(self, head: ResponseHead) -> float | None:
        """Return the keep-alive timeout of the upstream, if it sends one."""
        text = head.headers.get('keep-alive', '')
        for part in text.split(','):
            name, _equals, seconds = part.strip().partition('=')
            if name == 'timeout':
                return _decimal(seconds)
        return None


class PlatformEngine:
    """Sends orders to one engine and reads its reports."""

    def __init__(self, client: UpstreamClient, upstream: Upstream) -> None:
        """Use the engine ``upstream`` through ``client``."""
        self.status = client.status_of(upstream)
        self._client = client
        self._upstream = upstream

    async def report(self, patience: float) -> EngineReport | None:
        """Read the report of the engine; ``None`` without a valid one.

        :raises HeldBack: if it accepts no request within ``patience``
        """
        call = UpstreamCall('GET', '/report', [], expected=BodyKind.JSON)
        asked_at = clock.now()
        try:
            response = await self._client.exchange(
                self._upstream,
                Purpose.REPORT,
                call,
                _REPORT_SECONDS,
                patience,
                _identify(call, self._upstream),
            )
        except (OSError, ConnectionLost):
            return None
        if response.status != _STATUS_OK:
            return None
        try:
            return reports.report(Fields.of(response.body), asked_at)
        except Undecodable as bad:
            logger.warning(
                'cannot decode the report of {}: {}', self._upstream.id, bad
            )
            return None

    async def order(self, order: Order) -> OrderOutcome:
        """Send one order, which may be accepted even without a response."""
        call = UpstreamCall.from_json('POST', '/order', _order_body(order))
        try:
            response = await self._client.exchange(
                self._upstream,
                Purpose.ORDER,
                call,
                _ORDER_SECONDS,
                _ORDER_PATIENCE_SECONDS,
                _identify(call, self._upstream),
            )
        except HeldBack:
            return OrderOutcome.HELD_BACK
        except ConnectionRefusedError:
            return OrderOutcome.GONE
        except (OSError, ConnectionLost):
            return OrderOutcome.UNKNOWN
        return _order_outcome(response)


_ORDER_OUTCOMES: Final = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.OUTBID,
    421: OrderOutcome.GONE,
}


def _order_outcome(response: Response) -> OrderOutcome:
    """Return the outcome of an order; an unexpected status proves nothing."""
    known = _ORDER_OUTCOMES.get(response.status)
    if known is not None:
        return known
    is_refused = response.status == _STATUS_BAD_REQUEST
    is_refused = is_refused or _NOT_EXECUTED in dict(response.headers)
    return OrderOutcome.REFUSED if is_refused else OrderOutcome.UNKNOWN


def _identify(call: UpstreamCall, upstream: Upstream) -> str:
    """Give a call of the VM itself an id that its response repeats.

    It also names its engine: at an address that is used again, an upstream of
    another service would run a call with an id as a request.

    :returns: the id
    """
    request_id = uuid.uuid4().hex[:_ID_CHARACTERS]
    call.headers.append((_ID_HEADER, request_id))
    call.headers.append(('Expect-Instance', upstream.id))
    return request_id


def _decimal(text: str) -> float | None:
    """Return the decimal number in a header; None if there is none."""
    text = text.strip()
    return float(text) if _DECIMAL.fullmatch(text) else None


def _rest_seconds(head: ResponseHead) -> float:
    """Return the rest that a rejection asks for; 0 for any other response."""
    if head.status != _STATUS_UNAVAILABLE:
        return 0
    return _decimal(head.headers.get('retry-after', '')) or 0


def _order_body(order: Order) -> dict[str, Any]:
    body: dict[str, Any] = {
        'Op': order.action.value,
        'Model': order.model,
        'Precondition': order.sequence,
        'Holder': order.holder,
        'FencingToken': order.fence,
    }
    if order.adapter:
        body['Adapter'] = order.adapter
    if order.version:
        body['Version'] = order.version
    return body
