"""Runs non-idempotent calls at most once.

The executor writes the first byte upstream only after every holder of the
key has acknowledged it as the only one that may. See
docs/design/at-most-once.md for the argument.
"""

from __future__ import annotations

import hashlib
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import curio

from flamingovalve.claims.permit import (
    Permit,
    PermitMaker,
    is_permit,
    parse_permit,
)
from flamingovalve.claims.table import ClaimRecord, ClaimTable, reply_of
from flamingovalve.errors import ConnectionLost, ErrorKind, Ran, ServingError
from flamingovalve.generated.messages import (
    ClaimAsk,
    ClaimKey,
    ClaimReply,
    ClaimState,
    ClaimTell,
    Incarnation,
    SealAsk,
    VmId,
)
from flamingovalve.http.messages import Response
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger
from flamingovalve.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from flamingovalve.claims.holders import HolderReply, Holders
    from flamingovalve.generated.settings import Settings
    from flamingovalve.membership.members import MemberTable
    from flamingovalve.relay.services import ServiceRelay, ServiceRequest

logger = get_logger(__name__)

LONGEST_ROUTE = 2
_UUID7 = 7
_MILLISECONDS = 1000
_MICROSECONDS = 1_000_000


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
        self.counts = ClaimCounts()
        self.running = TaskSet()
        self._settings = settings.claims
        self._own_id = VmId(settings.vm.id)
        self._incarnation = incarnation
        self._permits = PermitMaker(self._own_id, incarnation)
        self._members = members
        self._holders = holders
        self._relay = relay
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

    async def handle(
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
            raise _claim_needed()
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
            self._permit_holders(permit),
            addresses,
        )
        if permit.executor != self._own_id:
            return await self._pass_to_executor(claim, permit)
        if permit.executor_incarnation != self._incarnation:
            return await self._ask_witness(claim, permit, ended=True)
        if not self._permits.is_ours(request.key):
            raise _forged_permit()
        self._check_expiry(claim, permit)
        return await self._run_or_join(claim)

    def _permit_holders(
        self,
        permit: Permit,
    ) -> list[tuple[VmId, Incarnation]]:
        holders = [(permit.executor, permit.executor_incarnation)]
        if permit.witness:
            holders.append((permit.witness, permit.witness_incarnation))
        return holders

    def _check_expiry(self, claim: Claim, permit: Permit) -> None:
        late = clock.wall() - permit.expires_at
        if late <= 0 or self.table.find(claim.key) is not None:
            return
        if late > self._settings.record_seconds / 2:
            # The record of a run may have been dropped by now.
            raise _expired(Ran.UNKNOWN)
        nobody = (VmId(''), Incarnation(0))
        self.table.add(claim.key, ClaimState.SEALED, nobody, b'')
        raise _expired(Ran.NO)

    async def _pass_to_executor(
        self,
        claim: Claim,
        permit: Permit,
    ) -> Response:
        if claim.request.hops >= LONGEST_ROUTE:
            raise _outcome_unknown('it was passed on too often')
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
        reply = await self._seal_at(permit.witness, ask)
        if reply is None or reply.state is ClaimState.REFUSED:
            raise self._unknown('neither executor nor witness can tell')
        if reply.state is ClaimState.CLAIMED and not ended:
            raise self._unknown('its executor does not answer', retry_after=2)
        return self._settled(reply)

    async def _seal_at(self, vm: VmId, ask: SealAsk) -> ClaimReply | None:
        if vm == self._own_id:
            return await self.table.seal(ask, self._incarnation)
        answered = await self._holders.ask(vm, ask)
        return answered.reply

    # -- The caller's own keys

    async def _with_own_key(
        self,
        request: ServiceRequest,
        addresses: list[str],
    ) -> Response:
        made_at = key_time(request)
        key = own_claim_key(request)
        names = self._holders.of_key(key)
        claim = Claim(
            request,
            key,
            body_digest(request),
            [(VmId(name), Incarnation(0)) for name in names],
            addresses,
            made_at,
        )
        self._check_key_age(claim)
        for name in names:
            if name == self._own_id:
                return await self._run_or_join(claim)
            try:
                return await self._pass_to_holder(VmId(name), claim)
            except ForwardFailed as failed:
                if failed.ended:
                    continue
                raise await self._blocked(claim) from failed
        raise await self._blocked(claim)

    async def _pass_to_holder(self, name: VmId, claim: Claim) -> Response:
        if claim.request.hops >= LONGEST_ROUTE:
            raise ForwardFailed('passed on too often', ended=False)
        return await self._forward(name, claim.request)

    def _check_key_age(self, claim: Claim) -> None:
        age = clock.wall() - claim.made_at
        if age < -self._settings.skew_seconds:
            raise _clock_ahead()
        if age > self._settings.key_seconds:
            # Its record may be gone, so a run now might be the second one.
            raise _key_too_old(self._settings.key_seconds)
        since = claim.made_at - self._settings.skew_seconds
        if not self._holders.shared_since(claim.key, since):
            self.counts.blocked += 1
            raise _holders_changed()

    async def _blocked(self, claim: Claim) -> ServingError:
        """Refuse a call because a holder is silent.

        ``not run`` is said only once the key is sealed at a holder that any
        run would have to ask.
        """
        self.counts.blocked += 1
        ask = SealAsk(claim.key, Incarnation(0), claim.body_digest)
        for name, _incarnation in claim.holders:
            reply = await self._seal_at(name, ask)
            if reply is not None and reply.state is ClaimState.SEALED:
                return _holder_silent()
            if reply is not None and reply.state is not ClaimState.REFUSED:
                break
        return self._unknown('a VM that remembers its key does not answer')

    # -- Running

    async def _run_or_join(self, claim: Claim) -> Response:
        record = self.table.find(claim.key)
        if record is None:
            record = await self._start(claim)
        elif not _same_body(record, claim):
            raise _key_reused()
        else:
            self.counts.joined += 1
        if self._is_ours(record):
            await self._wait(record, claim)
        if record.state is ClaimState.CLAIMED:
            # Another executor was acknowledged before us, or meanwhile.
            return await self._pass_to_claimant(record, claim)
        return self._settled(reply_of(record, claim.body_digest))

    async def _start(self, claim: Claim) -> ClaimRecord:
        own = (self._own_id, self._incarnation)
        record = self.table.add(
            claim.key,
            ClaimState.CLAIMED,
            own,
            claim.body_digest,
        )
        if record is None:
            raise self._refuse_full(claim)
        # The run does not end when the caller hangs up: its outcome has to
        # be recorded for the resend that follows.
        await self.running.spawn(self._execute, record, claim)
        return record

    def _refuse_full(self, claim: Claim) -> ServingError:
        # Another copy of this call may still be on its way. Only a seal
        # makes sure that it finds no room later and runs after all.
        nobody = (VmId(''), Incarnation(0))
        sealed = self.table.add(claim.key, ClaimState.SEALED, nobody, b'')
        if sealed is None:
            return self._unknown('this VM holds too many records')
        return _table_full()

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
        connection: Any,
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
        await self.running.spawn(self._tell_holders, record, claim)

    async def _tell_holders(self, record: ClaimRecord, claim: Claim) -> None:
        # The requests that wait for this answer have been woken before and
        # read it whole; what is kept for resends is bounded.
        self.table.count_answer(record)
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

    # -- Outcomes

    def _settled(self, reply: ClaimReply) -> Response:
        if reply.state is ClaimState.FINISHED:
            return self._replay(reply)
        if reply.state is ClaimState.SEALED:
            self.counts.sealed += 1
            raise _sealed()
        raise self._unknown('its executor ended or lost the upstream')

    def _replay(self, reply: ClaimReply) -> Response:
        self.counts.replayed += 1
        if not reply.status:
            raise _answer_not_kept()
        headers = [('content-type', reply.content_type)]
        return Response(reply.status, headers, reply.answer)

    def _unknown(
        self,
        reason: str,
        retry_after: float | None = None,
    ) -> ServingError:
        self.counts.unknown += 1
        return _outcome_unknown(reason, retry_after)


