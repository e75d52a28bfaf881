"""API keys of workspaces, on complete gateway daemons."""

from __future__ import annotations

import json
import unittest

from flamingovalve.errors import Undecodable
from flamingovalve.gateway.confirmation import Confirmation
from flamingovalve.platform import decode
from flamingovalve.util import clock
from tests.rig.site import HOST, REVOKE_SECONDS, ROUTES, Site

OURS = {'Name': 'ours', 'ApiKeys': ['key-1', 'key-2'], 'Priority': 3}
THEIRS = {'Name': 'theirs', 'ApiKeys': ['key-3']}


class AccessTest(unittest.TestCase):
    """A site with two workspaces."""

    vms = 3

    def setUp(self) -> None:
        """Start the site and publish the workspaces."""
        self.site = Site.started(self.vms)
        self.addCleanup(self.site.close)
        self.publish(OURS, THEIRS)
        self.site.world.advance(2)

    def publish(self, *workspaces):
        """Publish a configuration with ``workspaces``."""
        self.site.publish(Tenants=list(workspaces))

    def status(self, vm_id, key, path='/reads/1'):
        """Send a request with a key and return the response status."""
        call = self.site.call(path, Api_Key=key)
        return self.site.send(vm_id, call).status

    def headers_seen(self):
        """Return the headers of every call that reached an application."""
        return [h for app in self.site.apps for h in app.headers_seen]


class TestKeys(AccessTest):
    """Admission by key, and the headers that upstreams receive."""

    def test_upstream_gets_the_workspace_and_not_the_key(self):
        self.assertEqual(self.status('vm-0', 'key-1'), 200)
        [seen] = self.headers_seen()
        self.assertEqual(seen['tenant'], 'ours')
        self.assertNotIn('api-key', seen)

    def test_engine_gets_the_workspace_and_its_priority(self):
        call = self.site.chat('a')
        call.headers.append(('Api-Key', 'key-1'))
        self.assertEqual(self.site.send('vm-0', call).status, 200)
        [seen] = [h for e in self.site.engines for h in e.headers_seen]
        self.assertEqual(seen['tenant'], 'ours')
        self.assertEqual(seen['request-priority'], '3')
        self.assertNotIn('api-key', seen)

    def test_unknown_or_missing_key_is_refused(self):
        for key in ('key-9', 'KEY-1', 'key-1 x', '', 'k' * 8000):
            self.assertEqual(self.status('vm-0', key), 401, key[:20])
        call = self.site.call('/reads/1')
        self.assertEqual(self.site.send('vm-0', call).status, 401)
        self.assertEqual(self.headers_seen(), [])

    def test_caller_cannot_name_its_workspace(self):
        call = self.site.call('/reads/1', Api_Key='key-3', Tenant='ours')
        call.headers.append(('TENANT', 'ours'))
        self.assertEqual(self.site.send('vm-0', call).status, 200)
        [seen] = self.headers_seen()
        self.assertEqual(seen['tenant'], 'theirs')

    def test_two_keys_are_refused(self):
        """Another component could read a different one of the keys."""
        call = self.site.call('/reads/1', Api_Key='key-1')
        call.headers.append(('api-KEY', 'key-3'))
        self.assertEqual(self.site.send('vm-0', call).status, 400)
        self.assertEqual(self.headers_seen(), [])

    def test_public_route_needs_no_key(self):
        routes = [
            {
                'Host': HOST,
                'TimeoutMs': 5000,
                'TargetLatencyMs': 1000,
                'Public': True,
                **route,
            }
            for route in ROUTES
        ]
        self.site.publish(Tenants=[OURS], Routes=routes)
        self.site.world.advance(2)
        call = self.site.call('/reads/1', Tenant='ours', Api_Key='key-9')
        self.assertEqual(self.site.send('vm-0', call).status, 200)
        [seen] = self.headers_seen()
        self.assertNotIn('tenant', seen)
        self.assertNotIn('api-key', seen)

    def test_configuration_without_workspaces_needs_no_key(self):
        self.site.publish()
        self.site.world.advance(2)
        call = self.site.call('/reads/1')
        self.assertEqual(self.site.send('vm-0', call).status, 200)

    def test_token_counts_out_of_range_are_refused(self):
        for counts in ('-1,5', '5,-1', '9' * 400 + ',1', '1', '1,2,3', 'x,y'):
            call = self.site.chat('a')
            call.headers[:] = [
                (name, counts if name == 'Token-Counts' else text)
                for name, text in call.headers
            ]
            call.headers.append(('Api-Key', 'key-1'))
            response = self.site.send('vm-0', call)
            self.assertEqual(response.status, 400, counts[:20])


