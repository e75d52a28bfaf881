"""Orders waiting requests so that workspaces share places by their weights.

Addresses a workspace that sends many times its usual load: in order of arrival
it would take the places of all others while requests wait. Start-time fair
queueing over tokens: the workspace with the lowest virtual time is served
next, and a place advances its virtual time by the tokens of the request,
divided by its weight.
"""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, Final

from sortedcontainers import SortedDict

from flamingovalve.config.weights import read_weights
from flamingovalve.gateway.share_lanes import (
    Lane,
    last_entry,
    move,
    tokens_of,
)
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from flamingovalve.gateway.waiting import Turn, Waiter
    from flamingovalve.generated.ids import AdapterId, WorkspaceId
    from flamingovalve.generated.messages import PlaceAsk
    from flamingovalve.generated.settings import GatewaySettings

# Tokens of its own by which a workspace's virtual time may be ahead. This
# exceeds the longest prompts (50,000 tokens), so that each counts in full;
# places given outside the queue exclude a workspace no longer than one of them.
_MAX_LEAD_TOKENS: Final = 65536
# Places of a former owner count while most of them are still in use.
_ADOPTED_SECONDS: Final = 5.0
# Workspaces that an estimate of a position looks at, so that its cost does not
# grow with their number.
_MAX_SAMPLED: Final = 32


