"""Runs a claimed call: asks its holders, sends it, records the outcome."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from flamingovalve.errors import ConnectionLost, ServingError
from flamingovalve.generated.ids import Incarnation
from flamingovalve.generated.messages import (
    ClaimAsk,
    ClaimReply,
    ClaimState,
    ClaimTell,
)
from flamingovalve.util.logs import get_logger
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    from flamingovalve.claims.holders import HolderReply, Holders, Quorum
    from flamingovalve.claims.table import ClaimRecord, ClaimTable
    from flamingovalve.generated.ids import ClaimKey, VmId
    from flamingovalve.http.client import UpstreamConnection
    from flamingovalve.relay.services import ServiceRelay, ServiceRequest

logger = get_logger(__name__)


@dataclass
class ClaimCounts:
    """How claims ended since this process started."""

    run: int = 0
    replayed: int = 0
    sealed: int = 0
    unknown: int = 0
    blocked: int = 0
    joined: int = 0


@dataclass(slots=True)
class Claim:
    """One non-idempotent request and the key that it runs under.

    :ivar witnesses: for a permit, the processes whose acknowledgement a run
        needs besides the executor's own
    :ivar quorum: for a caller's own key, whose acknowledgements it needs
    """

    request: ServiceRequest
    key: ClaimKey
    body_digest: bytes
    addresses: list[str]
    witnesses: list[tuple[VmId, Incarnation]] = field(default_factory=list)
    quorum: Quorum | None = None

    def holder_names(self) -> list[VmId]:
        """Give every VM that keeps a record of the key."""
        if self.quorum is not None:
            return self.quorum.names
        return [name for name, _incarnation in self.witnesses]

    def others(self, own_id: VmId) -> list[VmId]:
        """Give the holders besides ourselves, in the order to ask."""
        return [name for name in self.holder_names() if name != own_id]


class ClaimRunner:
    """The executor's part: from a claim of our own to its outcome.

    The first byte goes upstream only after every holder of the key has
    acknowledged this process as the only one that may send it.
    """

    def __init__(
        self,
        identity: tuple[VmId, Incarnation],
        table: ClaimTable,
        holders: Holders,
        relay: ServiceRelay,
    ) -> None:
        """Run claims as the process ``identity``."""
        self.counts = ClaimCounts()
        self.tasks = TaskSet()
        self._own_id = identity[0]
        self._incarnation = identity[1]
        self._table = table
        self._holders = holders
        self._relay = relay

    async def start(self, record: ClaimRecord, claim: Claim) -> None:
        """Run a claim whose record is ours.

        The run does not end when the caller hangs up: its outcome has to be
        recorded for the resend that follows.
        """
        await self.tasks.spawn(self._execute, record, claim)

    async def _execute(self, record: ClaimRecord, claim: Claim) -> None:
        try:
            await self._execute_claimed(record, claim)
        except BaseException:
            if not record.settled.is_set():
                await record.settle(ClaimState.UNKNOWN)
            raise

    async def _execute_claimed(
        self,
        record: ClaimRecord,
        claim: Claim,
    ) -> None:
        if not await self._collect(record, claim):
            return
        try:
            connection = await self._relay.connect_fresh(
                claim.request,
                claim.addresses,
            )
        except ServingError:
            await self._refuse(record, claim)
            return
        if claim.request.remaining() <= 0:
            # A process that was paused here wakes up late: the caller has
            # been told something else by now.
            await connection.close()
            await self._refuse(record, claim)
            return
        await self._send_upstream(record, claim, connection)

    async def _send_upstream(
        self,
        record: ClaimRecord,
        claim: Claim,
        connection: UpstreamConnection,
    ) -> None:
        try:
            response = await self._relay.run_on(connection, claim.request)
        except (ConnectionLost, TimeoutError) as failed:
            logger.warning('a claimed call has no outcome: {}', failed)
            await self._settle(record, claim, ClaimState.UNKNOWN)
            return
        self.counts.run += 1
        content_type = response.header('content-type') or ''
        record.keep(response.status, content_type, response.body)
        await self._settle(record, claim, ClaimState.FINISHED)

    async def _settle(
        self,
        record: ClaimRecord,
        claim: Claim,
        state: ClaimState,
    ) -> None:
        await record.settle(state)
        await self.tasks.spawn(self._tell_holders, record, claim)

    async def _refuse(self, record: ClaimRecord, claim: Claim) -> None:
        """Settle a claim that was not run and must not run any more.

        The caller is told "not run" only if the key is sealed where any run
        would have to ask; otherwise that the outcome is unknown.
        """
        record.state = ClaimState.SEALED
        sealed = {self._own_id: self._incarnation}
        told = self._told(record)
        for name in claim.others(self._own_id):
            answered = await self._holders.ask(name, told)
            reply = answered.reply
            if reply is not None and reply.state is ClaimState.SEALED:
                sealed[name] = answered.incarnation
        final = claim.quorum is None or claim.quorum.is_met(sealed)
        state = ClaimState.SEALED if final else ClaimState.UNKNOWN
        await record.settle(state)

    async def _tell_holders(self, record: ClaimRecord, claim: Claim) -> None:
        # The requests that wait for this answer have been woken before and
        # read it whole; what is kept for resends is bounded.
        if record.state is ClaimState.FINISHED:
            self._table.count_answer(record)
        for name in claim.others(self._own_id):
            await self._holders.ask(name, self._told(record))

    def _told(self, record: ClaimRecord) -> ClaimTell:
        return ClaimTell(
            record.key,
            record.executor,
            record.incarnation,
            record.state,
            record.status,
            record.content_type,
            record.answer,
        )

    async def _collect(self, record: ClaimRecord, claim: Claim) -> bool:
        """Get the acknowledgements that the run needs.

        :returns: whether it may run; otherwise the record is settled
        """
        if claim.quorum is None:
            return await self._collect_witness(record, claim)
        return await self._collect_quorum(record, claim, claim.quorum)

    async def _collect_witness(
        self,
        record: ClaimRecord,
        claim: Claim,
    ) -> bool:
        for name, incarnation in claim.witnesses:
            answered = await self._ask(claim, name, incarnation)
            reply = answered.reply
            if reply is None or not reply.acknowledged:
                await self._give_way(record, claim, reply)
                return False
        return True

    async def _collect_quorum(
        self,
        record: ClaimRecord,
        claim: Claim,
        quorum: Quorum,
    ) -> bool:
        """Ask the holders in the order that all executors keep.

        Two executors that race for one key meet at the first holder that
        both reach, and only one of them is acknowledged there.
        """
        acknowledged = {self._own_id: self._incarnation}
        for name in claim.others(self._own_id):
            if quorum.is_met(acknowledged):
                return True
            answered = await self._ask(claim, name, Incarnation(0))
            if answered.reply is None:
                continue
            if not answered.reply.acknowledged:
                await self._give_way(record, claim, answered.reply)
                return False
            acknowledged[name] = answered.incarnation
        if quorum.is_met(acknowledged):
            return True
        self.counts.blocked += 1
        await self._refuse(record, claim)
        return False

    async def _ask(
        self,
        claim: Claim,
        name: VmId,
        incarnation: Incarnation,
    ) -> HolderReply:
        ask = ClaimAsk(
            claim.key,
            self._own_id,
            self._incarnation,
            incarnation,
            claim.body_digest,
        )
        return await self._holders.ask(name, ask)

    async def _give_way(
        self,
        record: ClaimRecord,
        claim: Claim,
        reply: ClaimReply | None,
    ) -> None:
        """Settle a claim that a holder does not acknowledge."""
        if reply is None or reply.state is ClaimState.REFUSED:
            self.counts.blocked += 1
            await self._refuse(record, claim)
            return
        await self._yield_to(record, reply)

    async def _yield_to(self, record: ClaimRecord, reply: ClaimReply) -> None:
        """Follow what a holder already knew of the key."""
        record.follow(reply)
        if reply.state is ClaimState.CLAIMED:
            # Not settled: another executor runs it, and the waiting request
            # is passed on to that one.
            await record.settled.set()
            return
        await record.settle(reply.state)
