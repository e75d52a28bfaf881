"""Grants credit for the workspaces whose quota this VM keeps."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.credit import CreditBucket
from flamingovalve.generated.messages import CreditReply
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.model import Quota
    from flamingovalve.generated.ids import WorkspaceId
    from flamingovalve.generated.messages import CreditAsk, Hello
    from flamingovalve.membership.members import MemberTable

# After this long without requests for credit, another VM may have been the
# keeper in between.
_IDLE_SECONDS: Final = 2.0
# For this long after an idle period, requests for credit cap the balance by
# their ``most_left``.
_HANDOVER_SECONDS: Final = 1.0


@dataclass(slots=True)
class _BucketEntry:
    """A bucket and the times of requests for its credit.

    :ivar active_since: first request for credit after the last idle period
    :ivar last_asked_at: most recent request for credit
    """

    bucket: CreditBucket
    active_since: float
    last_asked_at: float


class QuotaKeeper:
    """Holds the credit bucket of each workspace whose quota this VM keeps.

    In a partitioned fleet, each partition has its own keeper. The one that
    sees a majority of the VMs grants the whole rate, and the others only a
    part of the allowed overage.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        members: MemberTable,
        started_at: float,
        overage: float,
    ) -> None:
        """Grant credit by the quotas in ``catalogue``.

        :param started_at: start of this process, on the monotonic clock;
            credit accrues from then on, as earlier grants are unknown
        :param overage: fraction by which a partitioned fleet may exceed a
            quota
        """
        self._catalogue = catalogue
        self._members = members
        self._started_at = started_at
        self._overage = overage
        self._entries_by_workspace: dict[WorkspaceId, _BucketEntry] = {}

    async def answer(self, ask: CreditAsk, _remote: Hello) -> CreditReply:
        """Answer a request for credit from another VM."""
        return self.take(ask)

    def take(self, ask: CreditAsk) -> CreditReply:
        """Grant credit or a wait, which is infinite if the quota is unknown."""
        quota = self._catalogue.configuration.quota_of(ask.workspace)
        if quota is None:
            return CreditReply(float('inf'), 0)
        bucket = self._refreshed_bucket(ask, quota)
        share = rate_share(self._members, self._overage)
        wait = bucket.take(ask.wanted, share)
        return CreditReply(wait, bucket.balance)

    def state_dump(self) -> dict[str, float]:
        """Return the balance of each workspace."""
        return {
            name: round(entry.bucket.balance)
            for name, entry in self._entries_by_workspace.items()
        }

    def _refreshed_bucket(self, ask: CreditAsk, quota: Quota) -> CreditBucket:
        now = clock.now()
        entry = self._entries_by_workspace.get(ask.workspace)
        if entry is None:
            bucket = CreditBucket(quota, self._started_at)
            entry = _BucketEntry(bucket, now, now)
            self._entries_by_workspace[ask.workspace] = entry
        if now > entry.last_asked_at + _IDLE_SECONDS:
            entry.active_since = now
        entry.last_asked_at = now
        bucket = entry.bucket
        bucket.update_quota(quota)
        bucket.give_back(ask.unused)
        if now <= entry.active_since + _HANDOVER_SECONDS:
            bucket.cap(ask.most_left)
        return bucket


def rate_share(members: MemberTable, overage: float) -> float:
    """Return the fraction of a rate that a keeper on this VM may grant.

    Partitions without a majority hold at most half of the VMs, so together
    they grant at most half of the overage. The rest covers the time until a
    partition is detected.
    """
    if members.has_quorum():
        return 1
    return members.visible_share() * overage
