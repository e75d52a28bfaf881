"""Keeps the catalogue up to date from the store and from other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

import curio

from flamingovalve.errors import ConnectionLost, HistoryGone, StoreUnavailable
from flamingovalve.gateway.confirmation import Confirmation
from flamingovalve.gateway.packing import (
    compressed,
    decompressed,
    pack_keys,
    unpack_keys,
)
from flamingovalve.gateway.published.coverage import CompleteRevision
from flamingovalve.gateway.published.fetch_plan import FetchPlan
from flamingovalve.gateway.watchers import LOSS_SECONDS
from flamingovalve.generated.messages import (
    CatalogueRumour,
    DocumentsAsk,
    DocumentsReply,
)
from flamingovalve.membership.gossip import Dissemination
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

# Timeout of a watch, the only way to detect a connection that went silent. If
# those of all watchers do, no VM receives changes until the timeout.
_WATCH_TIMEOUT_SECONDS: Final = 0.7
# Interval at which a VM that does not watch checks whether it should.
_TURN_CHECK_SECONDS: Final = 0.2
# Entries change often. A pause after each batch of changes collects several
# changes into one call, and leaves time to apply a new configuration.
_BATCH_PAUSE_SECONDS: Final = 0.5
_INITIAL_READ_SECONDS: Final = 0.5
_STORE_UNREACHABLE_SECONDS: Final = 1.5
_INITIAL_PAUSE_SECONDS: Final = 0.2
_MAX_PAUSE_SECONDS: Final = 1.0
# Allows for a large configuration on a slow link that is shared.
_FETCH_TIMEOUT_SECONDS: Final = 2.0
# Shorter than _FETCH_TIMEOUT_SECONDS, as a confirmation carries few documents.
_CONFIRM_TIMEOUT_SECONDS: Final = 0.5
# Number of watchers that are asked in turn for one confirmation.
_MAX_CONFIRMERS: Final = 3
# Makes a watch return immediately with the pending changes.
_CATCH_UP_SECONDS: Final = 0.001


class Reading(Protocol):
    """Documents and the revision up to which they are complete."""

    documents: list[Document]
    revision: CompleteRevision


class Store(Protocol):
    """The store in which documents are published."""

    async def read_all(self, prefix: str) -> Reading:
        """Read every document whose key begins with ``prefix``."""

    async def watch(
        self, prefix: str, after: CompleteRevision, seconds: float
    ) -> Reading:
        """Wait for changes after revision ``after``, at most ``seconds``."""


class CatalogueFollower:
    """Reads and watches the store, and exchanges documents with other VMs.

    Only a few VMs watch. They pass on the documents that they have read, with
    their revisions, to VMs that do not watch or that the store rejects.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        store: Store,
        members: MemberTable,
        peers: PeerPool,
        watchers: Watchers,
        rng: random.Random,
    ) -> None:
        """Keep ``catalogue`` up to date."""
        self.publish: Callable[[WatchRumour], Awaitable[None]] = _discard_rumour
        self.listeners: list[Callable[[], Awaitable[None]]] = []
        self.confirmation = Confirmation()
        self.reachable = True
        self._catalogue = catalogue
        self._store = store
        self._members = members
        self._peers = peers
        self._watchers = watchers
        self._rng = rng
        self._coverage = catalogue.coverage
        self._fetches = FetchPlan(self._coverage, self._other_watchers)
        self._confirming = curio.Lock()
        self._must_read = True
        self._is_watching = False
        self._loss_published_at = float('-inf')

    async def follow_forever(self) -> None:
        """Read and watch the store whenever this VM should watch."""
        pause = _INITIAL_PAUSE_SECONDS
        while True:
            if not self._should_call_store():
                await curio.sleep(jittered(self._rng, _TURN_CHECK_SECONDS))
                continue
            try:
                if await self._follow(
                    jittered(self._rng, _WATCH_TIMEOUT_SECONDS)
                ):
                    await curio.sleep(_BATCH_PAUSE_SECONDS)
            except (HistoryGone, StoreUnavailable) as failed:
                await self._handle_failure(failed)
                await curio.sleep(jittered(self._rng, pause))
                pause = min(pause * 2, _MAX_PAUSE_SECONDS)
            else:
                pause = _INITIAL_PAUSE_SECONDS

    def _should_call_store(self) -> bool:
        """Return whether to call the store; always true until it was read."""
        if not self._catalogue.is_ready:
            return True
        watches = self._watchers.should_watch()
        if watches is not self._is_watching:
            self._is_watching = watches
            note(
                logger,
                'this VM watches the store' if watches else 'others watch',
                known_up_to=self._coverage.known_up_to,
                newest_change=self._catalogue.changed_revision,
            )
        return watches

    async def _follow(self, seconds: float) -> bool:
        """Read or watch the store once and apply the result.

        :param seconds: timeout of a watch for changes
        :returns: whether a watch returned changes
        """
        if self._must_read:
            await self._read_all()
            return False
        return await self._watch(seconds)

    async def _handle_failure(
        self,
        failed: HistoryGone | StoreUnavailable,
    ) -> None:
        if isinstance(failed, HistoryGone):
            logger.warning('the store dropped history; reading all documents')
            self._must_read = True
        else:
            await self._record_loss(failed)

    def seconds_until_configured(self) -> float:
        """Return the estimated time until the first read, in seconds.

        A store that does not respond usually stays unreachable for seconds.
        Callers that retry sooner are refused again, and most do not try a
        third time.
        """
        if self.reachable:
            return _INITIAL_READ_SECONDS
        return _STORE_UNREACHABLE_SECONDS

    async def apply_rumour(self, rumour: CatalogueRumour) -> Dissemination:
        """Fetch documents from another VM if it announces newer ones."""
        source = self._fetches.begin(rumour)
        if source is not None:
            await curio.spawn(self._fetch, source, daemon=True)
        return Dissemination.NONE

    async def apply_watch_rumour(self, rumour: WatchRumour) -> Dissemination:
        """Record whether another VM reaches the store."""
        return self._watchers.apply_rumour(rumour)

    def own_rumour(self) -> CatalogueRumour:
        """Return a rumour of the changes that this VM knows."""
        return CatalogueRumour(
            self._members.own_id,
            self._coverage.announced(self._catalogue.changed_revision),
            self._coverage.removals_since,
        )

    async def answer(
        self,
        ask: DocumentsAsk,
        _remote: Hello,
    ) -> DocumentsReply:
        """Return the documents that another VM lacks."""
        after = CompleteRevision(ask.revision)
        reply = DocumentsReply(
            [compressed(document) for document in self._catalogue.after(after)],
            self.confirmation.age(),
            self._coverage.known_up_to,
        )
        if after < self._coverage.removals_since:
            reply.keys = pack_keys(self._catalogue.keys())
            reply.may_have_lapsed = self._catalogue.may_have_lapsed
        return reply

    async def renew_confirmation(self, target_age: float) -> None:
        """Confirm that the local configuration is current.

        Asks the other watchers in turn, and the store only if none of them
        responds.

        :param target_age: age in seconds that a confirmation should reach; up
            to ``_CONFIRM_TIMEOUT_SECONDS`` more is accepted
        """
        has_replied = False
        for vm in self._watchers.other_watchers()[:_MAX_CONFIRMERS]:
            has_replied |= await self._fetch_from(vm, _CONFIRM_TIMEOUT_SECONDS)
            if self.confirmation.age() <= target_age + _CONFIRM_TIMEOUT_SECONDS:
                return
        if not has_replied:
            await self._catch_up()

    async def confirm_at_store(self, instant: float) -> bool:
        """Read the changes that the store held at an instant.

        Callers at the same time share one call to the store.

        :param instant: time on the boot clock
        :returns: whether the configuration is known to have been current then
        """
        async with self._confirming:
            if not self.confirmation.is_later_than(instant):
                await self._catch_up()
        return self.confirmation.is_later_than(instant)

    async def _catch_up(self) -> None:
        try:
            await self._follow(_CATCH_UP_SECONDS)
        except (HistoryGone, StoreUnavailable) as failed:
            logger.info('store did not confirm the configuration: {}', failed)

    async def _read_all(self) -> None:
        asked_at = clock.boot()
        reading = await self._store.read_all('')
        await self._record_recovery()
        self._must_read = False
        note(
            logger,
            'read all documents of the store',
            documents=len(reading.documents),
            complete_up_to=reading.revision,
            newest=max((one.revision for one in reading.documents), default=0),
            seconds=round(clock.boot() - asked_at, 3),
        )
        changed = self._catalogue.replace_all(
            reading.documents,
            reading.revision,
        )
        self.confirmation.record(asked_at)
        if changed:
            await self._notify_listeners()

    async def _watch(self, seconds: float) -> bool:
        after = self._coverage.known_up_to
        asked_at = clock.boot()
        reading = await self._store.watch('', after, seconds)
        await self._record_recovery()
        changes = [
            self._catalogue.apply_from_store(document, in_sequence=True)
            for document in reading.documents
        ]
        self._coverage.extend(after, reading.revision)
        self.confirmation.record(asked_at)
        await self._notify_of_changes(changes)
        return bool(reading.documents)

    async def _notify_of_changes(self, changes: list[bool]) -> None:
        """Notify the listeners once after a batch of documents was applied."""
        if any(changes):
            await self._notify_listeners()

    async def _notify_listeners(self) -> None:
        for listener in self.listeners:
            await listener()

    async def _fetch(self, vm: VmId) -> None:
        try:
            await self._fetch_from(vm, _FETCH_TIMEOUT_SECONDS)
        finally:
            self._fetches.finish(vm)

    async def _fetch_from(self, vm: VmId, seconds: float) -> bool:
        """Fetch newer documents from a VM; return whether it replied."""
        member = self._members.by_id.get(vm)
        if member is None:
            return False
        ask = DocumentsAsk(self._coverage.known_up_to)
        address = member.vm.peer_address
        asked_at = clock.boot()
        try:
            _from, reply = await self._peers.ask(address, vm, ask, seconds)
        except (PeerUnreachable, ConnectionLost) as failed:
            logger.info('failed to fetch documents from {}: {}', vm, failed)
            return False
        changes = self._apply_reply(ask, reply)
        self.confirmation.record(asked_at, reply.confirmed_age)
        await self._notify_of_changes(changes)
        return True

    def _apply_reply(
        self, ask: DocumentsAsk, reply: DocumentsReply
    ) -> list[bool]:
        """Apply the documents of another VM; return which were changes."""
        changes = [
            self._catalogue.apply(decompressed(document))
            for document in reply.documents
        ]
        known_up_to = CompleteRevision(reply.known_up_to)
        if reply.keys:
            changes.append(
                self._catalogue.remove_missing(
                    unpack_keys(reply.keys),
                    known_up_to,
                    lapsed=reply.may_have_lapsed,
                )
            )
        else:
            self._coverage.extend(CompleteRevision(ask.revision), known_up_to)
        return changes

    def _other_watchers(self) -> list[VmId]:
        return self._watchers.other_watchers()

    async def _record_loss(self, failed: StoreUnavailable) -> None:
        self._catalogue.record_store_unreachable()
        if self.reachable:
            self.reachable = False
            logger.warning('the store is unreachable: {}', failed)
        # Published again if the store still fails when this VM watches next.
        if clock.now() > self._loss_published_at + LOSS_SECONDS:
            self._loss_published_at = clock.now()
            await self.publish(self._watchers.own_store_rumour(lost=True))

    async def _record_recovery(self) -> None:
        if self.reachable:
            return
        self.reachable = True
        self._loss_published_at = float('-inf')
        logger.info('the store is reachable again')
        await self.publish(self._watchers.own_store_rumour(lost=False))


async def _discard_rumour(_rumour: WatchRumour) -> None:
    """Discard a rumour; the default until the daemon sets a publisher."""