class FairShares:
    """The order of service while requests of several workspaces wait."""

    def __init__(
        self,
        weights: dict[WorkspaceId, float],
        *,
        is_enabled: bool = True,
    ) -> None:
        """Start without requests.

        :param weights: weights by workspace; 1 for those not named
        """
        self.is_enabled = is_enabled
        self._weights = weights
        self._lanes: dict[WorkspaceId, Lane] = {}
        self._heads: tuple[SortedDict, SortedDict] = (
            SortedDict(),
            SortedDict(),
        )
        self._by_adapter: dict[AdapterId, dict[WorkspaceId, SortedDict]] = {}
        self._waiting_count = 0
        self._idle: SortedDict = SortedDict()
        self._total_weight = 0.0
        self._virtual_time = 0.0
        self._adopted_at = float('-inf')

    @classmethod
    def from_settings(cls, settings: GatewaySettings) -> FairShares:
        """Create the shares that the settings describe."""
        weights, _faults = read_weights(settings.workspace_weights)
        return cls(weights, is_enabled=settings.fair_shares)

    def is_active(self) -> bool:
        """Return whether requests of at least two workspaces wait."""
        return self._waiting_count > 1

    def add(self, waiter: Waiter) -> None:
        """Add a request that has a turn."""
        if not self.is_enabled:
            return
        ask = waiter.ask
        if not self._waiting_count and not waiter.has_waited:
            self._forget_old()
        lane = self._lane(ask)
        self._waiting_count += not lane.is_waiting()
        line = lane.line(is_late=waiter.turn.is_late)
        line.by_turn[waiter.turn] = waiter
        line.tokens += tokens_of(ask)
        by_workspace = self._by_adapter.setdefault(ask.adapter, {})
        by_workspace.setdefault(ask.workspace, SortedDict())[waiter.turn] = (
            waiter
        )
        self._rank(lane)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that was added."""
        if not self.is_enabled:
            return
        ask = waiter.ask
        lane = self._lanes[ask.workspace]
        line = lane.line(is_late=waiter.turn.is_late)
        line.remove(waiter.turn, tokens_of(ask))
        by_workspace = self._by_adapter[ask.adapter]
        del by_workspace[ask.workspace][waiter.turn]
        if not by_workspace[ask.workspace]:
            del by_workspace[ask.workspace]
        if not by_workspace:
            del self._by_adapter[ask.adapter]
        self._rank(lane)
        if not lane.is_waiting():
            self._waiting_count -= 1

    def record_grant(self, waiter: Waiter, *, is_load: bool) -> None:
        """Charge a workspace for a place that a waiting request got.

        A request whose load failed and that waited again is charged once.
        """
        if not self.is_enabled:
            return
        lane = self._lane(waiter.ask)
        lane.line(is_late=waiter.turn.is_late).record_grant()
        if not waiter.is_charged:
            waiter.is_charged = True
            self.charge(waiter.ask, is_load=is_load)

    def charge(self, ask: PlaceAsk, *, is_load: bool = False) -> None:
        """Advance the virtual time of a workspace by one place."""
        if not self.is_enabled:
            return
        lane = self._lane(ask)
        lane.places.record()
        tokens = tokens_of(ask, is_load=is_load)
        max_lead = _MAX_LEAD_TOKENS / lane.weight
        earliest = self._virtual_time - max_lead
        start = max(lane.start, earliest) + tokens / lane.weight
        self._virtual_time += tokens / self._total_weight
        lane.start = min(start, self._virtual_time + max_lead)
        self._rank(lane)
        self._forget_idle()

    def adopt(self, ask: PlaceAsk) -> None:
        """Count a place in use that a former owner granted."""
        self._adopted_at = clock.now()
        self.charge(ask)

    def first(self, count: int) -> list[Waiter]:
        """Return up to ``count`` requests in the order of service."""
        ordered = itertools.chain(
            self._in_order(count, is_late=False),
            self._in_order(count, is_late=True),
        )
        return list(itertools.islice(ordered, count))

    def last(self, count: int) -> list[Waiter]:
        """Return up to ``count`` requests that are served last, reversed."""
        ordered = itertools.chain(
            self._in_reverse(is_late=True), self._in_reverse(is_late=False)
        )
        return list(itertools.islice(ordered, count))

    def ahead_of(self, waiter: Waiter) -> int:
        """Return the expected number of requests of its line served before.

        Only timely requests count for a timely one, and late for a late one.
        """
        turn = waiter.turn
        lane = self._lanes[waiter.ask.workspace]
        line = lane.line(is_late=turn.is_late)
        rank = line.by_turn.bisect_left(turn)
        tag = lane.start + rank * lane.step(line)
        others = self._others_before(tag, turn, lane, is_late=turn.is_late)
        return rank + others

    def own_wait(self, waiter: Waiter) -> float:
        """Return the seconds until its workspace gets a place for a request.

        Requests of other workspaces that arrive later may be served earlier,
        so the interval between all places would give too short a wait.
        """
        line = self._lanes[waiter.ask.workspace].line(
            is_late=waiter.turn.is_late
        )
        rank = line.by_turn.bisect_left(waiter.turn)
        return (rank + 1) * line.places.interval

    def own_wait_of_new(self, ask: PlaceAsk, due_at: float) -> float:
        """Return the same for a request that is about to wait."""
        lane = self._lanes.get(ask.workspace)
        if lane is None:
            return 0
        return (lane.rank_of_new(due_at) + 1) * lane.timely.places.interval

    def own_interval(self, ask: PlaceAsk) -> float:
        """Return the mean seconds between places of a workspace.

        :returns: 0 if none was seen
        """
        lane = self._lanes.get(ask.workspace)
        return 0 if lane is None else lane.places.interval

    def ahead_of_new(self, ask: PlaceAsk, due_at: float) -> int | None:
        """Return the expected number of timely requests before a new one.

        :param due_at: time by which it is sorted within its workspace
        :returns: None if it and those that wait are of one workspace
        """
        lane = self._lanes.get(ask.workspace)
        others = self._waiting_count
        if lane is not None:
            others -= lane.is_waiting()
        if not others:
            return None
        lane = lane or Lane(ask.workspace, 1, self._virtual_time)
        rank = lane.rank_of_new(due_at)
        tag = lane.start + rank * lane.step(lane.timely)
        return rank + self._others_before(tag, None, lane, is_late=False)

    def first_of(self, adapters: Iterable[AdapterId]) -> Waiter | None:
        """Return the request for one of some adapters that is served first.

        The cost grows with the number of workspaces that wait for them, not
        with the number of requests.
        """
        found: tuple[bool, float, Turn] | None = None
        first: Waiter | None = None
        for adapter in adapters:
            by_workspace = self._by_adapter.get(adapter, {})
            for workspace, by_turn in by_workspace.items():
                turn, waiter = by_turn.peekitem(0)
                key = (turn.is_late, self._lanes[workspace].start, turn)
                if found is None or key < found:
                    found, first = key, waiter
        return first

    def first_before(self, ask: PlaceAsk) -> Waiter | None:
        """Return a request for the same adapter served before a new one."""
        if not self.is_active():
            return None
        first = self.first_of((ask.adapter,))
        if first is None or first.turn.is_late:
            return None
        lane = self._lanes.get(ask.workspace)
        start = self._virtual_time if lane is None else lane.start
        is_before = self._lanes[first.ask.workspace].start <= start
        return first if is_before else None

    def request_values(self) -> dict[WorkspaceId, float]:
        """Return the value of a request of each workspace beyond its share.

        Requests of a workspace that has more waiting than its share of all
        that wait count only as many as its share.
        """
        if not self.is_active():
            return {}
        lanes = [lane for lane in self._lanes.values() if lane.is_waiting()]
        weight = sum(lane.weight for lane in lanes)
        waiting = sum(lane.waiting_count() for lane in lanes)
        return {
            lane.workspace: min(
                1, waiting * lane.weight / weight / lane.waiting_count()
            )
            for lane in lanes
        }

    def state_dump(self) -> dict[str, float]:
        """Return the lead of each workspace in tokens at weight 1."""
        return {
            workspace: round(lane.start - self._virtual_time)
            for workspace, lane in self._lanes.items()
        }

    def _lane(self, ask: PlaceAsk) -> Lane:
        lane = self._lanes.get(ask.workspace)
        if lane is None:
            weight = self._weights.get(ask.workspace, 1)
            lane = Lane(ask.workspace, weight, self._virtual_time)
            self._total_weight += weight
            self._lanes[ask.workspace] = lane
        return lane

    def _forget_old(self) -> None:
        """Start equally after no request has waited.

        All that was asked for has been served, so no workspace is owed
        anything. Places taken over with the group remain counted.
        """
        if clock.now() > self._adopted_at + _ADOPTED_SECONDS:
            self._lanes.clear()
            self._idle.clear()
            self._total_weight = 0.0
            self._virtual_time = 0.0

    def _forget_idle(self) -> None:
        """Forget workspaces that do not wait and are no longer ahead.

        Only the others divide the places, so the virtual time advances with
        their weights. A workspace that comes back starts at the virtual time.
        """
        while self._idle:
            start, workspace = self._idle.peekitem(0)[0]
            if start > self._virtual_time:
                return
            del self._idle[start, workspace]
            lane = self._lanes.pop(workspace)
            self._total_weight -= lane.weight

    def _rank(self, lane: Lane) -> None:
        """Sort a workspace by its virtual time and its first request."""
        for heads, line in zip(
            self._heads, (lane.timely, lane.late), strict=True
        ):
            key = None
            if line.by_turn:
                key = (lane.start, line.by_turn.peekitem(0)[0])
            move(heads, line.key, key, lane)
            line.key = key
        idle_key = None if lane.is_waiting() else (lane.start, lane.workspace)
        move(self._idle, lane.idle_key, idle_key, lane)
        lane.idle_key = idle_key

    def _in_order(self, count: int, *, is_late: bool) -> Iterator[Waiter]:
        """Yield requests as they are served if no other arrives."""
        heads = itertools.islice(self._heads[is_late].items(), count)
        queue = [(key, 0, lane) for key, lane in heads]
        while queue:
            (start, _turn), index, lane = queue[0]
            by_turn = lane.line(is_late=is_late).by_turn
            waiter = by_turn.peekitem(index)[1]
            yield waiter
            if index + 1 < len(by_turn):
                start += tokens_of(waiter.ask) / lane.weight
                key = (start, by_turn.peekitem(index + 1)[0])
                heapq.heapreplace(queue, (key, index + 1, lane))
            else:
                heapq.heappop(queue)

    def _in_reverse(self, *, is_late: bool) -> Iterator[Waiter]:
        """Yield the requests of the longest queues, last first.

        Runs in the periodic sweep only, as it looks at each workspace.
        """
        queue = []
        for (start, _turn), lane in self._heads[is_late].items():
            line = lane.line(is_late=is_late)
            end = start + line.tokens / lane.weight
            queue.append(last_entry(lane, line, end, len(line.by_turn) - 1))
        heapq.heapify(queue)
        while queue:
            key, index, lane = queue[0]
            line = lane.line(is_late=is_late)
            yield line.by_turn.peekitem(index)[1]
            if index:
                entry = last_entry(lane, line, -key[0], index - 1)
                heapq.heapreplace(queue, entry)
            else:
                heapq.heappop(queue)

    def _others_before(
        self,
        tag: float,
        turn: Turn | None,
        lane: Lane,
        *,
        is_late: bool,
    ) -> int:
        """Estimate how many requests of other workspaces start before a tag."""
        lanes = self._heads[is_late].values()
        count = len(lanes)
        sampled = min(count, _MAX_SAMPLED)
        before = 0
        for number in range(sampled):
            other = lanes[number * count // sampled]
            if other is not lane:
                line = other.line(is_late=is_late)
                before += other.served_before(tag, turn, line)
        return before * count // sampled if sampled else 0
