"""Hands received gossip to the parts that handle it, and collects ours."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.generated import messages
from flamingovalve.membership.gossip import Dissemination

if TYPE_CHECKING:
    from flamingovalve.daemon import Daemon

_TICK_SECONDS: Final = 0.25
_STORE_GOSSIP_VMS: Final = 64


class GossipHandlers:
    """Hands rumours to the parts they concern and collects theirs."""

    def __init__(self, daemon: Daemon) -> None:
        """Hear and tell for ``daemon``."""
        self._daemon = daemon

    @singledispatchmethod
    async def apply_rumour(self, rumour: Any) -> Dissemination:
        """Take a rumour; give how it travels on."""
        raise TypeError(f'{type(rumour).__name__} is not a rumour')

    @apply_rumour.register(messages.VersionRumour)
    async def _hear_version(
        self, rumour: messages.VersionRumour
    ) -> Dissemination:
        # Not passed on as it is: once we hold that version ourselves, we
        # say so, and those we tell fetch it from us.
        if (
            self._daemon.keeper.is_behind(rumour)
            and not self._daemon.keeper.is_busy
        ):
            await self._daemon.background.spawn(
                self._daemon.keeper.apply_rumour, rumour
            )
        return Dissemination.NONE

    @apply_rumour.register(messages.PoisonRumour)
    async def _hear_poison(
        self, rumour: messages.PoisonRumour
    ) -> Dissemination:
        heard = self._daemon.quarantine.apply_rumour(rumour)
        return Dissemination.URGENT if heard else Dissemination.NONE

    @apply_rumour.register(messages.StoreRumour)
    async def _hear_store(self, rumour: messages.StoreRumour) -> Dissemination:
        heard = self._daemon.store.apply_rumour(rumour)
        return Dissemination.ORDINARY if heard else Dissemination.NONE

    @apply_rumour.register(messages.SpreadRumour)
    async def _hear_spread(
        self, rumour: messages.SpreadRumour
    ) -> Dissemination:
        heard = self._daemon.placement.apply_rumour(rumour)
        return Dissemination.URGENT if heard else Dissemination.NONE

    def standing_rumours(self) -> list[Any]:
        """Give what every probe carries."""
        return [self._daemon.keeper.own_rumour()]

    async def tell_forever(self) -> None:
        """Tell what is new here, and let engines look again."""
        while True:
            await curio.sleep(_TICK_SECONDS)
            for rumour in self._daemon.quarantine.take_news():
                await self._daemon.gossip.push(rumour)
            for rumour in self._daemon.hot_adapters.rumours():
                await self._daemon.gossip.push(rumour)
            self._tell_store_use()
            await self._daemon.engines.schedule()

    def _tell_store_use(self) -> None:
        # With many VMs this news would crowd out the rest; each then takes
        # its share from the store's slowness alone.
        if len(self._daemon.members.by_id) > _STORE_GOSSIP_VMS:
            return
        rumour = self._daemon.store.due_rumour()
        if rumour is not None:
            self._daemon.gossip.rumours.add(rumour)
