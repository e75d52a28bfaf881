# flake8: noqa: WPS
"""Stand-in for the platform's store, as PROTOCOL describes it."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import TYPE_CHECKING, Any

from wire import Connection, Request, Server, encode_answer

if TYPE_CHECKING:
    from collections.abc import Callable

# "at most about 500 items or 1 MB"
_PAGE_ITEMS = 500
_ANSWER_SECONDS = 0.004


class Store:
    """Items with revisions, read in pages and watched.

    :ivar slowness: factor on the time that an answer takes
    :ivar on_read: called when a reader asks for the first page of all items
    :ivar page_asked: set then
    """

    def __init__(self, answer_seconds: float = _ANSWER_SECONDS) -> None:
        """Create an empty store."""
        self._answer_seconds = answer_seconds
        self.revision = 100
        self.slowness = 1.0
        self.items: dict[str, tuple[int, int, bytes]] = {}
        self.history: list[dict[str, Any]] = []
        self.first_pages = 0
        self.on_read: Callable[[], None] = _ignore
        self.page_asked = asyncio.Event()
        self._changed = asyncio.Event()
        self._server = Server(self._handle)

    async def open(self, address: str) -> None:
        """Listen at an address."""
        await self._server.open(address)

    async def close(self) -> None:
        """Stop."""
        await self._server.close()

    def put(self, key: str, content: object) -> int:
        """Write an item as JSON; return its revision."""
        self.revision += 1
        created = self.items.get(key, (0, self.revision, b''))[1]
        raw = json.dumps(content).encode()
        self.items[key] = (self.revision, created, raw)
        self.history.append(self._item(key))
        self._wake()
        return self.revision

    def delete(self, key: str) -> int:
        """Delete an item; return the revision of its tombstone."""
        self.revision += 1
        self.items.pop(key, None)
        self.history.append(
            {'Key': key, 'Revision': self.revision, 'Tombstone': True}
        )
        self._wake()
        return self.revision

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _item(self, key: str) -> dict[str, Any]:
        revision, created, raw = self.items[key]
        return {
            'Key': key,
            'Value': base64.b64encode(raw).decode(),
            'Revision': revision,
            'Created': created,
            'Lease': 0,
        }

    async def _handle(self, request: Request, connection: Connection) -> None:
        if request.path == '/kv-range':
            reply = await self._range(request.query)
        elif request.path == '/kv-watch':
            reply = await self._watch(request.query)
        else:
            await connection.send(encode_answer(404, []))
            return
        await connection.send(
            encode_answer(
                200,
                [('Content-Type', 'application/json')],
                json.dumps(reply).encode(),
            )
        )

    async def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get('PathPrefix', ''), query.get('after', '')
        if not prefix and not after:
            self.first_pages += 1
            self.on_read()
            self.page_asked.set()
        await asyncio.sleep(self._answer_seconds * self.slowness)
        keys = [
            key
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return {
            'items': [self._item(key) for key in keys[:_PAGE_ITEMS]],
            'MorePages': len(keys) > _PAGE_ITEMS,
            'StoreRevision': self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get('PathPrefix', ''), int(query['after'])
        end = asyncio.get_running_loop().time() + int(query['WaitMs']) / 1000
        events = self._events(prefix, after)
        while not events:
            left = end - asyncio.get_running_loop().time()
            if left <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                break
            events = self._events(prefix, after)
        await asyncio.sleep(self._answer_seconds * self.slowness)
        return {
            'events': self._events(prefix, after),
            'StoreRevision': self.revision,
        }

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self.history
            if event['Revision'] > after and event['Key'].startswith(prefix)
        ]


def _ignore() -> None:
    """Do nothing."""
