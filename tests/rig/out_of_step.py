"""A VM that falls out of step just before a second software version serves."""

from __future__ import annotations

import random
from enum import Enum
from typing import TYPE_CHECKING, Final

from tests.rig.version_play import VersionSite

if TYPE_CHECKING:
    from flamingovalve.http.messages import Request
    from tests.rig.version_play import Stream

_VMS: Final = 6
_STREAMS: Final = 50
_STREAM_INTERVAL_SECONDS: Final = 0.03
# Longer than a stream of this site can be resumed.
_SOLE_SECONDS: Final = 12.0
_MAX_LEAD_SECONDS: Final = 0.6


class Fault(Enum):
    """How a VM falls out of step."""

    VMS = 'cut off from the other VMs'
    STORE = 'cut off from the store'
    BOTH = 'cut off from the other VMs and the store'
    PAUSED = 'paused'
    NONE = 'no fault'


class OutOfStepSite(VersionSite):
    """Streams begin at any other VM, break, and are resumed at one VM.

    :ivar late: VM at which streams are resumed, and which is out of step
    """

    late = 'vm-0'

    def draw_break(self, request: Request, after: int) -> int | None:
        """Let each run that begins a stream break off after one event."""
        return None if after else 1

    def choose_vm(self, stream: Stream) -> str:
        """Return the VM to which a client sends its next attempt."""
        if stream.began:
            return self.late
        others = [vm_id for vm_id in self.vms_by_id if vm_id != self.late]
        return self.rng.choice(others)

    def fall_out_of_step(self, fault: Fault) -> None:
        """Begin a fault of the VM."""
        others = [vm_id for vm_id in self.vms_by_id if vm_id != self.late]
        if fault in {Fault.VMS, Fault.BOTH}:
            self.links.partition([self.late], others)
        if fault in {Fault.STORE, Fault.BOTH}:
            self.links.partition([self.late], ['store'])
        self._set_paused(fault is Fault.PAUSED)

    def recover(self) -> None:
        """End the fault."""
        self.links.heal()
        self._set_paused(False)

    def share_resumed(self) -> tuple[int, int]:
        """Return how many streams went on, of those that were resumed."""
        resumed = [one for one in self.streams if one.began]
        return sum(_has_gone_on(one) for one in resumed), len(resumed)

    def _set_paused(self, paused: bool) -> None:
        self.vms_by_id[self.late].node.paused = paused


def _has_gone_on(stream: Stream) -> bool:
    return any(one.resumes and one.versions for one in stream.tries)


def play(seed: int, fault: Fault) -> OutOfStepSite:
    """Play a release while one VM is out of step; callers close the site."""
    rng = random.Random(f'out of step {seed} {fault.name}')
    site = OutOfStepSite(('v1', 'v1'), vms=_VMS, seed=seed)
    site.late = rng.choice(list(site.vms_by_id))
    site.advance(_SOLE_SECONDS + rng.random())
    site.fall_out_of_step(fault)
    site.world.advance(rng.uniform(0, _MAX_LEAD_SECONDS))
    for _engine in range(2):
        site.add_engine('v1.1')
    paused_streams = rng.randrange(_STREAMS)
    for number in range(_STREAMS):
        if fault is Fault.PAUSED and number == paused_streams:
            site.recover()
        site.begin_stream()
        site.world.advance(_STREAM_INTERVAL_SECONDS)
    site.recover()
    site.finish()
    return site
