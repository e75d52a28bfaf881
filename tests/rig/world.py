"""Nodes that share a virtual clock; each is a curio kernel of its own.

One kernel a node makes a pause exact: a paused node is not stepped, while
its sockets go on accepting as those of a stopped process do. Time moves
only when no node has anything left to do, so a run takes as long as its
events and gives the same history every time.
"""

from __future__ import annotations

import inspect
import logging
import select
import selectors
import sys
import time
from collections import Counter
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import curio
import curio.kernel
import logbook

from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_START = 1000.0
_WALL_START = 1_750_000_000.0
_MOST_STEPS_AT_ONCE = 200_000
_MOST_CLEANUP_AWAITS = 100
_DELIVERY_SECONDS = 0.00002
_MOST_LOOKS = 200_000


class OrderedSelector(selectors.EpollSelector):
    """Never blocks, and gives events in the order of registration."""

    def __init__(self) -> None:
        """Start without any descriptor."""
        super().__init__()
        self._registered = 0
        self._order: dict[int, int] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        """Register a descriptor and remember its place."""
        key = super().register(fileobj, events, data)
        self._registered += 1
        self._order[key.fd] = self._registered
        return key

    def select(self, timeout: float | None = None) -> Any:
        """Give what is ready now."""
        ready = super().select(0)
        return sorted(ready, key=lambda pair: self._order[pair[0].fd])


class Node:
    """One process: a kernel, its tasks and its network."""

    def __init__(self, name: str, network: Any) -> None:
        """Make a node that runs nothing yet."""
        self.name = name
        self.network = network
        self.paused = False
        self.dead = False
        self.selector = OrderedSelector()
        self.kernel = curio.Kernel(selector=self.selector)
        self.kernel.run()
        state = inspect.getclosurevars(self.kernel._runner).nonlocals
        self._ready = state['ready']
        self._sleeping = state['sleepq']

    def spawn(
        self,
        work: Callable[..., Awaitable[Any]],
        *arguments: Any,
    ) -> curio.Task:
        """Start a task on this node."""

        async def start() -> curio.Task:
            return await curio.spawn(work, *arguments, daemon=True)

        return self.kernel.run(start)

    def has_ready_tasks(self) -> bool:
        """Tell whether a task could run now."""
        return bool(self._ready)

    def next_wake(self, moment: float) -> float | None:
        """Give the seconds until a task sleeping on this node wakes."""
        return self._sleeping.next_deadline(moment)

    def destroy(self) -> None:
        """End the process the way SIGKILL does: nothing is cleaned up."""
        self.dead = True
        self.network.close_all()
        for task in list(self.kernel._tasks.values()):
            # curio complains of tasks that nobody joined; these are killed.
            task.daemon = True
            _close_quietly(task._run_coro)
            _close_quietly(task.coro)
        for function in self.kernel._shutdown_funcs or ():
            function()
        self.kernel._shutdown_funcs = None


