"""Streams on engines of several software versions, resumed by their clients."""

from __future__ import annotations

import random
import re
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, ClassVar, Final

import curio

from flamingovalve.errors import ConnectionLost
from flamingovalve.http.messages import Response
from standins.platform_runner import (
    PlatformEngineStandIn,
    PlatformRunnerStandIn,
)
from tests.rig.addresses import free_address
from tests.rig.broken_answers import PlainCaller
from tests.rig.site import Site

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from flamingovalve.http.messages import Request
    from flamingovalve.http.server import Responder
    from tests.rig.broken_answers import Received

EVENTS: Final = 6
CONTACT_SECONDS: Final = 3.0
# Streams of two versions that the users' rule allows; none is wanted.
ALLOWED_MIXED: Final = 2
_EVENT_SECONDS: Final = 0.05
_BUDGET_MS: Final = 4000
_CLIENT_SECONDS: Final = 4.0
_MAX_TRIES: Final = 5
_PAUSE_SECONDS: Final = 0.05
_DRAIN_SECONDS: Final = 2.5
_HEARTBEAT_SECONDS: Final = 0.5
_EVENT: Final = re.compile(rb'id: (\d+)\ndata: (\S*) \S+\n\n')
_MS_PER_SECOND: Final = 1000
_OK: Final = 200


class VersionedEngine(PlatformEngineStandIn):
    """An engine whose events name its software version.

    :ivar play: decides which runs break off
    """

    play: VersionSite
    software = ''

    async def run_request(self, request: Request, responder: Responder) -> None:
        """Run one request, if its model is present."""
        if request.headers['model'] not in self.models:
            await responder.send(Response(421, [('Not-Executed', '1')]))
            return
        await super().run_request(request, responder)

    async def _stream(
        self, request: Request, responder: Responder, adapter: str
    ) -> None:
        self.record_run(request)
        after = int(request.headers.get('last-event-id') or 0)
        breaks_after = self.play.draw_break(request, after)
        await responder.start(200, self.identity_headers(request))
        for number in range(after + 1, EVENTS + 1):
            await curio.sleep(_EVENT_SECONDS)
            if breaks_after is not None and number > after + breaks_after:
                raise ConnectionLost('broken off')
            event = f'id: {number}\ndata: {self.software} {self.name}\n\n'
            await responder.chunk(event.encode())
        await responder.end()


class VersionedApp(PlatformRunnerStandIn):
    """A plain upstream that answers with one event."""

    software = 'v1'

    async def run_request(self, request: Request, responder: Responder) -> None:
        """Run one request."""
        self.record_run(request)
        await curio.sleep(self.run_seconds)
        event = f'id: 1\ndata: {self.software}\n\n'.encode()
        headers = self.identity_headers(request)
        await responder.send(Response(200, headers, event))


@dataclass
class Try:
    """One attempt of a client.

    :ivar vm: VM that it was sent to
    :ivar resumes: whether it resumes a stream
    :ivar versions: software versions of its events, in their order
    :ivar should_go_on: whether its stream's version is served by two engines, by
        VMs in touch
    """

    at: float
    vm: str
    attempt: str
    resumes: bool
    status: int = 0
    versions: list[str] = field(default_factory=list)
    is_complete: bool = False
    should_go_on: bool = False
    body: bytes = b''


@dataclass
class Stream:
    """A stream over all attempts of its client.

    :ivar began: attempt that brought the first event; empty for none
    """

    tries: list[Try] = field(default_factory=list)
    began: str = ''
    last_event: int = 0

    def versions(self) -> list[str]:
        """Return the versions of its events, each once."""
        seen = [one for attempt in self.tries for one in attempt.versions]
        return list(dict.fromkeys(seen))


