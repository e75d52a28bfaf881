"""A payment runs at most once, and "not run" is only said when it is true."""

from __future__ import annotations

import unittest

import curio

from flamingovalve.claims.permit import parse_permit
from flamingovalve.claims.table import ClaimTable
from flamingovalve.config.inventory import Inventory
from flamingovalve.generated.messages import ClaimAsk, ClaimState, ClaimTell
from flamingovalve.generated.settings import ClaimSettings
from tests.rig.fleet import (
    Fleet,
    Shape,
    error_type,
    outcome_of,
    pay_call,
    ran,
)
from tests.rig.keys import uuid7

OK = 200


class ClaimTest(unittest.TestCase):
    """Calls that must not run twice."""

    shape = Shape(vms=5, engines=1)

    def setUp(self):
        """Start a fleet that has run for a while."""
        self.fleet = Fleet.started(self.shape)
        self.addCleanup(self.fleet.close)
        self.fleet.world.advance(20)
        self.service = self.fleet.services_by_id['orders']

    def runs(self):
        """Give how often the order ran, whatever its key."""
        return self.service.runs_by_order['one']

    def permit(self):
        """Get a permit; give it, its executor and its witness."""
        text = self.fleet.permit('vm-0')
        parsed = parse_permit(text).ok
        return text, parsed.executor, parsed.witness

    def bystander(self, *taken):
        """Give a running VM that is none of those."""
        return next(
            vm.id
            for vm in self.fleet.vms_by_id.values()
            if vm.id not in taken and vm.node is not None
        )

    def start_pay(self, vm_id, key, seconds=60):
        """Send a payment and do not wait."""
        address = self.fleet.vms_by_id[vm_id].http_address
        return self.fleet.caller.start(address, pay_call(key), seconds)

    def own_key(self):
        """Make a key as a caller does."""
        return uuid7(self.fleet.world.wall())

    def holders(self, key):
        """Give the holders of a caller's own key, in order."""
        daemon = self.fleet.daemons()[0]
        return daemon.holders.of_key(f'own:studio/orders/pay:{key}')


