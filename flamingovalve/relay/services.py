"""Calls of plain services."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from flamingovalve.errors import ConnectionLost, ErrorKind, Ran, ServingError
from flamingovalve.http.client import UpstreamCall
from flamingovalve.http.messages import JSON_TYPE, Response
from flamingovalve.util import clock

if TYPE_CHECKING:
    import random

    from flamingovalve.generated.settings import RelaySettings
    from flamingovalve.http.client import ConnectionPool, UpstreamConnection
    from flamingovalve.relay.breaker import BreakerSet, RetryBudget

_FIRST_PAUSE_SECONDS = 0.05
_LONGEST_PAUSE_SECONDS = 1.0
_RELAYED_HEADERS = ('content-type',)


@dataclass(slots=True)
class ServiceRequest:
    """One call of a plain service, on its way.

    :ivar deadline: on our clock
    :ivar key: the idempotency key or permit, empty for none
    :ivar key_time: Unix time at which the caller's own key was made
    :ivar hops: VMs that have passed it on
    """

    request_id: str
    application: str
    service: str
    call: str
    content_type: str
    body: bytes
    deadline: float
    key: str = ''
    key_time: float = 0
    hops: int = 0

    def remaining(self) -> float:
        """Give the seconds left until the deadline."""
        return self.deadline - clock.now()

    def upstream_call(self) -> UpstreamCall:
        """Give the request that the upstream receives."""
        headers = [
            ('content-type', self.content_type or JSON_TYPE),
            ('x-request-id', self.request_id),
            ('x-application', self.application),
        ]
        if self.key:
            headers.append(('idempotency-key', self.key))
        return UpstreamCall('POST', f'/{self.call}', headers, self.body)


class ServiceRelay:
    """Calls the replicas of plain services."""

    def __init__(
        self,
        pool: ConnectionPool,
        breakers: BreakerSet,
        budget: RetryBudget,
        settings: RelaySettings,
        chance: random.Random,
    ) -> None:
        """Call over ``pool``."""
        self._pool = pool
        self._breakers = breakers
        self._budget = budget
        self._settings = settings
        self._chance = chance

    async def call_idempotent(
        self,
        request: ServiceRequest,
        addresses: list[str],
    ) -> Response:
        """Call a replica, and another one when the first fails.

        :raises ServingError: when no replica answered in time
        """
        pause = _FIRST_PAUSE_SECONDS
        while True:
            try:
                return await self._try_once(request, addresses)
            except ServingError:
                if not self._may_retry(request, pause):
                    raise
            # Jitter keeps callers that failed together from coming back
            # together.
            await curio.sleep(pause * self._chance.uniform(0.5, 1))
            pause = min(pause * 2, _LONGEST_PAUSE_SECONDS)

    async def connect_fresh(
        self,
        request: ServiceRequest,
        addresses: list[str],
    ) -> UpstreamConnection:
        """Open a new connection to any replica; nothing is written yet.

        :raises ServingError: when none accepts one; the request has not run
        """
        reason = 'every replica keeps failing'
        for address in self._in_turn(addresses):
            try:
                return await self._pool.fresh(address)
            except OSError as failed:
                self._breakers.failed(address)
                reason = str(failed)
            if request.remaining() <= 0:
                break
        raise _unreachable(request.service, reason)

    async def run_on(
        self,
        connection: UpstreamConnection,
        request: ServiceRequest,
    ) -> Response:
        """Send the request on ``connection`` and give the whole answer.

        :raises ConnectionLost: when the connection broke; it may have run
        :raises TimeoutError: when no answer came; it may have run
        """
        remaining = max(request.remaining(), 0)
        seconds = min(self._settings.first_byte_seconds, remaining)
        try:
            await connection.send(request.upstream_call(), seconds)
            head = await connection.head(seconds)
            body = await connection.body(self._settings.chunk_seconds)
        except (ConnectionLost, TimeoutError):
            self._breakers.failed(connection.address)
            await connection.close()
            raise
        self._breakers.succeeded(connection.address)
        await self._pool.give(connection)
        headers = [
            (name, head.headers[name])
            for name in _RELAYED_HEADERS
            if name in head.headers
        ]
        return Response(head.status, headers, body)

    async def _try_once(
        self,
        request: ServiceRequest,
        addresses: list[str],
    ) -> Response:
        candidates = self._in_turn(addresses)
        if not candidates:
            raise _unreachable(request.service, 'every replica keeps failing')
        address = candidates[0]
        try:
            connection = await self._pool.take(address)
        except OSError as failed:
            self._breakers.failed(address)
            raise _unreachable(request.service, str(failed)) from failed
        try:
            response = await self.run_on(connection, request)
        except (ConnectionLost, TimeoutError) as failed:
            await self._pool.drop(address)
            raise _failed(request.service, str(failed)) from failed
        except BaseException:
            await connection.close()
            raise
        self._budget.succeeded()
        return response

    def _in_turn(self, addresses: list[str]) -> list[str]:
        shuffled = self._chance.sample(addresses, len(addresses))
        return [
            address for address in shuffled if self._breakers.allows(address)
        ]

    def _may_retry(self, request: ServiceRequest, pause: float) -> bool:
        return request.remaining() > pause and self._budget.take()


def _unreachable(service: str, reason: str) -> ServingError:
    return ServingError(
        ErrorKind.UPSTREAM_UNREACHABLE,
        f'no replica of service {service!r} could be reached ({reason}); '
        'try again shortly',
        retry_after=1,
    )


def _failed(service: str, reason: str) -> ServingError:
    return ServingError(
        ErrorKind.UPSTREAM_FAILED,
        f'service {service!r} gave no whole answer ({reason}); the call is '
        'idempotent, so send it again',
        ran=Ran.UNKNOWN,
        retry_after=1,
    )
