"""Reads and watches the platform's store."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import urlencode

from flamingovalve.errors import (
    ConnectionLost,
    HistoryGone,
    StoreUnavailable,
    Undecodable,
)
from flamingovalve.generated.messages import Document
from flamingovalve.http.client import UpstreamCall
from flamingovalve.platform import decode

if TYPE_CHECKING:
    from flamingovalve.http.client import ConnectionPool

_OK: Final = 200
_GONE: Final = 410
_MS_PER_SECOND: Final = 1000

# Allows for a store that is slow.
_READ_SECONDS: Final = 0.8
# Beyond the watch itself.
_WATCH_MARGIN_SECONDS: Final = 0.5
# A claim waits for this.
_REVISION_SECONDS: Final = 0.4
# Names no item, so that the answer holds the revision and nothing else.
_NO_ITEMS: Final = '!'
# The published bound of one page.
_MOST_PAGES: Final = 200


@dataclass(slots=True)
class Reading:
    """Documents and the revision of the store at which they were read."""

    documents: list[Document]
    revision: int


class PlatformStore:
    """The one client of the store; every call counts against a shared rate."""

    def __init__(self, pool: ConnectionPool, address: str) -> None:
        """Read from the store at ``address``."""
        self.calls = 0
        self._pool = pool
        self._address = address

    async def read_all(self, prefix: str) -> Reading:
        """Read every document whose key begins with ``prefix``.

        The pages are no snapshot; what changes meanwhile is met again by a
        watch from the revision of the first page.

        :raises StoreUnavailable: when the store does not answer as it should
        """
        after, first, documents = '', 0, []
        for _page in range(_MOST_PAGES):
            query = {'PathPrefix': prefix}
            if after:
                query['after'] = after
            raw = await self._get('/kv-range', query, _READ_SECONDS)
            documents += _documents(raw.get('items', []))
            first = first or _revision(raw)
            if not raw.get('MorePages') or not documents:
                break
            after = documents[-1].key
        return Reading(documents, first)

    async def revision(self) -> int:
        """Give the revision of this moment.

        :raises StoreUnavailable: when the store does not answer as it should
        """
        query = {'PathPrefix': _NO_ITEMS}
        return _revision(
            await self._get('/kv-range', query, _REVISION_SECONDS),
        )

    async def watch(self, prefix: str, after: int, seconds: float) -> Reading:
        """Wait for changes behind the revision ``after``.

        :param seconds: longest wait; the reading is then empty
        :raises HistoryGone: when the store has dropped that history
        :raises StoreUnavailable: when the store does not answer as it should
        """
        query = {
            'PathPrefix': prefix,
            'after': str(after),
            'WaitMs': str(int(seconds * _MS_PER_SECOND)),
        }
        raw = await self._get(
            '/kv-watch',
            query,
            seconds + _WATCH_MARGIN_SECONDS,
        )
        return Reading(_documents(raw.get('events', [])), _revision(raw))

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        seconds: float,
    ) -> dict[str, Any]:
        self.calls += 1
        call = UpstreamCall('GET', f'{path}?{urlencode(query)}', [])
        try:
            response = await self._pool.exchange(self._address, call, seconds)
        except (OSError, ConnectionLost) as failed:
            # Other connections went the same way and may be silent too.
            await self._pool.drop(self._address)
            raise StoreUnavailable(f'{path}: {failed!r}') from failed
        if response.status == _GONE:
            raise HistoryGone(path)
        if response.status != _OK:
            raise StoreUnavailable(f'{path}: status {response.status}')
        try:
            return decode.json_object(response.body)
        except Undecodable as bad:
            raise StoreUnavailable(f'{path}: {bad}') from bad


def _revision(raw: dict[str, Any]) -> int:
    revision = raw.get('StoreRevision')
    if not isinstance(revision, int):
        raise StoreUnavailable('an answer without the revision of the store')
    return revision


def _documents(entries: Any) -> list[Document]:
    try:
        return [_document(entry) for entry in entries]
    except decode.WRONG_SHAPE as bad:
        raise StoreUnavailable(f'an unreadable item: {bad!r}') from bad


def _document(entry: dict[str, Any]) -> Document:
    key, revision = str(entry['Key']), int(entry['Revision'])
    if entry.get('Tombstone'):
        return Document(key, revision, b'', True)
    return Document(key, revision, base64.b64decode(entry['Value']))
