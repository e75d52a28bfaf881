"""Stand-in of the platform's store: what operators and upstreams publish."""

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

_POLL_SECONDS = 0.02


class PlatformStoreStandIn(StandIn):
    """Items with revisions, read by prefix or watched.

    :ivar refusal: status with which every call is refused; 0 for none
    :ivar oldest: history at or below this revision is gone
    """

    def __init__(self, network: Network, address: str) -> None:
        """Start empty."""
        super().__init__(network, address)
        self.revision = 10
        self.items_by_key: dict[str, tuple[int, bytes]] = {}
        self.tombstones_by_key: dict[str, int] = {}
        self.refusal = 0
        self.oldest = 0
        self.calls = 0

    def put(self, key: str, content: object) -> None:
        """Publish one item."""
        self.put_bytes(key, json.dumps(content).encode())

    def put_bytes(self, key: str, content: bytes) -> None:
        """Publish bytes of any kind."""
        self.revision += 1
        self.items_by_key[key] = (self.revision, content)
        self.tombstones_by_key.pop(key, None)

    def delete(self, key: str) -> None:
        """Take an item away."""
        self.revision += 1
        if self.items_by_key.pop(key, None) is not None:
            self.tombstones_by_key[key] = self.revision

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a read or a watch."""
        self.calls += 1
        query = {'PathPrefix': '', **request.query}
        if self.refusal:
            await responder.send(Response(self.refusal))
        elif request.path == '/kv-range':
            listed = self._listed(query['PathPrefix'])
            reply = {'items': listed, 'MorePages': False}
            await self._reply(responder, reply)
        elif int(query['after']) < self.oldest:
            await responder.send(Response(410))
        else:
            await self._watch(query, responder)

    async def _watch(
        self,
        query: dict[str, str],
        responder: Responder,
    ) -> None:
        after = int(query['after'])
        async with curio.ignore_after(int(query['WaitMs']) / 1000):
            while not self._events(query['PathPrefix'], after):
                await curio.sleep(_POLL_SECONDS)
        events = self._events(query['PathPrefix'], after)
        await self._reply(responder, {'events': events})

    async def _reply(
        self,
        responder: Responder,
        reply: dict[str, Any],
    ) -> None:
        reply['StoreRevision'] = self.revision
        await responder.send(Response.from_json(reply))

    def _listed(self, prefix: str, after: int = 0) -> list[dict[str, Any]]:
        return [
            {
                'Key': key,
                'Revision': revision,
                'Value': base64.b64encode(content).decode(),
            }
            for key, (revision, content) in self.items_by_key.items()
            if key.startswith(prefix) and revision > after
        ]

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        gone = [
            {'Key': key, 'Revision': revision, 'Tombstone': True}
            for key, revision in self.tombstones_by_key.items()
            if key.startswith(prefix) and revision > after
        ]
        events = [*self._listed(prefix, after), *gone]
        return sorted(events, key=lambda event: event['Revision'])
