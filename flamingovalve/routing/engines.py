"""The engines that this VM owns, as the division of work changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.engines.api import EngineApi
from flamingovalve.engines.owner import (
    EngineOwner,
    claimer_tie,
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

_CHECK_SECONDS: Final = 0.25


@dataclass
class _Owned:
    owner: EngineOwner
    task: curio.Task


class OwnedEngines:
    """Starts and ends an :class:`EngineOwner` for each engine we own."""

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
        chance: random.Random,
    ) -> None:
        """Own engines as ``ownership`` says."""
        self.inventory: Inventory | None = None
        self._settings = settings
        self._incarnation = incarnation
        self._members = members
        self._ownership = ownership
        self._pool = pool
        self._peers = peers
        self._store = store
        self._quarantine = quarantine
        self._chance = chance
        self._owned_by_id: dict[EngineId, _Owned] = {}
        self._turn = 0

    def __len__(self) -> int:
        """Count the engines that we own."""
        return len(self._owned_by_id)

    def owners(self) -> list[EngineOwner]:
        """Give the owner of each engine that is ours."""
        return [owned.owner for owned in self._owned_by_id.values()]

    def find(self, engine_id: EngineId) -> EngineOwner | None:
        """Give the owner of an engine, if it is ours."""
        owned = self._owned_by_id.get(engine_id)
        return owned.owner if owned else None

    async def follow_forever(self) -> None:
        """Adjust what we own to the members and the inventory."""
        seen: object = None
        while True:
            present = tuple(self._members.present_ids())
            state = (present, self.inventory)
            if state != seen:
                seen = state
                await self.adjust()
            await curio.sleep(_CHECK_SECONDS)

    async def adjust(self) -> None:
        """Start owning what is ours now and stop owning what is not."""
        wanted = self._wanted()
        for engine_id in list(self._owned_by_id):
            engine = wanted.get(engine_id)
            if engine != self._owned_by_id[engine_id].owner.engine:
                await self._release(engine_id)
        for engine_id, engine in wanted.items():
            if engine_id not in self._owned_by_id:
                await self._acquire(engine)

    async def pump(self) -> None:
        """Let every scheduler with waiting requests look again.

        Another one begins each time: the first takes what the store's share
        has left, and the last of a fixed order would never get any.
        """
        owners = self.owners()
        self._turn += 1
        first = self._turn % max(len(owners), 1)
        for owner in (*owners[first:], *owners[:first]):
            if len(owner.scheduler.queue):
                await owner.scheduler.pump()

    def suspect_leases(self) -> None:
        """Renew every lease before the next dispatch: we were paused."""
        for owner in self.owners():
            owner.suspect_lease()

    async def answer_takeover(
        self,
        ask: TakeoverAsk,
        _remote: object,
    ) -> TakeoverReply:
        """Tell the owner of an engine whether we have taken it over."""
        taken = ask.engine in self._owned_by_id
        return TakeoverReply(
            taken,
            self._settings.scheduling.claim_quiet_seconds,
        )

    async def close(self) -> None:
        """Give every engine up."""
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
            self._ended_ties,
            self._view,
            self._chance,
        )
        owner.crash_listeners.append(self._crashed)
        # A load that ended anywhere frees the store's budget for all.
        owner.loader.end_listener = self.pump
        task = await curio.spawn(owner.run, daemon=True)
        self._owned_by_id[engine.id] = _Owned(owner, task)

    async def _release(self, engine_id: EngineId) -> None:
        owned = self._owned_by_id.pop(engine_id)
        logger.info('engine {} is given up', engine_id)
        await owned.task.cancel()
        await owned.owner.end(not_owner(engine_id))

    async def _crashed(self, engine_id: str, boot: str) -> None:
        self._quarantine.crashed(engine_id, boot)  # type: ignore[arg-type]

    def _view(self) -> int:
        return self._members.epoch

    def _ended_ties(self) -> set[int]:
        return {
            claimer_tie(vm, incarnation)
            for vm, incarnation in self._members.ended_processes()
        }

    async def _ask_deputy(self, engine: Engine) -> float:
        """Give the seconds for which the deputy has not taken over.

        Asked for engines that ignore fencing numbers. Nothing but the VMs
        themselves keeps two parts of a split fleet apart there, so only the
        part with a quorum owns them.
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
