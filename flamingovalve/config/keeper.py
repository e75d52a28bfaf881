"""Keeps the newest accepted inventory and VM list of this VM.

A version is accepted completely or not at all, and never after a higher
one. A few VMs of each failure domain watch the configuration service. All
others, and watchers whose service is down or stale, fetch updates from
peers.
"""

from __future__ import annotations

import hashlib
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.config.inventory import (
    MANIFEST_KEY,
    VM_LIST_KEY,
    CompactPage,
    Inventory,
    InventoryBuilder,
    parse_manifest,
    parse_page,
    parse_vm_list,
)
from flamingovalve.config.origins import Origin, PeerOrigin, ServiceOrigin
from flamingovalve.config.service import ServiceUnavailable
from flamingovalve.errors import Fault
from flamingovalve.generated.ids import VmId
from flamingovalve.generated.messages import (
    ConfigurationAsk,
    ConfigurationReply,
    VersionRumour,
)
from flamingovalve.util import hashing
from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from flamingovalve.config.service import ConfigurationService
    from flamingovalve.generated.settings import (
        Manifest,
        PageReference,
        Settings,
        VmList,
    )
    from flamingovalve.membership.members import MemberTable
    from flamingovalve.peer.client import PeerPool

logger = get_logger(__name__)

# SHA-256 in hex and zlib-compressed content of one value.
StoredPage = tuple[str, bytes]

_STARTUP_PEERS: Final = 3
_MAX_BACKOFF_FACTOR: Final = 16


@dataclass
class KeeperCounts:
    """Counters of configuration updates since this process started."""

    accepted: int = 0
    refused: int = 0
    older: int = 0
    pages_from_service: int = 0
    pages_from_peers: int = 0
    failed_fetches: int = 0


class InvalidConfiguration(Exception):
    """A published value cannot be accepted.

    :ivar faults: every fault found
    :ivar transient: whether a later read may return a valid value
    """

    def __init__(
        self,
        faults: list[Fault],
        *,
        transient: bool = False,
    ) -> None:
        """Summarise the first five faults in the message."""
        super().__init__('; '.join(str(fault) for fault in faults[:5]))
        self.faults = faults
        self.transient = transient


