"""The groups of engines that this VM owns."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.gateway.engine import OwnerCounts
from flamingovalve.gateway.fencing import Fences
from flamingovalve.gateway.owner import GroupOwner
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.engine import EngineLink
    from flamingovalve.gateway.fencing import FreshRevision
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

_TICK_SECONDS: Final = 0.25
# Several times what a store that is well takes to answer.
_HASTE_SECONDS: Final = 0.1


class OwnedGroups:
    """Claims groups that nobody owns and serves those that are ours."""

    def __init__(
        self,
        settings: GatewaySettings,
        members: MemberTable,
        claims: GroupClaims,
        catalogue: Catalogue,
        shards: Shards,
        fresh_revision: FreshRevision,
        probe: Callable[[VmId | None], Awaitable[None]],
        link_to: Callable[[Upstream], EngineLink],
        started_at: float,
    ) -> None:
        """Own nothing yet.

        :param fresh_revision: asks the store for its revision
        :param probe: looks at once whether a VM still answers
        :param link_to: opens the way to an engine
        :param started_at: when this process started, on our clock
        """
        self._settings = settings
        self._members = members
        self._claims = claims
        self._catalogue = catalogue
        self._shards = shards
        self._fresh_revision = fresh_revision
        self._link_to = link_to
        self._owners: dict[GroupId, GroupOwner] = {}
        self._is_sure_by_group: dict[GroupId, bool] = {}
        self._given_up = OwnerCounts()
        self._reconciling = curio.Lock()
        self._probe = probe
        # A process that has just started does not know whether the one
        # before it on this VM ordered a moment ago: taking turns with
        # whoever followed that one would be seen as two holders. That one
        # ended before this one started, so a lease from then on is enough.
        self._orders_after = started_at + settings.lease_seconds

    def find(self, group: GroupId) -> GroupOwner | None:
        """Give the owner of a group, if that is this VM."""
        return self._owners.get(group)

    async def reconcile_forever(self, announce: Announce) -> None:
        """Look at all groups again and again."""
        while True:
            await self.reconcile(announce)
            await curio.sleep(_TICK_SECONDS)

    async def reconcile(self, announce: Announce) -> None:
        """Claim, take up and give up groups as claims and services say."""
        async with self._reconciling:
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
            await self.announce_raised_epochs(announce)

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
        """Give up every group."""
        for group in list(self._owners):
            await self._release(group)

    async def _release(self, group: GroupId) -> None:
        """Stop ordering, and begin no more within a lease.

        Whoever follows may order at once. If this VM came back meanwhile,
        the engine would see the two take turns.
        """
        owner = self._owners.pop(group)
        await owner.close()
        self._given_up.add(owner.counts)
        quiet = self._settings.lease_seconds
        quiet += 2 * self._settings.report_lag_seconds
        self._orders_after = clock.now() + quiet

    def note_late_wakeup(self) -> None:
        """Stop ordering for a lease: others may own what we still believe."""
        quiet = self._settings.lease_seconds
        quiet += 2 * self._settings.report_lag_seconds
        for owner in self._owners.values():
            owner.engines.hold_orders(quiet)

    def engine_count(self) -> int:
        """Count the engines that this VM owns."""
        return sum(
            len(one.engines.engines_by_id) for one in self._owners.values()
        )

    def total_counts(self) -> OwnerCounts:
        """Give the counts of all groups that this VM has owned, added up."""
        total = dataclasses.replace(self._given_up)
        for owner in self._owners.values():
            total.add(owner.counts)
        return total

    def state_dump(self) -> dict[str, Any]:
        """Give what each owned group is doing."""
        return {
            group: owner.state_dump() for group, owner in self._owners.items()
        }

    async def _reconcile_group(
        self,
        group: GroupId,
        announce: Announce,
    ) -> GroupOwner | None:
        """Claim, take up or give up one group; give its owner if we are it."""
        ended = self._claims.predecessor_ended(group)
        claim: OwnerRumour | None = None
        if self._claims.should_claim(group):
            claim = await self._claim(group, predecessor_ended=ended)
        owner_vm = self._claims.owner(group)
        if owner_vm is None:
            # Many VMs may have ended together; the next in turn is looked at
            # now and not when its turn for a probe comes.
            await self._probe(self._claims.candidate(group))
        is_ours = owner_vm == self._members.own_id
        owner = self._owners.get(group)
        if owner is None and is_ours:
            owner = await self._acquire(group, predecessor_ended=ended)
        elif owner is not None and not is_ours:
            await self._release(group)
            owner = None
        if claim is not None:
            # Told only now, so that places can be held here at once.
            await announce(claim)
        return owner

    async def announce_raised_epochs(self, announce: Announce) -> None:
        """Tell of fencing numbers that were found since they were claimed."""
        for group, owner in list(self._owners.items()):
            raised = self._claims.raise_epoch(group, owner.fences.epoch)
            if raised is not None:
                await announce(raised)

    async def _revision_now(self, *, in_haste: bool) -> int | None:
        """Ask the store for its revision; in haste not for long.

        A store that is silent would leave the group without an owner for as
        long as it takes to give up on it.
        """
        if not in_haste:
            return await self._fresh_revision()
        async with curio.ignore_after(_HASTE_SECONDS):
            return await self._fresh_revision()
        return None

    async def _claim(
        self,
        group: GroupId,
        *,
        predecessor_ended: bool,
    ) -> OwnerRumour | None:
        known = group in self._claims.by_group
        is_told = known and predecessor_ended
        revision = await self._revision_now(in_haste=is_told)
        if not self._claims.should_claim(group):
            # Another VM claimed while the store was asked. Outbidding it
            # would change the owner once more, and cost a lease of loads.
            return None
        # One more than the store's: whoever owned the group may have taken a
        # number from that revision and told nobody.
        newest = (revision or self._catalogue.revision) + 1
        claim = self._claims.claim(group, newest)
        # The number of an owner that ended was told, also where it had been
        # found after its claim.
        is_sure = (is_told or revision is not None) and not claim.provisional
        self._is_sure_by_group[group] = is_sure
        owner = self._owners.get(group)
        if owner is not None and is_sure:
            owner.fences.renew(claim.epoch)
        return claim

    async def _acquire(
        self,
        group: GroupId,
        *,
        predecessor_ended: bool,
    ) -> GroupOwner:
        claim = self._claims.by_group[group]
        # Claimed without the store, its number may be lower than one that
        # the owner before had taken from there.
        epoch = claim.epoch if self._is_sure_by_group.get(group) else 0
        vm = self._members.own_id
        owner = GroupOwner(
            self._settings,
            group,
            vm,
            Fences(vm, self._fresh_revision, epoch),
            self._catalogue,
            self._link_to,
        )
        owner.engines.predecessor_ended = predecessor_ended
        owner.engines.orders_after = self._orders_after
        self._owners[group] = owner
        await owner.start()
        return owner
