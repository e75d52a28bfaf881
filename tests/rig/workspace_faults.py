"""Random faults on a site with API keys and a workspace quota."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tests.rig.site import QUOTA_OVERAGE, REVOKE_SECONDS
from tests.rig.site_faults import FaultySite

if TYPE_CHECKING:
    from collections.abc import Callable

RATE: Final = 40.0
BURST: Final = 40.0
WINDOW_SECONDS: Final = 8.0
# Excess that the largest workspaces of a deployment are allowed, in seconds of
# their rate.
_QUOTA_SLACK_SECONDS: Final = 0.75
_MAX_BATCH_SECONDS: Final = 2.0
_REQUEST_INTERVAL_SECONDS: Final = 0.01


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request sent by the workspace.

    :ivar sent_at: simulated time of sending, in seconds
    """

    id: str
    key: str
    sent_at: float


class FaultyWorkspaceSite(FaultySite):
    """A site under random faults, key revocations and excess load."""

    def __init__(self, seed: int) -> None:
        """Start the site and publish its workspace."""
        super().__init__(seed)
        self.sent: list[SentRequest] = []
        self.revoked_at_by_key: dict[str, float] = {}
        self._keys = [f'key-{number}' for number in range(40)]
        self._publish()
        self.advance(3)

    def faults(self) -> list[Callable[[], None]]:
        """Return the faults, with isolation at twice the weight."""
        return [
            self.cut_vms,
            self.isolate,
            self.isolate,
            self.heal,
            self.kill,
            self.start,
            self.pause,
            self.wake,
        ]

    def isolate(self) -> None:
        """Partition one VM from the other VMs and the store."""
        vm_ids = list(self.site.vms_by_id)
        vm_id = self.rng.choice(vm_ids)
        others = [other for other in vm_ids if other != vm_id]
        self.site.links.partition([vm_id], [*others, 'store'])

    def ask(self) -> None:
        """Send a batch of requests, some with revoked keys."""
        seconds = self.rng.uniform(0, _MAX_BATCH_SECONDS)
        for _request in range(int(seconds / _REQUEST_INTERVAL_SECONDS)):
            if self.running():
                self._send()
            self.advance(_REQUEST_INTERVAL_SECONDS)
        if self.rng.random() < 1 / 3:
            self.revoke_key()

    def revoke_key(self) -> None:
        """Revoke a random valid key."""
        valid_keys = [key for key in self._keys if not self._is_revoked(key)]
        key = self.rng.choice(valid_keys)
        self.revoked_at_by_key[key] = self.site.world.monotonic()
        self._publish()

    def find_violations(self) -> list[str]:
        """Describe each violation of the revocation bound or the quota."""
        executed_ids = {
            request_id
            for app in self.site.apps
            for request_id in app.runs_by_request
        }
        executed = [
            request for request in self.sent if request.id in executed_ids
        ]
        return [*self._late_runs(executed), *_excess_windows(executed)]

    def _late_runs(self, executed: list[SentRequest]) -> list[str]:
        violations = []
        for request in executed:
            revoked_at = self.revoked_at_by_key.get(request.key, float('inf'))
            delay = request.sent_at - revoked_at
            if delay > REVOKE_SECONDS:
                violations.append(
                    f'{request.id} ran, sent {delay:.2f} s after key revocation',
                )
        return violations

    def _send(self) -> None:
        candidates = [*self._keys[:10], *self.revoked_at_by_key]
        key = self.rng.choice(candidates)
        call = self.site.call('/reads/1', Api_Key=key)
        request_id = dict(call.headers)['Attempt-Id']
        sent_at = self.site.world.monotonic()
        self.sent.append(SentRequest(request_id, key, sent_at))
        self.site.begin(self.rng.choice(self.running()), call)

    def _publish(self) -> None:
        valid_keys = [key for key in self._keys if not self._is_revoked(key)]
        workspace = {
            'Name': 'ours',
            'ApiKeys': valid_keys,
            'RatePerS': RATE,
            'Burst': BURST,
        }
        self.site.publish(Tenants=[workspace])

    def _is_revoked(self, key: str) -> bool:
        return key in self.revoked_at_by_key


def _excess_windows(executed: list[SentRequest]) -> list[str]:
    quota = RATE * WINDOW_SECONDS + BURST
    allowed = quota * (1 + QUOTA_OVERAGE) + RATE * _QUOTA_SLACK_SECONDS
    first = max_count = 0
    for last, request in enumerate(executed):
        while executed[first].sent_at < request.sent_at - WINDOW_SECONDS:
            first += 1
        max_count = max(max_count, last - first + 1)
    if max_count > allowed:
        return [
            f'{max_count} requests ran in a window that allows {allowed:.0f}'
        ]
    return []
