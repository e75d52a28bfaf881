"""A payment runs at most once, and "not run" is answered only if true."""

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
    """A fleet and helpers for calls that must not run twice."""

    shape = Shape(vms=5, engines=1)

    def setUp(self):
        """Start a fleet and let it run for 20 seconds."""
        self.fleet = Fleet.started(self.shape)
        self.addCleanup(self.fleet.close)
        self.fleet.world.advance(20)
        self.service = self.fleet.services_by_id['orders']

    def runs(self):
        """Return how often the order ran, under any key."""
        return self.service.runs_by_order['one']

    def permit(self):
        """Return a new permit, its executor and its witness."""
        text = self.fleet.permit('vm-0')
        parsed = parse_permit(text).ok
        return text, parsed.executor, parsed.witness

    def other_vm(self, *excluded):
        """Return a running VM other than those."""
        return next(
            vm.id
            for vm in self.fleet.vms_by_id.values()
            if vm.id not in excluded and vm.node is not None
        )

    def start_pay(self, vm_id, key, seconds=60):
        """Send a payment without waiting for the response."""
        address = self.fleet.vms_by_id[vm_id].http_address
        return self.fleet.caller.start(address, pay_call(key), seconds)

    def own_key(self):
        """Return a new key as a caller makes it."""
        return uuid7(self.fleet.world.wall())

    def holders(self, key):
        """Return the holders of a caller's own key, in the order to ask."""
        daemon = self.fleet.daemons()[0]
        return daemon.holders.of_key(f'own:studio/orders/pay:{key}')


class HealthyClaimTest(ClaimTest):
    """Callers resend calls, and nothing else fails."""

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
        vms = self.fleet.vms_by_id
        self.assertNotEqual(vms[executor].domain, vms[witness].domain)

    def test_resend_while_the_first_runs_waits_for_it(self):
        self.service.run_seconds = 3
        text, executor, witness = self.permit()
        first = self.start_pay(executor, text)
        self.fleet.world.advance(1)
        second = self.start_pay(self.other_vm(executor, witness), text)
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

    def test_key_must_contain_its_time(self):
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

    def test_full_table_refuses_new_calls_and_keeps_records(self):
        for daemon in self.fleet.daemons():
            daemon.settings.claims.records = 2
        first = self.permit()[0]
        self.assertEqual(self.fleet.pay('vm-0', first).status, OK)
        for _index in range(4):
            self.fleet.pay('vm-0', self.permit()[0])
        self.assertEqual(self.fleet.pay('vm-0', first).status, OK)
        self.assertEqual(self.service.runs_by_key[first], 1)


