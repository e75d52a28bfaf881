"""Finds a place for a completion among the owners of its service's groups."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway.places import OwnerUnavailable
from flamingovalve.gateway.stream_versions import version_gone
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.fallback_placement import FallbackPlacement
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.ownership import GroupClaims
    from flamingovalve.gateway.places import PlaceClient, PlaceLease
    from flamingovalve.gateway.shards import Shards
    from flamingovalve.gateway.upstream_status import UpstreamStatuses
    from flamingovalve.generated.ids import GroupId, VmId
    from flamingovalve.generated.messages import PlaceAsk

logger = get_logger(__name__)

# A new owner claims a group within about this time after the failure of the
# old one was detected; asking more often only adds load to it.
_OWNER_RETRY_SECONDS: Final = 0.1
# Beyond this a later retry serves the caller better than waiting for an owner.
_MAX_OWNER_WAIT_SECONDS: Final = 0.8
_NO_OWNER_RETRY_SECONDS: Final = 0.5
# Time in which a refusal reaches the caller.
_ANSWER_SECONDS: Final = 0.05
# Each owner asked costs an exchange, and if several groups have no good place,
# the rest mostly have none either.
_MAX_GROUPS_ASKED: Final = 4
# An owner that did not respond is asked last for this long, in which membership
# can detect a failure.
_SILENT_SECONDS: Final = 1.5
# Interval at which one request still asks an owner that did not respond.
_SILENT_PAUSE_SECONDS: Final = 0.3


class PlaceFinder:
    """Asks the owners of a service's groups in turn.

    An owner without a good place for a request declines at once, and the next
    group in the adapter's order of preference is asked. So the requests of an
    adapter that exceed the capacity of one group spread over several, and a
    group without an owner costs its requests an exchange instead of a wait.
    """

    def __init__(
        self,
        claims: GroupClaims,
        places: PlaceClient,
        shards: Shards,
        probe: Callable[[VmId], Awaitable[None]],
        fallback: FallbackPlacement,
        statuses: UpstreamStatuses,
    ) -> None:
        """Ask the owners that ``claims`` names.

        :param probe: checks immediately whether a VM still responds
        :param fallback: finds places if no owner responds
        :param statuses: what engines announce
        """
        self._statuses = statuses
        self._fallback = fallback
        self._probe = probe
        self._claims = claims
        self._places = places
        self._shards = shards
        self._silent_until: dict[VmId, float] = {}
        self._next_ask_at: dict[VmId, float] = {}

    async def take(self, request: InboundRequest, ask: PlaceAsk) -> PlaceLease:
        """Wait for a place.

        The deadline is kept here: an owner that sends heartbeats may make no
        progress with the request.

        :raises ServingError: if no place is expected in time, or if none was
            granted until the deadline
        """
        seconds = _seconds_to_wait(request)
        try:
            async with curio.timeout_after(seconds):
                return await self._take(request, ask)
        except curio.TaskTimeout as timeout:
            raise _overdue_error(request, seconds) from timeout

    async def _take(self, request: InboundRequest, ask: PlaceAsk) -> PlaceLease:
        without_owner_since = None
        while True:
            lease = await self._ask_groups(request, ask)
            if lease is None:
                lease = await self._take_from_fallback(request, ask)
            if lease is not None:
                return lease
            # An owner may have ended while the request waited there for long.
            if without_owner_since is None:
                without_owner_since = clock.now()
            if clock.now() > without_owner_since + _MAX_OWNER_WAIT_SECONDS:
                raise _no_owner_error()
            await curio.sleep(_OWNER_RETRY_SECONDS)

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
            self._places.record_open_lease(lease)
        return lease

    async def _ask_groups(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
    ) -> PlaceLease | None:
        groups = self._groups_to_ask(request, ask)
        ask.may_decline = len(groups) > 1
        waits: dict[GroupId, float] = {}
        for group in groups:
            lease = await self._ask_or_record_wait(request, ask, group, waits)
            if lease is not None:
                return lease
        if not waits:
            return None
        ask.may_decline = False
        return await self._ask(request, ask, min(waits, key=waits.__getitem__))

    async def _ask_or_record_wait(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
        group: GroupId,
        waits: dict[GroupId, float],
    ) -> PlaceLease | None:
        """Ask one group; record its expected wait if it declines.

        :param waits: receives the expected wait in seconds, by group
        """
        try:
            return await self._ask(request, ask, group)
        except ServingError as declined:
            if declined.kind is not ErrorKind.NO_GOOD_PLACE:
                raise
            waits[group] = declined.retry_after or 0
        return None

    def _groups_to_ask(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
    ) -> list[GroupId]:
        """Return the groups to ask; those with a responsive owner go first."""
        ranked = self._shards.preference(request.service, ask)
        if ask.pins_software:
            ranked = self._with_software(request, ask, ranked)
        ranked.sort(key=self._is_silent)
        return ranked[:_MAX_GROUPS_ASKED]

    def _with_software(
        self, request: InboundRequest, ask: PlaceAsk, groups: list[GroupId]
    ) -> list[GroupId]:
        """Return the groups with an engine of the version that is needed.

        :raises ServingError: if there is none
        """
        engines = self._shards.engines(request.service)
        holding = [
            group
            for group in groups
            if any(
                one.software == ask.software and one.id not in request.tried
                for one in engines.get(group, ())
            )
        ]
        if not holding:
            raise version_gone(ask.software)
        return holding

    def _is_silent(self, group: GroupId) -> bool:
        owner = self._claims.owner(group)
        if owner is None:
            return True
        return clock.now() < self._silent_until.get(owner, 0)

    def _should_skip(self, owner: VmId) -> bool:
        """Return whether an owner that did not respond is skipped for now.

        Each request that asks an overloaded owner in vain adds to its delay
        and loses half a second itself. One request per interval detects
        whether the owner responds again.
        """
        now = clock.now()
        if now >= self._silent_until.get(owner, 0):
            return False
        if now < self._next_ask_at[owner]:
            return True
        self._next_ask_at[owner] = now + _SILENT_PAUSE_SECONDS
        return False

    async def _ask(
        self,
        request: InboundRequest,
        ask: PlaceAsk,
        group: GroupId,
    ) -> PlaceLease | None:
        owner = self._claims.owner(group)
        if owner is None or self._should_skip(owner):
            return None
        ask.group = group
        ask.target = request.until_target_latency()
        ask.remaining = request.remaining()
        ask.patience = request.first_event_timeout()
        closed = self._statuses.closed(request.send_patience())
        ask.avoided = [*request.tried, *closed]
        try:
            lease = await self._places.take(owner, ask)
        except OwnerUnavailable as silent:
            reason = str(silent)
            now = clock.now()
            self._silent_until[owner] = now + _SILENT_SECONDS
            self._next_ask_at[owner] = now + _SILENT_PAUSE_SECONDS
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


def _seconds_to_wait(request: InboundRequest) -> float:
    """Return the longest wait for a place that is of use to the caller."""
    remaining = request.remaining()
    patience = request.first_event_timeout()
    # A caller that has received events waits for more until its deadline.
    seconds = patience if patience > 0 else remaining
    return max(min(seconds, remaining) - _ANSWER_SECONDS, 0)


def _overdue_error(request: InboundRequest, waited: float) -> ServingError:
    note(
        logger,
        'refused, no place until its deadline',
        id=request.id,
        service=request.service,
        waited=round(waited, 3),
        left=round(request.remaining(), 3),
    )
    return ServingError(
        ErrorKind.OVERLOADED,
        'no engine had a place for the request until its deadline; retry later',
        retry_after=_NO_OWNER_RETRY_SECONDS,
    )


def _no_owner_error() -> ServingError:
    return ServingError(
        ErrorKind.NOT_OWNER,
        'no VM currently grants places on these engines; retry later',
        retry_after=_NO_OWNER_RETRY_SECONDS,
    )
