"""Chooses the upstreams for the calls of a plain service from all VMs.

Addresses a service with few upstreams whose calls arrive through many VMs:
one VM that sees one call in a hundred milliseconds cannot know which upstream
is full, slow or stalled.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from flamingovalve.errors import ConnectionLost, ErrorKind, Ran
from flamingovalve.gateway.brittleness import Brittleness
from flamingovalve.gateway.call_pace import UpstreamPace
from flamingovalve.gateway.send_plan import SendPlan
from flamingovalve.generated.messages import CallGrant, CallOutcome, Refusal
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note
from flamingovalve.util.network import is_closed_by_peer

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from flamingovalve.gateway.model import Upstream
    from flamingovalve.gateway.upstream_status import UpstreamStatuses
    from flamingovalve.generated.ids import RequestId, ServiceId, UpstreamId
    from flamingovalve.generated.messages import CallAsk, CallEnd
    from flamingovalve.peer.connection import PeerConnection

    GrantKey = tuple[RequestId, UpstreamId]

logger = get_logger(__name__)

# Initial estimate of the response time, as a share of the time until the
# target latency. The deployments set targets of four to seven response times.
_INITIAL_PACE_SHARE: Final = 0.25
_MIN_INITIAL_PACE: Final = 0.001
# Exchanges between failure domains take 2 to 4 ms, within one 0.2 ms.
_LINK_SECONDS: Final = 0.003
# Spreads calls over upstreams of about the same pace, as a share of it.
_SPREAD_SHARE: Final = 0.1
# Among estimates that differ by less, the upstream that was chosen longest ago
# is preferred.
_COST_DIGITS: Final = 3
# Without this, upstreams whose pace exceeds all deadlines get no call that
# could show a better pace.
_IDLE_PROBE_SECONDS: Final = 5.0
# The end of a call that meets its deadline is told within 0.25 s.
_GRACE_SECONDS: Final = 0.3
_FAILURES: Final = frozenset(
    (CallOutcome.NOT_RUN, CallOutcome.FAILED, CallOutcome.TIMED_OUT),
)


@dataclass
class CallKeeperCounts:
    """Counters of the keeper of plain services.

    :ivar expired: grants whose end was not reported soon after their deadline
    :ivar stalls: times that an upstream was found stalled
    :ivar probes: calls sent to learn the pace of an upstream that is stalled,
        or idle and too slow for all calls
    """

    granted: int = 0
    refused: int = 0
    expired: int = 0
    stalls: int = 0
    probes: int = 0


@dataclass(slots=True)
class _Entry:
    """An upstream of a service, as its keeper knows it.

    :ivar plan: requests planned within the rate limit that it announces
    :ivar granted_at: when it was last chosen, on the monotonic clock
    :ivar brittleness: what VMs were told and rejected
    :ivar was_stalled: whether the log says that it is stalled
    """

    upstream: Upstream
    pace: UpstreamPace
    plan: SendPlan
    granted_at: float = 0
    brittleness: Brittleness = field(default_factory=Brittleness)
    was_stalled: bool = False

    def has_room(self) -> bool:
        """Return whether one more call may be sent, unless it is not brittle."""
        if self.brittleness.wait_seconds() > 0:
            return False
        room = self.pace.slots + self.brittleness.room_beyond_slots()
        return self.pace.in_progress < room

    def room_wait(self) -> float:
        """Return the estimated seconds until it has room."""
        return max(self.brittleness.wait_seconds(), self.pace.pace())

    def record_end(self, end: CallEnd) -> None:
        """Record what the end of a call says of its brittleness."""
        if end.bears or end.outcome is CallOutcome.ANSWERED:
            self.brittleness.record_told(end.bears)
        if end.rejected:
            self.brittleness.record_rejection()

    def idle_probe_wait(self) -> float:
        """Return the seconds until a call that seems hopeless may probe it.

        :returns: infinite while calls are in progress or a rate limit is used
            up, as waiting shortens the response time then
        """
        if self.pace.in_progress or self.plan.wait_seconds() > 0:
            return math.inf
        used_at = max(self.granted_at, self.pace.observed_at)
        return max(0, used_at + _IDLE_PROBE_SECONDS - clock.now())


@dataclass(frozen=True, slots=True)
class _Grant:
    """A call in progress.

    :ivar calls: calls in progress there when it was granted, with it
    :ivar remaining: seconds to its deadline when it was granted
    """

    entry: _Entry
    calls: int
    granted_at: float
    remaining: float
    is_probe: bool

    def expires_at(self) -> float:
        """Return when its end is not waited for any more."""
        return self.granted_at + max(self.remaining, 0) + _GRACE_SECONDS


@dataclass(frozen=True, slots=True)
class _Offer:
    """What a call may expect from an upstream.

    :ivar finish: expected seconds to the answer
    :ivar cost: ``finish`` with the risks of a failure and of a slow start
    """

    entry: _Entry
    finish: float
    cost: float

    def rank(self) -> tuple[float, float]:
        """Return the sort key; the lowest is chosen."""
        return round(self.cost, _COST_DIGITS), self.entry.granted_at


class CallKeeper:
    """Grants calls to the upstreams of the services that this VM keeps."""

    def __init__(
        self,
        upstreams_of: Callable[[ServiceId], list[Upstream]],
        statuses: UpstreamStatuses,
    ) -> None:
        """Grant calls to the upstreams that ``upstreams_of`` returns.

        :param statuses: what upstreams announce to this VM; their rests are
            not used, as each concerns one VM
        """
        self.counts = CallKeeperCounts()
        self._upstreams_of = upstreams_of
        self._statuses = statuses
        self._entries_by_service: dict[ServiceId, dict[UpstreamId, _Entry]] = {}
        self._grants_by_key: dict[GrantKey, _Grant] = {}
        self._expiries: list[tuple[float, GrantKey]] = []

    # -- Messages

    async def serve_ask(self, ask: CallAsk, connection: PeerConnection) -> None:
        """Answer another VM, unless it has stopped waiting.

        A VM that got no answer in time has closed the connection. A grant
        would count as in progress until the deadline of its call.

        :raises ConnectionLost: if the VM has stopped waiting
        """
        if is_closed_by_peer(connection.socket):
            raise ConnectionLost('the asking VM has closed the connection')
        reply = self.decide(ask)
        try:
            await connection.send(reply)
        except ConnectionLost:
            if isinstance(reply, CallGrant):
                self._settle((ask.request_id, reply.upstream))
            raise

    async def serve_end(
        self, end: CallEnd, _connection: PeerConnection
    ) -> None:
        """Record the end of a call of another VM."""
        self.end(end)

    # -- Decisions

    def decide(self, ask: CallAsk) -> CallGrant | Refusal:
        """Choose the upstream of a call.

        :returns: a grant; a refusal of kind ``overloaded`` if no upstream can
            finish the call before its deadline, or ``no_upstream`` if this VM
            knows none
        """
        self._expire()
        offers = [
            self._offer(entry, ask)
            for entry in self._refreshed_entries(ask)
            if entry.upstream.id not in ask.avoided
            and not entry.plan.status.departure.is_known()
        ]
        if not offers:
            return Refusal(ErrorKind.NO_UPSTREAM.label, ran=Ran.NOT.value)
        waits = [offer.entry.room_wait() for offer in offers]
        offers = [offer for offer in offers if offer.entry.has_room()]
        if not offers:
            return self._refuse(ask, min(waits))
        probe = _find_probe(offers, ask)
        if probe is not None:
            self.counts.probes += 1
            return self._grant(ask, probe, is_probe=True)
        wait = _seconds_beyond_deadline(offers, ask)
        if wait > 0:
            return self._probe_or_refuse(ask, offers)
        return self._grant(ask, _best_offer(offers, ask), is_probe=False)

    def end(self, end: CallEnd) -> None:
        """Record how a call ended; one that has expired is ignored."""
        grant = self._grants_by_key.pop((end.request_id, end.upstream), None)
        if grant is None:
            return
        grant.entry.record_end(end)
        pace, is_probe = grant.entry.pace, grant.is_probe
        if end.outcome is CallOutcome.ANSWERED and end.seconds > 0:
            pace.answered(grant.calls, end.seconds, is_probe=is_probe)
        elif end.outcome in _FAILURES:
            pace.failed(
                grant.granted_at,
                grant.remaining,
                is_silent=end.outcome is CallOutcome.TIMED_OUT,
                is_probe=is_probe,
            )
        else:
            pace.abandoned(is_probe=is_probe)
            if end.seconds <= 0:
                grant.entry.plan.cancel()
        self._note_stall(grant.entry)

    def state_dump(self) -> dict[str, Any]:
        """Return what is known of each upstream, by service."""
        return {
            service: {
                name: _entry_state(entry) for name, entry in entries.items()
            }
            for service, entries in self._entries_by_service.items()
        }

    # -- Grants

    def _grant(
        self, ask: CallAsk, offer: _Offer, *, is_probe: bool
    ) -> CallGrant:
        now = clock.now()
        entry = offer.entry
        expected = offer.finish
        if is_probe:
            # From the usual time on, a probe may be hedged.
            expected = entry.pace.usual_finish_seconds()
        key = (ask.request_id, entry.upstream.id)
        self._settle(key)
        calls = entry.pace.started(is_probe=is_probe)
        grant = _Grant(entry, calls, now, ask.remaining, is_probe)
        self._grants_by_key[key] = grant
        heapq.heappush(self._expiries, (grant.expires_at(), key))
        entry.plan.add()
        entry.granted_at = now
        self.counts.granted += 1
        return CallGrant(entry.upstream.id, expected)

    def _probe_or_refuse(
        self, ask: CallAsk, offers: list[_Offer]
    ) -> CallGrant | Refusal:
        """Grant a call that seems hopeless only to an idle upstream."""
        waits = [offer.entry.idle_probe_wait() for offer in offers]
        wait = min(waits)
        if wait > 0:
            return self._refuse(ask, min(wait, _busy_wait(offers, ask)))
        self.counts.probes += 1
        probe = offers[waits.index(wait)]
        probe.entry.pace.doubt()
        return self._grant(ask, probe, is_probe=True)

    def _refuse(self, ask: CallAsk, wait: float) -> Refusal:
        self.counts.refused += 1
        return Refusal(
            ErrorKind.OVERLOADED.label,
            f'no upstream of service {ask.service} can answer in time',
            Ran.NOT.value,
            wait,
        )

    def _settle(self, key: GrantKey) -> bool:
        """Forget a grant without an outcome; return whether there was one."""
        grant = self._grants_by_key.pop(key, None)
        if grant is None:
            return False
        grant.entry.pace.abandoned(is_probe=grant.is_probe)
        return True

    def _expire(self) -> None:
        now = clock.now()
        while self._expiries and self._expiries[0][0] <= now:
            _expires_at, key = heapq.heappop(self._expiries)
            grant = self._grants_by_key.get(key)
            if grant is None or grant.expires_at() > now:
                continue
            self.counts.expired += self._settle(key)
            if grant.is_probe:
                grant.entry.pace.probe.ended(has_response=False)

    # -- Upstreams

    def _refreshed_entries(self, ask: CallAsk) -> list[_Entry]:
        """Return the listed upstreams; one that returns to the list is new."""
        known = self._entries_by_service.get(ask.service, {})
        entries: dict[UpstreamId, _Entry] = {}
        for upstream in self._upstreams_of(ask.service):
            entry = known.get(upstream.id)
            if entry is None or entry.upstream.address != upstream.address:
                entry = self._new_entry(upstream)
            entry.upstream = upstream
            entry.pace.slots = max(upstream.slots, 1)
            entry.pace.check_silence()
            self._note_stall(entry)
            entries[upstream.id] = entry
        # Other VMs may ask for any name, and for services of the past.
        self._entries_by_service.pop(ask.service, None)
        if entries:
            self._entries_by_service[ask.service] = entries
        _estimate_unknown(entries.values(), ask)
        return list(entries.values())

    def _new_entry(self, upstream: Upstream) -> _Entry:
        pace = UpstreamPace(max(upstream.slots, 1))
        return _Entry(upstream, pace, SendPlan(self._statuses.of(upstream.id)))

    def _offer(self, entry: _Entry, ask: CallAsk) -> _Offer:
        pace = entry.pace
        wait = entry.plan.wait_seconds()
        if entry.upstream.domain != ask.domain:
            wait += _LINK_SECONDS
        spread = pace.in_progress / pace.slots * _SPREAD_SHARE * pace.pace()
        # A call that fails is worth as little as one that is very late.
        risk = pace.failing_share() * max(ask.remaining, 0)
        cost = wait + pace.trusted_finish_seconds() + spread + risk
        return _Offer(entry, wait + pace.finish_seconds(), cost)

    def _note_stall(self, entry: _Entry) -> None:
        is_stalled = entry.pace.is_stalled
        if is_stalled == entry.was_stalled:
            return
        entry.was_stalled = is_stalled
        self.counts.stalls += is_stalled
        note(
            logger,
            'upstream stalls' if is_stalled else 'upstream answers again',
            upstream=entry.upstream.id,
            **_entry_state(entry),
        )


def _estimate_unknown(entries: Collection[_Entry], ask: CallAsk) -> None:
    """Estimate the pace of upstreams without a response by that of others."""
    known = [entry.pace.normal for entry in entries if entry.pace.observations]
    estimate = max(ask.target * _INITIAL_PACE_SHARE, _MIN_INITIAL_PACE)
    if known:
        estimate = sum(known) / len(known)
    for entry in entries:
        if not entry.pace.observations:
            entry.pace.estimate(estimate)


def _find_probe(offers: list[_Offer], ask: CallAsk) -> _Offer | None:
    """Return a stalled upstream that a call can probe, if any.

    The call must be able to finish if the upstream does not stall any more.
    """
    for offer in offers:
        pace = offer.entry.pace
        is_possible = pace.usual_finish_seconds() <= ask.remaining
        if is_possible and pace.is_stalled and pace.probe.is_due():
            return offer
    return None


def _best_offer(offers: list[_Offer], ask: CallAsk) -> _Offer:
    """Return the best offer; one that is left out only if no other is in time."""
    in_time = [
        offer
        for offer in offers
        if offer.finish <= ask.target and not offer.entry.pace.is_left_out()
    ]
    return min(in_time or offers, key=_Offer.rank)


def _seconds_beyond_deadline(offers: list[_Offer], ask: CallAsk) -> float:
    """Return by how much the earliest answer misses the deadline of a call.

    :returns: seconds; 0 if it is in time, or a pace is still unknown
    """
    paces = [offer.entry.pace for offer in offers]
    if not all(pace.observations or pace.is_stalled for pace in paces):
        return 0
    earliest = min(offer.finish for offer in offers)
    return max(0, earliest - ask.remaining)


def _busy_wait(offers: list[_Offer], ask: CallAsk) -> float:
    """Return the seconds until a busy upstream may answer in time."""
    waits = [
        offer.finish - ask.remaining
        for offer in offers
        if math.isinf(offer.entry.idle_probe_wait())
    ]
    return min(waits, default=math.inf)


def _entry_state(entry: _Entry) -> dict[str, Any]:
    pace = entry.pace
    return {
        'in_progress': pace.in_progress,
        'pace': round(pace.pace(), 4),
        'normal': round(pace.normal, 4),
        'queue_factor': round(pace.queue_factor, 2),
        'failing': round(pace.failing, 2),
        'window': pace.window,
        'stalled': pace.is_stalled,
        'brittle': entry.brittleness.is_known(),
    }