class TableTest(unittest.TestCase):
    """What a holder records and acknowledges."""

    def test_only_its_executor_settles_a_claim(self):
        """Two VMs race for a key, and the loser sends its outcome to a holder.

        The winner's claim must stay open. Otherwise its payment is answered
        with "not run" while it runs. (Found by the fuzzer.)
        """
        table = ClaimTable(ClaimSettings())
        ask = ClaimAsk('key', 'vm-1', 1, 0, b'digest')
        self.assertTrue(table.acknowledge(ask, 9).acknowledged)
        outcome = ClaimTell('key', 'vm-2', 2, ClaimState.SEALED)
        with curio.Kernel() as kernel:
            reply = kernel.run(table.record_outcome, outcome)
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
    """Processes and connections fail at different points of a run."""

    def test_upstream_refuses_the_connection(self):
        """The service is down before anything is sent to it.

        The answer is "not run", for good under this permit. The payment would
        need a new one.
        """
        self.fleet.world.kill(self.fleet.node_named('orders'))
        text, _executor, witness = self.permit()
        for vm_id in ('vm-0', 'vm-3', witness):
            response = self.fleet.pay(vm_id, text)
            self.assertEqual(ran(response), 'no')

    def test_connection_breaks_before_the_run(self):
        """The service drops the connection after the request was written.

        Whether it ran is unknown, so the answer is "unknown", and a resend
        does not run it either.
        """
        self.service.drop_before_run = 1
        text, _executor, _witness = self.permit()
        for vm_id in ('vm-0', 'vm-1', 'vm-2'):
            response = self.fleet.pay(vm_id, text)
            self.assertEqual(ran(response), 'unknown')
        self.assertEqual(self.runs(), 0)

    def test_answer_is_lost_after_the_run(self):
        """The service runs the payment, and its response is lost.

        The answer is "unknown", and no resend runs the payment again.
        """
        for key in (self.permit()[0], self.own_key()):
            self.service.drop_after_run = 1
            for vm_id in self.fleet.vms_by_id:
                response = self.fleet.pay(vm_id, key)
                self.assertEqual(ran(response), 'unknown')
            self.assertEqual(self.service.runs_by_key[key], 1)

    def test_executor_dies_before_the_claim(self):
        """The VM that made the permit dies before the payment is sent.

        The witness has no record and seals the permit, so that "not run" is
        true. The payment runs with a new permit.
        """
        text, executor, witness = self.permit()
        self.fleet.kill(executor)
        other = self.other_vm(executor, witness)
        response = self.fleet.pay(other, text)
        self.assertEqual(error_type(response), 'claim_sealed')
        self.assertEqual(ran(response), 'no')
        self.assertEqual(self.runs(), 0)
        again = self.fleet.permit(other)
        self.assertEqual(self.fleet.pay(other, again).status, OK)

    def test_executor_dies_while_the_call_runs(self):
        """The executor dies after it sent the payment upstream.

        The witness knows the claim but not the outcome, so the answer is
        "unknown".
        """
        self.service.run_seconds = 3
        text, executor, witness = self.permit()
        first = self.start_pay(executor, text)
        self.fleet.world.advance(1)
        self.fleet.kill(executor)
        response = self.fleet.pay(self.other_vm(executor, witness), text)
        self.assertEqual(ran(response), 'unknown')
        self.fleet.world.advance(10)
        self.assertTrue(first.terminated)
        self.assertEqual(self.runs(), 1)

    def test_executor_dies_after_the_answer(self):
        """The executor dies after it sent the outcome to the witness.

        A caller that lost the answer gets it from the witness.
        """
        text, executor, witness = self.permit()
        answer = self.fleet.pay(executor, text)
        self.fleet.world.advance(1)
        self.fleet.kill(executor)
        again = self.fleet.pay(self.other_vm(executor, witness), text)
        self.assertEqual(again.status, OK)
        self.assertEqual(again.body, answer.body)
        self.assertEqual(self.runs(), 1)

    def test_executor_is_replaced_at_the_same_address(self):
        """A new process without records runs at the executor's address.

        It must not run the payment, and must answer only what the witness
        recorded.
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
        """Both processes that recorded the payment are replaced.

        The answer is "unknown", and the payment does not run again.
        """
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

    def test_executor_is_paused_before_the_run(self):
        """The executor is paused for a minute around its acknowledgement.

        During the pause the caller resends to another VM. If the answer is
        "not run", the payment must not run when the executor wakes.
        """
        for pause_after in (0.0, 0.0005, 0.001, 0.005, 0.02):
            order = f'order {pause_after}'
            text, executor, witness = self.permit()
            address = self.fleet.vms_by_id[executor].http_address
            self.fleet.caller.start(address, pay_call(text, order), 200)
            self.fleet.world.advance(pause_after)
            self.fleet.pause(executor)
            self.fleet.world.advance(5)
            other = self.other_vm(executor, witness)
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

        Without the acknowledgement of the witness the executor must not run
        the payment. It answers "not run", and the permit stays sealed: later
        answers of all VMs agree, including that of the witness.
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

    def test_partition_between_executor_and_all_others(self):
        """The executor runs the payment while no other VM can reach it.

        A resend to another VM finds the claim at the witness. The answer is
        "unknown", and there is no second run.
        """
        self.service.run_seconds = 2
        text, executor, witness = self.permit()
        first = self.start_pay(executor, text)
        self.fleet.world.advance(0.5)
        others = [vm_id for vm_id in self.fleet.vms_by_id if vm_id != executor]
        self.fleet.links.partition([executor], others)
        response = self.fleet.pay(self.other_vm(executor, witness), text)
        self.assertEqual(ran(response), 'unknown')
        self.fleet.world.run_until(lambda: first.terminated)
        self.assertEqual(outcome_of(first).status, OK)
        self.assertEqual(self.runs(), 1)

    def test_one_silent_holder_does_not_block(self):
        """One of three holders of a caller's own key is paused.

        The other two are a majority, so the payment runs. After the paused
        holder wakes, resends do not run the payment again.
        """
        for index in range(3):
            key = self.own_key()
            holders = self.holders(key)
            self.fleet.pause(holders[index])
            sender = holders[(index + 1) % 3]
            self.assertEqual(self.fleet.pay(sender, key).status, OK)
            self.fleet.wake(holders[index])
            self.fleet.world.advance(20)
            for vm_id in self.fleet.vms_by_id:
                self.assertEqual(self.fleet.pay(vm_id, key).status, OK)
            self.assertEqual(self.service.runs_by_key[key], 1)

    def test_two_silent_holders_block(self):
        """Two of three holders of a caller's own key are paused.

        They may have a record of an earlier run, so the call is not run. It
        cannot be sealed without them either, so the answer is "unknown".
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

    def test_seal_survives_a_sealing_holder(self):
        """A key is sealed while a holder is paused; then a sealing VM dies.

        The paused holder still has the payment when it wakes. If only the VM
        that died had sealed the key, the payment would run although the
        answer was "not run". (Found by the fuzzer.)
        """
        for index in range(3):
            key = self.own_key()
            holders = self.holders(key)
            self.fleet.pause(holders[index])
            self.start_pay(holders[index], key)
            self.fleet.world.advance(1)
            running = [vm for vm in holders if vm != holders[index]]
            self.fleet.world.kill(self.fleet.node_named('orders'))
            answers = [ran(self.fleet.pay(vm_id, key)) for vm_id in running]
            self.fleet.kill(running[0])
            self.fleet.world.advance(1)
            self.fleet.wake(holders[index])
            self.fleet.world.advance(30)
            if 'no' in answers:
                self.assertEqual(self.service.runs_by_key[key], 0)
            self.fleet.start(running[0])
            node = self.fleet.world.add('orders', self.service.network)
            node.spawn(self.service.run)
            self.fleet.world.advance(20)

    def test_dead_holder_is_skipped(self):
        """A holder of the key has died, and the list still names it.

        Its address refuses connections, so it has no records and cannot
        acknowledge. The other holders are a majority.
        """
        key = self.own_key()
        holders = self.holders(key)
        self.fleet.kill(holders[0])
        self.fleet.world.advance(0.1)
        other = self.other_vm(*holders)
        self.assertEqual(self.fleet.pay(other, key).status, OK)
        self.assertEqual(self.fleet.pay(holders[2], key).status, OK)
        self.assertEqual(self.service.runs_by_key[key], 1)

    def test_all_holders_are_replaced(self):
        """Every VM that recorded the run is replaced within minutes.

        The new processes have no record. They started after the key was
        made, so they must not conclude that the call never ran.
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
        """The published list changes so that no holder of a key remains.

        The new holders have no record, and would run the call again if they
        did not take the earlier list into account.
        """
        key = self.own_key()
        holders = self.holders(key)
        self.assertEqual(self.fleet.pay(holders[0], key).status, OK)
        self.fleet.publish_list(without=holders)
        self.fleet.world.advance(10)
        remaining = [vm for vm in self.fleet.vms_by_id if vm not in holders]
        for vm_id in remaining:
            response = self.fleet.pay(vm_id, key)
            self.assertEqual(ran(response), 'unknown')
        self.assertEqual(self.service.runs_by_key[key], 1)

    def test_vm_without_configuration_answers_unknown(self):
        """A resend reaches a VM that has no configuration yet.

        The payment has run, so that VM must not answer "not run". (Found by
        the fuzzer.)
        """
        text, executor, witness = self.permit()
        self.assertEqual(self.fleet.pay(executor, text).status, OK)
        self.fleet.daemon(executor).keeper.inventory = Inventory()
        for vm_id in (executor, self.other_vm(executor, witness)):
            response = self.fleet.pay(vm_id, text)
            self.assertEqual(ran(response), 'unknown')

    def test_caller_disconnects(self):
        """The caller closes its connection while the payment runs.

        The run goes on, and a resend gets its answer.
        """
        self.service.run_seconds = 2
        text, executor, witness = self.permit()
        first = self.start_pay(executor, text)
        self.fleet.world.advance(0.5)
        self.fleet.caller.network.shut_down_connections()
        self.fleet.world.advance(5)
        del first
        other = self.other_vm(executor, witness)
        self.assertEqual(self.fleet.pay(other, text).status, OK)
        self.assertEqual(self.runs(), 1)

    def test_leaving_executor_finishes(self):
        """The executor's VM leaves while the payment runs.

        It answers the caller before it ends.
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
        """Idle pooled connections to the service are silently broken.

        A payment sent on one of them would hang and end as "unknown" although
        the service works. A payment therefore opens a new connection.
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
        """Return the network of a VM's process."""
        return self.fleet.vms_by_id[vm_id].node.network
