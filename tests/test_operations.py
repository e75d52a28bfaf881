"""The log lines of a failed request, found by its id, show the cause.

docs/OPERATIONS.md describes these lines.
"""

from __future__ import annotations

import unittest

import logbook

from standins.platform_runner import _EVENT_INTERVAL_SECONDS
from tests.rig.site import Site


class TestFailedRequests(unittest.TestCase):
    """Log lines and metrics of failed requests of several kinds."""

    def start(self, **shape: int) -> None:
        """Start a site and capture the log records of its processes."""
        self.site = Site.started(**shape)
        self.addCleanup(self.site.close)
        self.log = logbook.TestHandler(level=logbook.INFO, bubble=True)
        self.log.push_application()
        self.addCleanup(self.log.pop_application)

    def fields_of(self, call):
        """Return the fields of the log lines of a request, by message."""
        request_id = dict(call.headers)['Attempt-Id']
        return {
            record.message: record.extra
            for record in self.log.records
            if record.extra.get('id') == request_id
        }

    def test_lost_response(self):
        self.start()
        for app in self.site.apps:
            app.lose_answers = 1
        call = self.site.call('/orders/1')
        self.assertEqual(self.site.send('vm-0', call).status, 502)
        lines = self.fields_of(call)
        self.assertEqual(lines['request']['outcome'], 'outcome_unknown')
        self.assertEqual(lines['send']['outcome'], 'lost')
        self.assertIn(lines['send']['upstream'], {'app-0', 'app-1'})

    def test_orders_and_reports_name_the_ledger(self):
        """Guards against orders that do not show what their owner believed."""
        self.start()
        self.site.send('vm-0', self.site.chat('a1'))
        orders = [
            record.extra
            for record in self.log.records
            if record.message == 'order' and record.extra['adapter'] == 'a1'
        ]
        self.assertEqual(orders[0]['held'], 1)
        self.assertEqual(orders[0]['free'], 1)
        self.assertEqual(orders[0]['reported'], orders[0]['sequence'])
        self.assertLess(orders[0]['report_age'], 1)
        self.assertEqual(orders[0]['source'], 'count')
        self.assertTrue(orders[0]['is_established'])
        self.site.kill(self.site.owner())
        self.site.world.advance(8)
        adopted = [
            record.extra['adopted']
            for record in self.log.records
            if record.message == 'report changes the ledger'
        ]
        self.assertIn(['a1'], adopted)

    def test_owner_logs_begin_and_end(self):
        """Guards against owners whose numbers and end no log line shows."""
        self.start()
        owner = self.site.vms_by_id[self.site.owner()]
        owner.node.spawn(owner.daemon.begin_leaving)
        self.site.world.advance(4)
        lines = {record.message: record.extra for record in self.log.records}
        released = lines['this VM releases a group']
        owned = lines['this VM owns a group']
        self.assertGreater(released['epoch'], 0)
        self.assertEqual(owned['known_epoch'], released['epoch'])
        self.assertEqual(owned['known_vm'], owner.peer)
        self.assertTrue(owned['predecessor_ended'])

    def test_parts_on_an_engine_that_ended(self):
        """Guards against ends of engines whose requests have no parts named."""
        self.start()
        lost, served = self.site.chat(), self.site.chat()
        for engine in self.site.engines:
            engine.break_after = 1
        self.site.wait(self.site.begin('vm-0', lost))
        for engine in self.site.engines:
            engine.break_after = 0
        self.site.send('vm-1', served)
        self.site.world.advance(2)
        for call, outcome in ((lost, 'lost'), (served, 'done')):
            line = self.fields_of(call)['send']
            self.assertEqual(line['outcome'], outcome)
            self.assertEqual(line['parts'], 'ab')
        check = self.fields_of(lost)['upstream checked after a loss']
        self.assertEqual(check['parts'], 'ab')

    def test_metrics_count_refused_requests(self):
        self.start()
        for app in self.site.apps:
            app.full = True
        self.site.send('vm-0', self.site.call('/orders/1'))
        daemon = self.site.vms_by_id['vm-0'].daemon
        text = daemon.metrics.exposition().decode()
        self.assertIn(
            'flamingovalve_requests_total{outcome="overloaded"} 1.0',
            text,
        )
        self.assertIn('flamingovalve_members_present 3.0', text)
        self.assertIn('flamingovalve_http_requests_total 1.0', text)

    def test_deadline_passed(self):
        self.start()
        for app in self.site.apps:
            app.run_seconds = 9
        call = self.site.call('/reads/1')
        self.assertEqual(self.site.send('vm-0', call).status, 504)
        lines = self.fields_of(call)
        self.assertEqual(lines['request']['outcome'], 'deadline_passed')
        self.assertEqual(lines['send']['outcome'], 'timed_out')
        self.assertEqual(lines['send']['first_event'], 0)

    def test_refused_without_place(self):
        self.start(engines=1, slots=1)
        calls = [self.site.chat(f'a{number}') for number in range(12)]
        tasks = [self.site.begin('vm-0', call) for call in calls]
        statuses = [self.site.wait(task).status for task in tasks]
        refused = calls[statuses.index(503)]
        lines = self.fields_of(refused)
        self.assertEqual(lines['request']['outcome'], 'overloaded')
        self.assertIn('every place', lines['refused']['reason'])
        self.assertIn('waited', lines['refused'])
        served = self.fields_of(calls[statuses.index(200)])
        fields = {'upstream', 'expected', 'waited', 'report_age'}
        self.assertLessEqual(fields, set(served['place']))

    def test_pause_of_a_stream_is_shown(self):
        """Guards against an end of a place without the pause of its stream."""
        self.start()
        call = self.site.chat('a')
        self.assertEqual(self.site.send('vm-0', call).status, 200)
        pause = self.fields_of(call)['send']['max_gap']
        self.assertGreater(pause, 0.5 * _EVENT_INTERVAL_SECONDS)
        self.assertLess(pause, 2 * _EVENT_INTERVAL_SECONDS)
