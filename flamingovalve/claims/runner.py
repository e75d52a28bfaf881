"""Runs a claimed call: asks its holders, sends it, records the outcome."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.errors import ConnectionLost, ServingError
from flamingovalve.generated.messages import (
    ClaimAsk,
    ClaimReply,
    ClaimState,
    ClaimTell,
)
from flamingovalve.util.logs import get_logger
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    from flamingovalve.claims.holders import HolderReply, Holders
    from flamingovalve.claims.table import ClaimRecord, ClaimTable
    from flamingovalve.generated.ids import ClaimKey, Incarnation, VmId
    from flamingovalve.generated.settings import ClaimSettings
    from flamingovalve.http.client import UpstreamConnection
    from flamingovalve.relay.services import ServiceRelay, ServiceRequest

logger = get_logger(__name__)

_MICROSECONDS: Final = 1_000_000


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

    :ivar holders: VMs whose acknowledgement a run needs, in order, each
        with the incarnation that is meant (0 for any); ourselves included
    :ivar made_at: Unix time at which the caller's own key was made; 0 for
        a permit
    """

    request: ServiceRequest
    key: ClaimKey
    body_digest: bytes
    holders: list[tuple[VmId, Incarnation]]
    addresses: list[str]
    made_at: float = 0


class ClaimRunner:
    """The executor's part: from a claim of our own to its outcome.

    The first byte goes upstream only after every holder of the key has
    acknowledged this process as the only one that may send it.
    """

    def __init__(
        self,
        identity: tuple[VmId, Incarnation],
        settings: ClaimSettings,
        table: ClaimTable,
        holders: Holders,
        relay: ServiceRelay,
    ) -> None:
        """Run claims as the process ``identity``."""
        self.counts = ClaimCounts()
        self.tasks = TaskSet()
        self._own_id = identity[0]
        self._incarnation = identity[1]
        self._settings = settings
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
            await self._settle(record, claim, ClaimState.SEALED)
            return
        if claim.request.remaining() <= 0:
            # A process that was paused here wakes up late: the caller has
            # been told something else by now.
            await connection.close()
            await self._settle(record, claim, ClaimState.SEALED)
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
        if state is ClaimState.SEALED:
            # The caller is told "not run" once this is settled. Whoever may
            # be asked after us has to know first: were we to end before
            # that, the others would pass us over and run it.
            record.state = state
            await self._tell_holders(record, claim)
            await record.settle(state)
            return
        await record.settle(state)
        await self.tasks.spawn(self._tell_holders, record, claim)

    async def _tell_holders(self, record: ClaimRecord, claim: Claim) -> None:
        # The requests that wait for this answer have been woken before and
        # read it whole; what is kept for resends is bounded.
        if record.state is ClaimState.FINISHED:
            self._table.count_answer(record)
        told = ClaimTell(
            record.key,
            record.executor,
            record.incarnation,
            record.state,
            record.status,
            record.content_type,
            record.answer,
        )
        for name, _incarnation in claim.holders:
            if name != self._own_id:
                await self._holders.ask(name, told)

    async def _collect(self, record: ClaimRecord, claim: Claim) -> bool:
        """Ask every other holder in the order that all executors keep.

        Two executors that race for one key meet at the first holder they
        share, and only one of them is acknowledged there.

        :returns: whether all acknowledged
        """
        oldest = self._incarnation
        for name, incarnation in claim.holders:
            if name == self._own_id:
                continue
            ask = ClaimAsk(
                claim.key,
                self._own_id,
                self._incarnation,
                incarnation,
                claim.body_digest,
            )
            answered = await self._holders.ask(name, ask, incarnation)
            if not await self._accept(record, claim, answered):
                return False
            if answered.reply is not None:
                oldest = min(oldest, answered.incarnation)
        if claim.made_at and not self._remembers(claim, oldest):
            await self._settle(record, claim, ClaimState.UNKNOWN)
            return False
        return True

    async def _accept(
        self,
        record: ClaimRecord,
        claim: Claim,
        answered: HolderReply,
    ) -> bool:
        reply = answered.reply
        if reply is not None and reply.acknowledged:
            return True
        if reply is None and answered.ended and claim.made_at:
            # A process that is gone can neither remember nor acknowledge.
            return True
        if reply is None or reply.state is ClaimState.REFUSED:
            self.counts.blocked += 1
            await self._settle(record, claim, ClaimState.SEALED)
            return False
        await self._yield_to(record, reply)
        return False

    async def _yield_to(self, record: ClaimRecord, reply: ClaimReply) -> None:
        """Follow what a holder already knew of the key."""
        record.follow(reply)
        if reply.state is ClaimState.CLAIMED:
            # Not settled: another executor runs it, and the waiting request
            # is passed on to that one.
            await record.settled.set()
            return
        await record.settle(reply.state)

    def _remembers(self, claim: Claim, oldest: Incarnation) -> bool:
        # A holder that started after the key was made does not know what
        # its predecessor acknowledged. If all of them are that young, an
        # earlier run may be forgotten.
        since = claim.made_at - self._settings.skew_seconds
        return oldest / _MICROSECONDS <= since
