"""Dispatches received rumours to the components of the gateway."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from flamingovalve.generated.messages import (
    CatalogueRumour,
    EndRumour,
    LimitRumour,
    OwnerRumour,
    PathRumour,
    TrialRumour,
    WatchRumour,
)
from flamingovalve.membership.gossip import Dissemination

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.follower import CatalogueFollower
    from flamingovalve.gateway.ownership import GroupClaims
    from flamingovalve.gateway.places import PlaceClient
    from flamingovalve.gateway.quarantine.quarantine import CrashQuarantine
    from flamingovalve.gateway.send_limits import SendLimits
    from flamingovalve.util.tasks import TaskSet


class GossipHandlers:
    """Handles each type of rumour that concerns the gateway."""

    def __init__(
        self,
        follower: CatalogueFollower,
        quarantine: CrashQuarantine,
        claims: GroupClaims,
        places: PlaceClient,
        limits: SendLimits,
        apply_path_rumour: Callable[[PathRumour], Awaitable[Dissemination]],
        background: TaskSet,
    ) -> None:
        """Dispatch rumours to the given components.

        :param background: runs tasks whose end the handlers do not await
        """
        self._follower = follower
        self._quarantine = quarantine
        self._claims = claims
        self._places = places
        self._limits = limits
        self._apply_path_rumour = apply_path_rumour
        self._background = background

    @singledispatchmethod
    async def apply_rumour(self, _rumour: Any) -> Dissemination:
        """Apply a rumour; return whether and how urgently to pass it on."""
        return Dissemination.NONE

    @apply_rumour.register
    async def _catalogue(self, rumour: CatalogueRumour) -> Dissemination:
        return await self._follower.apply_rumour(rumour)

    @apply_rumour.register
    async def _watch(self, rumour: WatchRumour) -> Dissemination:
        return await self._follower.apply_watch_rumour(rumour)

    @apply_rumour.register
    async def _end(self, rumour: EndRumour) -> Dissemination:
        return self._quarantine.apply_rumour(rumour)

    @apply_rumour.register
    async def _trial(self, rumour: TrialRumour) -> Dissemination:
        return self._quarantine.apply_trial(rumour)

    @apply_rumour.register
    async def _limit(self, rumour: LimitRumour) -> Dissemination:
        return await self._limits.apply_rumour(rumour)

    @apply_rumour.register
    async def _path(self, rumour: PathRumour) -> Dissemination:
        return await self._apply_path_rumour(rumour)

    @apply_rumour.register
    async def _owner(self, rumour: OwnerRumour) -> Dissemination:
        previous_owner = self._claims.owner(rumour.group)
        dissemination = self._claims.apply_rumour(rumour)
        if (
            dissemination is not Dissemination.NONE
            and previous_owner != rumour.vm
        ):
            await self._background.spawn(
                self._places.notify_new_owner,
                rumour.group,
                rumour.vm,
            )
        return dissemination
