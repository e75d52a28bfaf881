"""Keeps the catalogue up to date, by the store and by other VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

import curio

from flamingovalve.errors import ConnectionLost, HistoryGone, StoreUnavailable
from flamingovalve.gateway.confirmation import Confirmation
from flamingovalve.gateway.packing import packed, unpacked
from flamingovalve.gateway.watchers import LOSS_SECONDS
from flamingovalve.generated.messages import (
    CatalogueRumour,
    DocumentsAsk,
    DocumentsReply,
)
from flamingovalve.membership.gossip import News
from flamingovalve.peer.client import PeerUnreachable
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note
from flamingovalve.util.rates import jittered

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.watchers import Watchers
    from flamingovalve.generated.ids import VmId
    from flamingovalve.generated.messages import Document, Hello, WatchRumour
    from flamingovalve.membership.members import MemberTable
    from flamingovalve.peer.client import PeerPool

logger = get_logger(__name__)

# Longest silence of a watch. A connection that went silent for good shows
# only by this, and if those of all watchers do, nobody has news meanwhile.
_WATCH_SECONDS: Final = 0.7
# How often a VM that does not watch looks whether it is its turn.
_TURN_SECONDS: Final = 0.2
# Entries change often. Waiting after each batch of changes takes several in
# one call, and leaves time to obey a new configuration.
_GATHER_SECONDS: Final = 0.5
_FIRST_READING_SECONDS: Final = 0.5
_STORE_AWAY_SECONDS: Final = 1.5
_FIRST_PAUSE_SECONDS: Final = 0.2
_LONGEST_PAUSE_SECONDS: Final = 1.0
# Allows for a large configuration on a slow link that is shared.
_ASK_SECONDS: Final = 2.0
# Shorter than _ASK_SECONDS, as a confirmation carries few documents.
_CONFIRM_SECONDS: Final = 0.5
# Watchers that are asked in turn for one confirmation.
_MOST_CONFIRMERS: Final = 3
# Makes a watch return at once, with the changes that are pending.
_CATCH_UP_SECONDS: Final = 0.001
# A VM that has not answered by then may be gone; the next is asked as well.
_SECOND_ASK_SECONDS: Final = 0.4


@dataclass(frozen=True, slots=True)
class _Asking:
    """What another VM is being asked for.

    :ivar revision: the newest that it said it holds
    """

    revision: int
    since: float


class Reading(Protocol):
    """Documents and the revision of the store at which they were read."""

    documents: list[Document]
    revision: int


class Store(Protocol):
    """Where documents are published."""

    async def read_all(self, prefix: str) -> Reading:
        """Read every document whose key begins with ``prefix``."""

    async def revision(self) -> int:
        """Give the revision of this moment."""

    async def watch(self, prefix: str, after: int, seconds: float) -> Reading:
        """Wait for changes behind a revision."""


class CatalogueFollower:
    """Reads and watches the store, and trades news with other VMs.

    Only a few VMs watch. They pass on what they have read, with its
    revision, to those that do not and to those that the store turns away.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        store: Store,
        members: MemberTable,
        peers: PeerPool,
        watchers: Watchers,
        chance: random.Random,
    ) -> None:
        """Keep ``catalogue`` up to date."""
        self.publish: Callable[[WatchRumour], Awaitable[None]] = (
            _publish_nowhere
        )
        self.listeners: list[Callable[[], Awaitable[None]]] = []
        self.confirmation = Confirmation()
        self.store_revision = 0
        self.reachable = True
        self._catalogue = catalogue
        self._store = store
        self._members = members
        self._peers = peers
        self._watchers = watchers
        self._chance = chance
        self._asking: dict[VmId, _Asking] = {}
        self._must_read = True
        self._watches = False
        self._lost_told_at = float('-inf')

    async def follow_forever(self) -> None:
        """Read and watch the store whenever it is this VM's turn."""
        pause = _FIRST_PAUSE_SECONDS
        while True:
            if not self._is_our_turn():
                await curio.sleep(jittered(self._chance, _TURN_SECONDS))
                continue
            try:
                if await self._follow(jittered(self._chance, _WATCH_SECONDS)):
                    await curio.sleep(_GATHER_SECONDS)
            except (HistoryGone, StoreUnavailable) as failed:
                await self._note_failure(failed)
                await curio.sleep(jittered(self._chance, pause))
                pause = min(pause * 2, _LONGEST_PAUSE_SECONDS)
            else:
                pause = _FIRST_PAUSE_SECONDS

    def _is_our_turn(self) -> bool:
        """Tell whether to call the store; until all is read it always is."""
        if not self._catalogue.is_ready:
            return True
        watches = self._watchers.should_watch()
        if watches is not self._watches:
            self._watches = watches
            note(
                logger,
                'this VM watches the store' if watches else 'others watch',
                revision=self._catalogue.news_revision,
            )
        return watches

    async def _follow(self, seconds: float) -> bool:
        """Read or watch the store once and apply the result.

        :param seconds: longest wait of a watch for changes
        :returns: whether a watch returned changes
        """
        if self._must_read:
            await self._read_all()
            return False
        return await self._watch(seconds)

    async def _note_failure(
        self,
        failed: HistoryGone | StoreUnavailable,
    ) -> None:
        if isinstance(failed, HistoryGone):
            logger.warning('the store dropped history; reading anew')
            self._must_read = True
        else:
            await self._lost(failed)

    def until_configured(self) -> float:
        """Give how long the first reading should still take, in seconds.

        A store that does not answer stays away for seconds. Callers that
        come back sooner are refused once more, and most ask no third time.
        """
        if self.reachable:
            return _FIRST_READING_SECONDS
        return _STORE_AWAY_SECONDS

    async def hear(self, rumour: CatalogueRumour) -> News:
        """Learn that another VM holds newer documents."""
        newer = rumour.revision > self._catalogue.news_revision
        if newer and not self._is_asked_for(rumour):
            # Noted before the task runs: a dozen VMs tell the same news
            # within milliseconds, and each of them would be asked for it.
            self._asking[rumour.vm] = _Asking(rumour.revision, clock.now())
            await curio.spawn(self._ask, rumour.vm, daemon=True)
        return News.NONE

    def _is_asked_for(self, rumour: CatalogueRumour) -> bool:
        if rumour.vm in self._asking:
            return True
        recent = clock.now() - _SECOND_ASK_SECONDS
        return any(
            asking.revision >= rumour.revision and asking.since > recent
            for asking in self._asking.values()
        )

    async def hear_watch(self, rumour: WatchRumour) -> News:
        """Learn whether another VM reaches the store."""
        return self._watchers.hear(rumour)

    async def fresh_revision(self) -> int | None:
        """Give the store's revision of this moment, if it answers."""
        try:
            return await self._store.revision()
        except StoreUnavailable as failed:
            logger.info('no revision of the store: {}', failed)
            return None

    def own_rumour(self) -> CatalogueRumour:
        """Say how new the documents are that this VM holds."""
        return CatalogueRumour(
            self._members.own_id,
            self._catalogue.news_revision,
        )

    async def answer(
        self,
        ask: DocumentsAsk,
        _remote: Hello,
    ) -> DocumentsReply:
        """Give another VM what it lacks."""
        newer = self._catalogue.after(ask.revision)
        return DocumentsReply(
            [packed(document) for document in newer],
            self.confirmation.age(),
        )

    async def renew_confirmation(self, target_age: float) -> None:
        """Confirm that the local configuration is current.

        Asks the other watchers in turn, and the store only if none of them
        answers.

        :param target_age: age in seconds that a confirmation should reach; up
            to ``_CONFIRM_SECONDS`` more is accepted
        """
        has_answered = False
        for vm in self._watchers.other_watchers()[:_MOST_CONFIRMERS]:
            has_answered |= await self._ask_member(vm, _CONFIRM_SECONDS)
            if self.confirmation.age() <= target_age + _CONFIRM_SECONDS:
                return
        if has_answered:
            return
        try:
            await self._follow(_CATCH_UP_SECONDS)
        except (HistoryGone, StoreUnavailable) as failed:
            logger.info('store did not confirm the configuration: {}', failed)

    async def _read_all(self) -> None:
        asked_at = clock.boot()
        reading = await self._store.read_all('')
        await self._regained()
        self._must_read = False
        self.store_revision = reading.revision
        changed = self._catalogue.replace_all(
            reading.documents,
            reading.revision,
        )
        self.confirmation.note(asked_at)
        if changed:
            await self._notify_listeners()

    async def _watch(self, seconds: float) -> bool:
        # All up to the newest news is known here, by whichever way it came.
        known = max(self.store_revision, self._catalogue.news_revision)
        asked_at = clock.boot()
        reading = await self._store.watch('', known, seconds)
        await self._regained()
        self.store_revision = max(self.store_revision, reading.revision)
        news = [
            self._catalogue.read(document, in_sequence=True)
            for document in reading.documents
        ]
        self.confirmation.note(asked_at)
        await self._note_news(news)
        return bool(reading.documents)

    async def _note_news(self, news: list[bool]) -> None:
        """Notify the listeners once, when all documents have been taken."""
        if any(news):
            await self._notify_listeners()

    async def _notify_listeners(self) -> None:
        for listener in self.listeners:
            await listener()

    async def _ask(self, vm: VmId) -> None:
        try:
            await self._ask_member(vm, _ASK_SECONDS)
        finally:
            self._asking.pop(vm, None)

    async def _ask_member(self, vm: VmId, seconds: float) -> bool:
        """Fetch newer documents from a VM; tell whether it answered."""
        member = self._members.by_id.get(vm)
        if member is None:
            return False
        ask = DocumentsAsk(self._catalogue.news_revision)
        address = member.vm.peer_address
        asked_at = clock.boot()
        try:
            _from, reply = await self._peers.ask(address, vm, ask, seconds)
        except (PeerUnreachable, ConnectionLost) as failed:
            logger.info('no documents from {}: {}', vm, failed)
            return False
        news = [
            self._catalogue.apply(unpacked(document))
            for document in reply.documents
        ]
        self.confirmation.note(asked_at, reply.confirmed_age)
        await self._note_news(news)
        return True

    async def _lost(self, failed: StoreUnavailable) -> None:
        self._catalogue.note_store_away()
        if self.reachable:
            self.reachable = False
            logger.warning('the store is out of reach: {}', failed)
        # Told again when it is this VM's turn once more, in vain.
        if clock.now() > self._lost_told_at + LOSS_SECONDS:
            self._lost_told_at = clock.now()
            await self.publish(self._watchers.own_change(lost=True))

    async def _regained(self) -> None:
        if self.reachable:
            return
        self.reachable = True
        self._lost_told_at = float('-inf')
        logger.info('the store answers again')
        await self.publish(self._watchers.own_change(lost=False))


async def _publish_nowhere(_rumour: WatchRumour) -> None:
    """Drop a rumour: this VM is alone."""