class TestRevocation(AccessTest):
    """Revoked keys."""

    def revoke(self):
        """Revoke a key and return the time of its revocation."""
        self.publish({**OURS, 'ApiKeys': ['key-2']}, THEIRS)
        return self.site.world.monotonic()

    def test_revoked_key_is_refused_and_the_other_is_served(self):
        self.revoke()
        self.site.world.advance(2)
        for vm_id in self.site.vms_by_id:
            self.assertEqual(self.status(vm_id, 'key-1'), 401)
            self.assertEqual(self.status(vm_id, 'key-2'), 200)

    def test_partitioned_vm_serves_no_key_after_the_bound(self):
        """A partitioned VM must not accept a revoked key indefinitely."""
        self.site.links.partition(['vm-2'], ['vm-0', 'vm-1', 'store'])
        self.revoke()
        before = len(self.headers_seen())
        self.assertEqual(self.status('vm-2', 'key-1'), 200)
        self.site.world.advance(REVOKE_SECONDS)
        for key in ('key-1', 'key-2'):
            self.assertEqual(self.status('vm-2', key), 503)
        self.assertEqual(len(self.headers_seen()), before + 1)
        self.site.links.heal()
        self.site.world.advance(4)
        self.assertEqual(self.status('vm-2', 'key-1'), 401)
        self.assertEqual(self.status('vm-2', 'key-2'), 200)

    def test_paused_vm_serves_no_key_when_it_resumes(self):
        """A resumed process must not rely on a confirmation made earlier."""
        node = self.site.vms_by_id['vm-2'].node
        self.assertEqual(self.status('vm-2', 'key-1'), 200)
        node.paused = True
        self.revoke()
        self.site.world.advance(REVOKE_SECONDS + 1)
        self.site.links.partition(['vm-2'], ['vm-0', 'vm-1', 'store'])
        node.paused = False
        self.assertEqual(self.status('vm-2', 'key-1'), 503)

    def test_vm_without_the_store_serves_by_confirmations_of_others(self):
        """Losing the store alone must not make a VM refuse valid keys."""
        self.site.links.partition(['vm-2'], ['store'])
        for _second in range(10):
            self.site.world.advance(1)
            self.assertEqual(self.status('vm-2', 'key-1'), 200)
        self.revoke()
        self.site.world.advance(2)
        self.assertEqual(self.status('vm-2', 'key-1'), 401)

    def test_vm_that_reaches_only_the_store_serves_keys(self):
        self.site.links.partition(['vm-2'], ['vm-0', 'vm-1'])
        for _second in range(10):
            self.site.world.advance(1)
            self.assertEqual(self.status('vm-2', 'key-2'), 200)

    def test_no_vm_serves_keys_during_a_long_store_outage(self):
        self.site.store.refusal = 503
        self.site.world.advance(REVOKE_SECONDS)
        for vm_id in self.site.vms_by_id:
            call = self.site.call('/reads/1', Api_Key='key-1')
            refused = self.site.send(vm_id, call)
            self.assertEqual(refused.status, 503)
            self.assertGreater(float(refused.header('retry-after')), 0)
        self.site.store.refusal = 0
        self.site.world.advance(2)
        self.assertEqual(self.status('vm-0', 'key-1'), 200)

    def test_idle_vm_answers_its_first_request(self):
        """An expired confirmation must be renewed by the first request."""
        self.site.world.advance(30)
        for vm_id in self.site.vms_by_id:
            self.assertEqual(self.status(vm_id, 'key-1'), 200)


class TestConfirmation(unittest.TestCase):
    """How the age of a confirmation is measured."""

    def test_suspension_of_the_vm_counts(self):
        """The monotonic clock does not advance while a VM is suspended."""
        boot_time = [100.0]
        clock.replace_source(lambda: 1.0, lambda: 1.0, lambda: boot_time[0])
        self.addCleanup(clock.restore_source)
        confirmation = Confirmation()
        self.assertEqual(confirmation.age(), float('inf'))
        confirmation.record(clock.boot(), 0.5)
        boot_time[0] += 7
        self.assertEqual(confirmation.age(), 7.5)

    def test_older_confirmation_does_not_replace_a_newer_one(self):
        clock.replace_source(lambda: 1.0, lambda: 1.0, lambda: 100.0)
        self.addCleanup(clock.restore_source)
        confirmation = Confirmation()
        confirmation.record(99)
        confirmation.record(99.5, 3)
        self.assertEqual(confirmation.age(), 1)


class TestDecoding(unittest.TestCase):
    """Decoding of published workspaces."""

    def configuration(self, workspaces):
        """Decode a configuration with ``workspaces``."""
        text = json.dumps(
            {'Version': 1, 'Routes': [], 'Services': [], 'Tenants': workspaces},
        )
        return decode.configuration(text.encode())

    def test_malformed_workspaces_are_refused(self):
        for bad in (
            7,
            [{}],
            [{'Name': 'w'}],
            [{'Name': 'w', 'ApiKeys': [7]}],
            [{'Name': 7, 'ApiKeys': ['k']}],
            [{'Name': 'w', 'ApiKeys': ['k'], 'Priority': 'x'}],
            [{**OURS, 'RatePerS': -1}],
            [{**OURS, 'RatePerS': '5'}],
            [{**OURS, 'RatePerS': True}],
            [{**OURS, 'RatePerS': 10**400}],
            [{**OURS, 'RatePerS': 5, 'Burst': float('nan')}],
            [{**OURS, 'RatePerS': 5, 'Burst': float('inf')}],
            [{**OURS, 'RatePerS': 5, 'Unit': 'acres'}],
            [{**OURS, 'RatePerS': 5, 'PlainTokens': 0.5}],
        ):
            with self.assertRaises(Undecodable):
                self.configuration(bad)

    def test_key_is_not_stored(self):
        decoded = self.configuration([OURS])
        self.assertNotIn('key-1', repr(decoded))
        self.assertEqual(decoded.workspace_of(b'key-1').name, 'ours')


if __name__ == '__main__':
    unittest.main()