def scope_of(application: str, service: str, call: str) -> str:
    """Give the text that says what a permit is good for."""
    return f'{application}/{service}/{call}'


def body_digest(request: ServiceRequest) -> bytes:
    """Give the digest that tells two requests of one key apart."""
    return hashlib.sha256(request.body).digest()


def own_claim_key(request: ServiceRequest) -> ClaimKey:
    """Give the claim key of a caller's own idempotency key."""
    scope = scope_of(request.application, request.service, request.call)
    return ClaimKey(f'own:{scope}:{request.key}')


def key_time(request: ServiceRequest) -> float:
    """Give the Unix time at which the caller's own key was made.

    Records are kept for a bounded time and no disk outlives a VM, so a key
    must tell its age: an old one could otherwise run a second time once
    everyone has forgotten it.

    :raises ServingError: when the key does not tell
    """
    if request.key_time > 0:
        return request.key_time
    try:
        parsed = uuid.UUID(request.key)
    except ValueError as bad:
        raise _key_without_time() from bad
    if parsed.version != _UUID7:
        raise _key_without_time()
    return (parsed.int >> 80) / _MILLISECONDS


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


def _claim_needed() -> ServingError:
    return ServingError(
        ErrorKind.CLAIM_NEEDED,
        'this call must not run twice: send the permit that /v1/entry gives '
        "for it, or a UUIDv7 of your own, in 'Idempotency-Key'",
    )