class ConfigurationKeeper:
    """Holds the accepted configuration of one VM and updates it."""

    def __init__(
        self,
        settings: Settings,
        service: ConfigurationService,
        peers: PeerPool,
        members: MemberTable,
        rng: random.Random,
    ) -> None:
        """Create a keeper that reads from ``service`` and ``peers``."""
        self.inventory = Inventory()
        self.vm_list: VmList | None = None
        self.counts = KeeperCounts()
        self.faults: list[Fault] = []
        self.accepted_listeners: list[Callable[[], Awaitable[None]]] = []
        self._settings = settings
        self._service = service
        self._peers = peers
        self._members = members
        self._rng = rng
        self._stored_by_key: dict[str, tuple[str, bytes]] = {}
        self._compact_by_sha256: dict[str, CompactPage] = {}
        self._refused_digests: set[str] = set()
        self._fetch_lock = curio.Lock()

    @property
    def is_ready(self) -> bool:
        """Whether an inventory and a VM list have been accepted."""
        return self.inventory.version > 0 and self.vm_list is not None

    @property
    def is_updating(self) -> bool:
        """Whether an update is being fetched or checked."""
        return self._fetch_lock.locked()

    def own_rumour(self) -> VersionRumour:
        """Return the rumour that announces the versions held by this VM."""
        revision = self.vm_list.revision if self.vm_list else 0
        own_id = VmId(self._settings.vm.id)
        return VersionRumour(own_id, self.inventory.version, revision)

    def answer(self, ask: ConfigurationAsk) -> ConfigurationReply:
        """Answer a peer's request for a value."""
        stored = self._stored_by_key.get(ask.key)
        if stored is None or ask.sha256 not in {'', stored[0]}:
            return ConfigurationReply(False)
        return ConfigurationReply(True, stored[1])

    async def start(self) -> None:
        """Fetch the initial configuration.

        Peers are asked for the inventory before the service: if the service
        lost its newest version while this VM was down, a restart would
        otherwise revert to an older one.
        """
        while not self.is_ready:
            await self._fetch_vm_list()
            await self._fetch_inventory()
            if not self.is_ready:
                await self._pause(1)

    async def watch_forever(self, key: str) -> None:
        """Watch ``key`` while this VM is one of the watchers."""
        revision = 0
        failures = 0
        while True:
            if not self.is_watcher():
                await self._pause(1)
                continue
            try:
                revision = await self._watch_once(key, revision)
            except ServiceUnavailable as failed:
                failures += 1
                logger.debug('cannot watch {}: {}', key, failed)
                await self._pause(failures)
            else:
                failures = 0

    async def _watch_once(self, key: str, revision: int) -> int:
        """Wait for a change, accept it, and return the revision to watch."""
        published = await self._service.watch(key, revision)
        if published is None:
            return revision
        origin = ServiceOrigin(self._service)
        if await self._attempt(self._accept(key, published.content, origin)):
            return published.revision
        # A page may have been missing or stale, so the key is read again.
        await self._pause(1)
        return 0

    def is_watcher(self) -> bool:
        """Return whether this VM watches the service for its domain."""
        own = self._members.by_id.get(self._members.own_id)
        if own is None:
            return True
        domain = own.vm.failure_domain
        names = [
            member.vm.id
            for member in self._members.present()
            if member.vm.failure_domain == domain
        ]
        count = self._settings.configuration.watchers_per_domain
        chosen = hashing.rank(f'watch {domain}', names)[:count]
        return own.vm.id in chosen or not names

    async def apply_rumour(self, rumour: VersionRumour) -> None:
        """Fetch updates from the VM that announced newer versions."""
        member = self._members.by_id.get(rumour.vm)
        if member is None or not self.is_outdated_by(rumour):
            return
        address = member.vm.peer_address
        origin = PeerOrigin(self._peers, address, rumour.vm)
        await self._attempt(self._fetch_newer(rumour, origin))

    def is_outdated_by(self, rumour: VersionRumour) -> bool:
        """Return whether a rumour announces newer versions than are held."""
        own = self.own_rumour()
        has_newer_list = rumour.list_revision > own.list_revision
        return rumour.version > own.version or has_newer_list

    async def _fetch_newer(
        self,
        rumour: VersionRumour,
        origin: Origin,
    ) -> None:
        own = self.own_rumour()
        if rumour.list_revision > own.list_revision:
            content = await origin.read(VM_LIST_KEY, '')
            await self._accept(VM_LIST_KEY, content, origin)
        if rumour.version > own.version:
            content = await origin.read(MANIFEST_KEY, '')
            await self._accept(MANIFEST_KEY, content, origin)

    async def _fetch_vm_list(self) -> None:
        origin = ServiceOrigin(self._service)
        await self._attempt(self._read_and_accept(VM_LIST_KEY, origin))
        for seed in self._settings.fleet.seeds:
            peer = PeerOrigin(self._peers, seed, VmId(''))
            await self._attempt(self._read_and_accept(VM_LIST_KEY, peer))

    async def _fetch_inventory(self) -> None:
        origins: list[Origin] = [
            PeerOrigin(self._peers, address, VmId(''))
            for address in self._startup_peers()
        ]
        origins.append(ServiceOrigin(self._service))
        for origin in origins:
            await self._attempt(self._read_and_accept(MANIFEST_KEY, origin))

    def _startup_peers(self) -> list[str]:
        addresses = [
            member.vm.peer_address for member in self._members.others()
        ]
        count = min(_STARTUP_PEERS, len(addresses))
        return [
            *self._settings.fleet.seeds,
            *self._rng.sample(addresses, count),
        ]

    async def _read_and_accept(self, key: str, origin: Origin) -> None:
        content = await origin.read(key, '')
        await self._accept(key, content, origin)

    async def _attempt(self, work: Awaitable[None]) -> bool:
        try:
            await work
            return True
        except ServiceUnavailable as failed:
            self.counts.failed_fetches += 1
            logger.debug('configuration not fetched: {}', failed)
        except InvalidConfiguration as refused:
            self.counts.refused += 1
            self.faults = refused.faults
            logger.warning('configuration refused: {}', refused)
        return False

    async def _accept(self, key: str, content: bytes, origin: Origin) -> None:
        async with self._fetch_lock:
            if key == VM_LIST_KEY:
                changed = self._accept_vm_list(content)
            else:
                changed = await self._accept_manifest(content, origin)
        if changed:
            for listener in self.accepted_listeners:
                await listener()

    def _accept_vm_list(self, content: bytes) -> bool:
        published = _unwrap(parse_vm_list(content))
        known = self.vm_list.revision if self.vm_list else 0
        if published.revision <= known:
            self.counts.older += published.revision < known
            return False
        self.vm_list = published
        self._store(VM_LIST_KEY, content)
        return True

    async def _accept_manifest(self, content: bytes, origin: Origin) -> bool:
        manifest = _unwrap(parse_manifest(content))
        if manifest.version <= self.inventory.version:
            self.counts.older += manifest.version < self.inventory.version
            return False
        digest = _digest(content)
        if digest in self._refused_digests:
            return False
        try:
            stored = await self._fetch_pages(manifest, origin)
            inventory = await self._build(manifest, stored)
        except InvalidConfiguration as refused:
            # Not fetched again until another manifest is published.
            self._refused_digests = set() if refused.transient else {digest}
            raise
        self._stored_by_key = stored | {
            key: page
            for key, page in self._stored_by_key.items()
            if key == VM_LIST_KEY
        }
        self._store(MANIFEST_KEY, content)
        self.inventory = inventory
        self.faults = []
        self.counts.accepted += 1
        logger.info('inventory version {} accepted', manifest.version)
        return True

    async def _build(
        self,
        manifest: Manifest,
        stored: dict[str, StoredPage],
    ) -> Inventory:
        """Build the inventory; unchanged pages are not parsed again."""
        compact: dict[str, CompactPage] = {}
        builder = InventoryBuilder(manifest.version)
        for key, (sha256, compressed) in stored.items():
            page = self._compact_by_sha256.get(sha256)
            if page is None:
                content = zlib.decompress(compressed)
                page = CompactPage(_unwrap(parse_page(content, key)))
                # Parsing a page takes as long as dozens of requests, so
                # waiting requests run before the next page is parsed.
                await curio.sleep(0)
            compact[sha256] = page
            builder.add(page)
        inventory: Inventory = _unwrap(builder.build())
        self._compact_by_sha256 = compact
        return inventory

    async def _fetch_pages(
        self,
        manifest: Manifest,
        origin: Origin,
    ) -> dict[str, StoredPage]:
        """Return every page of a version; unchanged ones are not fetched."""
        stored: dict[str, StoredPage] = {}
        for reference in manifest.pages:
            known = self._stored_by_key.get(reference.key)
            if known is None or known[0] != reference.sha256:
                known = await self._read_page(reference, origin)
            stored[reference.key] = known
        return stored

    async def _read_page(
        self,
        reference: PageReference,
        origin: Origin,
    ) -> StoredPage:
        if isinstance(origin, ServiceOrigin):
            self.counts.pages_from_service += 1
        else:
            self.counts.pages_from_peers += 1
        content = await origin.read(reference.key, reference.sha256)
        page = _compress(content)
        if page[0] != reference.sha256:
            fault = _digest_mismatch(reference)
            raise InvalidConfiguration([fault], transient=True)
        return page

    def _store(self, key: str, content: bytes) -> None:
        self._stored_by_key[key] = _compress(content)

    async def _pause(self, failures: int) -> None:
        base = self._settings.configuration.retry_seconds
        factor = min(2 ** (failures - 1), _MAX_BACKOFF_FACTOR)
        await curio.sleep(base * factor * self._rng.uniform(0.5, 1))


def _compress(content: bytes) -> StoredPage:
    # Values are stored to answer peers. They are compressed because the
    # pages of 100,000 adapters would otherwise exceed the memory budget.
    return _digest(content), zlib.compress(content)


def _digest(content: bytes) -> str:
    return hashlib.sha256(content).hexdigest()


def _unwrap(outcome: Any) -> Any:
    if outcome.is_error():
        raise InvalidConfiguration(outcome.error)
    return outcome.ok


def _digest_mismatch(reference: PageReference) -> Fault:
    return Fault(
        reference.key,
        'does not match its digest in the manifest',
        'publish pages before the manifest, and never change a page in place',
    )
