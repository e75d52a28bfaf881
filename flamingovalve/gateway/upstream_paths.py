"""What this VM observes of its own network paths to upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any, Final

from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.gateway.model import Upstream
    from flamingovalve.generated.ids import ServiceId, UpstreamId, VmId

    UpstreamsOf = Callable[[ServiceId], list[Upstream]]

logger = get_logger(__name__)

# What is known of a removed upstream is kept for this long.
_IDLE_SECONDS: Final = 60.0


class PathFailure(Enum):
    """How the attempt to reach an upstream failed."""

    TIMED_OUT = 'timed_out'
    REFUSED = 'refused'
    RESET = 'reset'
    SILENT = 'silent'


@dataclass
class PathCounts:
    """Counters of the paths of this VM to upstreams.

    :ivar failures: attempts that did not reach an upstream
    :ivar fails: paths that have begun to fail
    :ivar bypassed: paths that failed while another VM reached the upstream
    :ivar restored: paths that worked again
    """

    failures: int = 0
    fails: int = 0
    bypassed: int = 0
    restored: int = 0


@dataclass(slots=True)
class UpstreamPath:
    """The path to one upstream.

    :ivar worked_at: when data was last received over it, or a connection
        opened, on the monotonic clock
    :ivar failed_since: first failure after that, on the monotonic clock;
        None while it works
    :ivar failures: failures since then
    :ivar failure: the latest of them
    :ivar is_bypassed: whether another VM reached the upstream meanwhile
    """

    upstream: Upstream
    worked_at: float = float('-inf')
    failed_since: float | None = None
    failures: int = 0
    failure: PathFailure = PathFailure.SILENT
    is_bypassed: bool = False


class UpstreamPaths:
    """The paths of this VM to the upstreams that it uses."""

    def __init__(self, upstreams_of: UpstreamsOf) -> None:
        """Start without observations.

        :param upstreams_of: returns the listed upstreams of a service
        """
        self.counts = PathCounts()
        self._upstreams_of = upstreams_of
        self._by_id: dict[UpstreamId, UpstreamPath] = {}
        self._unreachable: set[ServiceId] = set()

    def record_success(self, upstream: Upstream, opened_at: float) -> None:
        """Record that data arrived or a connection opened.

        :param opened_at: when the connection was opened, on the monotonic
            clock; an older one may live on while new ones are refused
        """
        path = self._of(upstream)
        path.worked_at = clock.now()
        if path.failed_since is None or opened_at < path.failed_since:
            return
        self.counts.restored += 1
        note(
            logger,
            'path to an upstream works again',
            upstream=upstream.id,
            service=upstream.service,
            failures=path.failures,
            seconds=round(clock.now() - path.failed_since, 3),
            was_bypassed=path.is_bypassed,
        )
        path.failed_since = None
        path.failures = 0
        path.is_bypassed = False
        self._update_service(upstream.service)

    def record_failure(self, upstream: Upstream, failure: PathFailure) -> None:
        """Record an attempt that did not reach an upstream."""
        path = self._of(upstream)
        self.counts.failures += 1
        path.failures += 1
        path.failure = failure
        if path.failed_since is not None:
            return
        path.failed_since = clock.now()
        self.counts.fails += 1
        note(
            logger,
            'path to an upstream fails',
            upstream=upstream.id,
            service=upstream.service,
            failure=failure.value,
            worked_before=_age(path.worked_at),
        )
        self._update_service(upstream.service)

    def record_bypass(self, upstream: Upstream, vm: VmId) -> None:
        """Record that the VM ``vm`` reached what this one did not."""
        path = self._of(upstream)
        path.is_bypassed = True
        self.counts.bypassed += 1
        note(
            logger,
            'path to an upstream is bypassed',
            upstream=upstream.id,
            service=upstream.service,
            through=vm,
            worked_before=_age(path.worked_at),
        )

    def is_failing(self, name: UpstreamId) -> bool:
        """Return whether the path to an upstream fails."""
        path = self._by_id.get(name)
        return path is not None and path.failed_since is not None

    def failure(self, name: UpstreamId) -> PathFailure | None:
        """Return how the path to an upstream fails; None while it works."""
        path = self._by_id.get(name)
        if path is None or path.failed_since is None:
            return None
        return path.failure

    def is_bypassed(self, name: UpstreamId) -> bool:
        """Return whether another VM reached an upstream that this one didn't."""
        path = self._by_id.get(name)
        return path is not None and path.is_bypassed

    def is_silent(self, name: UpstreamId) -> bool:
        """Return whether a bypassed path lets nothing through.

        Where new connections are refused or reset, open ones may live on.
        """
        path = self._by_id.get(name)
        if path is None or not path.is_bypassed:
            return False
        return path.failure in {PathFailure.SILENT, PathFailure.TIMED_OUT}

    def bypassed(self) -> list[Upstream]:
        """Return the upstreams whose path is bypassed."""
        return [
            path.upstream for path in self._by_id.values() if path.is_bypassed
        ]

    def is_cut_off(self, service: ServiceId) -> bool:
        """Return whether most upstreams of a service are bypassed."""
        upstreams = self._upstreams_of(service)
        bypassed = sum(self.is_bypassed(one.id) for one in upstreams)
        return bypassed > len(upstreams) / 2

    def worked_at(self, name: UpstreamId) -> float:
        """Return when the path to an upstream last worked.

        :returns: time on the monotonic clock; minus infinity for never
        """
        path = self._by_id.get(name)
        return path.worked_at if path else float('-inf')

    def failing(self) -> list[UpstreamPath]:
        """Return the paths that fail."""
        return [
            path
            for path in self._by_id.values()
            if path.failed_since is not None
        ]

    def unreachable_services(self) -> list[ServiceId]:
        """Return the services of which every upstream is unreachable."""
        return sorted(self._unreachable)

    def forget_removed(self) -> None:
        """Forget removed upstreams some time after they were last used."""
        oldest = clock.now() - _IDLE_SECONDS
        for name, path in list(self._by_id.items()):
            service = path.upstream.service
            listed = {one.id for one in self._upstreams_of(service)}
            if name not in listed and path.worked_at < oldest:
                del self._by_id[name]
                self._update_service(service)

    def state_dump(self) -> dict[str, Any]:
        """Return the paths that fail as JSON values."""
        return {
            path.upstream.id: {
                'failures': path.failures,
                'bypassed': path.is_bypassed,
                'worked_before': _age(path.worked_at),
            }
            for path in self.failing()
        }

    def _of(self, upstream: Upstream) -> UpstreamPath:
        path = self._by_id.get(upstream.id)
        if path is None:
            path = UpstreamPath(upstream)
            self._by_id[upstream.id] = path
        return path

    def _update_service(self, service: ServiceId) -> None:
        """Log when the last path of a service fails or the first returns."""
        upstreams = self._upstreams_of(service)
        failed = [one.id for one in upstreams if self.is_failing(one.id)]
        is_unreachable = bool(upstreams) and len(failed) == len(upstreams)
        if is_unreachable is (service in self._unreachable):
            return
        if is_unreachable:
            self._unreachable.add(service)
            event = 'this VM reaches no upstream of a service'
        else:
            self._unreachable.discard(service)
            event = 'this VM reaches upstreams of a service again'
        note(
            logger,
            event,
            service=service,
            failing=len(failed),
            upstreams=len(upstreams),
            worked_before={
                one.id: _age(self._of(one).worked_at) for one in upstreams
            },
        )


def failure_of(error: OSError) -> PathFailure:
    """Return the kind of failure of an attempt to connect."""
    if isinstance(error, ConnectionRefusedError):
        return PathFailure.REFUSED
    if isinstance(error, TimeoutError):
        return PathFailure.TIMED_OUT
    return PathFailure.RESET


def _age(since: float) -> float | None:
    """Return the seconds since a time; None if it has not come yet."""
    if since == float('-inf'):
        return None
    return round(clock.now() - since, 3)
