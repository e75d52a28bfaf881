"""The records of non-idempotent requests at one holder."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import curio

from flamingovalve.generated.ids import ClaimKey, Incarnation, VmId
from flamingovalve.generated.messages import (
    ClaimAsk,
    ClaimReply,
    ClaimState,
    ClaimTell,
    SealAsk,
)
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.generated.settings import ClaimSettings

# Seals may still be recorded when the table is too full for new claims: they
# are small, and a refusal may state "not run" only if the key is sealed.
_SEAL_LIMIT_FACTOR = 1.25

_SETTLED_STATES = frozenset(
    (
        ClaimState.FINISHED,
        ClaimState.SEALED,
        ClaimState.UNKNOWN,
    )
)


@dataclass(slots=True)
class ClaimRecord:
    """What a holder knows of one key.

    :ivar executor: the VM that may send the request upstream
    :ivar incarnation: the only process of that VM that may do so
    :ivar body_digest: digest of the body of the request; empty if unknown
    :ivar made_at: when the record was made, on the monotonic clock
    :ivar ends_with_connection: whether nothing shows that the answer is
        complete
    :ivar settled: set once the outcome is known
    """

    key: ClaimKey
    state: ClaimState
    executor: VmId
    incarnation: Incarnation
    body_digest: bytes
    made_at: float
    status: int = 0
    content_type: str = ''
    answer: bytes = b''
    ends_with_connection: bool = False
    settled: curio.Event = field(default_factory=curio.Event)

    async def settle(self, state: ClaimState) -> None:
        """Record the outcome."""
        self.state = state
        await self.settled.set()

    def record_answer(
        self,
        status: int,
        content_type: str,
        answer: bytes,
        *,
        ends_with_connection: bool = False,
    ) -> None:
        """Record the response of the upstream; ``answer`` is its body."""
        self.status = status
        self.content_type = content_type
        self.answer = answer
        self.ends_with_connection = ends_with_connection

    def copy_from(self, reply: ClaimReply) -> None:
        """Copy what another holder knows of the key."""
        self.executor = reply.executor
        self.incarnation = reply.incarnation
        self.record_answer(
            reply.status,
            reply.content_type,
            reply.answer,
            ends_with_connection=reply.ends_with_connection,
        )

    def drop_answer(self) -> int:
        """Drop the response, but not that the call ran; return its size."""
        freed_bytes = len(self.answer)
        self.record_answer(0, '', b'')
        return freed_bytes


class ClaimTable:
    """The records of one VM, bounded in number and in age.

    If a record were dropped early, its request could run a second time. When
    the table is full of records that have not expired, new claims are refused
    instead: a refusal is visible and harmless, a double payment is not.

    :ivar refused_full: number of records refused because the table was full
    :ivar kept_bytes: total size of the bodies of the recorded responses
    """

    def __init__(self, settings: ClaimSettings) -> None:
        """Start with an empty table."""
        self.refused_full = 0
        self.kept_bytes = 0
        self._settings = settings
        self._records: OrderedDict[ClaimKey, ClaimRecord] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def find(self, key: ClaimKey) -> ClaimRecord | None:
        """Return the record of ``key``, if there is one."""
        self._expire()
        return self._records.get(key)

    def add(
        self,
        key: ClaimKey,
        state: ClaimState,
        owner: tuple[VmId, Incarnation],
        body_digest: bytes,
    ) -> ClaimRecord | None:
        """Add a record of a new key, unless the table is full.

        :param owner: VM and incarnation of the executor
        :returns: the record; None if the table is full
        """
        self._expire()
        limit: float = self._settings.records
        if state is ClaimState.SEALED:
            limit *= _SEAL_LIMIT_FACTOR
        if len(self._records) >= limit:
            self.refused_full += 1
            return None
        record = ClaimRecord(key, state, *owner, body_digest, clock.now())
        self._records[key] = record
        return record

    def counts_by_state(self) -> dict[str, int]:
        """Return the number of records in each state."""
        counts: dict[str, int] = {}
        for record in self._records.values():
            label = record.state.value
            counts[label] = counts.get(label, 0) + 1
        return counts

    def count_answer(self, record: ClaimRecord) -> None:
        """Count a recorded response; drop the oldest ones over the limit."""
        if len(record.answer) > self._settings.answer_bytes:
            record.drop_answer()
        self.kept_bytes += len(record.answer)
        for oldest in list(self._records.values()):
            if self.kept_bytes <= self._settings.kept_bytes:
                return
            if oldest.answer:
                self.kept_bytes -= oldest.drop_answer()

    def acknowledge(self, ask: ClaimAsk, own: Incarnation) -> ClaimReply:
        """Acknowledge an executor that wants to run the call of a key.

        A key is acknowledged to one incarnation of one executor. A repeated
        request of that one gets the same reply, since the first reply may
        have been lost.

        :param own: incarnation of this process
        """
        if ask.holder not in {0, own}:
            # The request is for a previous process of this VM. Its records
            # are lost, so this process cannot know whether the key is new.
            return ClaimReply(ClaimState.REFUSED)
        record = self.find(ask.key)
        owner = (ask.executor, ask.incarnation)
        if record is None:
            record = self.add(
                ask.key,
                ClaimState.CLAIMED,
                owner,
                ask.body_digest,
            )
            if record is None:
                return ClaimReply(ClaimState.REFUSED)
        is_same_owner = (record.executor, record.incarnation) == owner
        may_run = record.state is ClaimState.CLAIMED and is_same_owner
        reply = reply_of(record, ask.body_digest)
        reply.acknowledged = may_run and reply.same_body
        return reply

    async def record_outcome(self, outcome: ClaimTell) -> ClaimReply:
        """Record the outcome that an executor reports of its own claim."""
        record = self.find(outcome.key)
        if record is None:
            sender = (outcome.executor, outcome.incarnation)
            record = self.add(outcome.key, ClaimState.CLAIMED, sender, b'')
            if record is None:
                return ClaimReply(ClaimState.REFUSED)
        owner = (record.executor, record.incarnation)
        sender = (outcome.executor, outcome.incarnation)
        if record.state not in _SETTLED_STATES and owner == sender:
            record.record_answer(
                outcome.status,
                outcome.content_type,
                outcome.answer,
                ends_with_connection=outcome.ends_with_connection,
            )
            await record.settle(outcome.state)
            self.count_answer(record)
        return reply_of(record, record.body_digest)

    async def seal(self, ask: SealAsk, own: Incarnation) -> ClaimReply:
        """Ensure that the call of a key never runs, unless it was claimed.

        :param own: incarnation of this process
        """
        if ask.holder not in {0, own}:
            return ClaimReply(ClaimState.REFUSED)
        record = self.find(ask.key)
        if record is None:
            no_executor = (VmId(''), Incarnation(0))
            record = self.add(
                ask.key,
                ClaimState.SEALED,
                no_executor,
                ask.body_digest,
            )
            if record is None:
                return ClaimReply(ClaimState.REFUSED)
            await record.settled.set()
        return reply_of(record, ask.body_digest)

    def _expire(self) -> None:
        cutoff = clock.now() - self._settings.record_seconds
        while self._records:
            record = next(iter(self._records.values()))
            if record.made_at > cutoff:
                return
            self._records.popitem(last=False)
            self.kept_bytes -= len(record.answer)


def reply_of(record: ClaimRecord, body_digest: bytes) -> ClaimReply:
    """Return the reply of a record to a request with ``body_digest``."""
    recorded = record.body_digest
    return ClaimReply(
        record.state,
        False,
        record.executor,
        record.incarnation,
        record.status,
        record.content_type,
        record.answer,
        not recorded or not body_digest or recorded == body_digest,
        record.ends_with_connection,
    )
