"""The components that keep the share of this VM in the retry budget."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Self

from flamingovalve.gateway.fleet_census import FleetCensus
from flamingovalve.gateway.retries import FleetRetryBudget
from flamingovalve.gateway.retry_ledger import settle_seconds
from flamingovalve.gateway.retry_loans import RetryLoans
from flamingovalve.generated.messages import FleetCensusAsk, RetryLoanAsk

if TYPE_CHECKING:
    from flamingovalve.gateway.keepers import KeeperClient
    from flamingovalve.generated.ids import VmId
    from flamingovalve.generated.settings import Settings
    from flamingovalve.membership.members import MemberTable
    from flamingovalve.peer.server import PeerServer


class RetryAccess:
    """The retry budget, and what other VMs know and lend of it."""

    def __init__(
        self,
        budget: FleetRetryBudget,
        census: FleetCensus,
        loans: RetryLoans,
    ) -> None:
        """Bundle the components."""
        self.budget = budget
        self.census = census
        self._loans = loans

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        members: MemberTable,
        peers: KeeperClient,
        seeds: list[VmId],
        started_at: float,
    ) -> Self:
        """Create the components from the settings of the VM.

        :param peers: a client for loans alone, as it skips VMs that are too
            slow for them
        :param seeds: VMs that the settings of all VMs name
        :param started_at: start of this process, on the monotonic clock
        """
        gateway = settings.gateway
        census = FleetCensus(
            members, peers, seeds, settle_seconds(gateway), started_at
        )
        own = f'loans {settings.vm.id} {members.own_incarnation}'
        loans = RetryLoans(peers, random.Random(own), settings.vm.id)
        return cls(FleetRetryBudget(gateway, census, loans), census, loans)

    def serve_peers(self, server: PeerServer) -> None:
        """Answer the messages of other VMs about the budget."""
        server.on_ask(RetryLoanAsk, self.budget.lend)
        server.on_ask(FleetCensusAsk, self.census.answer)

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {
            'members_counted': self.census.count(),
            'retry_share': self.census.share(),
            'retry_credit_borrowed': self._loans.borrowed,
        }
