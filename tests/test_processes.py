"""Daemons as processes: signals, command-line tool, OpenAI client."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
import unittest

import openai

from demo.processes import SECRET, Processes, Shape, get_json

SHAPE = Shape('test', ('east', 'west'), 3, 2, 1, adapters=40)
TOOL = 'flamingovalve.cmd.flamingovalve'


def tool(*arguments):
    """Run the command-line tool; return its exit status and output."""
    finished = subprocess.run(
        [sys.executable, '-m', TOOL, *arguments],
        capture_output=True,
        check=False,
        text=True,
        timeout=60,
    )
    return finished.returncode, finished.stdout + finished.stderr


class ProcessTest(unittest.TestCase):
    """A fleet of three daemons, two engines and a plain service."""

    @classmethod
    def setUpClass(cls):
        """Start the processes of the fleet."""
        cls.fleet = Processes(SHAPE).__enter__()
        cls.fleet.wait_ready()

    @classmethod
    def tearDownClass(cls):
        """Stop the processes of the fleet."""
        cls.fleet.__exit__(None, None, None)

    def test_unmodified_openai_client(self):
        address = self.fleet.vms[0].http_address
        client = openai.OpenAI(
            base_url=f'http://{address}/v1',
            api_key='studio',
        )
        messages = [{'role': 'user', 'content': 'hello'}]
        answer = client.chat.completions.create(
            model='adapter-00001@1',
            messages=messages,
        )
        self.assertEqual(answer.model, 'adapter-00001@1')
        text = answer.choices[0].message.content
        self.assertTrue(text.startswith('adapter-00001@1/'))
        stream = client.chat.completions.create(
            model='adapter-00001@1',
            messages=messages,
            stream=True,
        )
        parts = [part.choices[0].delta.content for part in stream]
        self.assertEqual(''.join(parts), text)
        self.assertEqual(len(client.models.list().data), 40)
        with self.assertRaises(openai.NotFoundError):
            client.chat.completions.create(model='no', messages=messages)

    def test_command_line_tool(self):
        address = self.fleet.vms[0].http_address
        status, output = tool('state', address)
        self.assertEqual(status, 0)
        self.assertIn('vm-1', output)
        status, output = tool('state', address, '--json')
        self.assertEqual(json.loads(output)['vm'], 'vm-0')
        query = ('--application', 'studio', '--json')
        status, output = tool(
            'entry', address, '--model', 'adapter-00002', *query
        )
        self.assertEqual(json.loads(output)['version'], '2')
        status, output = tool(
            'entry',
            address,
            '--service',
            'orders',
            '--call',
            'pay',
            *query,
        )
        self.assertTrue(json.loads(output)['permit'].startswith('permit.'))
        status, output = tool(
            'send', address, 'hi', '--model', 'x', '--application', 'studio'
        )
        self.assertEqual(status, 4)
        self.assertIn('unknown_adapter', output)
        status, output = tool('state', '127.0.0.1:1')
        self.assertEqual(status, 3)
        status, output = tool('drain', address, '--secret', 'wrong')
        self.assertEqual(status, 4)

    def test_check_names_every_fault(self):
        path = f'{self.fleet.directory}/bad.ini'
        with open(path, 'w', encoding='utf-8') as bad:
            bad.write('[vm]\nid = a\nhttp_address = nowhere\n[what]\n')
        status, output = tool('check', path)
        self.assertEqual(status, 1)
        for place in ('vm.failure_domain', 'vm.http_address', 'what'):
            self.assertIn(place, output)
        status, output = tool('check', f'{self.fleet.directory}/vm-0.ini')
        self.assertEqual((status, 'no fault' in output), (0, True))

    def test_drain_and_sigterm_end_with_status_0(self):
        """A drained VM and a terminated one both exit with status 0."""
        for vm, end in (
            (
                self.fleet.vms[1],
                lambda vm: tool('drain', vm.http_address, '--secret', SECRET),
            ),
            (
                self.fleet.vms[2],
                lambda vm: vm.process.send_signal(signal.SIGTERM),
            ),
        ):
            vm.process.send_signal(signal.SIGHUP)
            time.sleep(0.2)
            self.assertIsNotNone(get_json(vm.http_address, '/healthz'))
            end(vm)
            self.assertEqual(vm.process.wait(30), 0)
        self.fleet.start_vm(self.fleet.vms[1])
        self.fleet.start_vm(self.fleet.vms[2])
        self.fleet.wait_ready()
