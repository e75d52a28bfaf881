"""Signals in series on processes that serve orders."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

from tests.rig.linked_processes import ROOT
from tests.rig.signal_series import SignalSeries

VMS = 4
SECONDS = 30
CI_SECONDS = 40
CI_SEED = 1
FEWEST_STARTS = 8


class TestSeries(unittest.TestCase):
    """Four VMs that are started, signalled and stopped over and over."""

    def test_signals_that_overlap(self):
        """Guards against signals that end or hang a VM, or lose orders."""
        series = SignalSeries(CI_SEED, VMS)
        series.play(CI_SECONDS)
        self.assertEqual(series.violations, [])
        self.assertGreaterEqual(series.starts, FEWEST_STARTS)
        self.assertGreater(series.answers[200], 0)


def main() -> int:
    """Play the seeds of a range; further arguments: VMs, another checkout."""
    first, last = (int(text) for text in sys.argv[1:3])
    vms = int(sys.argv[3]) if len(sys.argv) > 3 else VMS
    root = Path(*sys.argv[4:5] or [ROOT]).resolve()
    failed = 0
    for seed in range(first, last + 1):
        series = SignalSeries(seed, vms, root)
        series.play(SECONDS)
        failed += bool(series.violations)
        print(seed, 'starts', series.starts, dict(series.steps), flush=True)
        longest_stop = round(series.longest_stop, 2)
        print('  ', dict(series.answers), 'longest stop', longest_stop)
        print('  ', '\n   '.join(series.violations) or 'ok', flush=True)
    return failed


if __name__ == '__main__':
    sys.exit(main())
