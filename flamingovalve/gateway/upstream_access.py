"""The components through which a VM sends requests to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingovalve.gateway.send_keeper import SendKeeper
from flamingovalve.gateway.send_limits import SendLimits
from flamingovalve.gateway.upstream_client import UpstreamClient
from flamingovalve.gateway.upstream_paths import UpstreamPaths
from flamingovalve.gateway.upstream_status import UpstreamStatuses

if TYPE_CHECKING:
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.keepers import KeeperClient
    from flamingovalve.gateway.relay import Wire
    from flamingovalve.http.client import ConnectionPool
    from flamingovalve.membership.members import MemberTable
    from flamingovalve.util.tasks import TaskSet


class UpstreamAccess:
    """The client of upstreams and what it keeps of their announcements."""

    def __init__(
        self,
        pool: ConnectionPool,
        wire: Wire,
        members: MemberTable,
        keepers: KeeperClient,
        background: TaskSet,
        catalogue: Catalogue,
    ) -> None:
        """Create a client that sends over connections of ``pool``.

        :param keepers: asks other VMs that keep rate limits
        """
        self.statuses = UpstreamStatuses()
        self.paths = UpstreamPaths(catalogue.upstreams)
        self.keeper = SendKeeper(members, self.statuses)
        self.limits = SendLimits(
            self.statuses, keepers, self.keeper, background
        )
        self.client = UpstreamClient(
            pool, wire.announcement, self.statuses, self.limits, self.paths
        )