class HealthyClaimTest(ClaimTest):
    """Nothing fails; callers resend."""

    def test_needs_a_key(self):
        response = self.fleet.pay('vm-0', '')
        self.assertEqual(response.status, 428)
        self.assertEqual(ran(response), 'no')
        self.assertEqual(self.runs(), 0)

    def test_resend_through_every_vm_replays_the_answer(self):
        for key in (self.permit()[0], self.own_key()):
            bodies = {
                self.fleet.pay(vm_id, key).body
                for vm_id in self.fleet.vms_by_id
            }
            self.assertEqual(len(bodies), 1)
        self.assertEqual(self.runs(), 2)

    def test_witness_is_in_another_domain(self):
        _text, executor, witness = self.permit()
        domains = self.fleet.vms_by_id
        self.assertNotEqual(domains[executor].domain, domains[witness].domain)

    def test_resend_while_the_first_runs_waits_for_it(self):
        self.service.run_seconds = 3
        text, executor, witness = self.permit()
        first = self.start_pay(executor, text)
        self.fleet.world.advance(1)
        second = self.start_pay(self.bystander(executor, witness), text)
        self.fleet.world.run_until(
            lambda: first.terminated and second.terminated,
        )
        self.assertEqual(outcome_of(first).body, outcome_of(second).body)
        self.assertEqual(self.runs(), 1)

    def test_same_key_with_another_body_is_refused(self):
        for key in (self.permit()[0], self.own_key()):
            self.assertEqual(self.fleet.pay('vm-1', key).status, OK)
            response = self.fleet.pay('vm-2', key, 'other')
            self.assertEqual(error_type(response), 'claim_reused')
            self.assertEqual(ran(response), 'no')
        self.assertEqual(self.service.runs_by_order['other'], 0)

    def test_permit_of_another_call_or_damaged(self):
        text = self.permit()[0]
        for damaged in ('permit.', 'permit.AAAA', text[:-8], text + 'x'):
            response = self.fleet.pay('vm-1', damaged)
            self.assertGreaterEqual(response.status, 400, damaged)
            self.assertEqual(ran(response), 'no')
        self.assertEqual(self.runs(), 0)

    def test_two_vms_race_for_one_key(self):
        self.service.run_seconds = 0.5
        for _round in range(5):
            key = self.own_key()
            tasks = [
                self.start_pay(vm_id, key) for vm_id in self.fleet.vms_by_id
            ]
            self.fleet.world.run_until(
                lambda tasks=tasks: all(task.terminated for task in tasks),
            )
            statuses = {outcome_of(task).status for task in tasks}
            self.assertEqual(statuses, {OK})
            self.assertEqual(self.service.runs_by_key[key], 1)

    def test_key_must_tell_its_age(self):
        response = self.fleet.pay('vm-1', 'order-17')
        self.assertEqual(response.status, 428)
        self.assertEqual(ran(response), 'no')

    def test_old_key_is_unknown_and_not_run(self):
        key = self.own_key()
        self.fleet.world.advance(700)
        response = self.fleet.pay('vm-1', key)
        self.assertEqual(error_type(response), 'claim_expired')
        self.assertEqual(ran(response), 'unknown')
        self.assertEqual(self.runs(), 0)

    def test_expired_permit(self):
        text = self.permit()[0]
        self.fleet.world.advance(400)
        response = self.fleet.pay('vm-1', text)
        self.assertEqual(error_type(response), 'claim_expired')
        self.assertEqual(ran(response), 'no')
        self.assertEqual(self.fleet.pay('vm-2', text).status, 409)
        self.assertEqual(self.runs(), 0)

    def test_answer_too_long_to_keep(self):
        for daemon in self.fleet.daemons():
            daemon.settings.claims.answer_bytes = 8
        text = self.permit()[0]
        self.assertEqual(self.fleet.pay('vm-1', text).status, OK)
        response = self.fleet.pay('vm-2', text)
        self.assertEqual(error_type(response), 'answer_not_kept')
        self.assertEqual(ran(response), 'yes')
        self.assertEqual(self.runs(), 1)

    def test_full_table_refuses_and_never_forgets(self):
        for daemon in self.fleet.daemons():
            daemon.settings.claims.records = 2
        first = self.permit()[0]
        self.assertEqual(self.fleet.pay('vm-0', first).status, OK)
        for _index in range(4):
            self.fleet.pay('vm-0', self.permit()[0])
        self.assertEqual(self.fleet.pay('vm-0', first).status, OK)
        self.assertEqual(self.service.runs_by_key[first], 1)


class TableTest(unittest.TestCase):
    """What a holder believes, and whom."""

    def test_only_its_executor_settles_a_claim(self):
        """Two VMs raced; the loser tells its outcome to everybody.

        The winner's claim must stay open, or its payment would be called
        "not run" while it runs. (Found by the fuzzer.)
        """
        table = ClaimTable(ClaimSettings())
        ask = ClaimAsk('key', 'vm-1', 1, 0, b'digest')
        self.assertTrue(table.acknowledge(ask, 9).acknowledged)
        told = ClaimTell('key', 'vm-2', 2, ClaimState.SEALED)
        with curio.Kernel() as kernel:
            reply = kernel.run(table.tell, told)
        self.assertIs(reply.state, ClaimState.CLAIMED)
        self.assertIs(table.find('key').state, ClaimState.CLAIMED)

    def test_another_executor_is_not_acknowledged(self):
        table = ClaimTable(ClaimSettings())
        first = ClaimAsk('key', 'vm-1', 1, 0, b'digest')
        second = ClaimAsk('key', 'vm-2', 2, 0, b'digest')
        self.assertTrue(table.acknowledge(first, 9).acknowledged)
        self.assertTrue(table.acknowledge(first, 9).acknowledged)
        self.assertFalse(table.acknowledge(second, 9).acknowledged)


