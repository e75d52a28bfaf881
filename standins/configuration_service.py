"""Stand-in for the configuration service: key-value reads and watches."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import curio

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.messages import Request, Response
from flamingovalve.util import clock
from flamingovalve.util.rates import TokenBucket
from standins.base import StandIn

if TYPE_CHECKING:
    from flamingovalve.http.server import Responder
    from flamingovalve.util.network import Network

MAX_CALLS_PER_SECOND = 2000
MAX_VALUE_BYTES = 1024**2
ADAPTERS_PER_PAGE = 2000

_PREFIX = '/v1/keys/'


@dataclass
class PublishedContent:
    """A value and its revision."""

    content: bytes
    revision: int


class ConfigurationServiceStandIn(StandIn):
    """Serves values; can be down, stale, slow or return invalid JSON.

    :ivar down: whether to drop every connection
    :ivar sends_invalid_json: whether to send values that are not JSON
    :ivar slow_seconds: delay before each response
    """

    def __init__(self, network: Network, address: str) -> None:
        """Create a service without values."""
        super().__init__(network, address)
        self.values_by_key: dict[str, PublishedContent] = {}
        self.down = False
        self.sends_invalid_json = False
        self.slow_seconds = 0.0
        self.calls = 0
        self.refused_calls = 0
        self._frozen: dict[str, PublishedContent] | None = None
        self._revision = 0
        self._changed = curio.Event()
        self._bucket = TokenBucket(MAX_CALLS_PER_SECOND, MAX_CALLS_PER_SECOND)

    def put(self, key: str, content: object) -> None:
        """Publish a value without waking its watchers.

        Call :meth:`announce` to wake them.
        """
        encoded = content
        if not isinstance(encoded, bytes):
            encoded = json.dumps(content).encode()
        assert len(encoded) <= MAX_VALUE_BYTES, f'{key} is too large'
        self._revision += 1
        self.values_by_key[key] = PublishedContent(encoded, self._revision)

    async def announce(self) -> None:
        """Wake all watchers so that they re-read their values."""
        changed = self._changed
        self._changed = curio.Event()
        await changed.set()

    def publish(
        self,
        version: int,
        page: dict[str, list[Any]],
    ) -> None:
        """Publish an inventory, with its adapters split into pages."""
        references = []
        for key, part in _pages(version, page):
            encoded = json.dumps(part).encode()
            digest = hashlib.sha256(encoded).hexdigest()
            references.append({'key': key, 'sha256': digest})
            self.put(key, encoded)
        manifest = {'version': version, 'pages': references}
        self.put('inventory/manifest', manifest)

    def freeze(self) -> None:
        """Serve the current values, ignoring later updates, until thawed."""
        self._frozen = dict(self.values_by_key)

    def thaw(self) -> None:
        """Serve the latest values again."""
        self._frozen = None

    def statistics(self) -> dict[str, Any]:
        """Return the number of calls and of rate-limited calls."""
        return {'calls': self.calls, 'refused_calls': self.refused_calls}

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a write, or a read or watch, which counts as one call."""
        if request.method == 'PUT':
            self.put(request.path.removeprefix(_PREFIX), request.body)
            await self.announce()
            await responder.send(Response(HTTPStatus.NO_CONTENT))
            return
        self.calls += 1
        if self.down:
            raise ConnectionLost('the service is down')
        if self._bucket.take():
            self.refused_calls += 1
            await responder.send(Response(HTTPStatus.TOO_MANY_REQUESTS))
            return
        if self.slow_seconds:
            await curio.sleep(self.slow_seconds)
        published = await self._wait_for_change(request)
        if self.down:
            raise ConnectionLost('the service went down')
        await responder.send(self._response(published))

    def _response(self, published: PublishedContent | None) -> Response:
        if published is None:
            return Response(HTTPStatus.NOT_MODIFIED)
        content = (
            b'\xff not json' if self.sends_invalid_json else published.content
        )
        return Response(
            HTTPStatus.OK, [('x-revision', str(published.revision))], content
        )

    async def _wait_for_change(
        self, request: Request
    ) -> PublishedContent | None:
        key = request.path.removeprefix(_PREFIX)
        known_revision = int(request.query.get('after', '-1'))
        deadline = clock.now() + float(request.query.get('wait', '0'))
        while True:
            served = self._frozen or self.values_by_key
            published = served.get(key)
            if published is not None and published.revision != known_revision:
                return published
            remaining = deadline - clock.now()
            if remaining <= 0 or self.down:
                return None
            async with curio.ignore_after(remaining):
                await self._changed.wait()


def _pages(
    version: int,
    page: dict[str, list[Any]],
) -> list[tuple[str, dict[str, list[Any]]]]:
    adapters = page.get('adapters', [])
    base_content = {
        name: part for name, part in page.items() if name != 'adapters'
    }
    pages = [(f'inventory/{version}/base', base_content)]
    for start in range(0, len(adapters), ADAPTERS_PER_PAGE):
        part = adapters[start : start + ADAPTERS_PER_PAGE]
        key = f'inventory/{version}/adapters-{start}'
        pages.append((key, {'adapters': part}))
    return pages
