"""Dispatches received rumours and publishes those of this VM."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.generated import messages
from flamingovalve.membership.gossip import Dissemination

if TYPE_CHECKING:
    from flamingovalve.daemon import Daemon

_PUBLISH_SECONDS: Final = 0.25
_MAX_STORE_GOSSIP_VMS: Final = 64


class GossipHandlers:
    """Dispatches rumours to components and publishes their rumours."""

    def __init__(self, daemon: Daemon) -> None:
        """Handle the rumours of ``daemon``."""
        self._daemon = daemon

    @singledispatchmethod
    async def apply_rumour(self, rumour: Any) -> Dissemination:
        """Apply a rumour and return how to disseminate it further."""
        raise TypeError(f'{type(rumour).__name__} is not a rumour')

    @apply_rumour.register(messages.VersionRumour)
    async def _apply_version(
        self, rumour: messages.VersionRumour
    ) -> Dissemination:
        # Not forwarded: once this VM holds the version, it publishes its own
        # rumour, and the VMs that receive that one fetch the version here.
        if (
            self._daemon.keeper.is_outdated_by(rumour)
            and not self._daemon.keeper.is_updating
        ):
            await self._daemon.background.spawn(
                self._daemon.keeper.apply_rumour, rumour
            )
        return Dissemination.NONE

    @apply_rumour.register(messages.PoisonRumour)
    async def _apply_poison(
        self, rumour: messages.PoisonRumour
    ) -> Dissemination:
        is_new = self._daemon.quarantine.apply_rumour(rumour)
        return Dissemination.URGENT if is_new else Dissemination.NONE

    @apply_rumour.register(messages.StoreRumour)
    async def _apply_store(self, rumour: messages.StoreRumour) -> Dissemination:
        is_new = self._daemon.store.apply_rumour(rumour)
        return Dissemination.ORDINARY if is_new else Dissemination.NONE

    @apply_rumour.register(messages.SpreadRumour)
    async def _apply_spread(
        self, rumour: messages.SpreadRumour
    ) -> Dissemination:
        is_new = self._daemon.placement.apply_rumour(rumour)
        return Dissemination.URGENT if is_new else Dissemination.NONE

    def standing_rumours(self) -> list[Any]:
        """Return the rumours that every probe carries."""
        return [self._daemon.keeper.own_rumour()]

    async def publish_forever(self) -> None:
        """Publish new rumours and run the engines' schedulers."""
        while True:
            await curio.sleep(_PUBLISH_SECONDS)
            for rumour in self._daemon.quarantine.take_unsent_rumours():
                await self._daemon.gossip.push(rumour)
            for rumour in self._daemon.hot_adapters.rumours():
                await self._daemon.gossip.push(rumour)
            self._publish_store_use()
            await self._daemon.engines.schedule()

    def _publish_store_use(self) -> None:
        # With many VMs, these rumours would crowd out all others; each VM
        # then derives its share only from the slowness of the store.
        if len(self._daemon.members.by_id) > _MAX_STORE_GOSSIP_VMS:
            return
        rumour = self._daemon.store.due_rumour()
        if rumour is not None:
            self._daemon.gossip.rumours.add(rumour)