class CrashLog(logging.Handler):
    """Collects the tasks that ended by an exception nobody expected."""

    def __init__(self) -> None:
        """Start without any."""
        super().__init__(logging.ERROR)
        self.crashes: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Note one crash with its trace."""
        self.crashes.append(logging.Formatter().format(record))


class Traffic:
    """What is on its way through the loopback device.

    The kernel usually delivers at once, but on a busy machine it may defer
    that for a moment. If virtual time moved meanwhile, a refused connection
    would look like a silent one and the same seed would give two histories.

    :ivar connecting: connections that are being opened, by node
    :ivar moved: whether anything was sent since time last moved
    """

    def __init__(self) -> None:
        """Start with nothing on its way."""
        self.connecting: Counter[str] = Counter()
        self.moved = False


class World:
    """All nodes of a test and the clock that they share."""

    def __init__(self) -> None:
        """Start the clock."""
        self.traffic = Traffic()
        self.moment = _START
        self.nodes: list[Node] = []
        self._master = select.epoll()
        self._real_time = curio.kernel.time
        curio.kernel.time = SimpleNamespace(monotonic=self.monotonic)
        clock.replace_source(self.monotonic, self.wall)
        self.crash_log = CrashLog()
        kernel_log = logging.getLogger('curio.kernel')
        kernel_log.addHandler(self.crash_log)
        kernel_log.propagate = False
        self.fault_log = logbook.TestHandler(level=logbook.ERROR)
        self.fault_log.push_application()

    def monotonic(self) -> float:
        """Give the virtual monotonic time."""
        return self.moment

    def wall(self) -> float:
        """Give the virtual Unix time."""
        return self.moment - _START + _WALL_START

    def add(self, name: str, network: Any) -> Node:
        """Add a node."""
        node = Node(name, network)
        self.nodes.append(node)
        self._master.register(node.selector.fileno(), select.EPOLLIN)
        return node

    def kill(self, node: Node) -> None:
        """End a node as SIGKILL does."""
        if node.dead:
            return
        self.nodes.remove(node)
        self._master.unregister(node.selector.fileno())
        hook = sys.unraisablehook
        sys.unraisablehook = _ignore_unraisable
        try:
            with logbook.NullHandler().applicationbound():
                node.destroy()
        finally:
            sys.unraisablehook = hook

    def advance(self, seconds: float) -> None:
        """Let ``seconds`` pass."""
        self.run_until(lambda: False, seconds)

    def run_until(
        self,
        done: Callable[[], bool],
        seconds: float = 60,
    ) -> bool:
        """Run until ``done`` or until ``seconds`` have passed.

        :returns: whether it was done
        """
        end = self.moment + seconds
        while True:
            self._settle(done)
            if done():
                return True
            if not self._move_time(end):
                return False

    def ask(
        self,
        node: Node,
        work: Callable[..., Awaitable[Any]],
        *arguments: Any,
        seconds: float = 120,
    ) -> Any:
        """Run ``work`` on a node to its end and give its result."""
        task = node.spawn(work, *arguments)
        if not self.run_until(lambda: task.terminated, seconds):
            raise AssertionError(f'{work} did not end in {seconds} s')
        if task.exception is not None:
            raise task.exception
        return task.result

    def close(self) -> None:
        """End every node and restore the real clock.

        :raises AssertionError: when a task of any node crashed meanwhile
        """
        for node in list(self.nodes):
            self.kill(node)
        self._master.close()
        curio.kernel.time = self._real_time
        clock.restore_source()
        logging.getLogger('curio.kernel').removeHandler(self.crash_log)
        self.fault_log.pop_application()
        assert not self.crash_log.crashes, self.crash_log.crashes[0]
        faults = self.fault_log.formatted_records
        assert not faults, faults[0]

    def _settle(self, done: Callable[[], bool]) -> None:
        for _step in range(_MOST_STEPS_AT_ONCE):
            if done():
                return
            if not self._step_all() and not self._await_delivery():
                return
        raise AssertionError('a node is busy without time passing')

    def _await_delivery(self) -> bool:
        """Give the loopback device a moment; tell whether to look again."""
        if any(
            self.traffic.connecting[node.name]
            for node in self.nodes
            if not node.paused
        ):
            return self._await_connections()
        if not self.traffic.moved:
            return False
        self.traffic.moved = False
        time.sleep(_DELIVERY_SECONDS)
        return True

    def _await_connections(self) -> bool:
        for _look in range(_MOST_LOOKS):
            time.sleep(_DELIVERY_SECONDS)
            if self._step_all():
                return True
        raise AssertionError('the loopback device does not connect')

    def _step_all(self) -> bool:
        readable = {fd for fd, _mask in self._master.poll(0)}
        progressed = False
        for node in list(self.nodes):
            if node.paused or node.dead:
                continue
            due = node.next_wake(self.moment)
            wakes = due is not None and due <= 0
            has_events = node.selector.fileno() in readable
            if has_events or wakes or node.has_ready_tasks():
                node.kernel.run()
                progressed = True
        return progressed

    def _move_time(self, end: float) -> bool:
        waits = [
            wait
            for node in self.nodes
            if not node.paused
            and (wait := node.next_wake(self.moment)) is not None
        ]
        wake = self.moment + max(min(waits, default=float('inf')), 0)
        if wake > end:
            self.moment = end
            return False
        # The sum may round to just before the deadline; step over it.
        self.moment = max(wake, self.moment + 1e-9)
        return True


def _ignore_unraisable(_unraisable: Any) -> None:
    """Pass over what coroutines of a killed process complain of."""


def _close_quietly(coroutine: Any) -> None:
    # A coroutine that awaits in its clean-up refuses to close; a killed
    # process has no clean-up, so each await of it is cut short in turn.
    for _attempt in range(_MOST_CLEANUP_AWAITS):
        try:
            coroutine.close()
        except RuntimeError:
            continue
        except (OSError, ValueError):
            return
        else:
            return
