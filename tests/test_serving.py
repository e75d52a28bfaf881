"""Completions served by the requested adapter version."""

from __future__ import annotations

import json
import unittest

from flamingovalve.http.client import UpstreamCall
from standins.engine import tokens_of
from tests.rig.fleet import (
    Fleet,
    Shape,
    completion_call,
    error_type,
    outcome_of,
)


def expected_text(name: str, prompt: str) -> str:
    """Return the text that an adapter generates for a prompt."""
    content = {'messages': [{'role': 'user', 'content': prompt}]}
    return ''.join(tokens_of(name, content))


def text_of(body: bytes) -> str:
    """Return the text of a complete response."""
    return json.loads(body)['choices'][0]['message']['content']


def streamed_text(body: bytes) -> str:
    """Return the text of a streamed response, which must be complete."""
    events = body.decode().split('\n\n')
    assert events[-2:] == ['data: [DONE]', ''], 'no end marker'
    chunks = [json.loads(event[len('data: ') :]) for event in events[:-2]]
    return ''.join(chunk['choices'][0]['delta']['content'] for chunk in chunks)


class ServingTest(unittest.TestCase):
    """Requests on a healthy fleet."""

    def setUp(self):
        """Start a fleet."""
        self.fleet = Fleet.started()
        self.addCleanup(self.fleet.close)

    def test_exact_version(self):
        response = self.fleet.complete('vm-0', 'adapter-1@1')
        self.assertEqual(response.status, 200)
        self.assertEqual(response.header('x-adapter'), 'adapter-1@1')
        expected = expected_text('adapter-1@1', 'hello')
        self.assertEqual(text_of(response.body), expected)

    def test_current_version_is_named(self):
        response = self.fleet.complete('vm-1', 'adapter-1')
        self.assertEqual(json.loads(response.body)['model'], 'adapter-1@2')

    def test_any_vm_serves_any_adapter(self):
        for vm_id in self.fleet.vms_by_id:
            for index in range(4):
                name = f'adapter-{index}@1'
                response = self.fleet.complete(vm_id, name, vm_id)
                expected = expected_text(name, vm_id)
                self.assertEqual(text_of(response.body), expected)

    def test_stream(self):
        response = self.fleet.complete('vm-2', 'adapter-3', stream=True)
        expected = expected_text('adapter-3@2', 'hello')
        self.assertEqual(streamed_text(response.body), expected)

    def test_entry_names_the_owner_first(self):
        target = '/v1/entry?model=adapter-1&application=studio'
        for vm in self.fleet.vms_by_id.values():
            call = UpstreamCall('GET', target, [])
            response = self.fleet.caller.send(vm.http_address, call)
            answer = json.loads(response.body)
            daemon = self.fleet.daemon(vm.id)
            engine = daemon.placement.order('adapter-1@2', 'base')[0]
            owner = self.fleet.owners()[engine][0]
            first = self.fleet.vms_by_id[owner].http_address
            self.assertEqual(answer['addresses'][0], first)
            self.assertEqual(answer['version'], '2')
            self.assertGreater(answer['ttl_seconds'], 0)

    def test_two_hundred_at_once(self):
        addresses = [vm.http_address for vm in self.fleet.vms_by_id.values()]
        sent = []
        for index in range(200):
            name = f'adapter-{index % 8}@{index % 2 + 1}'
            prompt = f'prompt {index}'
            call = completion_call(name, prompt, stream=index % 2 == 0)
            address = addresses[index % len(addresses)]
            task = self.fleet.caller.start(address, call)
            sent.append((name, prompt, task))
        done = self.fleet.world.run_until(
            lambda: all(task.terminated for _n, _p, task in sent),
            seconds=120,
        )
        self.assertTrue(done)
        for index, (name, prompt, task) in enumerate(sent):
            response = outcome_of(task)
            reader = streamed_text if index % 2 == 0 else text_of
            self.assertEqual(
                reader(response.body),
                expected_text(name, prompt),
            )

    def test_idempotent_service_call(self):
        headers = [('authorization', 'Bearer studio')]
        call = UpstreamCall('POST', '/v1/services/orders/status', headers)
        address = self.fleet.vms_by_id['vm-0'].http_address
        response = self.fleet.caller.send(address, call)
        self.assertEqual(json.loads(response.body)['call'], 'status')


class RefusalTest(unittest.TestCase):
    """Requests that must be refused with a typed error."""

    @classmethod
    def setUpClass(cls):
        """Start one fleet for all tests."""
        cls.fleet = Fleet.started(Shape(vms=1, engines=1))

    @classmethod
    def tearDownClass(cls):
        """Stop the fleet."""
        cls.fleet.close()

    def check_refusal(self, status, kind, model, **options):
        """Check status and error type of a refused completion."""
        response = self.fleet.complete('vm-0', model, **options)
        self.assertEqual(response.status, status)
        self.assertEqual(error_type(response), kind)

    def test_unknown_adapter(self):
        self.check_refusal(404, 'unknown_adapter', 'nobody')

    def test_unknown_version(self):
        self.check_refusal(404, 'unknown_version', 'adapter-1@9')

    def test_unknown_application(self):
        self.check_refusal(
            401, 'unknown_application', 'adapter-1', application='x'
        )

    def test_application_not_allowed(self):
        self.check_refusal(
            403,
            'application_not_allowed',
            'adapter-1',
            application='stranger',
        )

    def test_deadline_is_a_number(self):
        self.check_refusal(
            400, 'malformed_request', 'adapter-1', deadline='soon'
        )

    def test_unknown_path_and_method(self):
        address = self.fleet.vms_by_id['vm-0'].http_address
        for method, path, status in (
            ('GET', '/nothing', 404),
            ('GET', '/v1/chat/completions', 405),
            ('POST', '/v1/entry', 405),
            ('GET', '/v1/entry?application=studio', 400),
        ):
            call = UpstreamCall(method, path, [])
            response = self.fleet.caller.send(address, call)
            self.assertEqual(response.status, status, path)
