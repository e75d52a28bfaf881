"""Takes over what other VMs know of the ends of upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.generated.messages import EndsAsk, EndsReply
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    import random

    from flamingovalve.gateway.keepers import KeeperClient
    from flamingovalve.gateway.quarantine.quarantine import CrashQuarantine
    from flamingovalve.generated.ids import VmId
    from flamingovalve.generated.messages import Hello

logger = get_logger(__name__)

_MAX_VMS_ASKED: Final = 3
_START_POLL_SECONDS: Final = 0.02
# Repairs what rumours have missed, as during a partition.
_REPAIR_SECONDS: Final = 2.0


class Handover:
    """Asks other VMs for all ends at the start, then for those missed.

    :ivar is_done: whether a VM has answered since the start of this process
    """

    def __init__(
        self,
        quarantine: CrashQuarantine,
        peers: KeeperClient,
        rng: random.Random,
    ) -> None:
        """Hand over between ``quarantine`` and those of ``peers``."""
        self.is_done = False
        self._quarantine = quarantine
        self._peers = peers
        self._rng = rng

    async def maintain_forever(self) -> None:
        """Take over all ends, and compare them now and then."""
        while not self.is_done:
            for vm_id in self._others()[:_MAX_VMS_ASKED]:
                self.is_done |= await self._ask(vm_id, 0)
            await curio.sleep(_START_POLL_SECONDS)
        while True:
            await curio.sleep(_REPAIR_SECONDS)
            others = self._others()
            if others:
                digest = self._quarantine.reports.digest()
                await self._ask(self._rng.choice(others), digest)

    async def answer(self, ask: EndsAsk, _remote: Hello) -> EndsReply:
        """Answer what is known here; no ends if the asking VM has them."""
        reports = self._quarantine.reports
        ends = reports.all_rumours() if not ask.digest else []
        if ask.digest and ask.digest != reports.digest():
            ends = reports.repeated_rumours()
        return EndsReply(
            ends,
            self._quarantine.verdicts.refusals.records(),
            self._quarantine.knowledge.covered(),
        )

    def _others(self) -> list[VmId]:
        """Return the other VMs, those that have run for the longest first."""
        members = sorted(
            self._peers.reachable(), key=lambda member: member.incarnation
        )
        ids = [member.vm.id for member in members]
        return [vm_id for vm_id in ids if not self._peers.is_here(vm_id)]

    async def _ask(self, vm_id: VmId, digest: int) -> bool:
        """Ask a VM for its ends; return whether it has answered."""
        reply = await self._peers.ask(vm_id, EndsAsk(digest))
        if not isinstance(reply, EndsReply):
            return False
        self._quarantine.take_over(reply)
        if reply.ends:
            note(
                logger,
                'ends taken over from another VM',
                vm=vm_id,
                received=len(reply.ends),
                refusals=len(reply.refusals),
                **self._quarantine.knowledge.log_fields(),
            )
        return True
