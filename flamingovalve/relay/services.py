"""Calls to the replicas of plain services."""

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

_INITIAL_PAUSE_SECONDS = 0.05
_MAX_PAUSE_SECONDS = 1.0
_RELAYED_HEADERS = ('content-type',)


@dataclass(slots=True)
class ServiceRequest:
    """A call to a plain service.

    :ivar deadline: time on the monotonic clock
    :ivar key: the idempotency key or permit; empty if there is none
    :ivar key_time: Unix time at which the caller created its key
    :ivar hops: number of VMs that have forwarded it
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
        """Return the seconds left until the deadline."""
        return self.deadline - clock.now()

    def upstream_call(self) -> UpstreamCall:
        """Return the HTTP request to send to the upstream."""
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
        rng: random.Random,
    ) -> None:
        """Call replicas over connections of ``pool``."""
        self._pool = pool
        self._breakers = breakers
        self._budget = budget
        self._settings = settings
        self._rng = rng

    async def call_idempotent(
        self,
        request: ServiceRequest,
        addresses: list[str],
    ) -> Response:
        """Call a replica; retry on a replica chosen anew if it fails.

        :raises ServingError: if no replica responded before the deadline or
            the retry budget is exhausted
        """
        pause = _INITIAL_PAUSE_SECONDS
        while True:
            try:
                return await self._try_once(request, addresses)
            except ServingError:
                if not self._may_retry(request, pause):
                    raise
            # Jitter keeps callers that failed at the same time from
            # retrying at the same time.
            await curio.sleep(pause * self._rng.uniform(0.5, 1))
            pause = min(pause * 2, _MAX_PAUSE_SECONDS)

    async def open_connection(
        self,
        request: ServiceRequest,
        addresses: list[str],
    ) -> UpstreamConnection:
        """Open a new connection to any replica without sending anything.

        :raises ServingError: if no replica accepts one; the request has not
            run
        """
        reason = 'the circuit breaker of every replica is open'
        for address in self._shuffled_candidates(addresses):
            try:
                return await self._pool.connect(address)
            except OSError as error:
                self._breakers.failed(address)
                reason = str(error)
            if request.remaining() <= 0:
                break
        raise _unreachable_error(request.service, reason)

    async def run_on(
        self,
        connection: UpstreamConnection,
        request: ServiceRequest,
    ) -> Response:
        """Send the request on ``connection`` and return the response.

        :raises ConnectionLost: if the connection broke; the request may have
            run
        :raises TimeoutError: if no response came in time; the request may
            have run
        """
        remaining = max(request.remaining(), 0)
        first_byte_timeout = min(self._settings.first_byte_seconds, remaining)
        try:
            await connection.send(request.upstream_call(), first_byte_timeout)
            head = await connection.head(first_byte_timeout)
            body = await connection.body(
                max(request.remaining(), 0),
                self._settings.answer_bytes,
                self._settings.chunk_seconds,
            )
        except (ConnectionLost, TimeoutError):
            self._breakers.failed(connection.address)
            await connection.close()
            raise
        self._breakers.succeeded(connection.address)
        await self._pool.release(connection)
        headers = [
            (name, head.headers[name])
            for name in _RELAYED_HEADERS
            if name in head.headers
        ]
        return Response(
            head.status,
            headers,
            body,
            ends_with_connection=connection.is_unproven(),
        )

    async def _try_once(
        self,
        request: ServiceRequest,
        addresses: list[str],
    ) -> Response:
        candidates = self._shuffled_candidates(addresses)
        if not candidates:
            raise _unreachable_error(
                request.service,
                'the circuit breaker of every replica is open',
            )
        address = candidates[0]
        try:
            connection = await self._pool.acquire(address)
        except OSError as error:
            self._breakers.failed(address)
            raise _unreachable_error(request.service, str(error)) from error
        try:
            response = await self.run_on(connection, request)
        except (ConnectionLost, TimeoutError) as error:
            await self._pool.drop(address)
            raise _failed_call_error(request.service, str(error)) from error
        except BaseException:
            await connection.close()
            raise
        self._budget.succeeded()
        return response

    def _shuffled_candidates(self, addresses: list[str]) -> list[str]:
        shuffled = self._rng.sample(addresses, len(addresses))
        return [
            address for address in shuffled if self._breakers.allows(address)
        ]

    def _may_retry(self, request: ServiceRequest, pause: float) -> bool:
        return request.remaining() > pause and self._budget.acquire()


def _unreachable_error(service: str, reason: str) -> ServingError:
    return ServingError(
        ErrorKind.UPSTREAM_UNREACHABLE,
        f'no replica of service {service!r} could be reached ({reason}); '
        'retry shortly',
        retry_after=1,
    )


def _failed_call_error(service: str, reason: str) -> ServingError:
    return ServingError(
        ErrorKind.UPSTREAM_FAILED,
        f'service {service!r} returned no complete response ({reason}); the '
        'call is idempotent, so send it again',
        ran=Ran.UNKNOWN,
        retry_after=1,
    )
