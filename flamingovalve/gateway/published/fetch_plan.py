"""Chooses the VM that is asked for documents that another VM announces."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.gateway.published.coverage import NOTHING_KNOWN
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.published.coverage import Coverage
    from flamingovalve.generated.ids import VmId
    from flamingovalve.generated.messages import CatalogueRumour

# A VM that has not replied by then may be down; another is asked as well.
_SECOND_FETCH_SECONDS: Final = 0.4
# Time in which the VMs that watch the store receive what a VM that has just
# read it announces.
_WATCHERS_BEHIND_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class _PendingFetch:
    """A pending request for documents to another VM.

    :ivar revision: newest revision that the VM has announced
    :ivar since: when the request was started, on the monotonic clock
    """

    revision: int
    since: float


class FetchPlan:
    """Decides whether an announcement calls for a request, and to which VM.

    A VM that has just read the store lacks the tombstones of what was deleted
    before. Its reply has to list all keys, so a VM that watches the store is
    asked in its place, as long as the watching VMs keep up.
    """

    def __init__(
        self,
        coverage: Coverage,
        other_watchers: Callable[[], list[VmId]],
    ) -> None:
        """Compare announcements with ``coverage``.

        :param other_watchers: returns the other VMs that watch the store
        """
        self._coverage = coverage
        self._other_watchers = other_watchers
        self._pending_by_vm: dict[VmId, _PendingFetch] = {}
        self._behind_since: dict[VmId, float] = {}

    def begin(self, rumour: CatalogueRumour) -> VmId | None:
        """Return the VM to ask now; None if no request is needed.

        The request counts as pending until :meth:`finish`.
        """
        if rumour.revision <= self._coverage.known_up_to:
            self._behind_since.pop(rumour.vm, None)
            return None
        source = self._source_of(rumour)
        if self._is_pending(source, rumour.revision):
            return None
        # Recorded before the request is sent: a dozen VMs announce the same
        # revision within milliseconds, and each would be asked for it.
        self._pending_by_vm[source] = _PendingFetch(
            rumour.revision, clock.now()
        )
        return source

    def finish(self, vm: VmId) -> None:
        """Record that the request to a VM has ended."""
        self._pending_by_vm.pop(vm, None)

    def _source_of(self, rumour: CatalogueRumour) -> VmId:
        known_up_to = self._coverage.known_up_to
        if known_up_to == NOTHING_KNOWN:
            return rumour.vm
        if rumour.removals_since <= known_up_to:
            return rumour.vm
        now = clock.now()
        behind_since = self._behind_since.setdefault(rumour.vm, now)
        is_overdue = now >= behind_since + _WATCHERS_BEHIND_SECONDS
        watchers = self._other_watchers()
        if is_overdue or rumour.vm in watchers:
            return rumour.vm
        idle = (vm for vm in watchers if vm not in self._pending_by_vm)
        return next(idle, rumour.vm)

    def _is_pending(self, source: VmId, revision: int) -> bool:
        if source in self._pending_by_vm:
            return True
        recent = clock.now() - _SECOND_FETCH_SECONDS
        return any(
            pending.revision >= revision and pending.since > recent
            for pending in self._pending_by_vm.values()
        )
