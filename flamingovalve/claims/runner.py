"""Execution of a claimed call, from acknowledgements to the outcome."""

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
    """Counters of claims since the process started."""

    run: int = 0
    replayed: int = 0
    sealed: int = 0
    unknown: int = 0
    blocked: int = 0
    joined: int = 0


@dataclass(slots=True)
class Claim:
    """One non-idempotent request and the key that it runs under.

    :ivar addresses: replicas of the service
    :ivar witnesses: for a permit, the processes that must acknowledge a run
        besides its executor
    :ivar quorum: for a caller's own key, the acknowledgements that it needs
    """

    request: ServiceRequest
    key: ClaimKey
    body_digest: bytes
    addresses: list[str]
    witnesses: list[tuple[VmId, Incarnation]] = field(default_factory=list)
    quorum: Quorum | None = None

    def holder_names(self) -> list[VmId]:
        """Return every VM that keeps a record of the key."""
        if self.quorum is not None:
            return self.quorum.names
        return [name for name, _incarnation in self.witnesses]

    def others(self, own_id: VmId) -> list[VmId]:
        """Return the holders except this VM, in the order to ask."""
        return [name for name in self.holder_names() if name != own_id]


class ClaimRunner:
    """Runs the claims of this process as their executor.

    The first byte is sent upstream only after the holders that the claim
    needs have acknowledged this process as the only one that may send it.
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
        """Run a claim whose record names this process as its executor.

        The run goes on when the caller disconnects, since its outcome has to
        be recorded for a later resend.
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
            connection = await self._relay.open_connection(
                claim.request,
                claim.addresses,
            )
        except ServingError:
            await self._refuse(record, claim)
            return
        if claim.request.remaining() <= 0:
            # The deadline passed, as when this process was paused. The caller
            # may have received another response from another VM by now.
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
            logger.warning(
                'the outcome of a claimed call is unknown: {}', failed
            )
            await self._settle(record, claim, ClaimState.UNKNOWN)
            return
        self.counts.run += 1
        content_type = response.header('content-type') or ''
        record.record_answer(
            response.status,
            content_type,
            response.body,
            ends_with_connection=response.ends_with_connection,
        )
        await self._settle(record, claim, ClaimState.FINISHED)

    async def _settle(
        self,
        record: ClaimRecord,
        claim: Claim,
        state: ClaimState,
    ) -> None:
        await record.settle(state)
        await self.tasks.spawn(self._send_outcome, record, claim)

    async def _refuse(self, record: ClaimRecord, claim: Claim) -> None:
        """Settle a claim that was not run and must not run any more.

        The outcome is "not run" only if the key is sealed at enough holders
        that no later run can be acknowledged; otherwise it is "unknown".
        """
        record.state = ClaimState.SEALED
        sealed = {self._own_id: self._incarnation}
        outcome = self._outcome_message(record)
        for name in claim.others(self._own_id):
            holder_reply = await self._holders.ask(name, outcome)
            reply = holder_reply.reply
            if reply is not None and reply.state is ClaimState.SEALED:
                sealed[name] = holder_reply.incarnation
        is_final = claim.quorum is None or claim.quorum.is_met(sealed)
        state = ClaimState.SEALED if is_final else ClaimState.UNKNOWN
        await record.settle(state)

    async def _send_outcome(self, record: ClaimRecord, claim: Claim) -> None:
        # The requests that wait for this response were woken before this
        # task starts, and get all of it. It may be dropped only after that,
        # when it counts towards the limit on the responses kept for resends.
        if record.state is ClaimState.FINISHED:
            self._table.count_answer(record)
        for name in claim.others(self._own_id):
            await self._holders.ask(name, self._outcome_message(record))

    def _outcome_message(self, record: ClaimRecord) -> ClaimTell:
        return ClaimTell(
            record.key,
            record.executor,
            record.incarnation,
            record.state,
            record.status,
            record.content_type,
            record.answer,
            record.ends_with_connection,
        )

    async def _collect(self, record: ClaimRecord, claim: Claim) -> bool:
        """Request the acknowledgements that the run needs.

        :returns: whether it may run; otherwise the record is settled
        """
        if claim.quorum is None:
            return await self._collect_from_witnesses(record, claim)
        return await self._collect_from_quorum(record, claim, claim.quorum)

    async def _collect_from_witnesses(
        self,
        record: ClaimRecord,
        claim: Claim,
    ) -> bool:
        for name, incarnation in claim.witnesses:
            holder_reply = await self._ask_acknowledgement(
                claim, name, incarnation
            )
            reply = holder_reply.reply
            if reply is None or not reply.acknowledged:
                await self._handle_refusal(record, claim, reply)
                return False
        return True

    async def _collect_from_quorum(
        self,
        record: ClaimRecord,
        claim: Claim,
        quorum: Quorum,
    ) -> bool:
        """Ask the holders in the order that all executors use.

        Of two executors that race for one key, only one is acknowledged at
        the first holder that both reach.
        """
        acknowledged = {self._own_id: self._incarnation}
        for name in claim.others(self._own_id):
            if quorum.is_met(acknowledged):
                return True
            holder_reply = await self._ask_acknowledgement(
                claim, name, Incarnation(0)
            )
            if holder_reply.reply is None:
                continue
            if not holder_reply.reply.acknowledged:
                await self._handle_refusal(record, claim, holder_reply.reply)
                return False
            acknowledged[name] = holder_reply.incarnation
        if quorum.is_met(acknowledged):
            return True
        self.counts.blocked += 1
        await self._refuse(record, claim)
        return False

    async def _ask_acknowledgement(
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

    async def _handle_refusal(
        self,
        record: ClaimRecord,
        claim: Claim,
        reply: ClaimReply | None,
    ) -> None:
        """Handle the reply of a holder that does not acknowledge a claim."""
        if reply is None or reply.state is ClaimState.REFUSED:
            self.counts.blocked += 1
            await self._refuse(record, claim)
            return
        await self._adopt_reply(record, reply)

    async def _adopt_reply(
        self, record: ClaimRecord, reply: ClaimReply
    ) -> None:
        """Adopt the record that a holder already had of the key."""
        record.copy_from(reply)
        if reply.state is ClaimState.CLAIMED:
            # Another executor runs the call. The event only wakes the waiting
            # requests, which are then forwarded to that executor.
            await record.settled.set()
            return
        await record.settle(reply.state)
