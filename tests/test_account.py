"""Tests of the log analysis and of the ``account`` command."""

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


def line(second: float, message: str, **fields: object) -> str:
    """Return a log line in the format that a VM writes."""
    timestamp = f'2026-06-16T06:50:{second:09.6f}'
    return json.dumps({'time': timestamp, 'message': message, **fields})


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
    """Statistics of valid and invalid log lines."""

    def setUp(self) -> None:
        """Create an empty summary."""
        self.reader = LineReader()
        self.summary = Summary()

    def add(self, vm, lines):
        """Read the log lines of a VM into the summary."""
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

    def test_invalid_lines_are_counted(self):
        """A log holds truncated lines and lines of other programs."""
        invalid = [
            'no json',
            '[1]',
            ENTRY[0][:40],
            '{"message": "x"}',
            '',
            '{}',
        ]
        self.add('entry', [*invalid, *ENTRY])
        counts = self.reader.counts
        self.assertEqual((counts.foreign, counts.undated), (3, 2))
        self.assertEqual(self.summary.outcomes.by_key['broken'], 1)

    def test_clock_set_back_is_counted(self):
        """The clock of a VM is set back, so later lines have earlier dates."""
        later = line(50, 'request', path='/c', outcome='answered', seconds=1)
        self.add('entry', [later, *ENTRY])
        self.assertEqual(self.reader.counts.backward, 3)

    def test_fields_of_wrong_type_are_ignored(self):
        invalid = line(1, 'place', id=7, waited='long', expected=True)
        self.add('entry', [invalid])
        self.assertFalse(self.summary.stages_by_name)

    def test_keys_are_bounded(self):
        counter = BoundedCounter()
        for number in range(5000):
            counter.add(f'reason {number}')
        self.assertLess(len(counter.by_key), 600)
        self.assertEqual(sum(counter.by_key.values()), 5000)


class TestCommand(unittest.TestCase):
    """The command, run as a subprocess."""

    def setUp(self) -> None:
        """Write the log files of two VMs."""
        temporary_directory = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_directory.cleanup)
        self.directory = Path(temporary_directory.name)
        for name, lines in (('entry', ENTRY), ('owner', OWNER)):
            path = self.directory / f'{name}.log'
            path.write_text('\n'.join(lines))

    def run_command(self, *arguments, standard_input=''):
        """Run ``flamingovalve account`` in the directory of the logs."""
        root = str(Path(__file__).parent.parent)
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'flamingovalve.cmd.flamingovalve',
                'account',
                *arguments,
            ],
            cwd=self.directory,
            env={**os.environ, 'PYTHONPATH': root},
            input=standard_input,
            capture_output=True,
            text=True,
            check=False,
        )

    def test_tables_and_plot(self):
        completed = self.run_command(
            'entry.log', 'owner.log', '--plot', 'out.png'
        )
        self.assertEqual(completed.returncode, 0, completed.stderr)
        self.assertIn('NO PLACE BECAUSE', completed.stdout)
        self.assertTrue((self.directory / 'out.png').stat().st_size)

    def test_lines_of_one_request_are_ordered(self):
        completed = self.run_command(
            'entry.log', 'owner.log', '--request', 'r1'
        )
        decisions = [
            row.split()[2] for row in completed.stdout.splitlines()[1:]
        ]
        self.assertEqual(decisions, ['place', 'send', 'request'])

    def test_standard_input(self):
        completed = self.run_command(standard_input='\n'.join(ENTRY))
        self.assertIn('answered', completed.stdout)

    def test_unknown_request_id(self):
        completed = self.run_command('entry.log', '--request', 'none')
        self.assertEqual(completed.returncode, 1)
        self.assertIn('none', completed.stderr)

    def test_unusable_files(self):
        completed = self.run_command('absent.log')
        self.assertEqual(completed.returncode, 1)
        self.assertIn('absent.log', completed.stderr)
        completed = self.run_command('entry.log', '--plot', 'out.nothing')
        self.assertEqual(completed.returncode, 1)
        self.assertIn('.png', completed.stderr)