class VersionSite(Site):
    """A site whose engines have software versions.

    :cvar route: path of the streams
    :ivar breaks: probability that a run breaks off
    :ivar streams: all streams of clients
    :ivar cut_off: VMs that do not reach all other VMs and the store
    """

    app_kind = VersionedApp
    route: ClassVar[str] = '/reviews/1'

    def __init__(
        self,
        versions: Sequence[str],
        vms: int = 4,
        seed: int = 1,
        breaks: float = 0.5,
    ) -> None:
        """Start the stand-ins and one VM process each."""
        self.rng = random.Random(seed)
        self.breaks = breaks
        self.streams: list[Stream] = []
        self.steps: Counter[str] = Counter()
        self.disturbed_at: dict[str, float] = {}
        self.cut_off: set[str] = set()
        self.versions = list(versions)
        self._starts = 0
        super().__init__(vms, len(versions), 3, 1)
        self.plain_caller = PlainCaller(self.caller.network)
        for vm_id in self.vms_by_id:
            self.start(vm_id)
        self.world.advance(6)

    def _stand_in(self, name: str, kind: Any, *extra_args: Any) -> Any:
        if kind is not PlatformEngineStandIn:
            return super()._stand_in(name, kind, *extra_args)
        version = self.versions[int(name.rpartition('-')[2])]
        return self._engine(name, version, free_address())

    def _engine(self, name: str, version: str, address: str) -> VersionedEngine:
        engine = self._stand_in_at(name, VersionedEngine, (3,), address)
        engine.play = self
        engine.software = version
        engine.born = int(self.world.wall() * _MS_PER_SECOND)
        return engine

    def register(
        self, runner: PlatformRunnerStandIn, state: str = 'ready'
    ) -> None:
        """Publish the registration of an upstream with its version."""
        is_engine = isinstance(runner, VersionedEngine)
        entry = {
            'Service': 'engines' if is_engine else 'app',
            'Addr': runner.address,
            'Zone': 'east',
            'Slots': 8,
            'State': state,
            'Version': getattr(runner, 'software', 'v1'),
            'born': getattr(runner, 'born', 1),
        }
        self.store.put(f'servers/{runner.name}', entry)

    def draw_break(self, request: Request, after: int) -> int | None:
        """Return after how many events a run breaks off; None for never."""
        if after >= EVENTS or self.rng.random() >= self.breaks:
            return None
        return self.rng.randint(1, 3)

    # -- Engines that come and go

    def add_engine(self, version: str, address: str = '') -> VersionedEngine:
        """Start an engine with a new id."""
        self._starts += 1
        name = f'engine-x{self._starts}'
        engine = self._engine(name, version, address or free_address())
        self.engines.append(engine)
        self.register(engine)
        return engine

    def add_app(self, version: str) -> PlatformRunnerStandIn:
        """Start a plain upstream of a version."""
        app = super()._stand_in(f'app-{len(self.apps)}', VersionedApp)
        app.software = version
        self.apps.append(app)
        self.register(app)
        return app

    def drain(self, engine: VersionedEngine) -> None:
        """Let an engine leave: it drains, and then ends."""
        if engine not in self.engines:
            return
        self.engines.remove(engine)
        self.register(engine, 'draining')
        self.world.call_later(_DRAIN_SECONDS, lambda: self._end_drained(engine))

    def crash(
        self, engine: VersionedEngine, version: str, *, same_id: bool = False
    ) -> None:
        """Replace an engine at its address by one of another version."""
        if engine not in self.engines:
            return
        self.engines.remove(engine)
        self._kill(engine)
        self.world.call_later(
            0.02, lambda: self._restart(engine, version, same_id=same_id)
        )

    def _restart(
        self, engine: VersionedEngine, version: str, *, same_id: bool
    ) -> None:
        if same_id:
            again = self._engine(engine.name, version, engine.address)
            # A runner holds nothing after a restart.
            again.models.clear()
            self.engines.append(again)
            self.world.call_later(0.5, lambda: self.register(again))
            return
        self.add_engine(version, engine.address)
        self.world.call_later(
            1.5, lambda: self.store.delete(f'servers/{engine.name}')
        )

    def _end_drained(self, engine: VersionedEngine) -> None:
        self.store.delete(f'servers/{engine.name}')
        self._kill(engine)

    def _kill(self, engine: VersionedEngine) -> None:
        node = next(
            one for one in reversed(self.world.nodes) if one.name == engine.name
        )
        self.world.kill(node)

    # -- Clients

    def disturb(self, *vm_ids: str) -> None:
        """Record that VMs are disturbed now."""
        for vm_id in vm_ids:
            self.disturbed_at[vm_id] = self.world.monotonic()

    def begin_stream(self) -> Stream:
        """Let a client ask for a stream, and resume it if it breaks off."""
        stream = Stream()
        self.streams.append(stream)
        self.caller.node.spawn(self._run_client, stream)
        return stream

    def choose_vm(self, _stream: Stream) -> str:
        """Return the VM to which a client sends its next attempt."""
        return self.rng.choice(list(self.vms_by_id))

    async def _run_client(self, stream: Stream) -> None:
        ends_at = self.world.monotonic() + _CLIENT_SECONDS
        for _try in range(_MAX_TRIES):
            left = ends_at - self.world.monotonic()
            if left <= 0 or await self._try(stream, left):
                return
            await curio.sleep(_PAUSE_SECONDS)

    async def _try(self, stream: Stream, left: float) -> bool:
        """Make one attempt; return whether the client is done."""
        vm_id = self.choose_vm(stream)
        headers = {}
        if stream.began:
            headers['Resumes'] = stream.began
            headers['Last-Event-Id'] = str(stream.last_event)
        call = self.chat(path=self.route)
        call.headers += headers.items()
        name = dict(call.headers)['Attempt-Id']
        one = Try(self.world.monotonic(), vm_id, name, bool(stream.began))
        one.should_go_on = self._should_serve(vm_id, stream)
        try:
            received = await self.plain_caller.ask(
                self.vms_by_id[vm_id].front, call, left
            )
        except (OSError, curio.TaskTimeout):
            # Nothing listens there: the client asks another VM.
            return False
        stream.tries.append(one)
        self._record(stream, one, received)
        return one.is_complete and one.status == _OK

    def _record(self, stream: Stream, one: Try, received: Received) -> None:
        one.status = received.status
        one.body = received.body
        one.is_complete = received.is_complete
        if received.status != _OK:
            return
        for number, version in _EVENT.findall(received.body):
            one.versions.append(version.decode())
            stream.began = stream.began or one.attempt
            stream.last_event = int(number)

    def _should_serve(self, vm_id: str, stream: Stream) -> bool:
        """Return whether an attempt at a VM should be served."""
        since = self.world.monotonic() - CONTACT_SECONDS
        if self.disturbed_at.get(vm_id, 0) > since or vm_id in self.cut_off:
            return False
        if self.vms_by_id[vm_id].node is None:
            return False
        versions = stream.versions()
        serving = [
            engine
            for engine in self.engines
            if not versions or engine.software == versions[0]
        ]
        return len(serving) >= 2

    def finish(self) -> None:
        """Wait until all clients are done."""
        self.world.advance(_CLIENT_SECONDS + 1)

    def advance(self, seconds: float) -> None:
        """Advance the time while engines write their entries."""
        end = self.world.monotonic() + seconds
        while self.world.monotonic() < end:
            self.register(self.apps[0])
            left = end - self.world.monotonic()
            self.world.advance(min(left, _HEARTBEAT_SECONDS))

    # -- Checks

    def mixed(self) -> list[Stream]:
        """Return the streams with events of two versions."""
        return [one for one in self.streams if len(one.versions()) > 1]

    def misordered(self) -> list[Stream]:
        """Return the streams in which an event is missing or comes twice."""
        return [one for one in self.streams if not _is_ordered(one)]

    def share_gone_on(self) -> tuple[int, int]:
        """Return how many streams went on, of those that should have."""
        tries = [
            one
            for stream in self.streams
            for one in stream.tries
            if one.resumes and one.should_go_on
        ]
        return sum(one.status == _OK for one in tries), len(tries)

    def share_begun(self) -> tuple[int, int]:
        """Return how many new streams began, of those that should have."""
        tries = [
            one
            for stream in self.streams
            for one in stream.tries
            if not one.resumes and one.should_go_on
        ]
        return sum(bool(one.versions) for one in tries), len(tries)


