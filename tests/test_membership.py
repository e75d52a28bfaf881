"""Membership: authentication, key rotation and the cost of gossip."""

from __future__ import annotations

import socket
import unittest

from hypothesis import given
from hypothesis import strategies as st

from flamingovalve.generated import messages
from flamingovalve.membership.rumours import RumourQueue
from flamingovalve.util.authentication import Keyring, ReplayWindow
from flamingovalve.util.listeners import split_address
from tests.rig.fleet import Fleet, Shape

OLD, NEW = 'the old key of the fleet', 'the new key of the fleet'


class ReplayWindowTest(unittest.TestCase):
    """Each sequence number of a sender is accepted once."""

    @given(st.lists(st.integers(0, 600), max_size=80))
    def test_against_a_set(self, numbers):
        window = ReplayWindow()
        accepted = [number for number in numbers if window.accept(number)]
        self.assertEqual(len(accepted), len(set(accepted)))
        highest = -1
        seen = set()
        for number in numbers:
            fresh = number not in seen and number > highest - 256
            self.assertEqual(number in accepted, number in seen or fresh)
            if fresh:
                seen.add(number)
            highest = max(highest, number)


class AuthenticityTest(unittest.TestCase):
    """Datagrams and connections from outside the fleet."""

    def setUp(self):
        """Start a fleet and open a socket that is not part of it."""
        self.fleet = Fleet.started(Shape(vms=3, engines=1))
        self.addCleanup(self.fleet.close)
        self.outsider = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.outsider.close)
        self.vm = self.fleet.vms_by_id['vm-0']
        self.counts = self.fleet.daemon('vm-0').gossip.counts

    def send(self, datagram):
        """Send raw bytes to a VM's membership port."""
        address = split_address(self.vm.peer_address)
        self.outsider.sendto(datagram, address)
        self.fleet.world.advance(0.2)

    def sealed(self, sequence, counter, incarnation=1 << 62):
        """Return an authentic datagram that says vm-1 is dead."""
        rumour = messages.MemberRumour(
            'vm-1',
            self.fleet.daemon('vm-1').incarnation,
            counter,
            messages.MemberState.DEAD,
        )
        datagram = messages.Datagram(
            'vm-2',
            incarnation,
            sequence,
            [rumour],
            messages.Ping('vm-0', 'vm-2', 0),
        )
        settings = self.fleet.daemon('vm-0').settings
        ring = Keyring.from_settings(settings.fleet)
        return ring.seal(messages.encode_datagram(datagram))

    def test_garbage_and_forgery(self):
        """Garbage and messages under another key are dropped and counted.

        They have no other effect.
        """
        self.send(b'')
        self.send(b'\x00' * 40)
        forged = Keyring([b'k' * 64]).seal(b'whatever')
        self.send(forged)
        self.assertEqual(self.counts.forged, 3)
        settings = self.fleet.daemon('vm-0').settings
        ring = Keyring.from_settings(settings.fleet)
        self.send(ring.seal(b'not cap n proto'))
        self.assertEqual(self.counts.garbled, 1)
        self.assertEqual(self.fleet.complete('vm-0', 'adapter-1').status, 200)

    def test_replay(self):
        """A recorded datagram that is sent again is rejected."""
        recorded = self.sealed(5, 0)
        self.send(recorded)
        before = self.counts.replayed
        self.send(recorded)
        self.assertEqual(self.counts.replayed, before + 1)

    def test_false_accusation_is_refuted(self):
        """A VM that is falsely reported dead refutes the rumour."""
        self.send(self.sealed(1, 0))
        self.fleet.world.advance(5)
        member = self.fleet.daemon('vm-0').members.by_id['vm-1']
        self.assertIs(member.state, messages.MemberState.ALIVE)

    def test_peer_connection_without_the_key(self):
        """A peer connection without the key is rejected and closed."""

        async def connect_without_key(address):
            network = self.fleet.caller.network
            opened = await network.connect(address, 1)
            await opened.sendall(b'\x00\x00\x00\x04' + b'x' * 20)
            received = await opened.recv(100)
            await opened.close()
            return received

        received = self.fleet.world.ask(
            self.fleet.caller.node,
            connect_without_key,
            self.vm.peer_address,
        )
        self.assertEqual(received, b'')
        counts = self.fleet.daemon('vm-0').peer_server.counts
        self.assertEqual(counts.rejected, 1)


class RotationTest(unittest.TestCase):
    """The key of the fleet is rotated while it runs."""

    def test_old_and_new_settings_understand_each_other(self):
        """One VM has the new key before the others, and is not marked dead."""

        def tune(settings):
            is_new = settings.vm.id == 'vm-1'
            settings.fleet.key_current = NEW if is_new else OLD
            settings.fleet.key_previous = OLD if is_new else NEW

        fleet = Fleet.started(Shape(vms=3, engines=2, tune=tune))
        self.addCleanup(fleet.close)
        fleet.world.advance(30)
        for daemon in fleet.daemons():
            self.assertEqual(len(daemon.members.present()), 3)
            self.assertEqual(daemon.gossip.counts.forged, 0)
        for vm_id in fleet.vms_by_id:
            response = fleet.complete(vm_id, 'adapter-1')
            self.assertEqual(response.status, 200)


class CostTest(unittest.TestCase):
    """The membership cost per VM does not depend on the fleet size."""

    def test_datagrams_do_not_grow_with_the_fleet(self):
        rates = []
        for size in (5, 25):
            fleet = Fleet.started(Shape(vms=size, engines=1))
            try:
                fleet.world.advance(20)
                before = self.sent(fleet)
                fleet.world.advance(30)
                rates.append((self.sent(fleet) - before) / size / 30)
            finally:
                fleet.close()
        self.assertLess(rates[1], rates[0] * 1.3)

    def sent(self, fleet):
        """Return the number of datagrams that all VMs sent."""
        return sum(daemon.gossip.counts.sent for daemon in fleet.daemons())

    def test_rumours_are_sent_a_bounded_number_of_times(self):
        queue = RumourQueue()
        for index in range(20):
            queue.add(messages.VersionRumour(f'vm-{index}', index, 1))
            queue.add(messages.PoisonRumour(index, 1, 1))
        batches = 0
        while queue.take(8, 760):
            batches += 1
            self.assertLess(batches, 200)
        self.assertEqual(len(queue), 0)
