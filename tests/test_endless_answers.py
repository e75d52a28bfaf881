"""Tests of answers of upstreams that never end."""

from __future__ import annotations

import contextlib
import socket
import sys
import threading
import time
import unittest

import curio

from flamingovalve.errors import ConnectionLost, WrongPeer
from flamingovalve.gateway.answers.bounds import AnswerBounds, HeldBody
from flamingovalve.generated.messages import Hello
from flamingovalve.generated.settings import FleetSettings, RelaySettings
from flamingovalve.http.bodies import EventBuffer
from flamingovalve.http.client import UpstreamCall, UpstreamConnection
from flamingovalve.peer.connection import SILENCE_SECONDS, PeerConnection
from flamingovalve.util.authentication import Keyring
from flamingovalve.util.network import Network
from tests.rig.endless_answers import Endless, EndlessSite, Place
from tests.rig.site import Site

STEPS = 18
SEEDS = (1, 2, 3)
MEGABYTE = 1024**2
KEYRING = Keyring.from_settings(FleetSettings(key_current='k' * 32))
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
CHUNK = b'%x\r\n%s\r\n' % (16000, b'x' * 16000)


class Sender:
    """A thread that sends pieces to one connection until it is closed."""

    def __init__(self, head, piece, pause=0.0):
        """Listen; send ``head`` and then ``piece`` again and again."""
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self._sent = (head, piece, pause)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self):
        """Wait until the connection is closed."""
        self._thread.join(5)
        self._listener.close()

    def _run(self):
        head, piece, pause = self._sent
        accepted, _remote = self._listener.accept()
        with contextlib.suppress(OSError), accepted:
            accepted.settimeout(5)
            accepted.sendall(head)
            while True:
                accepted.sendall(piece)
                time.sleep(pause)


