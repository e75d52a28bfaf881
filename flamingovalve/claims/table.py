"""What one holder remembers of non-idempotent requests."""

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

# Seals are small and make refusals truthful: they may still be recorded when
# the table is too full for new claims.
_SEAL_RESERVE = 1.25

_SETTLED = frozenset(
    (
        ClaimState.FINISHED,
        ClaimState.SEALED,
        ClaimState.UNKNOWN,
    )
)


@dataclass(slots=True)
class ClaimRecord:
    """What a holder knows of one key.

    :ivar executor: the VM that may send it upstream
    :ivar incarnation: the process on that VM; no other may
    :ivar body_digest: digest of the request that the key stands for
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
    settled: curio.Event = field(default_factory=curio.Event)

    async def settle(self, state: ClaimState) -> None:
        """Give the record its outcome."""
        self.state = state
        await self.settled.set()

    def keep(self, status: int, content_type: str, answer: bytes) -> None:
        """Record the whole answer."""
        self.status = status
        self.content_type = content_type
        self.answer = answer

    def follow(self, reply: ClaimReply) -> None:
        """Take over what another holder knows of the key."""
        self.executor = reply.executor
        self.incarnation = reply.incarnation
        self.keep(reply.status, reply.content_type, reply.answer)

    def drop_answer(self) -> int:
        """Forget the answer but not that the call ran; give the bytes freed."""
        freed = len(self.answer)
        self.keep(0, '', b'')
        return freed


class ClaimTable:
    """The records of one VM, bounded in number and in age.

    A record that were dropped early would let its request run a second
    time. When the table is full of young records, new claims are refused
    instead: a refusal is visible and harmless, a double payment is not.
    """

    def __init__(self, settings: ClaimSettings) -> None:
        """Start without records."""
        self.refused_full = 0
        self.kept_bytes = 0
        self._settings = settings
        self._records: OrderedDict[ClaimKey, ClaimRecord] = OrderedDict()

    def __len__(self) -> int:
        """Count the records."""
        return len(self._records)

    def find(self, key: ClaimKey) -> ClaimRecord | None:
        """Give the record of ``key``, if there is one."""
        self._expire()
        return self._records.get(key)

    def add(
        self,
        key: ClaimKey,
        state: ClaimState,
        owner: tuple[VmId, Incarnation],
        body_digest: bytes,
    ) -> ClaimRecord | None:
        """Remember a new key, unless the table is full.

        :param owner: VM and incarnation of the executor
        """
        self._expire()
        limit: float = self._settings.records
        if state is ClaimState.SEALED:
            limit *= _SEAL_RESERVE
        if len(self._records) >= limit:
            self.refused_full += 1
            return None
        record = ClaimRecord(key, state, *owner, body_digest, clock.now())
        self._records[key] = record
        return record

    def counts_by_state(self) -> dict[str, int]:
        """Count the records of each state."""
        counts: dict[str, int] = {}
        for record in self._records.values():
            label = record.state.value
            counts[label] = counts.get(label, 0) + 1
        return counts

    def count_answer(self, record: ClaimRecord) -> None:
        """Take a recorded answer into account; drop the oldest beyond it."""
        if len(record.answer) > self._settings.answer_bytes:
            record.drop_answer()
        self.kept_bytes += len(record.answer)
        for old in list(self._records.values()):
            if self.kept_bytes <= self._settings.kept_bytes:
                return
            if old.answer:
                self.kept_bytes -= old.drop_answer()

    def acknowledge(self, ask: ClaimAsk, own: Incarnation) -> ClaimReply:
        """Answer an executor that wants to run a key.

        Acknowledged once, to one executor incarnation. Asked again by the
        same one, the answer is the same: its first reply may be lost.

        :param own: incarnation of this process
        """
        if ask.holder not in {0, own}:
            # Meant for the process that ran here before. What it knew is
            # gone, so this one cannot vouch that the key is new.
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
        same_owner = (record.executor, record.incarnation) == owner
        free = record.state is ClaimState.CLAIMED and same_owner
        reply = reply_of(record, ask.body_digest)
        reply.acknowledged = free and reply.same_body
        return reply

    async def tell(self, told: ClaimTell) -> ClaimReply:
        """Take the outcome that an executor tells of its own claim."""
        record = self.find(told.key)
        if record is None:
            teller = (told.executor, told.incarnation)
            record = self.add(told.key, ClaimState.CLAIMED, teller, b'')
            if record is None:
                return ClaimReply(ClaimState.REFUSED)
        owner = (record.executor, record.incarnation)
        teller = (told.executor, told.incarnation)
        if record.state not in _SETTLED and owner == teller:
            record.keep(told.status, told.content_type, told.answer)
            await record.settle(told.state)
            self.count_answer(record)
        return reply_of(record, record.body_digest)

    async def seal(self, ask: SealAsk, own: Incarnation) -> ClaimReply:
        """See to it that a key never runs, unless it was claimed.

        :param own: incarnation of this process
        """
        if ask.holder not in {0, own}:
            return ClaimReply(ClaimState.REFUSED)
        record = self.find(ask.key)
        if record is None:
            nobody = (VmId(''), Incarnation(0))
            record = self.add(
                ask.key,
                ClaimState.SEALED,
                nobody,
                ask.body_digest,
            )
            if record is None:
                return ClaimReply(ClaimState.REFUSED)
            await record.settled.set()
        return reply_of(record, ask.body_digest)

    def _expire(self) -> None:
        oldest = clock.now() - self._settings.record_seconds
        while self._records:
            record = next(iter(self._records.values()))
            if record.made_at > oldest:
                return
            self._records.popitem(last=False)
            self.kept_bytes -= len(record.answer)


def reply_of(record: ClaimRecord, body_digest: bytes) -> ClaimReply:
    """Give what a record says, for the request of ``body_digest``."""
    known = record.body_digest
    return ClaimReply(
        record.state,
        False,
        record.executor,
        record.incarnation,
        record.status,
        record.content_type,
        record.answer,
        not known or not body_digest or known == body_digest,
    )
