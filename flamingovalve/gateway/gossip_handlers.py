"""Hands received gossip to the parts of the gateway that handle it."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from flamingovalve.generated.messages import (
    CatalogueRumour,
    OwnerRumour,
    PoisonRumour,
    WatchRumour,
)
from flamingovalve.membership.gossip import News

if TYPE_CHECKING:
    from flamingovalve.gateway.follower import CatalogueFollower
    from flamingovalve.gateway.ownership import GroupClaims
    from flamingovalve.gateway.places import PlaceClient
    from flamingovalve.gateway.quarantine import CrashQuarantine
    from flamingovalve.util.tasks import TaskSet


class GossipHandlers:
    """One handler for each kind of rumour that concerns the gateway."""

    def __init__(
        self,
        follower: CatalogueFollower,
        quarantine: CrashQuarantine,
        claims: GroupClaims,
        places: PlaceClient,
        background: TaskSet,
    ) -> None:
        """Handle rumours by these parts.

        :param background: runs what need not be waited for
        """
        self._follower = follower
        self._quarantine = quarantine
        self._claims = claims
        self._places = places
        self._background = background

    @singledispatchmethod
    async def hear(self, _rumour: Any) -> News:
        """Take a rumour; give how it travels on."""
        return News.NONE

    @hear.register
    async def _catalogue(self, rumour: CatalogueRumour) -> News:
        return await self._follower.hear(rumour)

    @hear.register
    async def _watch(self, rumour: WatchRumour) -> News:
        return await self._follower.hear_watch(rumour)

    @hear.register
    async def _poison(self, rumour: PoisonRumour) -> News:
        return self._quarantine.hear(rumour)

    @hear.register
    async def _owner(self, rumour: OwnerRumour) -> News:
        before = self._claims.owner(rumour.group)
        news = self._claims.hear(rumour)
        if news is not News.NONE and before != rumour.vm:
            await self._background.spawn(
                self._places.notify_new_owner,
                rumour.group,
                rumour.vm,
            )
        return news
