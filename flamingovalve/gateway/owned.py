"""Manages the groups of engines that this VM owns."""

from __future__ import annotations

import dataclasses
from functools import partial
from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.gateway.engine import OwnerCounts
from flamingovalve.gateway.fencing import ClaimStatus
from flamingovalve.gateway.owner import GroupOwner
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.engine import EngineLink
    from flamingovalve.gateway.model import (
        EngineTraits,
        Upstream,
        UpstreamService,
    )
    from flamingovalve.gateway.ownership import GroupClaims
    from flamingovalve.gateway.shards import Shards
    from flamingovalve.generated.ids import GroupId, VmId
    from flamingovalve.generated.messages import OwnerRumour
    from flamingovalve.generated.settings import GatewaySettings
    from flamingovalve.membership.members import MemberTable

    Announce = Callable[[OwnerRumour], Awaitable[None]]

logger = get_logger(__name__)

_TICK_SECONDS: Final = 0.25


class OwnedGroups:
    """Claims groups without an owner and runs an owner for each claimed one."""

    def __init__(
        self,
        settings: GatewaySettings,
        members: MemberTable,
        claims: GroupClaims,
        catalogue: Catalogue,
        shards: Shards,
        probe: Callable[[VmId | None], Awaitable[None]],
        link_to: Callable[[Upstream], EngineLink],
        started_at: float,
    ) -> None:
        """Create a manager that owns no group.

        :param probe: checks immediately whether a VM still responds
        :param link_to: creates the connection to an engine
        :param started_at: start of this process, on the monotonic clock
        """
        self._settings = settings
        self._members = members
        self._claims = claims
        self._catalogue = catalogue
        self._shards = shards
        self._link_to = link_to
        self._owners: dict[GroupId, GroupOwner] = {}
        self._released_counts = OwnerCounts()
        self._reconciling = curio.Lock()
        self._probe = probe
        # The previous process of this VM may have sent orders just before it
        # ended, and its successor as owner may have sent some since. If this
        # process ordered within a lease, the engine would see two holders
        # alternate. The previous process ended before this one started, so
        # one lease from the start suffices.
        self._orders_after = started_at + settings.lease_seconds

    def find(self, group: GroupId) -> GroupOwner | None:
        """Return the local owner of ``group``, or None if this VM has none."""
        return self._owners.get(group)

    async def reconcile_forever(self, announce: Announce) -> None:
        """Reconcile all groups periodically."""
        while True:
            await self.reconcile(announce)
            await curio.sleep(_TICK_SECONDS)

    async def reconcile(self, announce: Announce) -> None:
        """Claim, acquire and release groups to match claims and services."""
        async with self._reconciling:
            self._claims.watch_quorum()
            wanted: set[GroupId] = set()
            services = self._catalogue.configuration.services_by_name
            for service in services.values():
                if service.engine is not None:
                    wanted.update(self._shards.groups(service.name))
                    await self._reconcile_service(
                        service, service.engine, announce
                    )
            for group in set(self._owners) - wanted:
                await self._release(group)

    async def _reconcile_service(
        self,
        service: UpstreamService,
        traits: EngineTraits,
        announce: Announce,
    ) -> None:
        by_group = self._shards.engines(service.name)
        for group, upstreams in by_group.items():
            owner = await self._reconcile_group(group, announce)
            if owner is not None:
                await owner.replace_engines(upstreams, traits)

    async def close(self) -> None:
        """Release every group."""
        for group in list(self._owners):
            await self._release(group)

    async def _release(self, group: GroupId) -> None:
        """Stop the owner of a group; send no new orders for a lease.

        The next owner may send orders immediately. If this VM acquired the
        group again within the lease and sent orders, the engine would see
        two holders alternate.
        """
        owner = self._owners.pop(group)
        note(
            logger,
            'this VM releases a group',
            group=group,
            next_owner=self._claims.owner(group) or '',
            **dataclasses.asdict(owner.claim_status()),
        )
        await owner.close()
        self._released_counts.add(owner.counts)
        pause = self._settings.lease_seconds
        pause += 2 * self._settings.report_lag_seconds
        self._orders_after = clock.now() + pause

    def record_late_wakeup(self) -> None:
        """Send no orders for a lease after the process woke up late.

        Other VMs may have taken over the groups in between.
        """
        pause = self._settings.lease_seconds
        pause += 2 * self._settings.report_lag_seconds
        for owner in self._owners.values():
            owner.engines.suspend_orders(pause)

    def engine_count(self) -> int:
        """Return the number of engines that this VM owns."""
        return sum(
            len(one.engines.engines_by_id) for one in self._owners.values()
        )

    def total_counts(self) -> OwnerCounts:
        """Return the summed counts of all groups owned since the start."""
        total = dataclasses.replace(self._released_counts)
        for owner in self._owners.values():
            total.add(owner.counts)
        return total

    def state_dump(self) -> dict[str, Any]:
        """Return the state of each owned group."""
        return {
            group: owner.state_dump() for group, owner in self._owners.items()
        }

    async def _reconcile_group(
        self,
        group: GroupId,
        announce: Announce,
    ) -> GroupOwner | None:
        """Claim, acquire or release one group.

        :returns: the local owner, or None if this VM does not own the group
        """
        ended = self._claims.predecessor_ended(group)
        claim: OwnerRumour | None = None
        if self._claims.should_claim(group):
            claim = self._claim(group)
        owner_vm = self._claims.owner(group)
        if owner_vm is None:
            # Several VMs may have ended together; probe the next candidate
            # now instead of at its periodic probe.
            await self._probe(self._claims.candidate(group))
        is_owned_here = owner_vm == self._members.own_id
        owner = self._owners.get(group)
        if owner is None and is_owned_here:
            owner = await self._acquire(group, predecessor_ended=ended)
        elif owner is not None and not is_owned_here:
            await self._release(group)
            owner = None
        if claim is not None:
            # Announced after the owner exists, so that it can adopt places
            # as soon as other VMs learn of the claim.
            await announce(claim)
        return owner

    def _claim(self, group: GroupId) -> OwnerRumour:
        # One more than the store's revision exceeds the epochs of claims that
        # no VM remembers, as after a loss of all VMs.
        return self._claims.claim(group, self._catalogue.revision + 1)

    def _claim_status(self, group: GroupId) -> ClaimStatus:
        claim = self._claims.by_group.get(group)
        is_own = claim is not None and claim.vm == self._members.own_id
        other = self._claims.highest_of_others
        return ClaimStatus(
            self._claims.is_established(group),
            self._claims.sees_all,
            claim.epoch if claim is not None and is_own else 0,
            other.epoch if other else 0,
            other.vm if other else '',
        )

    async def _acquire(
        self,
        group: GroupId,
        *,
        predecessor_ended: bool,
    ) -> GroupOwner:
        owner = GroupOwner(
            self._settings,
            group,
            self._members.own_id,
            partial(self._claim_status, group),
            self._catalogue,
            self._link_to,
        )
        owner.engines.predecessor_ended = predecessor_ended
        owner.engines.orders_after = self._orders_after
        self._owners[group] = owner
        note(
            logger,
            'this VM owns a group',
            group=group,
            predecessor_ended=predecessor_ended,
            orders_after=round(max(0, self._orders_after - clock.now()), 3),
            **dataclasses.asdict(owner.claim_status()),
        )
        await owner.start()
        return owner