def _is_ordered(stream: Stream) -> bool:
    numbers = [
        int(number)
        for one in stream.tries
        if one.status == _OK
        for number, _version in _EVENT.findall(one.body)
    ]
    is_whole = any(
        one.is_complete and one.status == _OK for one in stream.tries
    )
    if is_whole and len(numbers) != EVENTS:
        return False
    return numbers == list(range(1, len(numbers) + 1))


class VersionFaults:
    """Random faults of one seed while streams break and are resumed."""

    def __init__(self, seed: int) -> None:
        """Start the site with two or three versions."""
        self.rng = random.Random(f'faults {seed}')
        versions = ['v1', 'v1', 'v1', 'v1.1', 'v1.1']
        if self.rng.random() < 0.5:
            versions += ['v1.2', 'v1.2']
        self.site = VersionSite(versions, vms=5, seed=seed)
        self.steps: Counter[str] = Counter()
        self._paused: set[str] = set()

    def play(self, steps: int) -> None:
        """Begin streams and inject faults, then end all faults."""
        faults: list[Callable[[], None]] = [
            self.kill,
            self.start,
            self.pause,
            self.wake,
            self.cut_vms,
            self.cut_store,
            self.heal,
            self.come,
            self.leave,
            self.roll,
            self.crash,
            self.rest,
        ]
        for _step in range(steps):
            for _stream in range(self.rng.randrange(2, 8)):
                self.site.begin_stream()
            fault = self.rng.choice(faults)
            self.steps[fault.__name__] += 1
            fault()
            self.site.advance(self.rng.uniform(0.05, 1.2))
        self.heal()
        self.wake()
        self.start()
        self.site.finish()

    def running(self) -> list[str]:
        """Return the VMs whose process runs."""
        return [
            vm.id
            for vm in self.site.vms_by_id.values()
            if vm.node is not None and vm.id not in self._paused
        ]

    def kill(self) -> None:
        """Kill one or two VMs."""
        count = min(self.rng.randint(1, 2), len(self.running()) - 1)
        for vm_id in self.rng.sample(self.running(), max(count, 0)):
            self.site.kill(vm_id)
            self.site.disturb(vm_id)

    def start(self) -> None:
        """Start the VMs that were killed."""
        for vm in self.site.vms_by_id.values():
            if vm.node is None:
                self.site.start(vm.id)
                self.site.disturb(vm.id)

    def pause(self) -> None:
        """Pause a VM, as SIGSTOP does."""
        if len(self.running()) > 1:
            vm_id = self.rng.choice(self.running())
            self.site.vms_by_id[vm_id].node.paused = True
            self._paused.add(vm_id)
            self.site.disturb(vm_id)

    def wake(self) -> None:
        """Resume the paused VMs."""
        for vm_id in self._paused:
            node = self.site.vms_by_id[vm_id].node
            if node is not None:
                node.paused = False
            self.site.disturb(vm_id)
        self._paused.clear()

    def cut_vms(self) -> None:
        """Partition the fleet into two parts."""
        names = list(self.site.vms_by_id)
        self.rng.shuffle(names)
        count = self.rng.randrange(1, len(names))
        self.site.links.partition(names[:count], names[count:])
        self.site.cut_off.update(names)

    def cut_store(self) -> None:
        """Partition a VM from the store."""
        vm_id = self.rng.choice(list(self.site.vms_by_id))
        self.site.links.partition([vm_id], ['store'])
        self.site.cut_off.add(vm_id)

    def heal(self) -> None:
        """Heal all partitions."""
        self.site.links.heal()
        self.site.disturb(*self.site.cut_off)
        self.site.cut_off.clear()

    def come(self) -> None:
        """Start an engine."""
        if len(self.site.engines) < 9:
            self.site.add_engine(self.draw_version())

    def leave(self) -> None:
        """Let all engines of a version leave, if others stay."""
        version = self.draw_version()
        leaving = [one for one in self.site.engines if one.software == version]
        if len(leaving) < len(self.site.engines):
            for engine in leaving:
                self.site.drain(engine)

    def roll(self) -> None:
        """Replace an engine by one of another version, which starts first."""
        engine = self.rng.choice(self.site.engines)
        self.site.add_engine(self.draw_version())
        if len(self.site.engines) > 1:
            self.site.drain(engine)

    def crash(self) -> None:
        """Restart an engine at its address, perhaps at another version."""
        engine = self.rng.choice(self.site.engines)
        same_id = self.rng.random() < 0.3
        self.site.crash(engine, self.draw_version(), same_id=same_id)

    def rest(self) -> None:
        """Inject no fault."""

    def draw_version(self) -> str:
        """Return a version at random."""
        return self.rng.choice(('v1', 'v1.1', 'v1.2'))
