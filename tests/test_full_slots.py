"""Tests of whole daemons on engines without a free slot."""

from __future__ import annotations

import itertools
import sys
import unittest

from tests.rig.holder_faults import HolderFaults
from tests.rig.slot_faults import FullSite

STEPS = 12


class HolderSlots(HolderFaults, FullSite):
    """Engines without a free slot, and faults of the last holder."""


def play(
    seed: int,
    names: tuple[str, ...] = (),
    kind: type[FullSite] = FullSite,
) -> list[str]:
    """Run the faults of one seed and return the violations."""
    site = kind(seed, names)
    try:
        site.play(STEPS)
        return site.find_violations()
    finally:
        site.close()


class TestFullSlots(unittest.TestCase):
    """Tests that an owner knows what its engines hold."""

    def test_lost_and_late_orders(self):
        """Guards against loads that exceed the slots of an engine."""
        names = ('lose_answers', 'delay_orders', 'slow_orders', 'outlast')
        for seed in (1, 2):
            self.assertEqual(play(seed, names), [])


def fault_sets() -> list[tuple[str, ...]]:
    """Return each fault alone, each pair, and all together."""
    site = FullSite(0, ())
    names = [fault.__name__ for fault in site.faults()]
    site.close()
    alone = [(name,) for name in names]
    return [*alone, *itertools.combinations(names, 2), ()]


def main() -> int:
    """Run the seeds of a range, each with the next set of faults.

    ``holder`` adds faults of the last holder.
    """
    first, last = (int(text) for text in sys.argv[1:3])
    kind = HolderSlots if 'holder' in sys.argv[3:] else FullSite
    sets = fault_sets()
    failed = 0
    for seed in range(first, last + 1):
        names = sets[seed % len(sets)]
        violations = play(seed, names, kind)
        failed += bool(violations)
        print(seed, *names, violations or 'ok', flush=True)
    return failed


if __name__ == '__main__':
    sys.exit(main())
