"""SWIM-style membership over UDP.

Each VM probes one other a period, asks a few others to probe for it when no
answer comes, and piggybacks news on those messages. Cost per VM is constant
whatever the fleet's size.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

import capnp
import curio

from flamingovalve.generated import messages
from flamingovalve.generated.messages import (
    Ack,
    Datagram,
    MemberRumour,
    MemberState,
    Ping,
    PingRequest,
)
from flamingovalve.membership.push import EagerPush
from flamingovalve.membership.rumours import RumourQueue
from flamingovalve.util import clock, hashing
from flamingovalve.util.authentication import Keyring, ReplayWindow
from flamingovalve.util.listeners import split_address
from flamingovalve.util.logs import get_logger
from flamingovalve.util.rates import jittered
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Iterable

    from curio.io import Socket

    from flamingovalve.generated.ids import Incarnation, VmId
    from flamingovalve.generated.settings import FleetSettings
    from flamingovalve.membership.members import Member, MemberTable
    from flamingovalve.util.network import Network

logger = get_logger(__name__)

_RUMOURS_PER_DATAGRAM = 8
_RUMOURS_PER_WELCOME = 24
_DATAGRAM_BYTES = 65536
# Members that each probe names, so that lost news of one comes again.
_STANDING_MEMBERS = 2
# VMs that tell a newcomer who else there is; one may be gone and one slow.
_WELCOMING_VMS = 3
_REVIVAL_SHARE = 0.1
_LATE_FACTOR = 2


class News(Enum):
    """How a rumour that was heard travels on."""

    NONE = 'none'
    ORDINARY = 'ordinary'
    URGENT = 'urgent'


@dataclass
class GossipCounts:
    """What the membership protocol has seen since it started."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    forged: int = 0
    garbled: int = 0
    replayed: int = 0
    suspicions: int = 0
    refuted: int = 0
    late_wakeups: int = 0


