"""Streams that are resumed at a VM that is out of step during a release."""

from __future__ import annotations

import unittest
from contextlib import closing

from tests.rig.out_of_step import Fault, play

# A VM that is cut off from all, and guesses, mixes streams of the first seeds.
SEEDS_BY_FAULT = {
    Fault.BOTH: (4, 12, 15),
    Fault.VMS: (1,),
    Fault.STORE: (1,),
    Fault.PAUSED: (1,),
    Fault.NONE: (1,),
}
IN_TOUCH = {Fault.STORE, Fault.PAUSED, Fault.NONE}


class TestReleases(unittest.TestCase):
    """A second version joins while one VM is out of step."""

    def test_vm_out_of_step(self):
        """Guards against a stream that goes on at the version a VM knew before."""
        for fault, seeds in SEEDS_BY_FAULT.items():
            for seed in seeds:
                with (
                    self.subTest(fault=fault, seed=seed),
                    closing(play(seed, fault)) as site,
                ):
                    self.check(site, fault)

    def check(self, site, fault):
        """Check that no stream is mixed, and that a VM in touch resumes all."""
        mixed = [one.versions() for one in site.mixed()]
        self.assertEqual(mixed, [])
        self.assertEqual(site.misordered(), [])
        gone_on, resumed = site.share_resumed()
        versions = {one for stream in site.streams for one in stream.versions()}
        self.assertEqual(versions, {'v1', 'v1.1'})
        if fault in IN_TOUCH:
            self.assertEqual(gone_on, resumed)
