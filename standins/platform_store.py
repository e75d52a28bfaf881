"""Stand-in for the platform's store of published items."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any

import curio

from flamingovalve.http.messages import Request, Response
from standins.base import StandIn

if TYPE_CHECKING:
    from flamingovalve.http.server import Responder
    from flamingovalve.util.network import Network

_POLL_INTERVAL_SECONDS = 0.02


class PlatformStoreStandIn(StandIn):
    """A store of items with revisions that are listed or watched by prefix.

    It holds what operators and upstreams publish.

    :ivar refusal: status with which every call is refused; 0 for none
    :ivar oldest: watches that start below this revision get status 410
        because their history has been compacted
    :ivar page_items: most items of a page of a list; 0 for no bound
    :ivar answer_seconds: time that an answer takes
    :ivar first_pages: lists that were begun
    """

    def __init__(self, network: Network, address: str) -> None:
        """Create an empty store."""
        super().__init__(network, address)
        self.revision = 10
        self.items_by_key: dict[str, tuple[int, bytes]] = {}
        self.tombstones_by_key: dict[str, int] = {}
        self.refusal = 0
        self.oldest = 0
        self.calls = 0
        self.page_items = 0
        self.answer_seconds = 0.0
        self.first_pages = 0

    def put(self, key: str, content: object) -> None:
        """Publish an item as JSON."""
        self.put_bytes(key, json.dumps(content).encode())

    def put_bytes(self, key: str, content: bytes) -> None:
        """Publish an item as raw bytes, which need not be JSON."""
        self.revision += 1
        self.items_by_key[key] = (self.revision, content)
        self.tombstones_by_key.pop(key, None)

    def entry(self, key: str) -> dict[str, Any]:
        """Return the JSON object of an item; empty if there is none."""
        _revision, content = self.items_by_key.get(key, (0, b'{}'))
        found: dict[str, Any] = json.loads(content)
        return found

    def delete(self, key: str) -> None:
        """Delete an item and leave a tombstone."""
        self.revision += 1
        if self.items_by_key.pop(key, None) is not None:
            self.tombstones_by_key[key] = self.revision

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a list or a watch call."""
        self.calls += 1
        query = {'PathPrefix': '', **request.query}
        if self.refusal:
            await responder.send(Response(self.refusal))
        elif request.path == '/kv-range':
            await self._list(query, responder)
        elif int(query['after']) < self.oldest:
            await responder.send(Response(410))
        else:
            await self._watch(query, responder)

    async def _list(
        self,
        query: dict[str, str],
        responder: Responder,
    ) -> None:
        self.first_pages += 'after' not in query
        await curio.sleep(self.answer_seconds)
        after = query.get('after', '')
        entries = [
            entry
            for entry in self._entries(query['PathPrefix'])
            if entry['Key'] > after
        ]
        page = entries[: self.page_items or len(entries)]
        has_more = len(page) < len(entries)
        await self._reply(responder, {'items': page, 'MorePages': has_more})

    async def _watch(
        self,
        query: dict[str, str],
        responder: Responder,
    ) -> None:
        await curio.sleep(self.answer_seconds)
        after = int(query['after'])
        async with curio.ignore_after(int(query['WaitMs']) / 1000):
            while not self._events(query['PathPrefix'], after):
                await curio.sleep(_POLL_INTERVAL_SECONDS)
        events = self._events(query['PathPrefix'], after)
        await self._reply(responder, {'events': events})

    async def _reply(
        self,
        responder: Responder,
        reply: dict[str, Any],
    ) -> None:
        reply['StoreRevision'] = self.revision
        await responder.send(Response.from_json(reply))

    def _entries(self, prefix: str, after: int = 0) -> list[dict[str, Any]]:
        return [
            {
                'Key': key,
                'Revision': revision,
                'Value': base64.b64encode(content).decode(),
            }
            for key, (revision, content) in sorted(self.items_by_key.items())
            if key.startswith(prefix) and revision > after
        ]

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        tombstones = [
            {'Key': key, 'Revision': revision, 'Tombstone': True}
            for key, revision in self.tombstones_by_key.items()
            if key.startswith(prefix) and revision > after
        ]
        events = [*self._entries(prefix, after), *tombstones]
        return sorted(events, key=lambda event: event['Revision'])