def _key_without_time() -> ServingError:
    return ServingError(
        ErrorKind.CLAIM_NEEDED,
        'the idempotency key does not tell when it was made: use a UUIDv7, '
        "send 'X-Idempotency-Time' with its Unix time, or use a permit",
    )


def _clock_ahead() -> ServingError:
    return ServingError(
        ErrorKind.CLAIM_NEEDED,
        'the idempotency key was made in the future; set the clock of the '
        'caller, or use a permit from /v1/entry, which needs no clock',
    )


def _forged_permit() -> ServingError:
    return ServingError(
        ErrorKind.CLAIM_NEEDED,
        'this VM did not make the permit; ask /v1/entry for a new one',
    )


def _key_reused() -> ServingError:
    return ServingError(
        ErrorKind.CLAIM_REUSED,
        'the key was used for another body, and this one was not run; use '
        'one key for each call',
    )


def _key_too_old(seconds: float) -> ServingError:
    return ServingError(
        ErrorKind.CLAIM_EXPIRED,
        f'the key is older than {seconds:g} s, and what became of it is no '
        'longer known; check at the service before you send a new one',
        ran=Ran.UNKNOWN,
    )


def _expired(ran: Ran) -> ServingError:
    return ServingError(
        ErrorKind.CLAIM_EXPIRED,
        'the permit has expired; ask /v1/entry for a new one',
        ran=ran,
    )


def _holders_changed() -> ServingError:
    return ServingError(
        ErrorKind.OUTCOME_UNKNOWN,
        'the VMs that remember this key were all replaced since it was '
        'made; check at the service, then use a permit from /v1/entry',
        ran=Ran.UNKNOWN,
    )


def _holder_silent() -> ServingError:
    return ServingError(
        ErrorKind.CLAIM_BLOCKED,
        'a VM that remembers this key does not answer, so the call was not '
        'run and never will be under this key; send it with a permit',
        retry_after=1,
    )


def _table_full() -> ServingError:
    return ServingError(
        ErrorKind.OVERLOADED,
        'this VM holds too many records of calls; the call was not run; ask '
        '/v1/entry again and use the new permit',
        retry_after=5,
    )


def _sealed() -> ServingError:
    return ServingError(
        ErrorKind.CLAIM_SEALED,
        'the call was not run and never will be under this key; ask '
        '/v1/entry for a new permit and send it again',
        retry_after=1,
    )


def _answer_not_kept() -> ServingError:
    return ServingError(
        ErrorKind.ANSWER_NOT_KEPT,
        'the call ran, but its answer is no longer kept; read the outcome '
        'at the service and do not send the call again',
        ran=Ran.YES,
    )


def _outcome_unknown(
    reason: str,
    retry_after: float | None = None,
) -> ServingError:
    return ServingError(
        ErrorKind.OUTCOME_UNKNOWN,
        f'whether the call ran is unknown: {reason}; it will not run again '
        'under this key; send it again with the same key to ask, or check '
        'at the service',
        ran=Ran.UNKNOWN,
        retry_after=retry_after,
    )
