"""Client that reads and watches the platform's store."""

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
from flamingovalve.gateway.published.coverage import (
    NOTHING_KNOWN,
    CompleteRevision,
)
from flamingovalve.generated.messages import Document
from flamingovalve.http.bodies import BodyKind
from flamingovalve.http.client import UpstreamCall
from flamingovalve.platform.fields import MAX_EXACT, Fields, Range, Text
from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    from flamingovalve.http.client import ConnectionPool

logger = get_logger(__name__)

_STATUS_OK: Final = 200
_STATUS_GONE: Final = 410
_MS_PER_SECOND: Final = 1000

# Long enough for a slow store.
_READ_SECONDS: Final = 0.8
# Added to the duration of a watch.
_WATCH_MARGIN_SECONDS: Final = 0.5
# A page holds some 500 items, and a large deployment has 100,000 adapters.
_MAX_PAGES: Final = 1000
_REVISIONS: Final = Range(0, MAX_EXACT)
# Several times what the store accepts.
_MAX_KEY_BYTES: Final = 1024
_MAX_ENCODED_BYTES: Final = 64_000_000
_KEY: Final = Text(_MAX_KEY_BYTES)
_ENCODED: Final = Text(_MAX_ENCODED_BYTES)


@dataclass(slots=True)
class Reading:
    """Documents and the revision up to which they are complete."""

    documents: list[Document]
    revision: CompleteRevision


class PlatformStore:
    """The only client of the store; all calls share one rate limit."""

    def __init__(self, pool: ConnectionPool, address: str) -> None:
        """Use the store at ``address``."""
        self.calls = 0
        self._pool = pool
        self._address = address

    async def read_all(self, prefix: str) -> Reading:
        """Read every document whose key begins with ``prefix``.

        The pages are not one snapshot: a watch from the revision of the
        first page reports what changes while later pages are read.

        :raises StoreUnavailable: when the store sends no valid response
        """
        query = {'PathPrefix': prefix}
        first_revision, documents = NOTHING_KNOWN, []
        for _page in range(_MAX_PAGES):
            raw = await self._get('/kv-range', query, _READ_SECONDS)
            page = _parse_documents(raw, 'items')
            documents += page
            first_revision = first_revision or _parse_revision(raw)
            if not raw.has('MorePages'):
                return Reading(documents, first_revision)
            if not page:
                raise StoreUnavailable('a page that is not the last is empty')
            query['after'] = page[-1].key
        raise StoreUnavailable(f'a list has over {_MAX_PAGES} pages')

    async def watch(
        self, prefix: str, after: CompleteRevision, seconds: float
    ) -> Reading:
        """Wait for changes after the revision ``after``.

        :param seconds: timeout, after which the reading is empty
        :raises HistoryGone: when the store has dropped that history
        :raises StoreUnavailable: when the store sends no valid response
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
        return Reading(_parse_documents(raw, 'events'), _parse_revision(raw))

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        seconds: float,
    ) -> Fields:
        self.calls += 1
        call = UpstreamCall(
            'GET', f'{path}?{urlencode(query)}', [], expected=BodyKind.JSON
        )
        try:
            response = await self._pool.exchange(self._address, call, seconds)
        except (OSError, ConnectionLost) as failed:
            # Other pooled connections use the same path and may be dead too.
            await self._pool.drop(self._address)
            raise StoreUnavailable(f'{path}: {failed!r}') from failed
        if response.status == _STATUS_GONE:
            raise HistoryGone(path)
        if response.status != _STATUS_OK:
            raise StoreUnavailable(f'{path}: status {response.status}')
        try:
            return Fields.of(response.body)
        except Undecodable as bad:
            raise StoreUnavailable(f'{path}: {bad}') from bad


def _parse_revision(raw: Fields) -> CompleteRevision:
    try:
        return CompleteRevision(raw.integer('StoreRevision', _REVISIONS))
    except Undecodable as bad:
        raise StoreUnavailable(f'the response lacks {bad}') from bad


def _parse_documents(raw: Fields, name: str) -> list[Document]:
    """Return the documents of a list, without items that cannot be read."""
    if not raw.contains(name):
        return []
    try:
        return [
            document
            for entry, place in raw.entries(name)
            if (document := _parse_document(entry, place)) is not None
        ]
    except Undecodable as bad:
        raise StoreUnavailable(str(bad)) from bad


def _parse_document(entry: Any, place: str) -> Document | None:
    """Return the document of an item; None if it has no usable key."""
    try:
        fields = Fields(entry, place)
        key = fields.text('Key', _KEY)
        revision = fields.integer('Revision', _REVISIONS)
    except Undecodable as bad:
        logger.warning('ignoring an item of the store: {}', bad)
        return None
    if fields.has('Tombstone'):
        return Document(key, revision, b'', True)
    return Document(key, revision, _content(fields))


def _content(fields: Fields) -> bytes:
    """Return the content of an item; empty if it cannot be read.

    No empty document can be decoded, so it does not count as deleted.
    """
    try:
        return base64.b64decode(fields.text('Value', _ENCODED, ''))
    except (ValueError, Undecodable):
        return b''
