"""Counts the VMs that may be alive, among which a fleet-wide budget is divided.

VMs that do not see each other still spend their shares. A VM that is out of
touch therefore counts until it has provably ended, or for a long time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.generated.ids import VmId
from flamingovalve.generated.messages import (
    FleetCensusAsk,
    FleetCensusReply,
    MemberState,
    SilentVm,
)
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from flamingovalve.gateway.keepers import KeeperClient
    from flamingovalve.generated.messages import Hello
    from flamingovalve.membership.members import Member, MemberTable

logger = get_logger(__name__)

# Longer than partitions last, or than a lost VM stays in the seeds.
_SILENT_SECONDS: Final = 3600.0
_MAX_VMS_ASKED: Final = 3
_POLL_SECONDS: Final = 0.5
# Time in which VMs that start together find each other.
_DISCOVERY_SECONDS: Final = 2.0
_MAX_COUNT_AGE_SECONDS: Final = 0.25


class FleetCensus:
    """The share of this VM in a budget of all VMs.

    A process has a share once another one that has a share names the VMs that
    are out of touch. Where all have just started, it has one if it reaches a
    majority of the seeds: of the parts of a fleet that restarts while it is
    partitioned, at most one does. The share grows with the age of the process,
    as its predecessors may have spent theirs.
    """

    def __init__(
        self,
        members: MemberTable,
        peers: KeeperClient,
        seeds: list[VmId],
        settle_seconds: float,
        started_at: float,
    ) -> None:
        """Count ``members``, and those that other VMs name.

        :param peers: asks other VMs
        :param seeds: VMs that all VMs know from their settings
        :param settle_seconds: time after which spent credit counts no longer;
            a process of this age has its whole share
        :param started_at: start of this process, on the monotonic clock
        """
        self.has_share = False
        self.is_leaving = False
        self._members = members
        self._peers = peers
        self._seeds = frozenset(seeds)
        self._settle_seconds = settle_seconds
        self._started_at = clock.boot() - clock.now() + started_at
        self._counts_until_by_vm: dict[VmId, float] = {}
        self._refreshed_at = float('-inf')
        self._asked_at = float('-inf')

    def count(self) -> int:
        """Return the number of VMs that may be alive, including this one."""
        if clock.boot() > self._refreshed_at + _MAX_COUNT_AGE_SECONDS:
            self._refresh()
        return 1 + len(self._counts_until_by_vm)

    def share(self) -> float:
        """Return the share of this VM in a budget of all VMs; 0 for none."""
        if not self.has_share or self.is_leaving:
            return 0
        return min(self._age() / self._settle_seconds, 1) / self.count()

    def leave(self) -> None:
        """Give up the share for good, as the others divide it soon."""
        self.is_leaving = True

    async def maintain_forever(self) -> None:
        """Take the share once that is safe, and keep the count up to date."""
        while True:
            self._refresh()
            if self._should_ask():
                await self._ask_oldest()
            await curio.sleep(_POLL_SECONDS)

    async def answer(
        self, _ask: FleetCensusAsk, _remote: Hello
    ) -> FleetCensusReply:
        """Answer which VMs are out of touch with this one."""
        self._refresh()
        now = clock.boot()
        return FleetCensusReply(
            [
                SilentVm(vm_id, until - now)
                for vm_id, until in self._counts_until_by_vm.items()
                if not self._members.is_present(vm_id)
            ],
            self.has_share,
            [str(seed) for seed in sorted(self._seeds)],
        )

    def _should_ask(self) -> bool:
        """Return whether to ask for VMs that are out of touch."""
        if self.has_share and self._age() > 2 * self._settle_seconds:
            return False
        is_due = clock.boot() >= self._asked_at + _DISCOVERY_SECONDS
        return is_due and self._age() >= _DISCOVERY_SECONDS

    async def _ask_oldest(self) -> None:
        """Ask the oldest processes, and take the share if that is safe."""
        self._asked_at = clock.boot()
        oldest = sorted(self._peers.reachable(), key=_incarnation_of)
        others = [one.vm.id for one in oldest if one.vm.id != self._own_id()]
        replies = [
            await self._peers.ask(vm_id, FleetCensusAsk())
            for vm_id in others[:_MAX_VMS_ASKED]
        ]
        answers = [one for one in replies if isinstance(one, FleetCensusReply)]
        for answer in answers:
            self._include(answer.silent)
        if self.has_share or (others and not answers):
            return
        is_informed = any(answer.has_share for answer in answers)
        if not is_informed and not self._reaches_most_seeds(answers):
            return
        self.has_share = True
        note(
            logger,
            'this VM takes its share of budgets',
            vms=self.count(),
            present=len(self._members.present()),
            asked=len(replies),
            answered=len(answers),
            is_informed=is_informed,
            age=round(self._age(), 3),
        )

    def _age(self) -> float:
        """Return the seconds since this process started."""
        return clock.boot() - self._started_at

    def _reaches_most_seeds(self, answers: list[FleetCensusReply]) -> bool:
        """Return whether this VM reaches most seeds, of others too."""
        seeds = set(self._seeds)
        for answer in answers:
            seeds.update(map(VmId, answer.seeds))
        reached = [
            seed
            for seed in seeds
            if seed == self._own_id() or self._is_known(seed)
        ]
        return 2 * len(reached) > len(seeds) or not seeds

    def _is_known(self, vm_id: VmId) -> bool:
        """Return whether a VM is in touch, or its process has ended."""
        member = self._members.by_id.get(vm_id)
        if member is None or not member.incarnation:
            return False
        return member.is_present() or member.is_known_to_have_ended()

    def _include(self, silent: list[SilentVm]) -> None:
        now = clock.boot()
        for one in silent:
            if one.vm == self._own_id() or self._has_ended(one.vm):
                continue
            known = self._counts_until_by_vm.get(one.vm, 0)
            self._counts_until_by_vm[one.vm] = max(known, now + one.seconds)

    def _has_ended(self, vm_id: VmId) -> bool:
        member = self._members.by_id.get(vm_id)
        return member is not None and member.is_known_to_have_ended()

    def _refresh(self) -> None:
        now = clock.boot()
        self._refreshed_at = now
        untils = self._counts_until_by_vm
        for member in self._members.others():
            vm_id = member.vm.id
            if member.is_known_to_have_ended():
                until = now + self._settle_seconds
                untils[vm_id] = min(untils.get(vm_id, 0), until)
            elif _is_alive(member):
                untils[vm_id] = now + _SILENT_SECONDS
        self._counts_until_by_vm = {
            vm_id: until for vm_id, until in untils.items() if until > now
        }

    def _own_id(self) -> VmId:
        return self._members.own_id


def _is_alive(member: Member) -> bool:
    return member.state in {MemberState.ALIVE, MemberState.SUSPECT}


def _incarnation_of(member: Member) -> int:
    return member.incarnation
