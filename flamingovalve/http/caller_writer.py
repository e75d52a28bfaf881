"""Writes to one caller, from a queue if the caller reads slowly.

While a caller reads slowly, its engine's events are still read as they
arrive, as an upstream cuts off a response that stays unread.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.errors import CallerLost
from flamingovalve.http.held_data import HeldAccount
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note
from flamingovalve.util.network import unacknowledged_bytes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from curio.io import Socket

    from flamingovalve.generated.settings import LimitSettings
    from flamingovalve.http.held_data import HeldData
    from flamingovalve.util.network import Network

logger = get_logger(__name__)

# Small pieces are joined up to this size. The joined copy stays while its write
# waits; copies of 64 KB for 500 callers took as much as the pieces themselves.
_JOINED_BYTES: Final = 4096
# Memory of a piece beside its data: the header of its object, the rounding of
# its size and its entry in the queue.
_PIECE_OVERHEAD_BYTES: Final = 64
# A caller that reads little frees too little of the kernel's buffer for the
# next write, so its reading is checked this often within the idle time.
_CHECKS_PER_IDLE_TIME: Final = 4


class BufferedCaller(HeldAccount):
    """The account of a caller and the event that resumes its handler."""

    def __init__(self) -> None:
        """Start without data."""
        super().__init__()
        self.resumed = curio.Event()


async def resume(accounts: Iterable[HeldAccount]) -> None:
    """Resume the handlers of callers that need not wait any longer."""
    for account in accounts:
        if isinstance(account, BufferedCaller):
            await account.resumed.set()


class CallerWriter:
    """Writes the response to one request in the order of its parts.

    A caller that reads at once is written to directly and needs no task. The
    rest of a part that the kernel does not accept goes to a queue, which a
    task empties.

    :ivar idle_ends: whether the caller was ended because it read no data
    """

    def __init__(
        self,
        network: Network,
        opened: Socket,
        held: HeldData,
        limits: LimitSettings,
    ) -> None:
        """Write to the socket ``opened``.

        :param limits: a caller that reads no data for ``limits.idle_seconds``
            is ended
        """
        self.idle_ends = False
        self._network = network
        self._socket = opened
        self._held = held
        self._limits = limits
        self._account = BufferedCaller()
        # Pieces are kept as they are: one growing buffer for each of 500
        # callers took 7 MB more for 40 MB of data.
        self._pieces: deque[bytes | memoryview] = deque()
        self._task: curio.Task | None = None
        self._writing_task: curio.Task | None = None
        self._is_waiting = False
        self._failure = ''

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for the caller."""
        return self._account.size

    async def write(self, encoded: bytes) -> None:
        """Write a part of the response, or hold it while the caller is slow.

        Waits only if the data held for all callers exceeds its bound and
        this caller is among those that hold most.

        :raises CallerLost: if the caller has gone or reads no data
        """
        await self._check()
        sent = 0
        if not self._pieces:
            sent = self._send_now(encoded)
            if sent == len(encoded):
                return
        self._pieces.append(memoryview(encoded)[sent:] if sent else encoded)
        held_bytes = len(encoded) - sent + _PIECE_OVERHEAD_BYTES
        self._held.add(self._account, held_bytes)
        if self._task is None:
            self._writing_task = await curio.current_task()
            self._task = await curio.spawn(self._empty_queue, daemon=True)
        if self._held.must_wait(self._account):
            await self._wait_for_bound()

    async def flush(self) -> None:
        """Wait until everything is written.

        :raises CallerLost: if the caller has gone or reads no data
        """
        while self._pieces and not self._failure:
            await self._wait()
        await self._check()

    async def close(self) -> None:
        """Stop writing and release what is held."""
        task = self._task
        if task is not None:
            await task.cancel()
        await self._release_all()

    async def _check(self) -> None:
        if self._failure:
            # Receives the cancellation by ``_fail`` here. Else it would be
            # delivered later, while the handler releases its place.
            await curio.sleep(0)
            raise CallerLost(self._failure)

    def _send_now(self, encoded: bytes) -> int:
        try:
            return self._network.send_now(self._socket, encoded)
        except OSError as error:
            raise CallerLost(str(error)) from error

    async def _wait_for_bound(self) -> None:
        self._held.counts.waits += 1
        try:
            while self._held.must_wait(self._account):
                self._held.wait(self._account)
                await self._wait()
                await self._check()
        finally:
            self._held.stop_waiting(self._account)

    async def _wait(self) -> None:
        self._account.resumed.clear()
        self._is_waiting = True
        try:
            await self._account.resumed.wait()
        finally:
            self._is_waiting = False

    async def _empty_queue(self) -> None:
        try:
            while self._pieces:
                await self._write_some()
        except (OSError, CallerLost) as error:
            await self._fail(str(error))
        finally:
            self._task = None
        await self._account.resumed.set()

    async def _write_some(self) -> None:
        sent = await self._send_part(self._first_pieces())
        released = self._drop(sent)
        await resume(self._held.remove(self._account, released))

    def _first_pieces(self) -> bytes | memoryview:
        """Return the pieces for the next write."""
        pieces = []
        size = 0
        for piece in self._pieces:
            pieces.append(piece)
            size += len(piece)
            if size >= _JOINED_BYTES:
                break
        return b''.join(pieces) if len(pieces) > 1 else pieces[0]

    def _drop(self, sent: int) -> int:
        """Drop what was sent; return the bytes of memory that it held."""
        released = sent
        while sent:
            piece = self._pieces.popleft()
            if sent < len(piece):
                self._pieces.appendleft(memoryview(piece)[sent:])
                return released
            sent -= len(piece)
            released += _PIECE_OVERHEAD_BYTES
        return released

    async def _send_part(self, part: bytes | memoryview) -> int:
        """Send some of ``part`` as soon as the caller reads.

        :raises CallerLost: if it reads no data for the idle time
        """
        idle_seconds = self._limits.idle_seconds
        interval = idle_seconds / _CHECKS_PER_IDLE_TIME
        read_at = clock.now()
        unread = unacknowledged_bytes(self._socket)
        while True:
            try:
                async with curio.timeout_after(interval):
                    return await self._socket.send(part)
            except curio.TaskTimeout:
                still_unread = unacknowledged_bytes(self._socket)
            if still_unread < unread:
                read_at = clock.now()
                unread = still_unread
            elif clock.now() - read_at >= idle_seconds:
                raise self._idle_error()

    def _idle_error(self) -> CallerLost:
        counts = self._held.counts
        is_at_bound = self._held.stop_waiting(self._account)
        counts.ended += 1
        counts.ended_at_bound += is_at_bound
        self.idle_ends = True
        note(
            logger,
            'caller ended, it read no data',
            held=self._account.size,
            held_for_all=self._held.total,
            waited_for_bound=is_at_bound,
            idle_seconds=self._limits.idle_seconds,
        )
        return CallerLost(
            f'the caller read no data for {self._limits.idle_seconds:g} s',
        )

    async def _fail(self, reason: str) -> None:
        """Release the data, and end the handler wherever it waits.

        The handler mostly waits for an event of the engine, whose place is
        released when the handler ends.
        """
        self._failure = reason or 'the caller has gone'
        await self._release_all()
        if not self._is_waiting and self._writing_task is not None:
            await self._writing_task.cancel(blocking=False)

    async def _release_all(self) -> None:
        self._held.stop_waiting(self._account)
        self._pieces.clear()
        size = self._account.size
        if size:
            await resume(self._held.remove(self._account, size))