class TestConnection(unittest.TestCase):
    """Reads from sockets that always have data."""

    def read(self, sender, read):
        """Read an answer beside another task.

        :returns: what was raised, and the turns of the other task
        """
        self.addCleanup(sender.close)
        turns = []

        async def take_turns():
            while True:
                turns.append(1)
                await curio.sleep(0)

        async def play():
            network = Network()
            opened = await network.connect(sender.address, 1)
            connection = UpstreamConnection(network, sender.address, opened)
            other = await curio.spawn(take_turns, daemon=True)
            try:
                await connection.send(UpstreamCall('GET', '/', []), 1)
                await read(connection)
            except (ConnectionLost, TimeoutError) as raised:
                return raised
            finally:
                await connection.close()
                await other.cancel()
            return None

        return curio.run(play), len(turns)

    def test_quick_body_lets_other_tasks_run(self):
        """Timeouts and heartbeats stop while a task always finds data."""

        async def read(connection):
            await connection.head(1)
            await connection.body(20, 16 * MEGABYTE)

        raised, turns = self.read(Sender(CHUNKED, CHUNK), read)
        self.assertIsInstance(raised, ConnectionLost)
        self.assertGreater(turns, 16)

    def test_many_parts_of_one_read_let_other_tasks_run(self):
        """One read holds thousands of parts, which no read interrupts."""

        async def read(connection):
            await connection.head(1)
            await connection.body(20, MEGABYTE // 32)

        sender = Sender(CHUNKED, b'1\r\nx\r\n' * 4000)
        raised, turns = self.read(sender, read)
        self.assertIsInstance(raised, ConnectionLost)
        self.assertGreater(turns, 500)

    def test_quick_body_ends_with_its_time(self):
        """A timeout never fires while data is there."""

        async def read(connection):
            await connection.head(1)
            await connection.body(0.2, 10**12)

        raised, _turns = self.read(Sender(CHUNKED, CHUNK), read)
        self.assertIsInstance(raised, TimeoutError)

    def test_body_by_drops_ends_with_its_time(self):
        """The time limit begins anew with each byte."""

        async def read(connection):
            await connection.head(1)
            await connection.body(0.3, MEGABYTE)

        sender = Sender(CHUNKED, b'1\r\nx\r\n', 0.02)
        raised, _turns = self.read(sender, read)
        self.assertIsInstance(raised, TimeoutError)

    def test_head_by_drops_ends_with_its_time(self):
        """The time limit begins anew with each line."""

        async def read(connection):
            await connection.head(0.3)

        sender = Sender(b'HTTP/1.1 200 OK\r\n', b'A: b\r\n', 0.02)
        raised, _turns = self.read(sender, read)
        self.assertIsInstance(raised, TimeoutError)

    def test_informational_responses_without_end(self):
        """Each of them is complete, so no bound on a head applies."""

        async def read(connection):
            await connection.head(30)

        piece = b'HTTP/1.1 103 Early\r\n\r\n'
        raised, _turns = self.read(Sender(b'', piece), read)
        self.assertIsInstance(raised, ConnectionLost)

    def test_ready_parts_after_the_deadline_are_bounded(self):
        """What is ready is delivered late, what never ends is not."""

        async def read(connection):
            await connection.head(1)
            while await connection.chunk(0):
                continue

        raised, _turns = self.read(Sender(CHUNKED, CHUNK), read)
        self.assertIsInstance(raised, TimeoutError)


class TestPeers(unittest.TestCase):
    """Other programs at the address of another VM, or that connect to one."""

    def handshake(self, sender):
        """Begin a handshake as a client; return what was raised."""
        self.addCleanup(sender.close)

        async def play():
            network = Network()
            opened = await network.connect(sender.address, 1)
            connection = PeerConnection(network, opened)
            try:
                await connection.open_handshake(KEYRING, Hello())
            except (ConnectionLost, WrongPeer) as raised:
                return raised
            finally:
                await connection.close()
            return None

        began_at = time.monotonic()
        raised = curio.run(play)
        return raised, time.monotonic() - began_at

    def test_first_frame_of_half_a_gigabyte(self):
        """Guards against a process at a VM's address that fills the memory."""
        sender = Sender(b'\x20\0\0\0', b'x' * 16000)
        raised, seconds = self.handshake(sender)
        self.assertIsInstance(raised, WrongPeer)
        self.assertLess(seconds, 1)

    def test_first_frame_by_drops(self):
        """Guards against handshakes that take as long as the peer likes."""
        raised, seconds = self.handshake(Sender(b'\0\0\x0f\0', b'x', 0.02))
        self.assertIsInstance(raised, ConnectionLost)
        self.assertLess(seconds, SILENCE_SECONDS + 1)

    def test_first_frame_of_a_client(self):
        """Guards against a client that fills a VM's memory before its key."""

        async def play():
            own, other = curio.socket.socketpair()
            connection = PeerConnection(Network(), own)
            await other.sendall(b'\x20\0\0\0' + b'x' * 100000)
            try:
                await connection.accept_handshake(KEYRING, Hello())
            finally:
                await connection.close()
                await other.close()

        with self.assertRaises(WrongPeer):
            curio.run(play)


class TestBounds(unittest.TestCase):
    """Bounds on what is held of answers."""

    def test_event_without_end(self):
        """All of a stream would be held as one event."""
        for part in (b'x', b'x' * 4096):
            events = EventBuffer()
            with self.assertRaises(ConnectionLost):
                for _part in range(10**5):
                    events.feed(part)

    def test_held_answers_have_a_common_bound(self):
        """Many answers at a time would exceed the memory of the process."""
        bounds = AnswerBounds.from_settings(RelaySettings(), 100)
        with contextlib.ExitStack() as bodies:
            held = 0
            for _answer in range(1000):
                body = bodies.enter_context(HeldBody(bounds))
                while body.add(b'x' * 4096):
                    continue
                held += body.size
            self.assertLess(held, 32_000_000)
            self.assertLess(body.size, 30_000)
        self.assertEqual(bounds.held, 0)


class TestSite(unittest.TestCase):
    """Whole daemons whose upstreams answer without end."""

    def setUp(self):
        """Start a site."""
        self.site = Site.started(3, engines=2)
        self.addCleanup(self.site.close)
        self.vm_id = self.site.others()[0]

    def install(self, place, *runners, **manner):
        """Let upstreams answer without end until the test is over."""
        endless = Endless(place, **manner)
        for runner in runners:
            endless.install(runner)
        self.addCleanup(setattr, endless, 'is_on', False)
        return endless

    def send(self, path, count=6):
        """Send requests to one VM; return their statuses and the longest."""
        answers, longest = [], 0.0
        for number in range(count):
            call = self.site.call(path)
            if path in {'/chats/1', '/reviews/1'}:
                call = self.site.chat(f'a{number}', path)
            began_at = self.site.world.monotonic()
            task = self.site.begin(self.vm_id, call)
            self.site.wait(task)
            longest = max(longest, self.site.world.monotonic() - began_at)
            answers.append(getattr(task.result, 'status', None))
        return answers, longest

    def test_call_that_may_be_repeated(self):
        """The VM holds the answer, or waits for it, until its caller leaves."""
        for place in (Place.HEAD, Place.INFORMATIONAL, Place.OTHERS):
            for is_quick in (True, False):
                endless = self.install(
                    place, self.site.apps[0], is_quick=is_quick
                )
                answers, longest = self.send('/reads/1')
                endless.is_on = False
                self.assertEqual(set(answers) - {200, 504}, set(), place)
                self.assertIn(200, answers)
                self.assertLess(longest, 5.5)

    def test_failure_of_which_the_body_never_ends(self):
        """It is no answer to the caller, and another upstream has one."""
        self.install(Place.BODY, self.site.apps[0], status=500)
        self.assertEqual(set(self.send('/reads/1')[0]), {200})

    def test_order_by_drops_is_answered_in_time(self):
        """The caller has no answer when it leaves."""
        self.install(Place.BODY, *self.site.apps, is_quick=False)
        answers, longest = self.send('/orders/1', 1)
        self.assertEqual(answers, [504])
        self.assertLess(longest, 5.5)

    def test_quick_answer_breaks_off(self):
        """The VM would pass it on, or hold it, without end."""
        self.install(Place.BODY, *self.site.apps)
        answers, longest = self.send('/orders/1', 1)
        self.assertEqual(answers, [None])
        self.assertLess(longest, 5.5)

    def test_streams_break_off(self):
        """Streams of events, and events, without end."""
        for place in (Place.EVENT, Place.EVENTS):
            endless = self.install(place, *self.site.engines)
            answers, longest = self.send('/chats/1', 1)
            endless.is_on = False
            self.assertEqual(answers, [None], place)
            self.assertLess(longest, 5.5)

    def test_refusal_of_which_the_body_never_ends(self):
        """The stream may have run, as the refusal is not complete."""
        self.install(Place.BODY, *self.site.engines, status=421)
        answers, _longest = self.send('/chats/1', 1)
        self.assertEqual(answers, [502])

    def test_reports(self):
        """One engine stops all VMs that own or ask it."""
        for is_quick in (True, False):
            endless = self.install(
                Place.BODY, self.site.engines[0], is_quick=is_quick
            )
            endless.applies = lambda request: request.path == '/report'
            self.site.world.advance(2)
            self.assertIn(200, self.send('/chats/1')[0])
            self.assertGreater(endless.answers, 0)
            endless.is_on = False
            self.site.world.advance(4)

    def test_answers_to_orders(self):
        """The owner waits for ever, and with it all that wait for loads."""
        for is_quick in (True, False):
            endless = self.install(
                Place.BODY, *self.site.engines, is_quick=is_quick
            )
            endless.applies = lambda request: request.path == '/order'
            answers, longest = self.send('/chats/1', 2)
            self.assertEqual(set(answers) - {200, 503}, set())
            self.assertLess(longest, 5.5)
            self.assertGreater(endless.answers, 0)
            endless.is_on = False
            self.site.world.advance(6)

    def test_store(self):
        """A watch whose answer never ends stops the VM, and all changes."""
        for is_quick in (True, False):
            endless = self.install(
                Place.BODY, self.site.store, is_quick=is_quick
            )
            endless.applies = lambda request: request.path == '/kv-watch'
            self.site.world.advance(6)
            self.assertEqual(self.send('/reads/1', 2)[0], [200, 200])
            endless.is_on = False
            self.site.publish()
            self.site.world.advance(6)
            for vm in self.site.vms_by_id.values():
                version = vm.daemon.catalogue.configuration.version
                self.assertEqual(version, self.site.version)

    def test_through_another_vm(self):
        """The VM between passes bytes on without end."""
        names = [one.name for one in (*self.site.engines, *self.site.apps)]
        self.site.links.partition([self.vm_id], names)
        for _request in range(4):
            self.site.send(self.vm_id, self.site.call('/reads/1'))
        self.site.world.advance(2)
        self.install(Place.BODY, *self.site.apps)
        answers, longest = self.send('/orders/1', 2)
        self.assertEqual(set(answers) - {None, 502, 504}, set())
        self.assertLess(longest, 5.5)

    def test_large_sound_answer_is_passed_on(self):
        """It is neither cut off nor held as a whole."""
        body = bytes(range(256)) * 4096 * 8
        for app in self.site.apps:

            async def run(request, responder, app=app):
                app.record_run(request)
                await responder.start(200, app.identity_headers(request))
                for start in range(0, len(body), 65536):
                    await responder.chunk(body[start : start + 65536])
                await responder.end()

            app.run_request = run
        answer = self.site.send(self.vm_id, self.site.call('/orders/1'))
        self.assertEqual((answer.status, answer.body == body), (200, True))
        daemon = self.site.vms_by_id[self.vm_id].daemon
        self.assertLess(daemon.http.held.peak, len(body) / 2)
        self.assertEqual(daemon.upstreams.answer_bounds.held, 0)


def play(seed: int, sources: int = 1) -> list[str]:
    """Run the faults of one seed and return the violations."""
    faulty = EndlessSite(seed, sources)
    try:
        faulty.play(STEPS)
        return faulty.find_violations()
    finally:
        faulty.close()


class TestRandomFaults(unittest.TestCase):
    """Endless answers beside partitions, kills and pauses."""

    def test_promises_hold(self):
        """Guards against VMs that one upstream stops."""
        violations = {seed: play(seed) for seed in SEEDS}
        self.assertEqual(violations, dict.fromkeys(SEEDS, []))

    def test_promises_hold_with_two_sources(self):
        """Guards against VMs that two sources stop, the store among them."""
        violations = {seed: play(seed, 2) for seed in SEEDS}
        self.assertEqual(violations, dict.fromkeys(SEEDS, []))


def main() -> int:
    """Run the seeds of a range; a third argument: sources at a time."""
    first, last, *sources = (int(text) for text in sys.argv[1:])
    failed = 0
    for seed in range(first, last + 1):
        violations = play(seed, *sources)
        failed += bool(violations)
        print(seed, violations or 'ok', flush=True)
    return failed


if __name__ == '__main__':
    sys.exit(main())
