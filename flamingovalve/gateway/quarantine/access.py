"""The quarantine of a gateway daemon, connected to its other parts."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Self

from flamingovalve.gateway.quarantine.handover import Handover
from flamingovalve.gateway.quarantine.quarantine import CrashQuarantine
from flamingovalve.generated.messages import EndsAsk
from flamingovalve.membership.members import heard_count, sees_majority

if TYPE_CHECKING:
    import random

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.keepers import KeeperClient
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.upstream_access import UpstreamAccess
    from flamingovalve.generated.settings import Settings
    from flamingovalve.membership.members import MemberTable
    from flamingovalve.peer.server import PeerServer


class QuarantineAccess:
    """The quarantine, and how it takes over what other VMs know.

    :ivar quarantine: refuses requests that crash upstreams
    :ivar handover: takes over the ends that other VMs know
    """

    def __init__(self, quarantine: CrashQuarantine, handover: Handover) -> None:
        """Bundle the components."""
        self.quarantine = quarantine
        self.handover = handover

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        members: MemberTable,
        catalogue: Catalogue,
        upstreams: UpstreamAccess,
        peers: KeeperClient,
        rng: random.Random,
    ) -> Self:
        """Create the components from the settings of the VM.

        :param peers: a client for the handover alone
        """
        quarantine = CrashQuarantine(
            settings.relay.quarantine_seconds,
            upstreams.ends.find,
            upstreams.paths.worked_at,
            lambda cause: (
                members.has_quorum() and members.ranks_first(f'probe {cause}')
            ),
            functools.partial(heard_count, members),
            functools.partial(sees_majority, members),
            functools.partial(_all_upstreams, catalogue),
        )
        return cls(quarantine, Handover(quarantine, peers, rng))

    def serve_peers(self, server: PeerServer) -> None:
        """Answer what this VM knows of ends."""
        server.on_ask(EndsAsk, self.handover.answer)


def _all_upstreams(catalogue: Catalogue) -> list[Upstream]:
    """Return the upstreams of all services that take requests."""
    services = catalogue.configuration.services_by_name
    return [one for name in services for one in catalogue.upstreams(name)]
