"""What the log lines of several VMs say about lost requests."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from flamingovalve.account.lines import LineReader
from flamingovalve.account.summary import BoundedCounter, Summary


def line(second: float, message: str, **facts: object) -> str:
    """Give a line as a VM writes it."""
    moment = f'2026-06-16T06:50:{second:09.6f}'
    return json.dumps({'time': moment, 'message': message, **facts})


ENTRY = [
    line(1.0, 'send', id='r1', route='chat', outcome='lost', first_event=0),
    line(1.1, 'request', id='r1', path='/c/1', outcome='broken', seconds=0.3),
    line(2.2, 'request', id='r2', path='/c/2', outcome='answered', seconds=1),
]
OWNER = [
    line(0.9, 'place', id='r1', waited=0.2, expected=0.3),
    line(2.0, 'refused', id='r3', reason='too much; come back', waited=0.1),
]


class TestSummary(unittest.TestCase):
    """Lines that can be read, and others."""

    def setUp(self) -> None:
        """Start with nothing read."""
        self.reader = LineReader()
        self.summary = Summary()

    def add(self, vm, lines):
        """Read the log of a VM."""
        self.summary.add_all(self.reader.read(vm, lines))

    def test_outcomes_reasons_and_stages(self):
        self.add('entry', ENTRY)
        self.add('owner', OWNER)
        self.assertEqual(
            self.summary.outcomes.by_key, {'broken': 1, 'answered': 1}
        )
        self.assertEqual(self.summary.reasons.by_key, {'too much': 1})
        self.assertEqual(self.summary.by_vm.by_key, {'entry: broken': 1})
        waits = self.summary.stages_by_name['wait for a place']
        self.assertAlmostEqual(waits.quantile(50), 0.2, places=2)
        self.assertEqual(sorted(self.summary.by_second), [0, 1])

    def test_lines_that_cannot_be_read_are_counted(self):
        """A log was cut in the middle of a line, and others wrote into it."""
        bad = ['no json', '[1]', ENTRY[0][:40], '{"message": "x"}', '', '{}']
        self.add('entry', [*bad, *ENTRY])
        counts = self.reader.counts
        self.assertEqual((counts.foreign, counts.undated), (3, 2))
        self.assertEqual(self.summary.outcomes.by_key['broken'], 1)

    def test_clock_that_jumps_is_said(self):
        """The time of day of a VM was set back by minutes."""
        later = line(50, 'request', path='/c', outcome='answered', seconds=1)
        self.add('entry', [later, *ENTRY])
        self.assertEqual(self.reader.counts.backward, 3)

    def test_facts_of_another_type_are_passed_over(self):
        odd = line(1, 'place', id=7, waited='long', expected=True)
        self.add('entry', [odd])
        self.assertFalse(self.summary.stages_by_name)

    def test_keys_are_bounded(self):
        counter = BoundedCounter()
        for number in range(5000):
            counter.add(f'reason {number}')
        self.assertLess(len(counter.by_key), 600)
        self.assertEqual(sum(counter.by_key.values()), 5000)


class TestCommand(unittest.TestCase):
    """The command as operators call it."""

    def setUp(self) -> None:
        """Write the logs of two VMs."""
        opened = tempfile.TemporaryDirectory()
        self.addCleanup(opened.cleanup)
        self.folder = Path(opened.name)
        for name, lines in (('entry', ENTRY), ('owner', OWNER)):
            path = self.folder / f'{name}.log'
            path.write_text('\n'.join(lines))

    def run_command(self, *arguments, given=''):
        """Run ``flamingovalve account`` in the folder of the logs."""
        root = str(Path(__file__).parent.parent)
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'flamingovalve.cmd.flamingovalve',
                'account',
                *arguments,
            ],
            cwd=self.folder,
            env={**os.environ, 'PYTHONPATH': root},
            input=given,
            capture_output=True,
            text=True,
            check=False,
        )

    def test_tables_and_picture(self):
        done = self.run_command('entry.log', 'owner.log', '--plot', 'out.png')
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn('NO PLACE BECAUSE', done.stdout)
        self.assertTrue((self.folder / 'out.png').stat().st_size)

    def test_way_of_one_request_in_order(self):
        done = self.run_command('entry.log', 'owner.log', '--request', 'r1')
        decisions = [row.split()[2] for row in done.stdout.splitlines()[1:]]
        self.assertEqual(decisions, ['place', 'send', 'request'])

    def test_standard_input(self):
        done = self.run_command(given='\n'.join(ENTRY))
        self.assertIn('answered', done.stdout)

    def test_id_that_nowhere_stands(self):
        done = self.run_command('entry.log', '--request', 'none')
        self.assertEqual(done.returncode, 1)
        self.assertIn('none', done.stderr)

    def test_files_that_cannot_be_used(self):
        done = self.run_command('absent.log')
        self.assertEqual(done.returncode, 1)
        self.assertIn('absent.log', done.stderr)
        done = self.run_command('entry.log', '--plot', 'out.nothing')
        self.assertEqual(done.returncode, 1)
        self.assertIn('.png', done.stderr)
