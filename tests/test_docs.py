"""The pages name only what exists, and their examples work."""

from __future__ import annotations

import importlib.util
import re
import unittest
from pathlib import Path

from flamingovalve.config.settings import parse_settings
from flamingovalve.metrics import ENGINE_MEANINGS, GAUGES, MEANINGS

ROOT = Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob('*.md'), *ROOT.glob('docs/**/*.md')])


class DocsTest(unittest.TestCase):
    """Checks on every page."""

    def each_match(self, pattern):
        """Give each match of a pattern with the page that it stands in."""
        for page in PAGES:
            for match in re.finditer(pattern, page.read_text('utf-8')):
                yield page, match

    def test_commands_exist(self):
        makefile = (ROOT / 'Makefile').read_text('utf-8')
        targets = set(re.findall(r'^([a-z-]+):', makefile, re.MULTILINE))
        for page, match in self.each_match(r'`make ([a-z-]+)|^    make (\w+)'):
            target = match.group(1) or match.group(2)
            self.assertIn(target, targets, page)

    def test_modules_exist(self):
        for page, match in self.each_match(r'python -m ([\w.]+)'):
            found = importlib.util.find_spec(match.group(1))
            self.assertIsNotNone(found, (page, match.group(1)))

    def test_links_lead_somewhere(self):
        for page, match in self.each_match(r'\]\(([^)#:]+)\)'):
            self.assertTrue(
                (page.parent / match.group(1)).exists(),
                (page, match.group(1)),
            )

    def test_named_files_exist(self):
        pattern = r'`((?:tests|benchmarks|demo)/[\w/]+\.py)`'
        for page, match in self.each_match(pattern):
            self.assertTrue((ROOT / match.group(1)).exists(), page)

    def test_settings_example_is_valid(self):
        page = (ROOT / 'docs' / 'operators.md').read_text('utf-8')
        start = page.index('    [vm]')
        end = page.index('\n\nAll settings')
        text = '\n'.join(
            line.removeprefix('    ') for line in page[start:end].split('\n')
        )
        outcome = parse_settings(text, 'docs/operators.md')
        self.assertTrue(outcome.is_ok(), outcome)

    def test_metrics_exist(self):
        known = {f'flamingovalve_{name}' for name in GAUGES}
        known |= {f'flamingovalve_{name}_total' for name in MEANINGS}
        known |= {
            f'flamingovalve_engine_{name}_total' for name in ENGINE_MEANINGS
        }
        page = (ROOT / 'docs' / 'operators.md').read_text('utf-8')
        for name in re.findall(r'flamingovalve_\w+', page):
            self.assertIn(name, known)

    def test_every_count_has_a_meaning(self):
        """A count without a meaning would be missing from the metrics."""
        from tests.rig.fleet import Fleet, Shape

        fleet = Fleet.started(Shape(vms=1, engines=1))
        self.addCleanup(fleet.close)
        daemon = fleet.daemon('vm-0')
        for group, counts in daemon.all_counts().items():
            for name in vars(counts):
                if f'{group}_{name}' not in MEANINGS:
                    self.assertEqual(name, 'open_connections')
        exposed = daemon.metrics.exposition().decode()
        for name in MEANINGS:
            self.assertIn(f'flamingovalve_{name}_total', exposed)
