"""Finds the software version that began a stream, and holds it to that.

Addresses services whose upstreams have several software versions: a stream goes
on at another upstream only if that one has the version that began it, and the VM
at which its caller resumes it has mostly never seen it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway.model import RepeatPolicy
from flamingovalve.gateway.origin_keepers import OriginKeepers
from flamingovalve.gateway.stream_memory import StreamMemory
from flamingovalve.gateway.stream_origins import StreamOrigins
from flamingovalve.generated.messages import (
    StreamOrigin,
    StreamOriginAsk,
    StreamOriginReply,
    StreamOriginsNotice,
)
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note
from flamingovalve.util.rates import TokenBucket

if TYPE_CHECKING:
    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.follower import CatalogueFollower
    from flamingovalve.gateway.inbound import InboundRequest
    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.stream_origins import KnownOrigin
    from flamingovalve.generated.ids import ServiceId
    from flamingovalve.generated.messages import Hello
    from flamingovalve.membership.members import Member, MemberTable
    from flamingovalve.peer.client import PeerPool
    from flamingovalve.peer.connection import PeerConnection
    from flamingovalve.util.tasks import TaskSet

logger = get_logger(__name__)

# Origins for which a VM asks all others. A caller may name any attempt, and each
# takes a message to every VM.
_WIDE_ASKS_PER_SECOND: Final = 10.0
_WIDE_ASKS_BURST: Final = 40.0
_MAINTENANCE_SECONDS: Final = 0.5
# Documents of this age list nearly every version at which a stream can have begun
# and been broken off. A renewal may take half a second.
_FRESH_SECONDS: Final = 1.0
_MAX_AGE_SECONDS: Final = 1.5
_RETRY_SECONDS: Final = 0.3


@dataclass(slots=True)
class _Finding:
    """What was found out of the origin of a stream.

    :ivar source: how the version was found; empty if it was not
    :ivar vm: VM that knew it, if another one did
    :ivar asked: VMs that were asked
    :ivar replies: what they replied
    :ivar is_limited: whether not all were asked, as too many are at present
    """

    source: str = ''
    vm: str = ''
    asked: int = 0
    replies: list[StreamOriginReply] = field(default_factory=list)
    is_limited: bool = False

    def is_final(self) -> bool:
        """Return whether another try would find out no more."""
        return self.asked == len(self.replies) and not self.is_limited


class StreamVersions:
    """Records which version began which stream, and finds it again.

    While a service has had one version only for as long as a stream can be
    resumed, no VM is notified.
    """

    def __init__(
        self,
        members: MemberTable,
        peers: PeerPool,
        catalogue: Catalogue,
        follower: CatalogueFollower,
        background: TaskSet,
    ) -> None:
        """Tell and ask ``members`` through ``peers``.

        :param follower: keeps ``catalogue`` current
        :param background: runs the messages that nobody waits for
        """
        self.origins = StreamOrigins()
        self._keepers = OriginKeepers(members, peers, self.origins, background)
        self.counts = self._keepers.counts
        self._catalogue = catalogue
        self._follower = follower
        self._wide_asks = TokenBucket(_WIDE_ASKS_PER_SECOND, _WIDE_ASKS_BURST)
        self._memory = StreamMemory(catalogue)
        self._sole: set[ServiceId] = set()

    # -- Streams that begin

    async def record(
        self, request: InboundRequest, upstream: Upstream, born: int
    ) -> None:
        """Record that the first event of a stream has come from an upstream.

        :param born: start time of the upstream's process by its last report; 0
            if unknown
        """
        if request.origin is not None:
            return
        request.origin = StreamOrigin(
            request.id, upstream.service, upstream.software
        )
        if not upstream.is_process(born):
            # It has restarted, and its entry may name an older version.
            request.origin.known = False
            return
        known = self.origins.add(request.origin)
        if self._is_settled(upstream.service):
            return
        keepers = self._keepers.nearest(request.id)
        await self._keepers.notify_all(keepers, [known])
        note(
            logger,
            'stream began',
            id=request.id,
            upstream=upstream.id,
            software=upstream.software,
            notified=[member.vm.id for member in keepers],
        )

    # -- Streams that are resumed

    async def resolve(self, request: InboundRequest) -> None:
        """Find the origin of a stream that a caller resumes.

        Sets ``request.origin``; leaves it for a new stream.

        :raises ServingError: if the stream cannot be resumed
        """
        if not _is_return(request):
            return
        started_at = clock.now()
        finding = await self._find(request)
        origin = request.origin
        note(
            logger,
            'stream is resumed',
            id=request.id,
            resumed_id=request.resumed_id,
            resumed_after=request.resumed_after,
            software=origin.software if origin else None,
            service=origin.service if origin else None,
            source=finding.source or None,
            vm=finding.vm,
            asked=finding.asked,
            answered=len(finding.replies),
            seconds=round(clock.now() - started_at, 3),
        )
        if origin is None:
            self.counts.unknown += 1
            raise _unknown_version(
                None if finding.is_final() else _RETRY_SECONDS
            )
        if not self.may_resume(request):
            self.counts.gone += 1
            raise version_gone(origin.software)

    def may_resume(self, request: InboundRequest) -> bool:
        """Return whether some upstream may run a request next."""
        origin = request.origin
        if origin is None:
            return True
        if not origin.known or origin.service not in _services(request):
            return False
        upstreams = self._catalogue.upstreams(origin.service)
        return any(
            one.software == origin.software and one.id not in request.tried
            for one in upstreams
        )

    def allowed(
        self, request: InboundRequest, upstreams: list[Upstream]
    ) -> list[Upstream]:
        """Return the upstreams that may run a request."""
        origin = request.origin
        if origin is None:
            return upstreams
        return [one for one in upstreams if one.software == origin.software]

    async def _find(self, request: InboundRequest) -> _Finding:
        known = self.origins.find(request.resumed_id)
        if known is not None:
            request.origin = known.to_message()
            return _Finding('own')
        finding = _Finding()
        returned_at = clock.boot()
        nearest = self._keepers.nearest(request.resumed_id)
        await self._ask_members(request, nearest, finding)
        if request.origin is None:
            await self._settle_at_store(request, finding, returned_at)
        if request.origin is not None:
            return finding
        if self._wide_asks.take():
            self.counts.not_asked += 1
            finding.is_limited = True
            return finding
        reachable = self._keepers.reachable()
        others = [one for one in reachable if one not in nearest]
        await self._ask_members(request, others, finding)
        if request.origin is None:
            await self._settle_by_all(request, finding)
        return finding

    async def _ask_members(
        self,
        request: InboundRequest,
        members: list[Member],
        finding: _Finding,
    ) -> None:
        """Ask VMs at once, until one of them knows the origin.

        Sets ``request.origin`` if one does.
        """
        ask = StreamOriginAsk(request.resumed_id, _services(request)[0])
        finding.asked += len(members)
        self.counts.asked += bool(members)
        async with curio.TaskGroup(wait=None) as group:
            for member in members:
                await group.spawn(self._keepers.ask, member, ask)
            async for task in group:
                if task.result is None:
                    continue
                finding.replies.append(task.result)
                if task.result.origin.known:
                    self._learn(request, task.result, finding)
                    return

    def _learn(
        self,
        request: InboundRequest,
        reply: StreamOriginReply,
        finding: _Finding,
    ) -> None:
        request.origin = reply.origin
        self.origins.add(reply.origin)
        finding.source = 'vm'
        finding.vm = reply.vm

    async def _settle_at_store(
        self, request: InboundRequest, finding: _Finding, returned_at: float
    ) -> None:
        """Take the only version of a service for the origin, if that is sure.

        A version that began a stream had registered before the stream returned,
        so the store lists it.

        :param returned_at: when the stream was resumed, on the boot clock
        """
        if self._agreed(request, finding) is None:
            return
        if await self._follower.confirm_at_store(returned_at):
            self._settle(request, finding)

    async def _settle_by_all(
        self, request: InboundRequest, finding: _Finding
    ) -> None:
        """Do so without the store, if every VM that may have begun it agrees."""
        if len(finding.replies) < max(self._keepers.count_others(), 1):
            return
        if self._agreed(request, finding) is None:
            return
        confirmation = self._follower.confirmation
        if confirmation.age() > _FRESH_SECONDS:
            await self._follower.renew_confirmation(_FRESH_SECONDS)
        if confirmation.age() <= _MAX_AGE_SECONDS:
            self._settle(request, finding)

    def _settle(self, request: InboundRequest, finding: _Finding) -> None:
        software = self._agreed(request, finding)
        if software is None:
            return
        service = _services(request)[0]
        request.origin = StreamOrigin(request.resumed_id, service, software)
        finding.source = 'sole'

    def _agreed(self, request: InboundRequest, finding: _Finding) -> str | None:
        """Return the only version that this VM and others list; None for none.

        One of them must have listed it alone for longer than a stream can be
        resumed.
        """
        services = _services(request)
        service, replies = services[0], finding.replies
        own = self._catalogue.software.sole(service)
        if own is None or len(services) > 1:
            return None
        if any(_differs(reply, own.software) for reply in replies):
            return None
        seconds = [own.seconds, *(reply.sole_seconds for reply in replies)]
        is_long = max(seconds) >= self._memory.seconds(service)
        return own.software if is_long else None

    # -- Other VMs

    async def answer(
        self, ask: StreamOriginAsk, _hello: Hello
    ) -> StreamOriginReply:
        """Return what this VM knows of the origin of a stream."""
        known = self.origins.find(ask.request_id)
        reply = StreamOriginReply(self._keepers.own_id)
        reply.origin.known = known is not None
        if known is not None:
            reply.origin = known.to_message()
        sole = self._catalogue.software.sole(ask.service)
        if sole is not None:
            reply.is_sole = True
            reply.sole_software = sole.software
            reply.sole_seconds = sole.seconds
        return reply

    async def accept(
        self, notice: StreamOriginsNotice, connection: PeerConnection
    ) -> None:
        """Record the origins of which another VM notifies this one."""
        hello = connection.remote
        for origin in notice.origins:
            self.origins.add(origin, (hello.vm, hello.incarnation))

    async def maintain_forever(self) -> None:
        """Forget old origins, and notify keepers of the others."""
        while True:
            await curio.sleep(_MAINTENANCE_SECONDS)
            self._forget_old()
            await self.update()
            await self._keepers.replace_ended(self._is_kept)

    def _forget_old(self) -> None:
        now = clock.now()
        self.origins.forget(
            known
            for known in self.origins.all()
            if now - known.began_at > self._memory.seconds(known.service)
        )

    async def update(self) -> None:
        """Tell of streams that began before their service had a second version."""
        services = self._catalogue.configuration.services_by_name
        sole = {one for one in services if self._is_settled(one)}
        for service in self._sole - sole:
            origins = self.origins.of_service(service)
            await self._keepers.notify_missing(origins)
        self._sole = sole

    # -- Versions

    def _is_kept(self, known: KnownOrigin) -> bool:
        return not self._is_settled(known.service)

    def _is_settled(self, service: ServiceId) -> bool:
        """Return whether one version began every stream that is in progress."""
        sole = self._catalogue.software.sole(service)
        if sole is None:
            return False
        return sole.seconds >= self._memory.seconds(service)


def _is_return(request: InboundRequest) -> bool:
    if request.route.repeat is not RepeatPolicy.RESUMABLE:
        return False
    return bool(request.resumed_id) or request.resumed_after not in {'', '0'}


def _differs(reply: StreamOriginReply, software: str) -> bool:
    return not reply.is_sole or reply.sole_software != software


def _services(request: InboundRequest) -> list[ServiceId]:
    """Return the services that a route may send a request to."""
    shares = request.route.services
    return [one.service for one in shares if one.weight > 0]


def _unknown_version(retry_after: float | None) -> ServingError:
    return ServingError(
        ErrorKind.STREAM_NOT_RESUMABLE,
        'no VM that answers knows the software version that began the stream; '
        'begin it again',
        retry_after=retry_after,
    )


def version_gone(software: str) -> ServingError:
    """Return the error for a stream whose version has no upstream."""
    return ServingError(
        ErrorKind.STREAM_NOT_RESUMABLE,
        f'no upstream of version {software!r}, which began the stream, accepts '
        'requests; begin it again',
    )
