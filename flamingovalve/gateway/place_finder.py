"""Finds a place for a completion among the owners of its service's groups."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway.places import OwnerSilent
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.fallback_placement import FallbackPlacement
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.ownership import GroupClaims
    from flamingovalve.gateway.places import PlaceClient, PlaceLease
    from flamingovalve.gateway.shards import Shards
    from flamingovalve.generated.ids import GroupId, VmId
    from flamingovalve.generated.messages import PlaceAsk

logger = get_logger(__name__)

# A new owner claims within about this time after the old one was seen to be
# gone; asking more often only adds load to it.
_OWNER_PAUSE_SECONDS: Final = 0.1
# Beyond this a caller had better come back than wait for an owner.
_OWNER_PATIENCE_SECONDS: Final = 0.8
_NO_OWNER_RETRY_SECONDS: Final = 0.5
# Each owner that is asked costs an exchange, and some groups without a good
# place say enough of the rest.
_MOST_GROUPS_ASKED: Final = 4
# An owner that was silent is asked last until membership has found out.
_SILENT_SECONDS: Final = 1.5
# Meanwhile one request in this time asks it all the same.
_SILENT_PAUSE_SECONDS: Final = 0.3


class PlaceFinder:
    """Asks the owners of a service's groups in turn.

    An owner that has no good place for a request says so at once, and the
    next in the adapter's order is asked. So an adapter that is asked for
    more often than one group can serve spreads over several by itself, and
    a group without an owner costs its requests an exchange, not a wait.
    """

    def __init__(
        self,
        claims: GroupClaims,
        places: PlaceClient,
        shards: Shards,
        probe: Callable[[VmId], Awaitable[None]],
        fallback: FallbackPlacement,
    ) -> None:
        """Ask the owners that ``claims`` name.

        :param probe: looks at once whether a VM still answers
        :param fallback: finds places where no owner answers
        """
        self._fallback = fallback
        self._probe = probe
        self._claims = claims
        self._places = places
        self._shards = shards
        self._silent_until: dict[VmId, float] = {}
        self._next_ask: dict[VmId, float] = {}

    async def take(self, request: InboundRequest, ask: PlaceAsk) -> PlaceLease:
        """Wait for a place.

        :raises ServingError: when there will be none in time
        """
        began = clock.now()
        while True:
            lease = await self._ask_groups(request, ask)
            if lease is not None:
                return lease
            lease = await self._take_from_fallback(request, ask)
            if lease is not None:
                return lease
            if clock.now() > began + _OWNER_PATIENCE_SECONDS:
                raise _no_owner()
            await curio.sleep(_OWNER_PAUSE_SECONDS)

    async def _take_from_fallback(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
    ) -> PlaceLease | None:
        lease = await self._fallback.take(request, ask)
        if lease is None:
            return None
        group = self._shards.group_holding(
            request.service,
            lease.grant.upstream,
        )
        if group is not None:
            ask.group = group
            self._places.note_open(lease)
        return lease

    async def _ask_groups(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
    ) -> PlaceLease | None:
        groups = self._in_turn(request, ask)
        ask.may_decline = len(groups) > 1
        waits: dict[GroupId, float] = {}
        for group in groups:
            lease = await self._offer(request, ask, group, waits)
            if lease is not None:
                return lease
        if not waits:
            return None
        ask.may_decline = False
        return await self._ask(request, ask, min(waits, key=waits.__getitem__))

    async def _offer(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
        group: GroupId,
        waits: dict[GroupId, float],
    ) -> PlaceLease | None:
        """Ask one group; note what wait it expects where it declines."""
        try:
            return await self._ask(request, ask, group)
        except ServingError as declined:
            if declined.kind is not ErrorKind.NO_GOOD_PLACE:
                raise
            waits[group] = declined.retry_after or 0
        return None

    def _in_turn(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
    ) -> list[GroupId]:
        """Give the groups to ask; those whose owner may answer go first."""
        ranked = self._shards.preference(request.service, ask)
        ranked.sort(key=self._is_silent)
        return ranked[:_MOST_GROUPS_ASKED]

    def _is_silent(self, group: GroupId) -> bool:
        owner = self._claims.owner(group)
        if owner is None:
            return True
        return clock.now() < self._silent_until.get(owner, 0)

    def _should_spare(self, owner: VmId) -> bool:
        """Tell whether an owner that was silent should not be asked now.

        One that is late gets later by each request that asks it in vain, and
        each of them loses half a second. One in a while shows whether it
        answers again.
        """
        moment = clock.now()
        if moment >= self._silent_until.get(owner, 0):
            return False
        if moment < self._next_ask[owner]:
            return True
        self._next_ask[owner] = moment + _SILENT_PAUSE_SECONDS
        return False

    async def _ask(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
        group: GroupId,
    ) -> PlaceLease | None:
        owner = self._claims.owner(group)
        if owner is None or self._should_spare(owner):
            return None
        ask.group = group
        ask.target = request.until_late()
        ask.remaining = request.remaining()
        ask.patience = request.until_first_event()
        ask.avoided = list(request.tried)
        try:
            lease = await self._places.take(owner, ask)
        except OwnerSilent as silent:
            reason = str(silent)
            moment = clock.now()
            self._silent_until[owner] = moment + _SILENT_SECONDS
            self._next_ask[owner] = moment + _SILENT_PAUSE_SECONDS
            await self._probe(owner)
        except ServingError as refused:
            if refused.kind is not ErrorKind.NOT_OWNER:
                raise
            reason = refused.message
        else:
            self._silent_until.pop(owner, None)
            return lease
        note(
            logger,
            'no place from the owner',
            id=request.id,
            owner=owner,
            group=group,
            reason=reason,
        )
        return None


def _no_owner() -> ServingError:
    return ServingError(
        ErrorKind.NOT_OWNER,
        'no VM gives out places of these engines at the moment; come back',
        retry_after=_NO_OWNER_RETRY_SECONDS,
    )
