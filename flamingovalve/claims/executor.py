"""Takes non-idempotent calls, each of which runs at most once.

Finds the process that may run a call: ourselves, or another VM to which the
call is passed on. See docs/design/at-most-once.md for the argument.
"""

from __future__ import annotations

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

LONGEST_ROUTE: Final = 2


class ForwardFailed(Exception):
    """A call could not be passed to the VM that should run it.

    :ivar ended: the process there is provably gone
    """

    def __init__(self, message: str, *, ended: bool) -> None:
        """State why."""
        super().__init__(message)
        self.ended = ended


class CallExecutor:
    """Takes non-idempotent calls, as executor or on the way to one."""

    def __init__(
        self,
        settings: Settings,
        incarnation: Incarnation,
        members: MemberTable,
        holders: Holders,
        relay: ServiceRelay,
        forward: Callable[[VmId, Any], Awaitable[Response]],
    ) -> None:
        """Run calls over ``relay`` and pass others on by ``forward``."""
        self.table = ClaimTable(settings.claims)
        self.runner = ClaimRunner(
            (settings.vm.id, incarnation),
            self.table,
            holders,
            relay,
        )
        self.counts = self.runner.counts
        self.starts_none = False
        self._settings = settings.claims
        self._own_id = VmId(settings.vm.id)
        self._incarnation = incarnation
        self._permits = PermitMaker(self._own_id, incarnation)
        self._members = members
        self._holders = holders
        self._forward = forward

    def make_permit(self, application: str, service: str, call: str) -> str:
        """Give a permit that this process will honour."""
        own = self._members.by_id.get(self._own_id)
        witness = self._holders.witness_for(own) if own else None
        named = (VmId(''), Incarnation(0))
        if witness is not None:
            named = (VmId(witness.vm.id), witness.incarnation)
        scope = scope_of(application, service, call)
        return self._permits.make(scope, named, self._settings.permit_seconds)

    async def execute(
        self,
        request: ServiceRequest,
        addresses: list[str],
    ) -> Response:
        """Run the call here or where it belongs.

        :param addresses: replicas of the service
        :raises ServingError: when there is no answer; ``ran`` tells whether
            the call may have run
        """
        if not request.key:
            raise refusals.claim_needed()
        if is_permit(request.key):
            return await self._with_permit(request, addresses)
        return await self._with_own_key(request, addresses)

    # -- Permits

    async def _with_permit(
        self,
        request: ServiceRequest,
        addresses: list[str],
    ) -> Response:
        permit = _checked_permit(request)
        claim = Claim(
            request,
            ClaimKey(request.key),
            body_digest(request),
            addresses,
            _witnesses(permit),
        )
        if permit.executor != self._own_id:
            return await self._pass_to_executor(claim, permit)
        if permit.executor_incarnation != self._incarnation:
            return await self._ask_witness(claim, permit, ended=True)
        if not self._permits.is_ours(request.key):
            raise refusals.forged_permit()
        self._check_expiry(claim, permit)
        return await self._run_or_join(claim)

    def _check_expiry(self, claim: Claim, permit: Permit) -> None:
        late = clock.wall() - permit.expires_at
        if late <= 0 or self.table.find(claim.key) is not None:
            return
        if late > self._settings.record_seconds / 2:
            # The record of a run may have been dropped by now.
            raise refusals.expired(Ran.UNKNOWN)
        nobody = (VmId(''), Incarnation(0))
        self.table.add(claim.key, ClaimState.SEALED, nobody, b'')
        raise refusals.expired(Ran.NOT)

    async def _pass_to_executor(
        self,
        claim: Claim,
        permit: Permit,
    ) -> Response:
        if claim.request.hops >= LONGEST_ROUTE:
            raise refusals.outcome_unknown('it was passed on too often')
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
        """Settle a permit whose executor cannot be asked.

        The executor needs the witness before it runs. A witness that has no
        record seals the key, and then the call can never run.
        """
        if not permit.witness:
            raise self._unknown('its executor is gone and had no witness')
        ask = SealAsk(claim.key, permit.witness_incarnation, claim.body_digest)
        _incarnation, reply = await self._seal_at(permit.witness, ask)
        if reply is None or reply.state is ClaimState.REFUSED:
            raise self._unknown('neither executor nor witness can tell')
        if reply.state is ClaimState.CLAIMED and not ended:
            raise self._unknown('its executor does not answer', retry_after=2)
        return self._settled(reply)

    async def _seal_at(
        self,
        vm: VmId,
        ask: SealAsk,
    ) -> tuple[Incarnation, ClaimReply | None]:
        if vm == self._own_id:
            reply = await self.table.seal(ask, self._incarnation)
            return self._incarnation, reply
        answered = await self._holders.ask(vm, ask)
        return answered.incarnation, answered.reply

    # -- The caller's own keys

    async def _with_own_key(
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
            response = await self._at_holder(name, claim)
            if response is not None:
                return response
        raise await self._blocked(claim)

    async def _at_holder(self, name: VmId, claim: Claim) -> Response | None:
        """Run a claim at one of its holders.

        :returns: nothing when that holder does not answer; the next one may
            run it, for the silent one alone cannot let it run again
        """
        if name == self._own_id:
            return await self._run_or_join(claim)
        if claim.request.hops >= LONGEST_ROUTE:
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
            # Its record may be gone, so a run now might be the second one.
            raise refusals.key_too_old(self._settings.key_seconds)

    async def _blocked(self, claim: Claim) -> ServingError:
        """Refuse a call because too few of its holders answer."""
        self.counts.blocked += 1
        if await self._seal_at_holders(claim):
            return refusals.holders_silent()
        return self._unknown('too few VMs that remember its key answer')

    async def _seal_at_holders(self, claim: Claim) -> bool:
        """See to it that a call never runs under a caller's own key.

        Sealed at a quorum, so that no other quorum is left for a run. One
        holder would not do: if it ended, others would run the call.

        :returns: whether "not run" is true and stays so
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
        if self._is_ours(record):
            await self._wait(record, claim)
        if record.state is ClaimState.CLAIMED:
            # Another executor was acknowledged before us, or meanwhile.
            return await self._pass_to_claimant(record, claim)
        return self._settled(reply_of(record, claim.body_digest))

    async def _start(self, claim: Claim) -> ClaimRecord:
        if self.starts_none:
            # Leaving: resends are still answered, new calls are sealed, so
            # that "not run" stays true after this process has ended.
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
        # Another copy of this call may still be on its way. Only a seal
        # makes sure that it does not run after all.
        if await self._seal_for_good(claim):
            return refusal
        return self._unknown('this VM cannot record the call')

    async def _seal_for_good(self, claim: Claim) -> bool:
        if claim.quorum is not None:
            return await self._seal_at_holders(claim)
        # Nobody but this process can run a permit of its own.
        ask = SealAsk(claim.key, Incarnation(0), claim.body_digest)
        reply = await self.table.seal(ask, self._incarnation)
        return reply.state is ClaimState.SEALED

    async def _wait(self, record: ClaimRecord, claim: Claim) -> None:
        remaining = max(claim.request.remaining(), 0)
        async with curio.ignore_after(remaining):
            await record.settled.wait()
        if not record.settled.is_set():
            raise self._unknown('it still runs', retry_after=1)

    def _is_ours(self, record: ClaimRecord) -> bool:
        owner = (record.executor, record.incarnation)
        return owner == (self._own_id, self._incarnation)

    async def _pass_to_claimant(
        self,
        record: ClaimRecord,
        claim: Claim,
    ) -> Response:
        if claim.request.hops >= LONGEST_ROUTE:
            raise self._unknown('another VM runs it', retry_after=1)
        try:
            return await self._forward(record.executor, claim.request)
        except ForwardFailed as failed:
            reason = f'{record.executor} claimed it and does not answer'
            raise self._unknown(reason) from failed

    # -- Outcomes

    def _settled(self, reply: ClaimReply) -> Response:
        if reply.state is ClaimState.FINISHED:
            return self._replay(reply)
        if reply.state is ClaimState.SEALED:
            self.counts.sealed += 1
            raise refusals.sealed()
        raise self._unknown('its executor ended or lost the upstream')

    def _replay(self, reply: ClaimReply) -> Response:
        self.counts.replayed += 1
        if not reply.status:
            raise refusals.answer_not_kept()
        headers = [('content-type', reply.content_type)]
        return Response(reply.status, headers, reply.answer)

    def _unknown(
        self,
        reason: str,
        retry_after: float | None = None,
    ) -> ServingError:
        self.counts.unknown += 1
        return refusals.outcome_unknown(reason, retry_after)


def _witnesses(permit: Permit) -> list[tuple[VmId, Incarnation]]:
    if not permit.witness:
        return []
    return [(permit.witness, permit.witness_incarnation)]


def _same_body(record: ClaimRecord, claim: Claim) -> bool:
    known = record.body_digest
    return not known or known == claim.body_digest


def _checked_permit(request: ServiceRequest) -> Permit:
    outcome = parse_permit(request.key)
    if outcome.is_error():
        raise outcome.error
    scope = scope_of(request.application, request.service, request.call)
    if outcome.ok.scope != scope:
        raise ServingError(
            ErrorKind.CLAIM_NEEDED,
            f'the permit is good for {outcome.ok.scope!r}, not {scope!r}; '
            'ask /v1/entry for one of this call',
        )
    return outcome.ok
