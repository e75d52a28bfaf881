"""SWIM-style membership over UDP.

Each VM probes one other VM per period. If no ack arrives, it asks a few other
VMs to probe the target on its behalf. Rumours are piggybacked on these
messages. The cost per VM does not depend on the size of the fleet.
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
_RUMOURS_PER_INTRODUCTION = 24
_MAX_DATAGRAM_BYTES = 65536
# Random members whose rumours each probe repeats, for VMs that missed them.
_MEMBERS_PER_PROBE = 2
# VMs that send the member list to a new process. Three are enough if one of
# them has ended and another is slow.
_INTRODUCING_VMS = 3
# Probability that a period probes a dead VM, if there is one.
_DEAD_PROBE_SHARE = 0.1
# Probe periods by which a wake-up must be late to count as a pause.
_LATE_WAKEUP_PERIODS = 2


class Dissemination(Enum):
    """How a received rumour is passed on to other VMs.

    :cvar NONE: not at all
    :cvar ORDINARY: piggybacked on the next datagrams
    :cvar URGENT: pushed to a few VMs at once
    """

    NONE = 'none'
    ORDINARY = 'ordinary'
    URGENT = 'urgent'


@dataclass
class GossipCounts:
    """Counters of the membership protocol since the process started."""

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
    """Probes other VMs and disseminates rumours among them.

    :ivar late_wakeup_listeners: called after this process was paused
    :ivar rumour_listener: applies rumours that are not about members
    :ivar standing_rumours: returns the rumours that every probe repeats
    """

    def __init__(
        self,
        network: Network,
        members: MemberTable,
        settings: FleetSettings,
        rng: random.Random,
    ) -> None:
        """Keep ``members`` up to date by probes and rumours."""
        self.members = members
        self.counts = GossipCounts()
        self.rumours = RumourQueue()
        self.late_wakeup_listeners: list[Callable[[], None]] = []
        self.rumour_listener: Callable[[Any], Awaitable[Dissemination]] = (
            _ignore_rumour
        )
        self.standing_rumours: Callable[[], list[Any]] = list
        self._network = network
        self._settings = settings
        self._keyring = Keyring.from_settings(settings)
        self._rng = rng
        self._socket: Socket | None = None
        self._probes = TaskSet()
        self._sequence = 0
        self._last_probe = 0
        self._ack_events: dict[int, curio.Event] = {}
        self._probe_order: list[VmId] = []
        self._immediate_probes: set[VmId] = set()
        self._eager_push = EagerPush(members, rng, self._send_rumours)
        self._replay_windows: dict[VmId, tuple[Incarnation, ReplayWindow]] = {}

    def open(self, address: str) -> None:
        """Bind the datagram socket."""
        self._socket = self._network.datagrams(address)

    async def close(self) -> None:
        """Close the datagram socket."""
        await self._probes.cancel()
        await self._eager_push.close()
        if self._socket is not None:
            await self._network.discard(self._socket)
            self._socket = None

    async def receive_forever(self) -> None:
        """Handle datagrams until cancelled."""
        assert self._socket is not None
        while True:
            try:
                sealed, _origin = await self._socket.recvfrom(
                    _MAX_DATAGRAM_BYTES
                )
            except OSError:
                # An ICMP error for a datagram sent to a closed port is
                # reported on the next receive. The socket itself is intact.
                continue
            await self._receive(sealed)

    async def probe_forever(self) -> None:
        """Probe one VM per period until cancelled."""
        await self.push(self.members.own_rumour())
        while True:
            period = self._settings.probe_seconds
            pause = jittered(self._rng, period)
            planned = clock.now() + pause
            await curio.sleep(pause)
            self._check_late_wakeup(planned)
            self._expire_suspicions()
            target = self._next_target()
            if target is not None:
                await self._probes.spawn(self._probe_one, target)

    async def probe_now(self, vm: VmId | None) -> None:
        """Probe a VM at once, because a request to it got no response."""
        if (
            vm is None
            or vm in self._immediate_probes
            or vm == self.members.own_id
        ):
            return
        member = self.members.by_id.get(vm)
        if member is not None:
            await self._probes.spawn(self._probe_immediately, member)

    async def _probe_immediately(self, member: Member) -> None:
        self._immediate_probes.add(member.vm.id)
        try:
            if await self._has_ended(member):
                await self._declare_ended(member)
            else:
                await self._probe_one(member)
        finally:
            self._immediate_probes.discard(member.vm.id)

    async def push(self, rumour: Any) -> None:
        """Send ``rumour`` to a few VMs at once, and piggyback it afterwards.

        Many members join or leave together, so their rumours may be delayed
        for a short time and share datagrams. Other rumours must not be
        delayed: with 20 ms more per hop, the rumour that a request crashes
        engines arrived too late at a third of the engines.
        """
        self.rumours.add(rumour)
        if isinstance(rumour, MemberRumour):
            await self._eager_push.push_soon()
        else:
            await self._eager_push.push_now()

    async def _send_rumours(self, member: Member) -> None:
        await self._send(member, _ping(self.members.own_id, member, 0))

    def _check_late_wakeup(self, planned: float) -> None:
        # The table of a process that was paused is out of date, and acks may
        # be missing only because this process did not read them. Suspicions
        # therefore start again, so that they do not expire at once.
        delay = clock.now() - planned
        if delay < self._settings.probe_seconds * _LATE_WAKEUP_PERIODS:
            return
        self.counts.late_wakeups += 1
        logger.warning('this process was paused for {:.1f} s', delay)
        for member in self.members.others():
            if member.state is MemberState.SUSPECT:
                member.changed_at = clock.now()
        for listener in self.late_wakeup_listeners:
            listener()

    def _next_target(self) -> Member | None:
        """Return the VM to probe next: all in turn, in random order."""
        # Dead VMs are probed now and then. After a partition heals, neither
        # side would otherwise send to the other.
        dead = [
            member
            for member in self.members.others()
            if member.state is MemberState.DEAD
        ]
        if dead and self._rng.random() < _DEAD_PROBE_SHARE:
            return self._rng.choice(dead)
        while self._probe_order:
            member = self.members.by_id.get(self._probe_order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member
        self._probe_order = [member.vm.id for member in self.members.others()]
        self._rng.shuffle(self._probe_order)
        if len(dead) < len(self._probe_order):
            return self._next_target()
        return self._rng.choice(dead) if dead else None

    async def _probe_one(self, target: Member) -> None:
        self._last_probe += 1
        number = self._last_probe
        ack_event = curio.Event()
        self._ack_events[number] = ack_event
        try:
            await self._probe_stages(target, number, ack_event)
        finally:
            self._ack_events.pop(number, None)

    async def _probe_stages(
        self,
        target: Member,
        number: int,
        ack_event: curio.Event,
    ) -> None:
        settings = self._settings
        await self._send(target, _ping(self.members.own_id, target, number))
        if await _is_set(ack_event, settings.ack_seconds):
            target.direct = True
            return
        for helper in self._helpers(target):
            await self._send(helper, PingRequest(target.vm.id, number))
        if await self._has_ended(target):
            await self._declare_ended(target)
            return
        remaining = settings.probe_seconds - settings.ack_seconds
        if await _is_set(ack_event, max(remaining, settings.ack_seconds)):
            # Other VMs reach the target, so only the direct path is broken.
            target.direct = False
            return
        await self._suspect(target)

    async def _has_ended(self, target: Member) -> bool:
        address = target.vm.peer_address
        return await self._network.refuses_connections(
            address, self._settings.ack_seconds
        )

    async def _verify_end(self, vm: VmId) -> None:
        """Check whether the process of a VM that is rumoured dead has ended.

        The VM that takes over its engines need not wait for a process that
        has provably ended. A rumour is no proof; a refused connection is.
        """
        member = self.members.by_id.get(vm)
        if member is None:
            return
        incarnation = member.incarnation
        if await self._has_ended(member):
            member.record_end(incarnation)

    async def _declare_ended(self, target: Member) -> None:
        target.record_end(target.incarnation)
        if target.state is not MemberState.DEAD:
            self.members.change(target, MemberState.DEAD)
            await self.push(self.members.rumour_of(target))

    def _helpers(self, target: Member) -> list[Member]:
        candidates = [
            member
            for member in self.members.others()
            if member is not target and member.state is MemberState.ALIVE
        ]
        self._rng.shuffle(candidates)
        # One helper of each failure domain comes before a second of any:
        # helpers behind the same broken switch all fail to reach the target.
        candidates.sort(key=_RoundRobin())
        return candidates[: self._settings.indirect_probes]

    async def _suspect(self, target: Member) -> None:
        if target.state is not MemberState.ALIVE:
            return
        self.counts.suspicions += 1
        self.members.change(target, MemberState.SUSPECT)
        await self.push(self.members.rumour_of(target))

    def _expire_suspicions(self) -> None:
        cutoff = clock.now() - self._settings.suspicion_seconds
        for member in self.members.others():
            if member.state is not MemberState.SUSPECT:
                continue
            if member.changed_at <= cutoff:
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
        await self._record_sender(datagram)
        for rumour in datagram.rumours:
            await self._apply_rumour(rumour)
        await self._answer(datagram.content, datagram.sender)

    def _is_fresh(self, datagram: Datagram) -> bool:
        known = self._replay_windows.get(datagram.sender)
        if known is None or datagram.incarnation > known[0]:
            known = (datagram.incarnation, ReplayWindow())
            self._replay_windows[datagram.sender] = known
        if datagram.incarnation < known[0]:
            return False
        return known[1].accept(datagram.sequence)

    async def _record_sender(self, datagram: Datagram) -> None:
        member = self.members.by_id.get(datagram.sender)
        if member is None:
            return
        member.heard_at = clock.now()
        if datagram.incarnation > member.incarnation:
            # First datagram of a restarted process. The first VM to receive
            # one informs the other VMs, and the introducing VMs send the
            # process the member list.
            rumour = self.members.rumour_of(member)
            rumour.incarnation = datagram.incarnation
            rumour.counter = 0
            rumour.state = MemberState.ALIVE
            await self._apply_member_rumour(rumour)
        if member.state is MemberState.DEAD:
            # The sender runs but was declared dead. The queued rumour lets
            # it learn that and refute it with a higher counter.
            self.rumours.add(self.members.rumour_of(member))

    async def _apply_rumour(self, rumour: Any) -> None:
        if isinstance(rumour, MemberRumour):
            await self._apply_member_rumour(rumour)
            return
        dissemination = await self.rumour_listener(rumour)
        if dissemination is Dissemination.URGENT:
            await self.push(rumour)
        elif dissemination is Dissemination.ORDINARY:
            self.rumours.add(rumour)

    async def _apply_member_rumour(self, rumour: MemberRumour) -> None:
        if rumour.vm == self.members.own_id:
            if self.members.refute(rumour):
                self.counts.refuted += 1
                await self.push(self.members.own_rumour())
            return
        known = self.members.by_id.get(rumour.vm)
        previous = known.incarnation if known else None
        if self.members.apply(rumour):
            await self.push(rumour)
            if previous != rumour.incarnation:
                await self._introduce_members(rumour.vm)
            if rumour.state is MemberState.DEAD:
                await self._probes.spawn(self._verify_end, rumour.vm)

    async def _introduce_members(self, vm: VmId) -> None:
        """Send the member list to a process that has just joined.

        Rumours are piggybacked only while they are new, so a new process
        would learn of an old member at that member's next change, perhaps
        never. It would then see a quorum in too small a fleet and claim what
        other VMs own. A few VMs send the list, chosen by rendezvous hashing
        so that all VMs choose the same ones. If every VM of a large fleet
        sent it, the new process would read hundreds of datagrams before its
        first request.
        """
        new_member = self.members.by_id.get(vm)
        if new_member is None or self.members.own_vm is None:
            return
        vm_ids = [name for name in self.members.present_ids() if name != vm]
        chosen = hashing.first(f'welcome {vm}', vm_ids, _INTRODUCING_VMS)
        if self.members.own_id not in chosen:
            return
        rumours = [
            self.members.rumour_of(member)
            for member in self.members.others()
            if member is not new_member and member.state is MemberState.ALIVE
        ]
        rumours.extend(self.standing_rumours())
        for begin in range(0, len(rumours), _RUMOURS_PER_INTRODUCTION):
            batch = rumours[begin : begin + _RUMOURS_PER_INTRODUCTION]
            await self._send(
                new_member, _ping(self.members.own_id, new_member, 0), batch
            )

    @singledispatchmethod
    async def _answer(self, content: Any, sender: VmId) -> None:
        raise TypeError(f'{type(content).__name__} is not datagram content')

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
        ack_event = self._ack_events.get(content.probe)
        if ack_event is not None:
            await ack_event.set()

    @_answer.register(PingRequest)
    async def _answer_ping_request(
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
        """Send one datagram with queued rumours.

        :param more: rumours to send besides the queued ones
        """
        if self._socket is None:
            return
        self._sequence += 1
        count = max(len(self.members.by_id), 1)
        rumours = self.rumours.take(_RUMOURS_PER_DATAGRAM, count)
        rumours.extend(more)
        if isinstance(content, Ping) and content.probe:
            # Repeated for VMs that missed them, as during a partition.
            rumours.extend(self.standing_rumours())
            if self.members.own_vm is not None:
                # A target that does not know this VM yet has no address to
                # send the ack to without this rumour.
                rumours.append(self.members.own_rumour())
                rumours.extend(
                    self.members.sample_rumours(self._rng, _MEMBERS_PER_PROBE),
                )
        if target.state is not MemberState.ALIVE:
            # The target can refute its state only if it learns of it.
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
            logger.debug(
                'cannot send a datagram to {}: {}', target.vm.id, failed
            )


class _RoundRobin:
    """Sort key that alternates between failure domains.

    The key of a member is its number among the members of its domain.
    """

    def __init__(self) -> None:
        self._members_by_domain: dict[str, int] = {}

    def __call__(self, member: Member) -> int:
        domain = member.vm.failure_domain
        self._members_by_domain[domain] = (
            self._members_by_domain.get(domain, 0) + 1
        )
        return self._members_by_domain[domain]


def _ping(origin: VmId, target: Member, number: int) -> Ping:
    return Ping(target.vm.id, origin, number)


async def _is_set(event: curio.Event, seconds: float) -> bool:
    async with curio.ignore_after(seconds):
        await event.wait()
        return True
    return False


async def _ignore_rumour(_rumour: Any) -> Dissemination:
    return Dissemination.NONE
