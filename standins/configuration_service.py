"""Stand-in of the configuration service: values that are read and watched."""

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

CALLS_A_SECOND = 2000
LARGEST_VALUE_BYTES = 1024**2
ADAPTERS_PER_PAGE = 2000

_PREFIX = '/v1/keys/'


@dataclass
class PublishedContent:
    """A value and its revision."""

    content: bytes
    revision: int


class ConfigurationServiceStandIn(StandIn):
    """Serves values; can be down, stale, slow or return rubbish.

    :ivar down: drop every connection
    :ivar rubbish: answer with bytes that are no JSON
    :ivar slow_seconds: wait before each answer
    """

    def __init__(self, network: Network, address: str) -> None:
        """Start without values."""
        super().__init__(network, address)
        self.values_by_key: dict[str, PublishedContent] = {}
        self.down = False
        self.rubbish = False
        self.slow_seconds = 0.0
        self.calls = 0
        self.refused_calls = 0
        self._frozen: dict[str, PublishedContent] | None = None
        self._revision = 0
        self._changed = curio.Event()
        self._bucket = TokenBucket(CALLS_A_SECOND, CALLS_A_SECOND)

    def put(self, key: str, content: object) -> None:
        """Publish a value; :meth:`announce` tells the watchers."""
        encoded = content
        if not isinstance(encoded, bytes):
            encoded = json.dumps(content).encode()
        assert len(encoded) <= LARGEST_VALUE_BYTES, f'{key} is too large'
        self._revision += 1
        self.values_by_key[key] = PublishedContent(encoded, self._revision)

    async def announce(self) -> None:
        """Let the watchers look again."""
        changed = self._changed
        self._changed = curio.Event()
        await changed.set()

    def publish(
        self,
        version: int,
        page: dict[str, list[Any]],
    ) -> None:
        """Publish an inventory, its adapters cut into pages."""
        references = []
        for key, part in _pages(version, page):
            encoded = json.dumps(part).encode()
            digest = hashlib.sha256(encoded).hexdigest()
            references.append({'key': key, 'sha256': digest})
            self.put(key, encoded)
        manifest = {'version': version, 'pages': references}
        self.put('inventory/manifest', manifest)

    def freeze(self) -> None:
        """Go stale: serve what is published now whatever comes later."""
        self._frozen = dict(self.values_by_key)

    def thaw(self) -> None:
        """Serve the newest values again."""
        self._frozen = None

    def figures(self) -> dict[str, Any]:
        """Give the number of calls."""
        return {'calls': self.calls, 'refused_calls': self.refused_calls}

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a read or a watch; each counts as one call."""
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
        published = await self._wait(request)
        if self.down:
            raise ConnectionLost('the service went down')
        await responder.send(self._response(published))

    def _response(self, published: PublishedContent | None) -> Response:
        if published is None:
            return Response(HTTPStatus.NOT_MODIFIED)
        content = b'\xff not json' if self.rubbish else published.content
        return Response(
            HTTPStatus.OK, [('x-revision', str(published.revision))], content
        )

    async def _wait(self, request: Request) -> PublishedContent | None:
        key = request.path.removeprefix(_PREFIX)
        known = int(request.query.get('after', '-1'))
        patience = clock.now() + float(request.query.get('wait', '0'))
        while True:
            served = self._frozen or self.values_by_key
            published = served.get(key)
            if published is not None and published.revision != known:
                return published
            remaining = patience - clock.now()
            if remaining <= 0 or self.down:
                return None
            async with curio.ignore_after(remaining):
                await self._changed.wait()


def _pages(
    version: int,
    page: dict[str, list[Any]],
) -> list[tuple[str, dict[str, list[Any]]]]:
    adapters = page.get('adapters', [])
    rest = {name: part for name, part in page.items() if name != 'adapters'}
    pages = [(f'inventory/{version}/base', rest)]
    for start in range(0, len(adapters), ADAPTERS_PER_PAGE):
        part = adapters[start : start + ADAPTERS_PER_PAGE]
        key = f'inventory/{version}/adapters-{start}'
        pages.append((key, {'adapters': part}))
    return pages
