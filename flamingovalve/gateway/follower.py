"""Keeps the catalogue up to date, by the store and by other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

import curio

from flamingovalve.errors import ConnectionLost, HistoryGone, StoreUnavailable
from flamingovalve.generated.messages import (
    CatalogueRumour,
    DocumentsAsk,
    DocumentsReply,
)
from flamingovalve.membership.gossip import News
from flamingovalve.peer.client import PeerUnreachable
from flamingovalve.util.logs import get_logger
from flamingovalve.util.rates import jittered

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.generated.ids import VmId
    from flamingovalve.generated.messages import Document, Hello
    from flamingovalve.membership.members import MemberTable
    from flamingovalve.peer.client import PeerPool

logger = get_logger(__name__)

# Longest silence of a watch. A connection that went silent for good shows
# only by this; news comes from other VMs meanwhile.
_WATCH_SECONDS: Final = 4.0
# Entries change with each load of an adapter, four times a second over five
# engines. Waiting this long takes several in one call of those that are
# billed, and leaves three quarters of the two seconds in which a leaving
# upstream or a new configuration has to be obeyed.
_GATHER_SECONDS: Final = 0.5
_FIRST_PAUSE_SECONDS: Final = 0.2
_LONGEST_PAUSE_SECONDS: Final = 1.0
_ASK_SECONDS: Final = 0.5


class Reading(Protocol):
    """Documents and the revision of the store at which they were read."""

    documents: list[Document]
    revision: int


class Store(Protocol):
    """Where documents are published."""

    async def read_all(self, prefix: str) -> Reading:
        """Read every document whose key begins with ``prefix``."""

    async def watch(self, prefix: str, after: int, seconds: float) -> Reading:
        """Wait for changes behind a revision."""


class CatalogueFollower:
    """Reads and watches the store, and trades news with other VMs.

    The store may turn this VM away while it serves others; they then pass
    on what they have read, with its revision.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        store: Store,
        members: MemberTable,
        peers: PeerPool,
        chance: random.Random,
    ) -> None:
        """Keep ``catalogue`` up to date."""
        self.listeners: list[Callable[[], Awaitable[None]]] = []
        self.store_revision = 0
        self.reachable = True
        self._catalogue = catalogue
        self._store = store
        self._members = members
        self._peers = peers
        self._chance = chance
        self._asking: set[VmId] = set()

    async def follow_forever(self) -> None:
        """Read everything, then watch; begin anew when history is gone."""
        pause = _FIRST_PAUSE_SECONDS
        while True:
            try:
                await self._read_all()
                pause = _FIRST_PAUSE_SECONDS
                await self._watch_forever()
            except HistoryGone:
                logger.warning('the store dropped history; reading anew')
                # A store that drops it again and again would otherwise be
                # read without a pause, by every VM.
                await curio.sleep(jittered(self._chance, pause))
            except StoreUnavailable as failed:
                self._lost(failed)
                await curio.sleep(jittered(self._chance, pause))
                pause = min(pause * 2, _LONGEST_PAUSE_SECONDS)

    async def hear(self, rumour: CatalogueRumour) -> News:
        """Learn that another VM holds newer documents."""
        newer = rumour.revision > self._catalogue.revision
        if newer and rumour.vm not in self._asking:
            await curio.spawn(self._ask, rumour.vm, daemon=True)
        return News.NONE

    def own_rumour(self) -> CatalogueRumour:
        """Say how new the documents are that this VM holds."""
        return CatalogueRumour(self._members.own_id, self._catalogue.revision)

    async def answer(
        self,
        ask: DocumentsAsk,
        _remote: Hello,
    ) -> DocumentsReply:
        """Give another VM what it lacks."""
        return DocumentsReply(self._catalogue.after(ask.revision))

    async def _read_all(self) -> None:
        reading = await self._store.read_all('')
        self._regained()
        self.store_revision = reading.revision
        if self._catalogue.replace_all(reading.documents, reading.revision):
            await self._tell()

    async def _watch_forever(self) -> None:
        while True:
            reading = await self._store.watch(
                '',
                self.store_revision,
                jittered(self._chance, _WATCH_SECONDS),
            )
            self._regained()
            self.store_revision = max(self.store_revision, reading.revision)
            if await self._apply(reading.documents):
                await curio.sleep(_GATHER_SECONDS)

    async def _apply(self, documents: list[Document]) -> bool:
        news = [self._catalogue.apply(document) for document in documents]
        if any(news):
            await self._tell()
        return any(news)

    async def _tell(self) -> None:
        for listener in self.listeners:
            await listener()

    async def _ask(self, vm: VmId) -> None:
        member = self._members.by_id.get(vm)
        if member is None:
            return
        self._asking.add(vm)
        ask = DocumentsAsk(self._catalogue.revision)
        address = member.vm.peer_address
        try:
            _from, reply = await self._peers.ask(address, vm, ask, _ASK_SECONDS)
        except (PeerUnreachable, ConnectionLost) as failed:
            logger.info('no documents from {}: {}', vm, failed)
            return
        finally:
            self._asking.discard(vm)
        await self._apply(reply.documents)

    def _lost(self, failed: StoreUnavailable) -> None:
        self._catalogue.note_store_away()
        if self.reachable:
            self.reachable = False
            logger.warning('the store is out of reach: {}', failed)

    def _regained(self) -> None:
        if not self.reachable:
            self.reachable = True
            logger.info('the store answers again')
