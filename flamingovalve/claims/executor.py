"""Executes non-idempotent calls, each of which runs at most once.

Finds the process that may run a call: this one, or one on another VM to which
the call is forwarded. docs/design/at-most-once.md shows why no call runs twice.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.claims import refusals
from flamingovalve.claims.keys import (
    body_digest,
    key_time,
    own_claim_key,
    scope_of,
)
from flamingovalve.claims.permit import (
    Permit,
    PermitMaker,
    is_permit,
    parse_permit,
)
from flamingovalve.claims.runner import Claim, ClaimRunner
from flamingovalve.claims.table import ClaimRecord, ClaimTable, reply_of
from flamingovalve.errors import ErrorKind, Ran, ServingError
from flamingovalve.generated.ids import ClaimKey, Incarnation, VmId
from flamingovalve.generated.messages import ClaimReply, ClaimState, SealAsk
from flamingovalve.http.messages import Response
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.claims.holders import Holders
    from flamingovalve.generated.settings import Settings
    from flamingovalve.membership.members import MemberTable
    from flamingovalve.relay.services import ServiceRelay, ServiceRequest

MAX_HOPS: Final = 2


class ForwardFailed(Exception):
    """A call could not be forwarded to the VM that should run it.

    :ivar ended: whether the process there has provably ended
    """

    def __init__(self, message: str, *, ended: bool) -> None:
        """Create the error with its reason."""
        super().__init__(message)
        self.ended = ended


class CallExecutor:
    """Runs non-idempotent calls or forwards them to their executor.

    :ivar refuses_new_calls: whether new calls are refused and their keys
        sealed, because this VM leaves
    :ivar drains_until: new calls with a later deadline are refused as well, on
        the monotonic clock; infinite unless this VM leaves
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: Incarnation,
        members: MemberTable,
        holders: Holders,
        relay: ServiceRelay,
        forward: Callable[[VmId, Any], Awaitable[Response]],
    ) -> None:
        """Run calls over ``relay`` and forward others by ``forward``."""
        self.table = ClaimTable(settings.claims)
        self.runner = ClaimRunner(
            (settings.vm.id, incarnation),
            self.table,
            holders,
            relay,
        )
        self.counts = self.runner.counts
        self.refuses_new_calls = False
        self.drains_until = math.inf
        self._settings = settings.claims
        self._own_id = VmId(settings.vm.id)
        self._incarnation = incarnation
        self._permits = PermitMaker(self._own_id, incarnation)
        self._members = members
        self._holders = holders
        self._forward = forward

    def make_permit(self, application: str, service: str, call: str) -> str:
        """Return a new permit whose call this process can run."""
        own = self._members.by_id.get(self._own_id)
        witness = self._holders.witness_for(own) if own else None
        identity = (VmId(''), Incarnation(0))
        if witness is not None:
            identity = (VmId(witness.vm.id), witness.incarnation)
        scope = scope_of(application, service, call)
        return self._permits.make(
            scope, identity, self._settings.permit_seconds
        )

    async def execute(
        self,
        request: ServiceRequest,
        addresses: list[str],
    ) -> Response:
        """Run the call here, or forward it to its executor.

        :param addresses: replicas of the service
        :returns: the response of the service, also for a resend
        :raises ServingError: if there is no response; its ``ran`` states
            whether the call may have run
        """
        if not request.key:
            raise refusals.claim_needed()
        if is_permit(request.key):
            return await self._execute_with_permit(request, addresses)
        return await self._execute_with_own_key(request, addresses)

    # -- Permits

    async def _execute_with_permit(
        self,
        request: ServiceRequest,
        addresses: list[str],
    ) -> Response:
        permit = _parse_and_check_permit(request)
        claim = Claim(
            request,
            ClaimKey(request.key),
            body_digest(request),
            addresses,
            _witnesses_of(permit),
        )
        if permit.executor != self._own_id:
            return await self._forward_to_executor(claim, permit)
        if permit.executor_incarnation != self._incarnation:
            return await self._ask_witness(claim, permit, ended=True)
        if not self._permits.is_ours(request.key):
            raise refusals.forged_permit()
        self._check_expiry(claim, permit)
        return await self._run_or_join(claim)

    def _check_expiry(self, claim: Claim, permit: Permit) -> None:
        overdue = clock.wall() - permit.expires_at
        if overdue <= 0 or self.table.find(claim.key) is not None:
            return
        if overdue > self._settings.record_seconds / 2:
            # The record of a run may have expired by now.
            raise refusals.expired(Ran.UNKNOWN)
        no_executor = (VmId(''), Incarnation(0))
        self.table.add(claim.key, ClaimState.SEALED, no_executor, b'')
        raise refusals.expired(Ran.NOT)

    async def _forward_to_executor(
        self,
        claim: Claim,
        permit: Permit,
    ) -> Response:
        if claim.request.hops >= MAX_HOPS:
            raise refusals.outcome_unknown('it was forwarded too often')
        ended = False
        member = self._members.by_id.get(permit.executor)
        replaced = (
            member is not None
            and member.incarnation > permit.executor_incarnation
        )
        if not replaced:
            try:
                return await self._forward(permit.executor, claim.request)
            except ForwardFailed as failed:
                ended = failed.ended
        return await self._ask_witness(claim, permit, ended=ended or replaced)

    async def _ask_witness(
        self,
        claim: Claim,
        permit: Permit,
        *,
        ended: bool,
    ) -> Response:
        """Ask the witness of a permit whose executor cannot be reached.

        The executor runs the call only after the witness acknowledged it. A
        witness without a record seals the key, so the call can never run.
        """
        if not permit.witness:
            raise self._unknown_outcome(
                'its executor is unreachable and had no witness'
            )
        ask = SealAsk(claim.key, permit.witness_incarnation, claim.body_digest)
        _incarnation, reply = await self._seal_at(permit.witness, ask)
        if reply is None or reply.state is ClaimState.REFUSED:
            raise self._unknown_outcome(
                'neither its executor nor its witness knows'
            )
        if reply.state is ClaimState.CLAIMED and not ended:
            raise self._unknown_outcome(
                'its executor does not answer', retry_after=2
            )
        return self._response_of(reply)

    async def _seal_at(
        self,
        vm: VmId,
        ask: SealAsk,
    ) -> tuple[Incarnation, ClaimReply | None]:
        if vm == self._own_id:
            reply = await self.table.seal(ask, self._incarnation)
            return self._incarnation, reply
        holder_reply = await self._holders.ask(vm, ask)
        return holder_reply.incarnation, holder_reply.reply

    # -- Keys made by the caller

    async def _execute_with_own_key(
        self,
        request: ServiceRequest,
        addresses: list[str],
    ) -> Response:
        made_at = key_time(request)
        self._check_key_age(made_at)
        key = own_claim_key(request)
        claim = Claim(
            request,
            key,
            body_digest(request),
            addresses,
            quorum=self._holders.quorum(key, made_at),
        )
        for name in claim.holder_names():
            response = await self._execute_at_holder(name, claim)
            if response is not None:
                return response
        raise await self._refuse_blocked(claim)

    async def _execute_at_holder(
        self, name: VmId, claim: Claim
    ) -> Response | None:
        """Run a claim at one of its holders.

        :returns: the response; None if that holder does not reply. The next
            holder may then run it: the silent one alone is no majority, so
            it cannot allow a second run
        """
        if name == self._own_id:
            return await self._run_or_join(claim)
        if claim.request.hops >= MAX_HOPS:
            return None
        try:
            return await self._forward(name, claim.request)
        except ForwardFailed:
            return None

    def _check_key_age(self, made_at: float) -> None:
        age = clock.wall() - made_at
        if age < -self._settings.skew_seconds:
            raise refusals.clock_ahead()
        if age > self._settings.key_seconds:
            # Its record may have expired, so this could be a second run.
            raise refusals.key_too_old(self._settings.key_seconds)

    async def _refuse_blocked(self, claim: Claim) -> ServingError:
        """Seal a call for which too few holders answer; return its error."""
        self.counts.blocked += 1
        if await self._seal_at_holders(claim):
            return refusals.holders_silent()
        return self._unknown_outcome('too few VMs that remember its key answer')

    async def _seal_at_holders(self, claim: Claim) -> bool:
        """Ensure that a call never runs under a caller's own key.

        The key is sealed at a quorum, so that no quorum is left for a run. A
        seal at one holder is not enough: if that one ended, the others could
        still run the call.

        :returns: whether "not run" is true for good
        """
        assert claim.quorum is not None
        ask = SealAsk(claim.key, Incarnation(0), claim.body_digest)
        sealed = {}
        for name in claim.quorum.names:
            incarnation, reply = await self._seal_at(name, ask)
            if reply is not None and reply.state is ClaimState.SEALED:
                sealed[name] = incarnation
        return claim.quorum.is_met(sealed)

    # -- Running

    async def _run_or_join(self, claim: Claim) -> Response:
        record = self.table.find(claim.key)
        if record is None:
            record = await self._start(claim)
        elif not _same_body(record, claim):
            raise refusals.key_reused()
        else:
            self.counts.joined += 1
        if self._is_executor_of(record):
            await self._wait_until_settled(record, claim)
        if record.state is ClaimState.CLAIMED:
            # Another executor was acknowledged for this key, before this one
            # asked or while this request waited.
            return await self._forward_to_claimant(record, claim)
        return self._response_of(reply_of(record, claim.body_digest))

    async def _start(self, claim: Claim) -> ClaimRecord:
        if self.refuses_new_calls or claim.request.deadline > self.drains_until:
            # While this VM leaves, it still serves resends. New calls are
            # sealed, so that "not run" stays true after this process ended.
            raise await self._refuse_to_start(claim, refusals.leaving())
        own = (self._own_id, self._incarnation)
        record = self.table.add(
            claim.key,
            ClaimState.CLAIMED,
            own,
            claim.body_digest,
        )
        if record is None:
            raise await self._refuse_to_start(claim, refusals.table_full())
        await self.runner.start(record, claim)
        return record

    async def _refuse_to_start(
        self,
        claim: Claim,
        refusal: ServingError,
    ) -> ServingError:
        # Another copy of this call may still arrive, here or at another VM.
        # Only a seal ensures that it does not run then.
        if await self._seal_call(claim):
            return refusal
        return self._unknown_outcome('this VM cannot record the call')

    async def _seal_call(self, claim: Claim) -> bool:
        if claim.quorum is not None:
            return await self._seal_at_holders(claim)
        # Only this process can run the call of its own permit.
        ask = SealAsk(claim.key, Incarnation(0), claim.body_digest)
        reply = await self.table.seal(ask, self._incarnation)
        return reply.state is ClaimState.SEALED

    async def _wait_until_settled(
        self, record: ClaimRecord, claim: Claim
    ) -> None:
        remaining = max(claim.request.remaining(), 0)
        async with curio.ignore_after(remaining):
            await record.settled.wait()
        if not record.settled.is_set():
            raise self._unknown_outcome('it is still running', retry_after=1)

    def _is_executor_of(self, record: ClaimRecord) -> bool:
        owner = (record.executor, record.incarnation)
        return owner == (self._own_id, self._incarnation)

    async def _forward_to_claimant(
        self,
        record: ClaimRecord,
        claim: Claim,
    ) -> Response:
        if claim.request.hops >= MAX_HOPS:
            raise self._unknown_outcome('another VM runs it', retry_after=1)
        try:
            return await self._forward(record.executor, claim.request)
        except ForwardFailed as failed:
            reason = f'{record.executor} claimed it and does not answer'
            raise self._unknown_outcome(reason) from failed

    # -- Outcomes

    def _response_of(self, reply: ClaimReply) -> Response:
        if reply.state is ClaimState.FINISHED:
            return self._replay(reply)
        if reply.state is ClaimState.SEALED:
            self.counts.sealed += 1
            raise refusals.sealed()
        raise self._unknown_outcome('its executor ended or lost the upstream')

    def _replay(self, reply: ClaimReply) -> Response:
        self.counts.replayed += 1
        if not reply.status:
            raise refusals.answer_not_kept()
        headers = [('content-type', reply.content_type)]
        return Response(
            reply.status,
            headers,
            reply.answer,
            ends_with_connection=reply.ends_with_connection,
        )

    def _unknown_outcome(
        self,
        reason: str,
        retry_after: float | None = None,
    ) -> ServingError:
        self.counts.unknown += 1
        return refusals.outcome_unknown(reason, retry_after)


def _witnesses_of(permit: Permit) -> list[tuple[VmId, Incarnation]]:
    if not permit.witness:
        return []
    return [(permit.witness, permit.witness_incarnation)]


def _same_body(record: ClaimRecord, claim: Claim) -> bool:
    recorded = record.body_digest
    return not recorded or recorded == claim.body_digest


def _parse_and_check_permit(request: ServiceRequest) -> Permit:
    parsed = parse_permit(request.key)
    if parsed.is_error():
        raise parsed.error
    scope = scope_of(request.application, request.service, request.call)
    if parsed.ok.scope != scope:
        raise ServingError(
            ErrorKind.CLAIM_NEEDED,
            f'the permit is valid for {parsed.ok.scope!r}, not {scope!r}; '
            'ask /v1/entry for one of this call',
        )
    return parsed.ok