class LostClaimTest(ClaimTest):
    """Processes and connections fail at every point of a run."""

    def test_upstream_refuses_the_connection(self):
        """The service is down before anything is sent to it.

        The caller is told that the payment was not run, and that is final
        for this permit; with a new one it goes through.
        """
        self.fleet.world.kill(self.fleet.node_named('orders'))
        text, _executor, witness = self.permit()
        for vm_id in ('vm-0', 'vm-3', witness):
            response = self.fleet.pay(vm_id, text)
            self.assertEqual(ran(response), 'no')

    def test_connection_breaks_before_the_run(self):
        """The service drops the connection after the request was written.

        Nobody can tell whether it ran, so the caller is told just that,
        and a resend does not run it either.
        """
        self.service.drop_before_run = 1
        text, _executor, _witness = self.permit()
        for vm_id in ('vm-0', 'vm-1', 'vm-2'):
            response = self.fleet.pay(vm_id, text)
            self.assertEqual(ran(response), 'unknown')
        self.assertEqual(self.runs(), 0)

    def test_answer_is_lost_after_the_run(self):
        """The service runs the payment and the answer is lost on the way.

        The caller is told that it may have run; no resend runs it again.
        """
        for key in (self.permit()[0], self.own_key()):
            self.service.drop_after_run = 1
            for vm_id in self.fleet.vms_by_id:
                response = self.fleet.pay(vm_id, key)
                self.assertEqual(ran(response), 'unknown')
            self.assertEqual(self.service.runs_by_key[key], 1)

    def test_executor_dies_before_the_claim(self):
        """The VM that gave the permit dies before the payment is sent.

        The witness has no record, seals the permit and so makes "not run"
        true; a new permit works.
        """
        text, executor, witness = self.permit()
        self.fleet.kill(executor)
        other = self.bystander(executor, witness)
        response = self.fleet.pay(other, text)
        self.assertEqual(error_type(response), 'claim_sealed')
        self.assertEqual(ran(response), 'no')
        self.assertEqual(self.runs(), 0)
        again = self.fleet.permit(other)
        self.assertEqual(self.fleet.pay(other, again).status, OK)

    def test_executor_dies_while_the_call_runs(self):
        """The executor dies after it sent the payment upstream.

        The witness knows of the claim and not of the outcome: unknown.
        """
        self.service.run_seconds = 3
        text, executor, witness = self.permit()
        first = self.start_pay(executor, text)
        self.fleet.world.advance(1)
        self.fleet.kill(executor)
        response = self.fleet.pay(self.bystander(executor, witness), text)
        self.assertEqual(ran(response), 'unknown')
        self.fleet.world.advance(10)
        self.assertTrue(first.terminated)
        self.assertEqual(self.runs(), 1)

    def test_executor_dies_after_the_answer(self):
        """The executor dies once it has told the witness how it ended.

        The caller, whose answer was lost, gets it from the witness.
        """
        text, executor, witness = self.permit()
        answer = self.fleet.pay(executor, text)
        self.fleet.world.advance(1)
        self.fleet.kill(executor)
        again = self.fleet.pay(self.bystander(executor, witness), text)
        self.assertEqual(again.status, OK)
        self.assertEqual(again.body, answer.body)
        self.assertEqual(self.runs(), 1)

    def test_executor_is_replaced_at_the_same_address(self):
        """A new process runs where the executor ran, and knows nothing.

        It must neither run the payment nor say anything but what the
        witness knows.
        """
        text, executor, _witness = self.permit()
        self.assertEqual(self.fleet.pay(executor, text).status, OK)
        self.fleet.world.advance(1)
        self.fleet.kill(executor)
        self.fleet.world.advance(1)
        self.fleet.start(executor)
        self.fleet.world.advance(20)
        response = self.fleet.pay(executor, text)
        self.assertEqual(response.status, OK)
        self.assertEqual(self.runs(), 1)

    def test_executor_and_witness_are_replaced(self):
        """Both that knew of the payment are gone: unknown, never again."""
        text, executor, witness = self.permit()
        self.assertEqual(self.fleet.pay(executor, text).status, OK)
        for vm_id in (executor, witness):
            self.fleet.kill(vm_id)
            self.fleet.world.advance(1)
            self.fleet.start(vm_id)
        self.fleet.world.advance(20)
        for vm_id in self.fleet.vms_by_id:
            response = self.fleet.pay(vm_id, text)
            self.assertEqual(ran(response), 'unknown')
        self.assertEqual(self.runs(), 1)

    def test_paused_executor_wakes_late(self):
        """The executor stops for a minute right after it was acknowledged.

        Meanwhile the caller asks elsewhere. If it was told "not run" then,
        the payment must not run when the executor wakes.
        """
        for pause_after in (0.0, 0.0005, 0.001, 0.005, 0.02):
            order = f'order {pause_after}'
            text, executor, witness = self.permit()
            address = self.fleet.vms_by_id[executor].http_address
            self.fleet.caller.start(address, pay_call(text, order), 200)
            self.fleet.world.advance(pause_after)
            self.fleet.pause(executor)
            self.fleet.world.advance(5)
            other = self.bystander(executor, witness)
            response = self.fleet.pay(other, text, order)
            self.fleet.world.advance(60)
            self.fleet.wake(executor)
            self.fleet.world.advance(30)
            count = self.service.runs_by_order[order]
            self.assertLessEqual(count, 1)
            if response.status != OK and ran(response) == 'no':
                self.assertEqual(count, 0)

    def test_partition_between_executor_and_witness(self):
        """Executor and witness cannot reach each other.

        Without the witness the executor must not run; it says so and the
        permit is used up. What the witness says stays in line with that.
        """
        text, executor, witness = self.permit()
        self.fleet.links.partition([executor], [witness])
        response = self.fleet.pay(executor, text)
        self.assertEqual(ran(response), 'no')
        self.fleet.links.heal()
        self.fleet.world.advance(5)
        for vm_id in self.fleet.vms_by_id:
            self.assertEqual(ran(self.fleet.pay(vm_id, text)), 'no')
        self.assertEqual(self.runs(), 0)

    def test_executor_is_cut_off_from_everyone(self):
        """The executor runs the payment but no other VM reaches it.

        A resend elsewhere finds the claim at the witness: unknown, and no
        second run.
        """
        self.service.run_seconds = 2
        text, executor, witness = self.permit()
        first = self.start_pay(executor, text)
        self.fleet.world.advance(0.5)
        others = [vm_id for vm_id in self.fleet.vms_by_id if vm_id != executor]
        self.fleet.links.partition([executor], others)
        response = self.fleet.pay(self.bystander(executor, witness), text)
        self.assertEqual(ran(response), 'unknown')
        self.fleet.world.run_until(lambda: first.terminated)
        self.assertEqual(outcome_of(first).status, OK)
        self.assertEqual(self.runs(), 1)

    def test_one_silent_holder_does_not_block(self):
        """One of the VMs that remember a caller's own key is frozen.

        The other two are a majority, so the payment runs; once the frozen
        one wakes, it runs it no second time.
        """
        for place in range(3):
            key = self.own_key()
            holders = self.holders(key)
            self.fleet.pause(holders[place])
            sender = holders[(place + 1) % 3]
            self.assertEqual(self.fleet.pay(sender, key).status, OK)
            self.fleet.wake(holders[place])
            self.fleet.world.advance(20)
            for vm_id in self.fleet.vms_by_id:
                self.assertEqual(self.fleet.pay(vm_id, key).status, OK)
            self.assertEqual(self.service.runs_by_key[key], 1)

    def test_two_silent_holders_block(self):
        """Two of the VMs that remember a caller's own key are frozen.

        They might know of an earlier run. The call is not run, but that it
        never will be cannot be promised either: unknown.
        """
        key = self.own_key()
        holders = self.holders(key)
        for vm_id in holders[1:]:
            self.fleet.pause(vm_id)
        response = self.fleet.pay(holders[0], key)
        self.assertEqual(ran(response), 'unknown')
        for vm_id in holders[1:]:
            self.fleet.wake(vm_id)
        self.fleet.world.advance(20)
        self.assertLessEqual(self.service.runs_by_key[key], 1)

    def test_seal_outlives_the_vm_that_made_it(self):
        """A key is sealed while a holder is frozen; then a sealing VM leaves.

        The frozen one wakes with the payment still in its hands. Were the
        seal at the VM that left only, it would be run although its caller
        was told "not run". (Found by the fuzzer.)
        """
        for place in range(3):
            key = self.own_key()
            holders = self.holders(key)
            self.fleet.pause(holders[place])
            self.start_pay(holders[place], key)
            self.fleet.world.advance(1)
            left = [vm for vm in holders if vm != holders[place]]
            self.fleet.world.kill(self.fleet.node_named('orders'))
            told = [ran(self.fleet.pay(vm_id, key)) for vm_id in left]
            self.fleet.kill(left[0])
            self.fleet.world.advance(1)
            self.fleet.wake(holders[place])
            self.fleet.world.advance(30)
            if 'no' in told:
                self.assertEqual(self.service.runs_by_key[key], 0)
            self.fleet.start(left[0])
            node = self.fleet.world.add('orders', self.service.network)
            node.spawn(self.service.run)
            self.fleet.world.advance(20)

    def test_dead_holder_is_passed_over(self):
        """A VM that remembers the key has died; the list still names it.

        Its address refuses connections, so it can neither remember nor
        acknowledge, and the others decide.
        """
        key = self.own_key()
        holders = self.holders(key)
        self.fleet.kill(holders[0])
        self.fleet.world.advance(0.1)
        other = self.bystander(*holders)
        self.assertEqual(self.fleet.pay(other, key).status, OK)
        self.assertEqual(self.fleet.pay(holders[2], key).status, OK)
        self.assertEqual(self.service.runs_by_key[key], 1)

    def test_all_holders_are_replaced(self):
        """Every VM that knew of the run is replaced within minutes.

        The new processes have no record. They are younger than the key, so
        they must not take that for "never run".
        """
        key = self.own_key()
        self.assertEqual(self.fleet.pay('vm-0', key).status, OK)
        for vm_id in self.holders(key):
            self.fleet.kill(vm_id)
            self.fleet.world.advance(7)
            self.fleet.start(vm_id)
        self.fleet.world.advance(30)
        for vm_id in self.fleet.vms_by_id:
            self.assertEqual(ran(self.fleet.pay(vm_id, key)), 'unknown')
        self.assertEqual(self.service.runs_by_key[key], 1)

    def test_list_changes_under_a_key(self):
        """The published list changes so much that no holder stays.

        The VMs that now hold the key would find no record and run it.
        """
        key = self.own_key()
        holders = self.holders(key)
        self.assertEqual(self.fleet.pay(holders[0], key).status, OK)
        self.fleet.publish_list(without=holders)
        self.fleet.world.advance(10)
        left = [vm for vm in self.fleet.vms_by_id if vm not in holders]
        for vm_id in left:
            response = self.fleet.pay(vm_id, key)
            self.assertEqual(ran(response), 'unknown')
        self.assertEqual(self.service.runs_by_key[key], 1)

    def test_vm_without_configuration_claims_to_know_nothing(self):
        """A resend reaches a VM that has no configuration yet.

        The payment ran before; that VM must not call it "not run". (Found
        by the fuzzer.)
        """
        text, executor, witness = self.permit()
        self.assertEqual(self.fleet.pay(executor, text).status, OK)
        self.fleet.daemon(executor).keeper.inventory = Inventory()
        for vm_id in (executor, self.bystander(executor, witness)):
            response = self.fleet.pay(vm_id, text)
            self.assertEqual(ran(response), 'unknown')

    def test_caller_hangs_up(self):
        """The caller closes its connection while the payment runs.

        The run goes on, and the resend gets its answer.
        """
        self.service.run_seconds = 2
        text, executor, witness = self.permit()
        first = self.start_pay(executor, text)
        self.fleet.world.advance(0.5)
        self.fleet.caller.network.hang_up()
        self.fleet.world.advance(5)
        del first
        other = self.bystander(executor, witness)
        self.assertEqual(self.fleet.pay(other, text).status, OK)
        self.assertEqual(self.runs(), 1)

    def test_leaving_executor_finishes(self):
        """The executor's VM leaves while the payment runs.

        It answers before it goes.
        """
        self.service.run_seconds = 6
        text, executor, _witness = self.permit()
        first = self.start_pay(executor, text)
        self.fleet.world.advance(0.5)
        self.fleet.world.ask(
            self.fleet.vms_by_id[executor].node,
            self.fleet.daemon(executor).begin_leaving,
        )
        self.fleet.world.run_until(lambda: first.terminated)
        self.assertEqual(outcome_of(first).status, OK)
        self.assertEqual(self.runs(), 1)

    def test_silent_pooled_connection_is_not_used(self):
        """Idle connections to the service went silent for good.

        A payment on one of them would hang and end as unknown although the
        service is well; it takes a new connection instead.
        """
        for _index in range(3):
            self.fleet.pay('vm-0', self.permit()[0])
        silenced = sum(
            self.network_of(vm_id).silence('orders')
            for vm_id in self.fleet.vms_by_id
        )
        self.assertGreater(silenced, 0)
        response = self.fleet.pay('vm-0', self.permit()[0], 'two')
        self.assertEqual(response.status, OK)

    def network_of(self, vm_id):
        """Give the network of a VM's process."""
        return self.fleet.vms_by_id[vm_id].node.network
