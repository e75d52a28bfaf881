"""A stateful fuzzer: random requests and faults against whole daemons."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from flamingovalve.http.client import UpstreamCall
from flamingovalve.http.messages import Response
from tests.rig.fleet import APPLICATION, Fleet, Shape, outcome_of
from tests.rig.history import History
from tests.rig.keys import uuid7

VMS = 5
ENGINES = 2
ADAPTERS = 6
FEWEST_RUNNING = 2

vms = st.integers(0, VMS - 1).map('vm-{}'.format)
engines = st.integers(0, ENGINES - 1).map('engine-{}'.format)
names = st.builds(
    'adapter-{}@{}'.format,
    st.integers(0, ADAPTERS - 1),
    st.integers(1, 2),
)

# Statistics of all runs in this process: steps and faults, and the outcomes
# of payments.
EXECUTED: Counter[str] = Counter()
OUTCOMES: Counter[str] = Counter()


def calm(settings: Any) -> None:
    """Shorten the timeouts, so that they expire within a step."""
    settings.relay.first_byte_seconds = 6
    settings.relay.chunk_seconds = 2


class FleetMachine(RuleBasedStateMachine):
    """Sends requests while VMs, links, engines and publication fail."""

    @initialize(fencing=st.booleans(), seed=st.integers(0, 3))
    def start(self, fencing: bool, seed: int) -> None:
        """Start a fleet."""
        shape = Shape(
            vms=VMS,
            engines=ENGINES,
            adapters=ADAPTERS,
            slots=2,
            fencing=fencing,
            seed=seed,
            tune=calm,
        )
        self.fleet = Fleet.started(shape)
        self.fleet.world.advance(8)
        self.history = History(self.fleet)
        self.count = 0
        self.paused: set[str] = set()
        self.leaving: set[str] = set()

    # -- Requests

    @rule(vm_id=vms, wait=st.sampled_from((0, 0.001, 0.05, 2)))
    def pay_with_permit(self, vm_id: str, wait: float) -> None:
        """Ask for a permit and use it there."""
        permit = self._permit(vm_id)
        if permit:
            self._pay(vm_id, permit, wait)

    @rule(vm_id=vms, wait=st.sampled_from((0, 0.001, 0.05, 2)))
    def pay_with_own_key(self, vm_id: str, wait: float) -> None:
        """Pay with a key that the caller made."""
        self._pay(vm_id, uuid7(self.fleet.world.wall()), wait)

    @rule(
        vm_id=vms,
        back=st.integers(0, 3),
        wait=st.sampled_from((0, 0.001, 0.05, 2)),
    )
    def resend(self, vm_id: str, back: int, wait: float) -> None:
        """Send an earlier payment again through any VM."""
        earlier = self.history.payments[-1 - back :]
        if earlier:
            EXECUTED['resend'] += 1
            self.history.pay(vm_id, earlier[0].key, earlier[0].order)
            self.fleet.world.advance(wait)

    @rule(vm_id=vms, name=names, stream=st.booleans())
    def complete(self, vm_id: str, name: str, stream: bool) -> None:
        """Send a completion."""
        EXECUTED['complete'] += 1
        self.count += 1
        prompt = f'prompt {self.count}'
        self.history.complete(vm_id, name, prompt, stream=stream)
        self.fleet.world.advance(0.1)

    @rule(seconds=st.sampled_from((0.01, 0.5, 3, 12)))
    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.world.advance(seconds)

    # -- Faults

    @precondition(lambda self: len(self._healthy()) > FEWEST_RUNNING)
    @rule(vm_id=vms)
    def kill(self, vm_id: str) -> None:
        """End the process of a VM."""
        if vm_id in self._healthy():
            EXECUTED['kill'] += 1
            self.fleet.kill(vm_id)

    @rule(vm_id=vms)
    def replace(self, vm_id: str) -> None:
        """Start a new process where one has ended."""
        if self.fleet.vms_by_id[vm_id].node is None:
            EXECUTED['replace'] += 1
            self.leaving.discard(vm_id)
            self.fleet.world.advance(0.5)
            self.fleet.start(vm_id)

    @precondition(lambda self: len(self._healthy()) > FEWEST_RUNNING)
    @rule(vm_id=vms)
    def pause(self, vm_id: str) -> None:
        """Stop the process of a VM for a while."""
        if vm_id in self._healthy():
            EXECUTED['pause'] += 1
            self.paused.add(vm_id)
            self.fleet.pause(vm_id)

    @rule()
    def wake(self) -> None:
        """Let the paused processes go on."""
        for vm_id in sorted(self.paused):
            EXECUTED['wake'] += 1
            self.fleet.wake(vm_id)
        self.paused.clear()

    @rule(cut=st.integers(1, VMS - 1))
    def partition(self, cut: int) -> None:
        """Part the VMs into two groups; engines stay in reach of both."""
        EXECUTED['partition'] += 1
        ids = list(self.fleet.vms_by_id)
        self.fleet.links.partition(ids[:cut], ids[cut:])

    @rule(origin=vms, far_end=vms)
    def half_open(self, origin: str, far_end: str) -> None:
        """Lose what one VM sends to another."""
        if origin != far_end:
            EXECUTED['half_open'] += 1
            self.fleet.links.cut(origin, far_end)

    @rule(vm_id=vms, engine=engines)
    def cut_from_engine(self, vm_id: str, engine: str) -> None:
        """Part a VM from an engine."""
        EXECUTED['cut_from_engine'] += 1
        self.fleet.links.partition([vm_id], [engine])

    @rule()
    def heal(self) -> None:
        """Make every link whole."""
        EXECUTED['heal'] += 1
        self.fleet.links.heal()

    @rule(vm_id=vms, far_end=st.sampled_from(('engine-0', 'orders', 'vm-0')))
    def silence(self, vm_id: str, far_end: str) -> None:
        """Silence open connections for good."""
        node = self.fleet.vms_by_id[vm_id].node
        if node is not None:
            EXECUTED['silence'] += 1
            node.network.silence(far_end)

    @rule(engine=engines)
    def crash_engine(self, engine: str) -> None:
        """Crash an engine; it comes back with empty slots."""
        stand_in = self.fleet.engines_by_id[engine]
        if stand_in.is_up:
            EXECUTED['crash_engine'] += 1
            self.fleet.node_named(engine).spawn(stand_in.crash)

    @rule(engine=engines, fault=st.sampled_from(('mislabel', 'cut_streams')))
    def spoil_answers(self, engine: str, fault: str) -> None:
        """Spoil the next answer of an engine."""
        EXECUTED[fault] += 1
        setattr(self.fleet.engines_by_id[engine], fault, 1)

    @rule(fault=st.sampled_from(('drop_before_run', 'drop_after_run')))
    def drop_payment(self, fault: str) -> None:
        """Lose the connection of the next payment."""
        EXECUTED[fault] += 1
        setattr(self.fleet.services_by_id['orders'], fault, 1)

    @rule()
    def publish(self) -> None:
        """Publish the next version of the inventory."""
        EXECUTED['publish'] += 1
        self.fleet.publish()

    @rule(stale=st.booleans(), down=st.booleans())
    def spoil_publication(self, stale: bool, down: bool) -> None:
        """Make the configuration service stale or down, or mend it."""
        EXECUTED['spoil_publication'] += 1
        service = self.fleet.configuration
        service.down = down
        if stale:
            service.freeze()
        else:
            service.thaw()

    @precondition(lambda self: len(self._healthy()) > FEWEST_RUNNING)
    @rule(vm_id=vms)
    def leave(self, vm_id: str) -> None:
        """Have a VM leave."""
        if vm_id in self._healthy():
            EXECUTED['leave'] += 1
            self.leaving.add(vm_id)
            daemon = self.fleet.daemon(vm_id)
            node = self.fleet.vms_by_id[vm_id].node
            node.spawn(daemon.begin_leaving)

    @invariant()
    def promises(self) -> None:
        """Check what must hold at every step."""
        if hasattr(self, 'history'):
            self._reap()
            self.history.observe()

    def teardown(self) -> None:
        """Mend everything, let it settle, and check every promise."""
        if not hasattr(self, 'history'):
            return
        try:
            self._settle()
            violations = self.history.check()
            self._report()
            assert not violations, violations
        finally:
            self.fleet.close()

    # -- Helper methods

    def _settle(self) -> None:
        for vm_id in sorted(self.paused):
            self.fleet.wake(vm_id)
        self.fleet.links.heal()
        self.fleet.configuration.down = False
        self.fleet.configuration.thaw()
        self.fleet.announce()
        self.history.finish()
        self.fleet.world.run_until(lambda: not self._still_leaving(), 60)
        self._reap()
        for vm_id, vm in self.fleet.vms_by_id.items():
            if vm.node is None:
                self.fleet.start(vm_id)
        self.fleet.world.advance(75)
        assert self.fleet.is_settled(), self._views()
        response = self.fleet.complete('vm-0', 'adapter-0')
        assert response.status == 200, response

    def _reap(self) -> None:
        # The process of a VM that has left is ended, so it can be replaced.
        for vm_id in sorted(self.leaving):
            vm = self.fleet.vms_by_id[vm_id]
            if vm.daemon is not None and vm.daemon.stopped.is_set():
                self.fleet.kill(vm_id)
                self.leaving.discard(vm_id)

    def _views(self) -> str:
        lines = [str(self.fleet.owners())]
        for daemon in self.fleet.daemons():
            members = {
                vm_id: (member.state.value, member.counter, member.returns)
                for vm_id, member in daemon.members.by_id.items()
            }
            lines.append(f'{daemon.settings.vm.id}: {members}')
        return '; '.join(lines)

    def _still_leaving(self) -> list[str]:
        return [
            vm_id
            for vm_id in self.leaving
            if not self.fleet.daemon(vm_id).stopped.is_set()
        ]

    def _report(self) -> None:
        for payment in self.history.payments:
            outcome = outcome_of(payment.task)
            if not isinstance(outcome, Response):
                OUTCOMES['no answer'] += 1
            elif outcome.status == 200:
                OUTCOMES['run'] += 1
            else:
                body = json.loads(outcome.body)
                OUTCOMES[f'ran {body["error"]["ran"]}'] += 1

    def _healthy(self) -> list[str]:
        return [
            vm_id
            for vm_id, vm in self.fleet.vms_by_id.items()
            if vm.node is not None
            and vm_id not in self.paused
            and vm_id not in self.leaving
        ]

    def _pay(self, vm_id: str, key: str, wait: float) -> None:
        EXECUTED['pay'] += 1
        self.count += 1
        self.history.pay(vm_id, key, f'order {self.count}')
        self.fleet.world.advance(wait)

    def _permit(self, vm_id: str) -> str:
        target = f'/v1/entry?service=orders&call=pay&application={APPLICATION}'
        address = self.fleet.vms_by_id[vm_id].http_address
        call = UpstreamCall('GET', target, [])
        task = self.fleet.caller.start(address, call, 2)
        self.fleet.world.run_until(lambda: task.terminated, 4)
        outcome = outcome_of(task)
        if not isinstance(outcome, Response) or outcome.status != 200:
            return ''
        return json.loads(outcome.body).get('permit', '')