class Gossip:
    """Probes other VMs and spreads news among them."""

    def __init__(
        self,
        network: Network,
        members: MemberTable,
        settings: FleetSettings,
        chance: random.Random,
    ) -> None:
        """Keep ``members`` up to date."""
        self.members = members
        self.counts = GossipCounts()
        self.rumours = RumourQueue()
        self.late_listeners: list[Callable[[], None]] = []
        self.rumour_listener: Callable[[Any], Awaitable[News]] = _no_news
        self.standing_rumours: Callable[[], list[Any]] = list
        self._network = network
        self._settings = settings
        self._keyring = Keyring.from_settings(settings)
        self._chance = chance
        self._socket: Socket | None = None
        self._probes = TaskSet()
        self._sequence = 0
        self._probe = 0
        self._acked: dict[int, curio.Event] = {}
        self._order: list[VmId] = []
        self._hurried: set[VmId] = set()
        self._eager = EagerPush(members, chance, self._push_to)
        self._windows: dict[VmId, tuple[Incarnation, ReplayWindow]] = {}

    def open(self, address: str) -> None:
        """Bind the datagram socket."""
        self._socket = self._network.datagrams(address)

    async def close(self) -> None:
        """Close the datagram socket."""
        await self._probes.cancel()
        await self._eager.close()
        if self._socket is not None:
            await self._network.discard(self._socket)
            self._socket = None

    async def receive_forever(self) -> None:
        """Handle datagrams until cancelled."""
        assert self._socket is not None
        while True:
            try:
                sealed, _origin = await self._socket.recvfrom(_DATAGRAM_BYTES)
            except OSError:
                # A datagram we sent to a closed port comes back as an error
                # on the next receive; it says nothing about this socket.
                continue
            await self._receive(sealed)

    async def probe_forever(self) -> None:
        """Probe one VM a period until cancelled."""
        await self.push(self.members.own_rumour())
        while True:
            period = self._settings.probe_seconds
            pause = jittered(self._chance, period)
            planned = clock.now() + pause
            await curio.sleep(pause)
            self._notice_late_wakeup(planned)
            self._expire_suspicions()
            target = self._next_target()
            if target is not None:
                await self._probes.spawn(self._probe_one, target)

    async def probe_now(self, vm: VmId | None) -> None:
        """Probe a VM that somebody found silent, without waiting its turn."""
        if vm is None or vm in self._hurried or vm == self.members.own_id:
            return
        member = self.members.by_id.get(vm)
        if member is not None:
            await self._probes.spawn(self._probe_hurried, member)

    async def _probe_hurried(self, member: Member) -> None:
        self._hurried.add(member.vm.id)
        try:
            if await self._has_ended(member):
                await self._declare_ended(member)
            else:
                await self._probe_one(member)
        finally:
            self._hurried.discard(member.vm.id)

    async def push(self, rumour: Any) -> None:
        """Tell ``rumour`` at once to a few VMs, and to the rest in time.

        Members come and go many at a time, and their news can wait for a
        moment. Other news cannot: told 20 ms later a hop, that a request
        crashes engines came too late for a third of them.
        """
        self.rumours.add(rumour)
        if isinstance(rumour, MemberRumour):
            await self._eager.push_soon()
        else:
            await self._eager.push_now()

    async def _push_to(self, member: Member) -> None:
        await self._send(member, _ping(self.members.own_id, member, 0))

    def _notice_late_wakeup(self, planned: float) -> None:
        # A process that was paused still believes what was true before it.
        # Everyone may have been silent only because we were not there.
        late = clock.now() - planned
        if late < self._settings.probe_seconds * _LATE_FACTOR:
            return
        self.counts.late_wakeups += 1
        logger.warning('this process was not running for {:.1f} s', late)
        for member in self.members.others():
            if member.state is MemberState.SUSPECT:
                member.changed_at = clock.now()
        for listener in self.late_listeners:
            listener()

    def _next_target(self) -> Member | None:
        # A VM counted as dead is still tried now and then: after a partition
        # heals, nobody else would speak first.
        dead = [
            member
            for member in self.members.others()
            if member.state is MemberState.DEAD
        ]
        if dead and self._chance.random() < _REVIVAL_SHARE:
            return self._chance.choice(dead)
        while self._order:
            member = self.members.by_id.get(self._order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member
        self._order = [member.vm.id for member in self.members.others()]
        self._chance.shuffle(self._order)
        if len(dead) < len(self._order):
            return self._next_target()
        return self._chance.choice(dead) if dead else None

    async def _probe_one(self, target: Member) -> None:
        self._probe += 1
        number = self._probe
        answered = curio.Event()
        self._acked[number] = answered
        try:
            await self._probe_stages(target, number, answered)
        finally:
            self._acked.pop(number, None)

    async def _probe_stages(
        self,
        target: Member,
        number: int,
        answered: curio.Event,
    ) -> None:
        settings = self._settings
        await self._send(target, _ping(self.members.own_id, target, number))
        if await _is_set(answered, settings.ack_seconds):
            target.direct = True
            return
        for helper in self._helpers(target):
            await self._send(helper, PingRequest(target.vm.id, number))
        if await self._has_ended(target):
            await self._declare_ended(target)
            return
        rest = settings.probe_seconds - settings.ack_seconds
        if await _is_set(answered, max(rest, settings.ack_seconds)):
            # Others reach it and we do not: the path is broken, not the VM.
            target.direct = False
            return
        await self._suspect(target)

    async def _has_ended(self, target: Member) -> bool:
        address = target.vm.peer_address
        return await self._network.refuses(address, self._settings.ack_seconds)

    async def _verify_end(self, vm: VmId) -> None:
        """See for ourselves whether a VM said to be dead has ended.

        Whoever takes over its engines need not wait for a process that is
        provably gone; hearsay is no proof.
        """
        member = self.members.by_id.get(vm)
        if member is None:
            return
        incarnation = member.incarnation
        if await self._has_ended(member):
            member.note_end(incarnation)

    async def _declare_ended(self, target: Member) -> None:
        target.note_end(target.incarnation)
        if target.state is not MemberState.DEAD:
            self.members.change(target, MemberState.DEAD)
            await self.push(self.members.rumour_of(target))

    def _helpers(self, target: Member) -> list[Member]:
        candidates = [
            member
            for member in self.members.others()
            if member is not target and member.state is MemberState.ALIVE
        ]
        self._chance.shuffle(candidates)
        # One helper of each failure domain before a second of any: helpers
        # behind the same broken switch would all report the same silence.
        candidates.sort(key=_RoundRobin())
        return candidates[: self._settings.indirect_probes]

    async def _suspect(self, target: Member) -> None:
        if target.state is not MemberState.ALIVE:
            return
        self.counts.suspicions += 1
        self.members.change(target, MemberState.SUSPECT)
        await self.push(self.members.rumour_of(target))

    def _expire_suspicions(self) -> None:
        oldest = clock.now() - self._settings.suspicion_seconds
        for member in self.members.others():
            if member.state is not MemberState.SUSPECT:
                continue
            if member.changed_at <= oldest:
                self.members.change(member, MemberState.DEAD)
                self.rumours.add(self.members.rumour_of(member))

    async def _receive(self, sealed: bytes) -> None:
        self.counts.received += 1
        self.counts.received_bytes += len(sealed)
        content = self._keyring.open(sealed)
        if content is None:
            self.counts.forged += 1
            return
        try:
            datagram = messages.decode_datagram(content)
        except (capnp.KjException, ValueError):
            self.counts.garbled += 1
            return
        if not self._is_fresh(datagram):
            self.counts.replayed += 1
            return
        await self._heard(datagram)
        for rumour in datagram.rumours:
            await self._take(rumour)
        await self._answer(datagram.content, datagram.sender)

    def _is_fresh(self, datagram: Datagram) -> bool:
        known = self._windows.get(datagram.sender)
        if known is None or datagram.incarnation > known[0]:
            known = (datagram.incarnation, ReplayWindow())
            self._windows[datagram.sender] = known
        if datagram.incarnation < known[0]:
            return False
        return known[1].accept(datagram.sequence)

    async def _heard(self, datagram: Datagram) -> None:
        member = self.members.by_id.get(datagram.sender)
        if member is None:
            return
        member.heard_at = clock.now()
        if datagram.incarnation > member.incarnation:
            # A process that was restarted speaks for the first time. Whoever
            # hears it first tells the others, and tells it who they are.
            rumour = self.members.rumour_of(member)
            rumour.incarnation = datagram.incarnation
            rumour.counter = 0
            rumour.state = MemberState.ALIVE
            await self._take_member(rumour)
        if member.state is MemberState.DEAD:
            # It speaks but does not know that it was declared dead: tell
            # it, so that it can refute with a higher counter.
            self.rumours.add(self.members.rumour_of(member))

    async def _take(self, rumour: Any) -> None:
        if isinstance(rumour, MemberRumour):
            await self._take_member(rumour)
            return
        news = await self.rumour_listener(rumour)
        if news is News.URGENT:
            await self.push(rumour)
        elif news is News.ORDINARY:
            self.rumours.add(rumour)

    async def _take_member(self, rumour: MemberRumour) -> None:
        if rumour.vm == self.members.own_id:
            if self.members.refute(rumour):
                self.counts.refuted += 1
                await self.push(self.members.own_rumour())
            return
        known = self.members.by_id.get(rumour.vm)
        process = known.incarnation if known else None
        if self.members.apply(rumour):
            await self.push(rumour)
            if process != rumour.incarnation:
                await self._welcome(rumour.vm)
            if rumour.state is MemberState.DEAD:
                await self._probes.spawn(self._verify_end, rumour.vm)

    async def _welcome(self, vm: VmId) -> None:
        """Tell a process that has just joined who else there is.

        News is piggybacked only while it is new, so a newcomer would hear
        of each old member at that member's next change, perhaps never. With
        what it then takes for a quorum it would claim what others own. A few
        VMs do it, the same ones in everybody's eyes: told by each of a large
        fleet, a newcomer would read hundreds of datagrams before its first
        request.
        """
        newcomer = self.members.by_id.get(vm)
        if newcomer is None or self.members.own_vm is None:
            return
        names = [name for name in self.members.present_ids() if name != vm]
        chosen = hashing.first(f'welcome {vm}', names, _WELCOMING_VMS)
        if self.members.own_id not in chosen:
            return
        rumours = [
            self.members.rumour_of(member)
            for member in self.members.others()
            if member is not newcomer and member.state is MemberState.ALIVE
        ]
        for begin in range(0, len(rumours), _RUMOURS_PER_WELCOME):
            part = rumours[begin : begin + _RUMOURS_PER_WELCOME]
            await self._send(
                newcomer, _ping(self.members.own_id, newcomer, 0), part
            )

    @singledispatchmethod
    async def _answer(self, content: Any, sender: VmId) -> None:
        raise TypeError(f'{type(content).__name__} is not a datagram')

    @_answer.register(Ping)
    async def _answer_ping(self, content: Ping, sender: VmId) -> None:
        if content.target != self.members.own_id or not content.probe:
            return
        member = self.members.by_id.get(sender)
        if member is not None:
            ack = Ack(content.target, content.origin, content.probe)
            await self._send(member, ack)

    @_answer.register(Ack)
    async def _answer_ack(self, content: Ack, sender: VmId) -> None:
        if content.origin != self.members.own_id:
            origin = self.members.by_id.get(content.origin)
            if origin is not None:
                await self._send(origin, content)
            return
        answered = self._acked.get(content.probe)
        if answered is not None:
            await answered.set()

    @_answer.register(PingRequest)
    async def _answer_request(
        self,
        content: PingRequest,
        sender: VmId,
    ) -> None:
        target = self.members.by_id.get(content.target)
        if target is not None:
            ping = Ping(content.target, sender, content.probe)
            await self._send(target, ping)

    async def _send(
        self,
        target: Member,
        content: Any,
        more: Iterable[Any] = (),
    ) -> None:
        if self._socket is None:
            return
        self._sequence += 1
        count = max(len(self.members.by_id), 1)
        rumours = self.rumours.take(_RUMOURS_PER_DATAGRAM, count)
        rumours.extend(more)
        if isinstance(content, Ping) and content.probe:
            # News that was missed, as in a partition, is met again here.
            rumours.extend(self.standing_rumours())
            if self.members.own_vm is not None:
                # Whoever does not know us yet can only answer after this.
                rumours.append(self.members.own_rumour())
                rumours.extend(
                    self.members.some_rumours(self._chance, _STANDING_MEMBERS),
                )
        if target.state is not MemberState.ALIVE:
            # It must hear what is said of it, or it cannot refute it.
            rumours.append(self.members.rumour_of(target))
        datagram = Datagram(
            self.members.own_id,
            self.members.own_incarnation,
            self._sequence,
            rumours,
            content,
        )
        sealed = self._keyring.seal(messages.encode_datagram(datagram))
        self.counts.sent += 1
        self.counts.sent_bytes += len(sealed)
        try:
            address = split_address(target.vm.peer_address)
            await self._socket.sendto(sealed, address)
        except OSError as failed:
            logger.debug('no datagram to {}: {}', target.vm.id, failed)


class _RoundRobin:
    """Sort key that spreads members over failure domains."""

    def __init__(self) -> None:
        self._taken: dict[str, int] = {}

    def __call__(self, member: Member) -> int:
        domain = member.vm.failure_domain
        self._taken[domain] = self._taken.get(domain, 0) + 1
        return self._taken[domain]


def _ping(origin: VmId, target: Member, number: int) -> Ping:
    return Ping(target.vm.id, origin, number)


async def _is_set(event: curio.Event, seconds: float) -> bool:
    async with curio.ignore_after(seconds):
        await event.wait()
        return True
    return False


async def _no_news(_rumour: Any) -> News:
    return News.NONE
