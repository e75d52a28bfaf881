"""Engines that this VM owns, updated as ownership changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.engines.api import EngineApi
from flamingovalve.engines.owner import (
    EngineOwner,
    claimer_tie_breaker,
    not_owner,
)
from flamingovalve.errors import ConnectionLost, WrongPeer
from flamingovalve.generated.messages import TakeoverAsk, TakeoverReply
from flamingovalve.peer.client import PeerUnreachable
from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    import random

    from flamingovalve.config.inventory import Inventory
    from flamingovalve.engines.store import StoreShare
    from flamingovalve.generated.ids import EngineId, Incarnation
    from flamingovalve.generated.settings import Engine, Settings
    from flamingovalve.http.client import ConnectionPool
    from flamingovalve.membership.members import MemberTable
    from flamingovalve.peer.client import PeerPool
    from flamingovalve.relay.quarantine import Quarantine
    from flamingovalve.routing.ownership import Ownership

logger = get_logger(__name__)

_POLL_SECONDS: Final = 0.25


@dataclass
class _OwnedEngine:
    owner: EngineOwner
    task: curio.Task


class OwnedEngines:
    """Starts and ends an :class:`EngineOwner` for each engine of this VM."""

    def __init__(
        self,
        settings: Settings,
        incarnation: Incarnation,
        members: MemberTable,
        ownership: Ownership,
        pool: ConnectionPool,
        peers: PeerPool,
        store: StoreShare,
        quarantine: Quarantine,
        rng: random.Random,
    ) -> None:
        """Own the engines that ``ownership`` assigns to this VM."""
        self.inventory: Inventory | None = None
        self._settings = settings
        self._incarnation = incarnation
        self._members = members
        self._ownership = ownership
        self._pool = pool
        self._peers = peers
        self._store = store
        self._quarantine = quarantine
        self._rng = rng
        self._owned_by_id: dict[EngineId, _OwnedEngine] = {}
        self._rotation = 0

    def __len__(self) -> int:
        """Return the number of engines that this VM owns."""
        return len(self._owned_by_id)

    def owners(self) -> list[EngineOwner]:
        """Return the owner of each engine of this VM."""
        return [owned.owner for owned in self._owned_by_id.values()]

    def find(self, engine_id: EngineId) -> EngineOwner | None:
        """Return the owner of an engine, or None if another VM owns it."""
        owned = self._owned_by_id.get(engine_id)
        return owned.owner if owned else None

    async def follow_forever(self) -> None:
        """Adjust the owned engines to the members and the inventory."""
        previous_state: object = None
        while True:
            present = tuple(self._members.present_ids())
            state = (present, self.inventory)
            if state != previous_state:
                previous_state = state
                await self.adjust()
            await curio.sleep(_POLL_SECONDS)

    async def adjust(self) -> None:
        """Acquire engines assigned to this VM and release all others."""
        wanted = self._wanted()
        for engine_id in list(self._owned_by_id):
            engine = wanted.get(engine_id)
            if engine != self._owned_by_id[engine_id].owner.engine:
                await self._release(engine_id)
        for engine_id, engine in wanted.items():
            if engine_id not in self._owned_by_id:
                await self._acquire(engine)

    async def schedule(self) -> None:
        """Run every scheduler that has waiting requests.

        A different scheduler goes first each time: the first one takes what
        is left of the store's share, so in a fixed order the last one would
        never get any of it.
        """
        owners = self.owners()
        self._rotation += 1
        first = self._rotation % max(len(owners), 1)
        for owner in (*owners[first:], *owners[:first]):
            if len(owner.scheduler.queue):
                await owner.scheduler.schedule()

    def invalidate_leases(self) -> None:
        """Stop dispatching until leases are renewed.

        Called when this process was paused.
        """
        for owner in self.owners():
            owner.invalidate_lease()

    async def answer_takeover(
        self,
        ask: TakeoverAsk,
        _remote: object,
    ) -> TakeoverReply:
        """Return whether this VM has taken over an engine of the asking VM."""
        taken = ask.engine in self._owned_by_id
        return TakeoverReply(
            taken,
            self._settings.scheduling.claim_quiet_seconds,
        )

    async def close(self) -> None:
        """Release every engine."""
        for engine_id in list(self._owned_by_id):
            await self._release(engine_id)

    def _wanted(self) -> dict[EngineId, Engine]:
        if self.inventory is None:
            return {}
        own_id = self._members.own_id
        return {
            engine_id: engine
            for engine_id, engine in self.inventory.engines_by_id.items()
            if self._ownership.owner(engine) == own_id
        }

    async def _acquire(self, engine: Engine) -> None:
        owner = EngineOwner(
            EngineApi(self._pool, engine, self._settings.relay),
            self._settings,
            self._incarnation,
            self._store,
            self._ask_deputy,
            self._ended_tie_breakers,
            self._membership_epoch,
            self._rng,
        )
        owner.crash_listeners.append(self._record_crash)
        # The end of a load on any engine frees store budget for all of them.
        owner.loader.end_listener = self.schedule
        task = await curio.spawn(owner.run, daemon=True)
        self._owned_by_id[engine.id] = _OwnedEngine(owner, task)

    async def _release(self, engine_id: EngineId) -> None:
        owned = self._owned_by_id.pop(engine_id)
        logger.info('ownership of engine {} is released', engine_id)
        await owned.task.cancel()
        await owned.owner.end(not_owner(engine_id))

    async def _record_crash(self, engine_id: str, boot: str) -> None:
        self._quarantine.crashed(engine_id, boot)  # type: ignore[arg-type]

    def _membership_epoch(self) -> int:
        return self._members.epoch

    def _ended_tie_breakers(self) -> set[int]:
        return {
            claimer_tie_breaker(vm, incarnation)
            for vm, incarnation in self._members.ended_processes()
        }

    async def _ask_deputy(self, engine: Engine) -> float:
        """Return the seconds for which the deputy promises not to take over.

        Used for engines that ignore fencing numbers. Such an engine cannot
        reject the orders of a second owner in a network partition, so only
        the part of the fleet with a quorum owns it.

        :returns: 0 without a quorum, or if the deputy has taken over or
            does not answer
        """
        if not self._members.has_quorum():
            return 0
        deputy = self._ownership.deputy(engine)
        if deputy is None:
            return self._settings.scheduling.claim_quiet_seconds
        member = self._members.by_id.get(deputy)
        if member is None:
            return 0
        ask = TakeoverAsk(engine.id, self._incarnation)  # type: ignore[arg-type]
        try:
            _incarnation, reply = await self._peers.ask(
                member.vm.peer_address,
                deputy,
                ask,
                self._settings.claims.acknowledge_seconds,
            )
        except (PeerUnreachable, ConnectionLost, WrongPeer):
            return 0
        return 0 if reply.taken_over else reply.validity
