"""Answers that end within their heads, and what their callers get."""

from __future__ import annotations

import itertools
import random
import sys
import unittest
from collections import Counter

from tests.rig.broken_answers import PlainCaller
from tests.rig.cut_heads import (
    CHUNKED,
    CONTINUE,
    EARLY_HINTS,
    LENGTH,
    Cut,
    HeadCutter,
)
from tests.rig.site import Site

OK = 200
PATHS = ('/reads/1', '/orders/1', '/chats/1', '/reviews/1')
FRAMINGS = ([], LENGTH, CHUNKED)
INTERIM = (b'', CONTINUE, EARLY_HINTS)
# The longest head of these upstreams.
HEAD_BYTES = 105
PLAYS = 160


class CutSite:
    """A site whose upstreams cut the heads of their answers.

    :ivar seen: answers by whether they are successes, and complete
    """

    def __init__(self, *, is_tunnelled):
        """Start the site; let requests run through another VM if asked."""
        self.site = Site.started(4, engines=3, slots=2)
        upstreams = (*self.site.engines, *self.site.apps)
        self.cutter = HeadCutter(*upstreams)
        self.vm_id = self.site.others()[0]
        self.caller = PlainCaller(self.site.caller.network)
        self.seen = Counter()
        if is_tunnelled:
            names = [upstream.name for upstream in upstreams]
            self.site.links.partition([self.vm_id], names)
            for path in PATHS:
                self.ask(path)
            self.site.world.advance(2)

    def ask(self, path, cut=None):
        """Return what a caller receives."""
        self.cutter.cut = cut
        call = self.site.chat(path=path)
        address = self.site.vms_by_id[self.vm_id].front
        return self.site.world.ask(
            self.site.caller.node, self.caller.ask, address, call, 10
        )

    def violation(self, path, cut):
        """Return what a caller sees after a whole answer, if it is wrong."""
        whole = self.ask(path)
        if whole.status != OK or not whole.is_complete:
            return f'{path} is not answered: {whole}'
        received = self.ask(path, cut)
        is_success = received.status == OK
        self.seen[received.status, received.is_complete] += 1
        if is_success and cut.left_out:
            return f'{path} {cut}: {received}'
        if is_success and received.claims_to_be_whole():
            return f'{path} {cut}: {received}'
        return ''

    def violations(self, plays):
        """Return what callers see wrongly in some plays."""
        found = [self.violation(path, cut) for path, cut in plays]
        return [one for one in found if one]


def all_plays(positions):
    """Return all plays with cuts at positions."""
    cuts = [
        Cut(left_out, is_reset, interim, framing, is_first)
        for left_out, is_reset, interim, framing, is_first in itertools.product(
            positions, (False, True), INTERIM, FRAMINGS, (False, True)
        )
        if framing or not is_first
    ]
    return list(itertools.product(PATHS, cuts))


class TestCutHeads(unittest.TestCase):
    """Upstreams that stop within the heads of their answers."""

    def check(self, *, is_tunnelled):
        """Check cuts at random positions, and in the empty line."""
        play = CutSite(is_tunnelled=is_tunnelled)
        self.addCleanup(play.site.close)
        rng = random.Random('cut heads')
        plays = rng.sample(all_plays(range(HEAD_BYTES)), PLAYS)
        plays += rng.sample(all_plays(range(3)), PLAYS // 4)
        self.assertEqual(play.violations(plays), [])
        self.assertGreaterEqual(len(play.cutter.sizes), len(plays))
        self.assertGreater(play.cutter.reused, 0)

    def test_direct(self):
        """Guards against a cut head that is taken for an answer."""
        self.check(is_tunnelled=False)

    def test_through_another_vm(self):
        """Guards against a cut head that another VM passes on as an answer."""
        self.check(is_tunnelled=True)


def main() -> int:
    """Cut at each byte of a range given on the command line."""
    first, last = (int(text) for text in sys.argv[1:3])
    is_tunnelled = 'tunnelled' in sys.argv[3:]
    play = CutSite(is_tunnelled=is_tunnelled)
    found = play.violations(all_plays(range(first, last + 1)))
    sizes = play.cutter.sizes
    print(f'{len(sizes)} answers cut, {play.cutter.reused} on used connections')
    print(f'heads of {min(sizes)} to {max(sizes)} bytes; seen {play.seen}')
    print('\n'.join(found[:20]))
    play.site.close()
    return len(found)


if __name__ == '__main__':
    sys.exit(main())
