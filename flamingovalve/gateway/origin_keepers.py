"""Tells other VMs of the origins of streams, and asks them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.generated.ids import VmId
from flamingovalve.generated.messages import (
    MemberState,
    StreamOriginReply,
    StreamOriginsNotice,
)
from flamingovalve.peer.client import UNANSWERED
from flamingovalve.util import hashing
from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from flamingovalve.gateway.stream_origins import (
        KnownOrigin,
        Process,
        StreamOrigins,
    )
    from flamingovalve.generated.messages import StreamOriginAsk
    from flamingovalve.membership.members import Member, MemberTable
    from flamingovalve.peer.client import PeerPool
    from flamingovalve.util.tasks import TaskSet

logger = get_logger(__name__)

# VMs that are notified of a stream, beside the one that began it, and those from
# which they are taken.
_KEEPERS: Final = 3
_RANKED: Final = 9
# A few exchanges between failure domains.
_ASK_SECONDS: Final = 0.12
_TELL_SECONDS: Final = 0.5
# Origins that are handled without a pause for other tasks.
_SLICE: Final = 50


@dataclass
class StreamVersionCounts:
    """Counters of the origins of streams.

    :ivar notified: messages with origins sent to other VMs
    :ivar asked: origins that other VMs were asked for
    :ivar not_asked: origins that not all VMs were asked for, as too many were
    :ivar unknown: streams refused because no VM knew their version
    :ivar gone: streams refused because their version had no upstream
    """

    notified: int = 0
    asked: int = 0
    not_asked: int = 0
    unknown: int = 0
    gone: int = 0


class OriginKeepers:
    """The VMs that keep the origins of streams, by the hash of their attempt.

    The VM that notified others notifies those that take their place, and they do so
    once that VM has ended.
    """

    def __init__(
        self,
        members: MemberTable,
        peers: PeerPool,
        origins: StreamOrigins,
        background: TaskSet,
    ) -> None:
        """Tell and ask ``members`` through ``peers``.

        :param origins: origins that this VM knows
        :param background: runs the messages that nobody waits for
        """
        self.counts = StreamVersionCounts()
        self.own_id = members.own_id
        self._members = members
        self._peers = peers
        self._origins = origins
        self._background = background
        self._processes: frozenset[Process] = frozenset()

    def reachable(self) -> list[Member]:
        """Return the other VMs that answer directly."""
        return [
            member
            for member in self._members.present()
            if member.direct
            and member.state is MemberState.ALIVE
            and member.vm.id != self._members.own_id
        ]

    def count_others(self) -> int:
        """Return the number of other VMs that may run, silent or not."""
        return self._members.possible_count() - 1

    def nearest(self, name: str) -> list[Member]:
        """Return the other VMs that keep the origin of an attempt."""
        by_id = {member.vm.id: member for member in self.reachable()}
        ranked = hashing.first(f'stream {name}', by_id, _RANKED)
        return _spread([by_id[VmId(vm_id)] for vm_id in ranked])[:_KEEPERS]

    async def ask(
        self, member: Member, ask: StreamOriginAsk
    ) -> StreamOriginReply | None:
        """Return the reply of a VM; None if there is none in time."""
        try:
            async with curio.timeout_after(_ASK_SECONDS):
                _process, reply = await self._peers.ask(
                    member.vm.peer_address, member.vm.id, ask, _ASK_SECONDS
                )
        except UNANSWERED as error:
            logger.info('{} did not answer: {!r}', member.vm.id, error)
            return None
        return reply if isinstance(reply, StreamOriginReply) else None

    async def notify_all(
        self, members: list[Member], origins: list[KnownOrigin]
    ) -> None:
        """Tell VMs of origins, without waiting for them."""
        message = StreamOriginsNotice([one.to_message() for one in origins])
        for member in members:
            process = (member.vm.id, member.incarnation)
            for known in origins:
                known.notified.add(process)
            self.counts.notified += 1
            await self._background.spawn(self._notify, member, message, origins)

    async def notify_missing(self, origins: Iterable[KnownOrigin]) -> None:
        """Notify the keepers of origins that they do not know yet."""
        by_keeper: dict[VmId, list[KnownOrigin]] = {}
        for number, known in enumerate(origins):
            if number % _SLICE == _SLICE - 1:
                await curio.sleep(0)
            for member in self.nearest(known.request_id):
                if (member.vm.id, member.incarnation) not in known.notified:
                    by_keeper.setdefault(member.vm.id, []).append(known)
        for vm, missing in by_keeper.items():
            keeper = self._members.by_id.get(vm)
            if keeper is not None:
                await self.notify_all([keeper], missing)

    async def replace_ended(
        self, is_kept: Callable[[KnownOrigin], bool]
    ) -> None:
        """Tell the VMs that take the place of those that ended or restarted.

        :param is_kept: returns whether other VMs keep an origin
        """
        processes = frozenset(
            (member.vm.id, member.incarnation)
            for member in self._members.present()
        )
        if processes == self._processes:
            return
        self._processes = processes
        await self.notify_missing(
            known
            for known in self._origins.all()
            if _lacks_keepers(known, processes) and is_kept(known)
        )

    async def _notify(
        self,
        member: Member,
        message: StreamOriginsNotice,
        origins: list[KnownOrigin],
    ) -> None:
        process = (member.vm.id, member.incarnation)
        try:
            async with curio.timeout_after(_TELL_SECONDS):
                await self._peers.notify(
                    member.vm.peer_address, member.vm.id, message
                )
        except UNANSWERED as error:
            logger.info('{} was not notified: {!r}', member.vm.id, error)
            for known in origins:
                known.notified.discard(process)
            # The next round tries again, or finds another VM.
            self._processes = frozenset()


def _spread(ranked: list[Member]) -> list[Member]:
    """Move the first VM of each failure domain to the front.

    A failure domain that is lost takes all of its VMs with it.
    """
    firsts: dict[str, Member] = {}
    for member in ranked:
        firsts.setdefault(member.vm.failure_domain, member)
    front = list(firsts.values())
    return [*front, *(one for one in ranked if one not in front)]


def _lacks_keepers(known: KnownOrigin, processes: frozenset[Process]) -> bool:
    """Return whether this VM should notify others of an origin."""
    if known.source in processes:
        return False
    return len(known.notified & processes) < _KEEPERS
